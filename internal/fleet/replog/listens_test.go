package replog

import "testing"

// A gateway that had lost its disk was taken in as a learner and stayed one for good, so that the fleet had two voters in place
// of three. Who leads looked once a second, each ten ticks, whether the learner answers, by a mark that raft takes off each ten
// ticks itself: where both came in the same tick, the mark was never there to be seen. Whether one answers has to hold at
// every tick.
func TestLearnerThatAnswersIsSeenToAtEveryTick(t *testing.T) {
	n := newNet(1, 3)
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	learner := &member{n: n, i: 3, name: "g3", disk: Disk{ID: 44, Entries: map[uint64][]byte{}}}
	n.all = append(n.all, learner)
	learner.start()
	var lead *member
	for _, m := range n.all {
		if m.g.Caught() {
			lead = m
		}
	}
	if err := lead.g.Change(Voter{ID: 44, Name: "g3", Hall: "h9", Learner: true}, false); err != nil {
		t.Fatal(err)
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	listens := func() bool {
		_, ok := lead.g.Behind(44)
		return ok
	}
	for tick := range 3 * electionTicks {
		lead.g.Tick()
		if !listens() {
			t.Errorf("tick %d: the learner does not answer", tick)
		}
		if err := n.settle(); err != nil {
			t.Fatal(err)
		}
	}
	n.cut[[2]int{3, lead.i}] = true
	for range 2 * electionTicks {
		n.tick()
	}
	if listens() {
		t.Error("a learner that is cut off answers")
	}
}
