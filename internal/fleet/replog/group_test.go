package replog

import (
	"fmt"
	"testing"
)

// Three or five voters whose messages are lost, delayed, duplicated and reordered, that are partitioned in one direction
// or in both, and that end at any moment with a write half done must apply the same entry at each index. Once all of
// them can reach each other, they must come to the same state.
func TestVotersApplySameEntriesUnderRandomFaults(t *testing.T) {
	steps, entries := 0, 0
	for seed := range uint64(60) {
		n := newNetwork(seed, 3+2*int(seed%2))
		for range 3000 {
			n.step()
		}
		if err := n.settle(); err != nil {
			n.fail("%v", err)
		}
		if n.failure != nil {
			t.Fatalf("seed %d: %v", seed, n.failure)
		}
		steps, entries = steps+n.steps, entries+len(n.appliedAt)
	}
	t.Logf("%d steps, %d entries agreed", steps, entries)
	if entries < 600 {
		t.Errorf("only %d entries were agreed", entries)
	}
}

// A member that was partitioned and one that was just added are brought up to date by a snapshot, and the log on disk
// stays short.
func TestLearnerCatchesUpAndReplacesVoter(t *testing.T) {
	n := newNetwork(1, 3)
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	lead := func() *member {
		for _, m := range n.members {
			if m.group.LeaderReady() {
				return m
			}
		}
		t.Fatal("no member leads")
		return nil
	}
	late := &member{network: n, index: 3, name: "g3", disk: Disk{ID: 44, Entries: map[uint64][]byte{}}}
	n.members = append(n.members, late)
	late.start()
	n.blocked[[2]int{lead().index, 3}] = true
	for range 3 * compactEvery {
		if err := n.propose(lead()); err != nil {
			t.Fatal(err)
		}
		for _, m := range n.members[:3] {
			m.pump(true)
		}
		n.deliverAll()
	}
	if k := len(lead().disk.Entries); k > compactEvery+keepEntries {
		t.Errorf("%d entries are stored on disk", k)
	}
	if err := lead().group.ProposeVoterChange(Voter{ID: 44, Name: "g3", Hall: "h9", Learner: true}, false); err != nil {
		t.Fatal(err)
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	if err := lead().group.ProposeVoterChange(Voter{ID: 44, Name: "g3", Hall: "h9"}, false); err != nil {
		t.Fatal(err)
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	if err := lead().group.ProposeVoterChange(Voter{ID: n.members[0].disk.ID, Name: "g0"}, true); err != nil {
		t.Fatal(err)
	}
	first := n.members[0]
	for k := 0; k < 200 && late.group.State().Voter("g0") != nil; k++ {
		for _, m := range n.members {
			m.group.Tick()
			m.pump(true)
		}
		n.deliverAll()
	}
	if v := late.group.State().Voting(); len(v) != 3 || late.group.State().Voter("g0") != nil || late.group.State().Voter("g3") == nil {
		t.Errorf("voters %+v", v)
	}
	n.members = n.members[1:]
	for i, m := range n.members {
		m.index = i
	}
	n.inTransit = nil
	if err := n.settle(); err != nil {
		t.Errorf("after %s was removed: %v", first.name, err)
	}
	if late.group.State().Index < 3*compactEvery {
		t.Errorf("the new voter is at entry %d", late.group.State().Index)
	}
	if n.failure != nil {
		t.Error(n.failure)
	}
}

// A follower that receives the raw entries reaches the same state as a voter. It rejects entries that come after a gap,
// and states that cannot be decoded.
func TestFollowerReachesStateOfVoters(t *testing.T) {
	n := newNetwork(3, 3)
	var raw [][]byte
	var from uint64
	follower := NewFollower(nil, func(Applied) {})
	base, err := n.members[0].group.State().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := follower.Replace(base); err != nil {
		t.Fatal(err)
	}
	for range 2000 {
		n.step()
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	if err := n.members[1].group.ProposeVoterChange(Voter{ID: 9, Name: "x", Learner: true}, false); err != nil {
		for _, m := range n.members {
			m.group.ProposeVoterChange(Voter{ID: 9, Name: "x", Learner: true}, false)
		}
	}
	if err := n.settle(); err != nil {
		t.Fatal(err)
	}
	from = follower.LastIndex() + 1
	state := n.members[0].group.State()
	for i := from; i <= state.Index; i++ {
		raw = append(raw, []byte(n.appliedAt[i]))
	}
	if err := follower.ApplyEntries(from+1, raw[1:]); err == nil {
		t.Error("entries after a gap are accepted")
	}
	if err := follower.ApplyEntries(from, raw); err != nil {
		t.Fatal(err)
	}
	if err := follower.ApplyEntries(from, raw); err != nil {
		t.Errorf("entries received twice: %v", err)
	}
	if follower.State.Index != state.Index || follower.State.Hash() != state.Hash() || follower.State.Voter("x") == nil {
		t.Errorf("follower at %d, voter at %d; %+v", follower.State.Index, state.Index, follower.State.Voters)
	}
	whole, _ := state.Encode()
	other := NewFollower(nil, func(Applied) {})
	if err := other.Replace(whole); err != nil || other.State.Hash() != state.Hash() {
		t.Errorf("after a snapshot: %v", err)
	}
	for _, b := range [][]byte{nil, {1}, []byte("nonsense"), whole[:len(whole)/2]} {
		if err := other.Replace(b); err == nil {
			t.Errorf("an invalid state of %d bytes is accepted", len(b))
		}
	}
}

// Each proposal is applied once, in whatever order a gateway's proposals arrive, and also after the gateway has been
// restarted.
func TestRecordProposalAcceptsEachProposalOnce(t *testing.T) {
	s := &State{Proposers: map[string]*AppliedProposals{}}
	for i, c := range []struct {
		incarnation, seq uint64
		want             bool
	}{{1, 1, true}, {1, 1, false}, {1, 3, true}, {1, 2, true}, {1, 2, false}, {1, 3, false}, {1, 90, true}, {1, 3, false}, {1, 20, false},
		{1, 40, true}, {2, 1, true}, {1, 91, false}, {2, 1, false}} {
		if got := s.recordProposal("g", c.incarnation, c.seq); got != c.want {
			t.Errorf("case %d: incarnation %d, sequence number %d: %v", i, c.incarnation, c.seq, got)
		}
	}
	for i := range maxProposers + 10 {
		s.Index++
		s.recordProposal(fmt.Sprint("h", i), 1, 1)
	}
	if len(s.Proposers) > maxProposers {
		t.Errorf("%d gateways are remembered", len(s.Proposers))
	}
}
