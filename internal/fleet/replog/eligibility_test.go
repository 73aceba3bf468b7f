package replog

import (
	"fmt"
	"strings"
	"testing"

	"quillrail/internal/fleet/safeguard"
)

// A voter with an older disk helps a leader into office that lacks what was agreed, and two things stand at one place: this
// is what the claim is against. With the claim it waits for half of the others, hears of its own later life, and gives its
// vote up.
func TestOlderDiskDoesNotVote(t *testing.T) {
	play := func(votes func(life, known uint64) bool) (found bool) {
		for seed := range uint64(40) {
			n := newNet(seed, 3)
			if err := n.settle(); err != nil {
				t.Fatal(err)
			}
			lead := 0
			for i, m := range n.all {
				if m.g.Caught() {
					lead = i
				}
			}
			a, b, c := n.all[lead], n.all[(lead+1)%3], n.all[(lead+2)%3]
			old := b.disk.copied()
			n.cut[[2]int{a.i, c.i}], n.cut[[2]int{b.i, c.i}] = true, true // c hears nothing
			n.propose(a)
			run(n, 3)
			a.g, b.g = nil, nil // a is lost, b comes back with the disk of before
			b.disk, b.write = old, nil
			clear(n.cut)
			n.mail = nil
			if !votes(2, 2) { // a former process of b was its second life already
				continue
			}
			b.start()
			for range 400 {
				for _, m := range []*member{b, c} {
					m.g.Tick()
					m.pump(true)
				}
				run(n, 1)
				n.propose(b)
				n.propose(c)
			}
			if n.fault != nil && strings.Contains(n.fault.Error(), "two things") {
				return true
			}
		}
		return false
	}
	claim := func(life, known uint64) bool {
		c := NewEligibility("b", life, []Voter{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}})
		if c.Verdict() == May {
			return true
		}
		c.Answer("c", known)
		return c.Verdict() == May
	}
	if play(claim) {
		t.Error("two things were agreed at one place")
	}
	safeguard.Disabled = "voter identity"
	defer func() { safeguard.Disabled = "" }()
	if !play(claim) {
		t.Error("nothing is found without the guard")
	}
}

// run delivers what is on its way.
func run(n *net, rounds int) {
	for range rounds {
		for k := len(n.mail); k > 0; k-- {
			x := n.mail[0]
			n.mail = n.mail[1:]
			if to := n.all[x.to]; to.g != nil && !n.cut[[2]int{x.from, x.to}] {
				to.g.Step(x.body)
				to.pump(true)
			}
		}
		for _, m := range n.all {
			m.pump(true)
		}
	}
}

func TestClaims(t *testing.T) {
	five := []Voter{{ID: 1, Name: "a"}, {ID: 2, Name: "b"}, {ID: 3, Name: "c"}, {ID: 4, Name: "d"}, {ID: 5, Name: "e"}, {ID: 6, Name: "f", Learner: true}}
	c := NewEligibility("a", 7, five)
	c.Answer("f", 6) // learners and strangers don't make a majority
	c.Answer("x", 6)
	c.Answer("b", 6)
	if c.Verdict() != Wait {
		t.Error("one other voter of five is enough")
	}
	if c.Answer("c", 0); c.Verdict() != May {
		t.Error("two others of five are not enough")
	}
	if c.Answer("x", 7); c.Verdict() != Forfeits {
		t.Error("somebody has met this life before, and it votes")
	}
}

// Lost voters are replaced one at a time, from halls that have none; nobody is removed whose place nobody can take unless it
// is lost, and a name with a new disk is another voter.
func TestSeats(t *testing.T) {
	s := &State{}
	for i, h := range []string{"h1", "h2", "h3"} {
		s.seat(Voter{ID: uint64(i + 1), Name: fmt.Sprint("g", i+1), Hall: h}, false)
	}
	seats := Membership{Want: 3, LostMs: 1000}
	all := []Candidate{{Name: "g1", Hall: "h1", ID: 1, Up: true, Listens: true}, {Name: "g2", Hall: "h2", ID: 2, Up: true, Listens: true},
		{Name: "g3", Hall: "h3", ID: 3, DownFor: 999}, {Name: "g4", Hall: "h1", ID: 4, Up: true}, {Name: "g5", Hall: "h3", ID: 5, Up: true}}
	step := func(want string) {
		t.Helper()
		v, gone, ok := seats.Next(s, 1, all)
		got := "nothing"
		if ok {
			got = fmt.Sprintf("%s learner=%v gone=%v", v.Name, v.Learner, gone)
			s.seat(v, gone)
		}
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
	step("nothing")
	all[2].DownFor = 1000
	step("g3 learner=false gone=true")
	step("g5 learner=true gone=false")
	step("nothing")
	all[4].Listens, all[4].Behind = true, keepEntries
	step("nothing")
	all[4].Behind = 3
	step("g5 learner=false gone=false")
	step("nothing")
	all[2] = Candidate{Name: "g3", Hall: "h3", ID: 33, Up: true} // back, with an empty disk
	step("nothing")
	all[1].ID = 22 // g2 has lost its disk
	step("g2 learner=false gone=true")
	step("g2 learner=true gone=false")
	if s.Voter("g2").ID != 22 {
		t.Errorf("%+v", s.Voters)
	}
}
