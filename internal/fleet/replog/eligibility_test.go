package replog

import (
	"fmt"
	"strings"
	"testing"

	"quillrail/internal/fleet/safeguard"
)

// A voter whose disk was set back to an older copy can help elect a leader that lacks committed entries, so that two
// different entries are applied at one index. With the eligibility check the voter waits until half of the other voters
// have answered, learns that its incarnation is already known, and gives up its vote.
func TestVoterWithOlderDiskForfeitsItsVote(t *testing.T) {
	findsConflict := func(mayVote func(incarnation, known uint64) bool) (found bool) {
		for seed := range uint64(40) {
			n := newNetwork(seed, 3)
			if err := n.settle(); err != nil {
				t.Fatal(err)
			}
			leader := 0
			for i, m := range n.members {
				if m.group.LeaderReady() {
					leader = i
				}
			}
			a, b, c := n.members[leader], n.members[(leader+1)%3], n.members[(leader+2)%3]
			oldDisk := b.disk.clone()
			n.blocked[[2]int{a.index, c.index}], n.blocked[[2]int{b.index, c.index}] = true, true // c receives nothing
			n.propose(a)
			deliverRounds(n, 3)
			a.group, b.group = nil, nil // a is lost, b restarts with its older disk
			b.disk, b.pendingOutput = oldDisk, nil
			clear(n.blocked)
			n.inTransit = nil
			if !mayVote(2, 2) { // a previous process of b already had incarnation 2
				continue
			}
			b.start()
			for range 400 {
				for _, m := range []*member{b, c} {
					m.group.Tick()
					m.pump(true)
				}
				deliverRounds(n, 1)
				n.propose(b)
				n.propose(c)
			}
			if n.failure != nil && strings.Contains(n.failure.Error(), "two different entries") {
				return true
			}
		}
		return false
	}
	checkEligibility := func(incarnation, known uint64) bool {
		c := NewEligibility("b", incarnation, []Voter{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}})
		if c.Verdict() == VerdictVote {
			return true
		}
		c.Answer("c", known)
		return c.Verdict() == VerdictVote
	}
	if findsConflict(checkEligibility) {
		t.Error("two different entries were applied at one index")
	}
	safeguard.Disabled = "voter identity"
	defer func() { safeguard.Disabled = "" }()
	if !findsConflict(checkEligibility) {
		t.Error("no conflict is found without the safeguard")
	}
}

// deliverRounds delivers all messages in transit, the given number of times.
func deliverRounds(n *network, rounds int) {
	for range rounds {
		for k := len(n.inTransit); k > 0; k-- {
			message := n.inTransit[0]
			n.inTransit = n.inTransit[1:]
			if to := n.members[message.to]; to.group != nil && !n.blocked[[2]int{message.from, message.to}] {
				to.group.Step(message.body)
				to.pump(true)
			}
		}
		for _, m := range n.members {
			m.pump(true)
		}
	}
}

func TestEligibilityNeedsMajorityAndNewIncarnation(t *testing.T) {
	five := []Voter{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}, {ID: 4, Name: "d"}, {ID: 5, Name: "e"},
		{ID: 6, Name: "f", Learner: true}}
	c := NewEligibility("a", 7, five)
	c.Answer("f", 6) // answers of learners and of unknown gateways do not count towards the majority
	c.Answer("x", 6)
	c.Answer("b", 6)
	if c.Verdict() != VerdictPending {
		t.Error("the answer of one other voter of five is enough")
	}
	if c.Answer("c", 0); c.Verdict() != VerdictVote {
		t.Error("the answers of two other voters of five are not enough")
	}
	if c.Answer("x", 7); c.Verdict() != VerdictForfeit {
		t.Error("a gateway votes although its incarnation is known already")
	}
}

// Lost voters are replaced one at a time, preferably by gateways of halls without a voter. A voter that is not lost is
// never removed, and a gateway with a new disk is another voter.
func TestMembershipReplacesLostVotersOneAtATime(t *testing.T) {
	state := &State{}
	for i, h := range []string{"h1", "h2", "h3"} {
		state.applyVoterChange(Voter{ID: uint64(i + 1), Name: fmt.Sprint("g", i+1), Hall: h}, false)
	}
	membership := Membership{TargetVoters: 3, LostAfterMs: 1000}
	candidates := []Candidate{{Name: "g1", Hall: "h1", ID: 1, Up: true, Responsive: true},
		{Name: "g2", Hall: "h2", ID: 2, Up: true, Responsive: true},
		{Name: "g3", Hall: "h3", ID: 3, DownForMs: 999}, {Name: "g4", Hall: "h1", ID: 4, Up: true}, {Name: "g5", Hall: "h3", ID: 5, Up: true}}
	expectNext := func(want string) {
		t.Helper()
		v, remove, ok := membership.Next(state, 1, candidates)
		got := "nothing"
		if ok {
			got = fmt.Sprintf("%s learner=%v removed=%v", v.Name, v.Learner, remove)
			state.applyVoterChange(v, remove)
		}
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
	expectNext("nothing")
	candidates[2].DownForMs = 1000
	expectNext("g3 learner=false removed=true")
	expectNext("g5 learner=true removed=false")
	expectNext("nothing")
	candidates[4].Responsive, candidates[4].Behind = true, keepEntries
	expectNext("nothing")
	candidates[4].Behind = 3
	expectNext("g5 learner=false removed=false")
	expectNext("nothing")
	candidates[2] = Candidate{Name: "g3", Hall: "h3", ID: 33, Up: true} // g3 is back with an empty disk
	expectNext("nothing")
	candidates[1].ID = 22 // g2 has lost its disk
	expectNext("g2 learner=false removed=true")
	expectNext("g2 learner=true removed=false")
	if state.Voter("g2").ID != 22 {
		t.Errorf("%+v", state.Voters)
	}
}
