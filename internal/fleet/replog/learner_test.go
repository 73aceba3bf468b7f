package replog

import "testing"

// A learner that answers the leader must count as responsive at every tick. The leader checks once a second, every ten
// ticks. When it relied on raft's own activity flag, which raft clears every ten ticks, and both fell into the same
// tick, the flag was never set at the check: a gateway that had lost its disk was added as a learner and stayed one for
// good, and the fleet had two voters instead of three.
func TestLearnerThatAnswersIsResponsiveAtEveryTick(t *testing.T) {
	n := newNetwork(1, 3)
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	learner := &member{network: n, index: 3, name: "g3", disk: Disk{ID: 44, Entries: map[uint64][]byte{}}}
	n.members = append(n.members, learner)
	learner.start()
	var lead *member
	for _, m := range n.members {
		if m.group.LeaderReady() {
			lead = m
		}
	}
	if err := lead.group.ProposeVoterChange(Voter{ID: 44, Name: "g3", Hall: "h9", Learner: true}, false); err != nil {
		t.Fatal(err)
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	responsive := func() bool {
		_, ok := lead.group.Behind(44)
		return ok
	}
	for tick := range 3 * electionTicks {
		lead.group.Tick()
		if !responsive() {
			t.Errorf("tick %d: the learner does not count as responsive", tick)
		}
		if err := n.settle(); err != nil {
			t.Fatal(err)
		}
	}
	n.blocked[[2]int{3, lead.index}] = true
	for range 2 * electionTicks {
		n.tick()
	}
	if responsive() {
		t.Error("a partitioned learner counts as responsive")
	}
}
