package replog

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	electionTicks  = 10 // of Tick without a word of the leader
	heartbeatTicks = 2
	keepEntries    = 512 // behind the last one applied, for those that were away
	compactEvery   = 1024
	maxPerMessage  = 512 << 10
	maxInflight    = 64
	maxUncommitted = 8 << 20
)

// Group is one voter's part in holding the log. It belongs to one goroutine, and never waits.
type Group struct {
	id      uint64
	self    string
	state   *State
	rn      *raft.RawNode
	mem     *raft.MemoryStorage
	conf    *pb.ConfState
	pending *raft.Ready
	applied uint64
	cut     uint64 // entries up to this one have been compacted
	seen    func(Applied)
	lead    uint64
	heard   bool // of a leader, since the last call of Heard
	seated  bool // who votes has changed since the last snapshot
	removed bool // it is no voter any more

	ticks    uint64
	answered map[uint64]uint64 // the tick at which another voter or learner was last heard of
}

var errStopped = errors.New("agree: this gateway holds no log")

func (g *Group) start() (err error) {
	defer g.guard(&err)
	g.rn, err = raft.NewRawNode(&raft.Config{ID: g.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: g.mem, Applied: g.applied,
		MaxSizePerMsg: maxPerMessage, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted, CheckQuorum: true, PreVote: true,
		StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: quiet{}})
	return err
}

// guard makes an error of a panic in the library: the gateway serves on, without its vote.
func (g *Group) guard(err *error) {
	if p := recover(); p != nil {
		g.rn = nil
		*err = fmt.Errorf("agree: the log can't be held any more: %v", p)
	}
}

// ID is the voter's number.
func (g *Group) ID() uint64 { return g.id }

// State is what the log has come to, nil before the first entry is known. It is not to be changed.
func (g *Group) State() *State { return g.state }

// Tick says that a step of time has passed.
func (g *Group) Tick() (err error) {
	defer g.guard(&err)
	if g.rn == nil {
		return errStopped
	}
	g.ticks++
	g.rn.Tick()
	return nil
}

// Step takes a message of another voter.
func (g *Group) Step(b []byte) (err error) {
	defer g.guard(&err)
	if g.rn == nil {
		return errStopped
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return fmt.Errorf("agree: message: %w", err)
	}
	if m.GetTo() != g.id || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("agree: a message of %v to %x", m.GetType(), m.GetTo())
	}
	if m.GetFrom() == g.lead && g.lead != 0 {
		g.heard = true
	}
	if g.state != nil && g.state.votes(m.GetFrom()) {
		g.answered[m.GetFrom()] = g.ticks
	}
	return g.rn.Step(m)
}

// Heard reports whether a leader was heard, or this voter leads with a majority, since the last call.
func (g *Group) Heard() bool {
	h := g.heard || g.Leads()
	g.heard = false
	return h
}

// Removed reports whether the others have removed this voter.
func (g *Group) Removed() bool { return g.removed }

// Leads reports whether this voter leads.
func (g *Group) Leads() bool { return g.rn != nil && g.rn.BasicStatus().RaftState == raft.StateLeader }

// Caught reports whether a leader has applied all that was agreed before it led.
func (g *Group) Caught() bool {
	if !g.Leads() {
		return false
	}
	st := g.rn.BasicStatus()
	term, err := g.mem.Term(g.applied)
	return err == nil && term == st.HardState.GetTerm()
}

// Leader is the number of who leads, 0 if nobody is known to.
func (g *Group) Leader() uint64 {
	if g.rn == nil {
		return 0
	}
	return g.rn.BasicStatus().Lead
}

// Behind is how many entries another voter or learner has not been sent or has not acknowledged; false if it is none or has
// not been heard of for an election's time. Raft's own mark of who is active is of no use for that: raft takes it off all, once
// in that time, to see who sets it again.
func (g *Group) Behind(id uint64) (n uint64, ok bool) {
	if !g.Leads() {
		return 0, false
	}
	p, ok := g.rn.Status().Progress[id]
	if !ok {
		return 0, false
	}
	last, _ := g.mem.LastIndex()
	at, heard := g.answered[id]
	return last - min(last, p.Match), heard && g.ticks-at <= electionTicks
}

// Propose puts an entry into the log, if this voter leads. At is its time, which does not go back.
func (g *Group) Propose(e *Entry, at int64) (err error) {
	defer g.guard(&err)
	if !g.Caught() {
		return errors.New("agree: another voter leads")
	}
	e.At = max(at, g.state.At)
	b, err := msgpack.Marshal(e)
	if err != nil {
		return err
	}
	return g.rn.Propose(b)
}

// Change proposes one change of who votes.
func (g *Group) Change(v Voter, gone bool) (err error) {
	defer g.guard(&err)
	if !g.Caught() {
		return errors.New("agree: another voter leads")
	}
	kind := pb.ConfChangeAddNode
	switch {
	case gone:
		kind = pb.ConfChangeRemoveNode
	case v.Learner:
		kind = pb.ConfChangeAddLearnerNode
	}
	context, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	return g.rn.ProposeConfChange(&pb.ConfChange{Type: &kind, NodeId: &v.ID, Context: context})
}

// Yield hands the lead to another voter, before this one goes out.
func (g *Group) Yield(to uint64) {
	var err error
	defer g.guard(&err)
	if g.Leads() {
		g.rn.TransferLeader(to)
	}
}

// Campaign has this voter try to lead at once.
func (g *Group) Campaign() (err error) {
	defer g.guard(&err)
	if g.rn == nil {
		return errStopped
	}
	return g.rn.Campaign()
}
