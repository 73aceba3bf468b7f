package replog

import (
	"fmt"
	"testing"
)

// Three and five voters whose messages are lost, late, twice and out of order, that are cut from each other in one direction
// or both, and that end at any moment with a write half done: what is applied at a place is the same at all, and once all
// hear each other they come to the same state.
func TestLogUnderRandomSteps(t *testing.T) {
	steps, entries := 0, 0
	for seed := range uint64(60) {
		n := newNet(seed, 3+2*int(seed%2))
		for range 3000 {
			n.step()
		}
		if err := n.settle(); err != nil {
			n.fail("%v", err)
		}
		if n.fault != nil {
			t.Fatalf("seed %d: %v", seed, n.fault)
		}
		steps, entries = steps+n.steps, entries+len(n.truth)
	}
	t.Logf("%d steps, %d entries agreed", steps, entries)
	if entries < 600 {
		t.Errorf("only %d entries were agreed", entries)
	}
}

// A voter that was away is brought up to date by a snapshot, and so is one that is taken in; the log stays short.
func TestLearnsAndCatchesUp(t *testing.T) {
	n := newNet(1, 3)
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	lead := func() *member {
		for _, m := range n.all {
			if m.g.Caught() {
				return m
			}
		}
		t.Fatal("nobody leads")
		return nil
	}
	late := &member{n: n, i: 3, name: "g3", disk: Disk{ID: 44, Entries: map[uint64][]byte{}}}
	n.all = append(n.all, late)
	late.start()
	n.cut[[2]int{lead().i, 3}] = true
	for range 3 * compactEvery {
		if err := n.propose(lead()); err != nil {
			t.Fatal(err)
		}
		for _, m := range n.all[:3] {
			m.pump(true)
		}
		for len(n.mail) > 0 {
			x := n.mail[0]
			n.mail = n.mail[1:]
			n.all[x.to].g.Step(x.body)
			n.all[x.to].pump(true)
		}
	}
	if k := len(lead().disk.Entries); k > compactEvery+keepEntries {
		t.Errorf("%d entries are kept on disk", k)
	}
	if err := lead().g.Change(Voter{ID: 44, Name: "g3", Hall: "h9", Learner: true}, false); err != nil {
		t.Fatal(err)
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	if err := lead().g.Change(Voter{ID: 44, Name: "g3", Hall: "h9"}, false); err != nil {
		t.Fatal(err)
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	if err := lead().g.Change(Voter{ID: n.all[0].disk.ID, Name: "g0"}, true); err != nil {
		t.Fatal(err)
	}
	first := n.all[0]
	for k := 0; k < 200 && late.g.State().Voter("g0") != nil; k++ {
		for _, m := range n.all {
			m.g.Tick()
			m.pump(true)
		}
		for len(n.mail) > 0 {
			x := n.mail[0]
			n.mail = n.mail[1:]
			n.all[x.to].g.Step(x.body)
			n.all[x.to].pump(true)
		}
	}
	if v := late.g.State().Voting(); len(v) != 3 || late.g.State().Voter("g0") != nil || late.g.State().Voter("g3") == nil {
		t.Errorf("voters %+v", v)
	}
	n.all = n.all[1:]
	for i, m := range n.all {
		m.i = i
	}
	n.mail = nil
	if err := n.settle(); err != nil {
		t.Errorf("after %s has left: %v", first.name, err)
	}
	if late.g.State().Index < 3*compactEvery {
		t.Errorf("the one that was taken in is at entry %d", late.g.State().Index)
	}
	if n.fault != nil {
		t.Error(n.fault)
	}
}

// A follower that is told the raw entries comes to the same state as a voter, and says so where some are missing.
func TestFollowers(t *testing.T) {
	n := newNet(3, 3)
	var raw [][]byte
	var from uint64
	f := NewFollower(nil, func(Applied) {})
	base, err := n.all[0].g.State().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Replace(base); err != nil {
		t.Fatal(err)
	}
	for range 2000 {
		n.step()
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	if err := n.all[1].g.Change(Voter{ID: 9, Name: "x", Learner: true}, false); err != nil {
		for _, m := range n.all {
			m.g.Change(Voter{ID: 9, Name: "x", Learner: true}, false)
		}
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	from = f.After() + 1
	s := n.all[0].g.State()
	for i := from; i <= s.Index; i++ {
		raw = append(raw, []byte(n.truth[i]))
	}
	if err := f.Take(from+1, raw[1:]); err == nil {
		t.Error("a gap is taken")
	}
	if err := f.Take(from, raw); err != nil {
		t.Fatal(err)
	}
	if err := f.Take(from, raw); err != nil {
		t.Errorf("told twice: %v", err)
	}
	if f.State.Index != s.Index || f.State.Hash() != s.Hash() || f.State.Voter("x") == nil {
		t.Errorf("follower at %d, voter at %d; %+v", f.State.Index, s.Index, f.State.Voters)
	}
	whole, _ := s.Encode()
	g := NewFollower(nil, func(Applied) {})
	if err := g.Replace(whole); err != nil || g.State.Hash() != s.Hash() {
		t.Errorf("by a snapshot: %v", err)
	}
	for _, b := range [][]byte{nil, {1}, []byte("nonsense"), whole[:len(whole)/2]} {
		if err := g.Replace(b); err == nil {
			t.Errorf("a state of %d bytes is taken", len(b))
		}
	}
}

// A proposal counts once, in whatever order a gateway's proposals come, also after it was started anew.
func TestProposalsCountOnce(t *testing.T) {
	s := &State{Said: map[string]*Said{}}
	for i, c := range []struct {
		life, seq uint64
		want      bool
	}{{1, 1, true}, {1, 1, false}, {1, 3, true}, {1, 2, true}, {1, 2, false}, {1, 3, false}, {1, 90, true}, {1, 3, false}, {1, 20, false}, {1, 40, true},
		{2, 1, true}, {1, 91, false}, {2, 1, false}} {
		if got := s.once("g", c.life, c.seq); got != c.want {
			t.Errorf("%d: life %d number %d: %v", i, c.life, c.seq, got)
		}
	}
	for i := range maxSaid + 10 {
		s.Index++
		s.once(fmt.Sprint("h", i), 1, 1)
	}
	if len(s.Said) > maxSaid {
		t.Errorf("%d gateways are remembered", len(s.Said))
	}
}
