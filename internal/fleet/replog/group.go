package replog

import (
	"cmp"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	electionTicks  = 10        // ticks without a message from the leader before an election
	heartbeatTicks = 2         // ticks between heartbeats of the leader
	keepEntries    = 512       // applied entries that stay in memory for voters that have fallen behind
	compactEvery   = 1024      // entries between two snapshots
	maxPerMessage  = 512 << 10 // bytes of entries in a message
	maxInflight    = 64        // messages to a voter that it has not acknowledged
	maxUncommitted = 8 << 20   // bytes of entries that are not committed
)

// Group is one voter's part in replicating the log. It must be used by one goroutine only, and it never blocks. onApplied must not
// call it: such calls change nothing and return ErrInCallback.
type Group struct {
	id            uint64
	self          string
	state         *State // nil before the first snapshot of a learner
	node          *raft.RawNode
	storage       *raft.MemoryStorage
	confState     *pb.ConfState
	pendingReady  *raft.Ready // what Ready returned last, until Written is called
	applied       uint64      // index of the last applied entry
	compactedTo   uint64      // index up to which entries have been compacted
	onApplied     func(Applied)
	stopCause     error  // the panic of raft after which this part of the log has stopped, nil if there was none
	inCallback    bool   // onApplied is running, in the middle of a call
	leaderID      uint64 // 0 if unknown
	leaderContact bool   // a leader was in contact since the last call of TakeLeaderContact
	votersChanged bool   // the voters have changed since the last snapshot
	removed       bool   // the other voters have removed this one

	ticks           uint64
	lastContactTick map[uint64]uint64 // by voter ID, the tick of the last message from that voter or learner
}

var (
	errStopped   = errors.New("agree: this gateway has stopped its part of the log")
	errNotLeader = errors.New("agree: this voter is not the leader, or has not applied all committed entries")
)

// ErrInCallback is the result of a call that onApplied makes: the call that runs onApplied has to return first, because raft
// is between two of its steps until then.
var ErrInCallback = errors.New("agree: the log was called while it applies an entry")

// usable returns the reason why no call can be handled now, nil if there is none.
func (g *Group) usable() error {
	switch {
	case g.node == nil:
		return cmp.Or(g.stopCause, errStopped)
	case g.inCallback:
		return ErrInCallback
	}
	return nil
}

// notify calls onApplied.
func (g *Group) notify(applied Applied) {
	g.inCallback = true
	defer func() { g.inCallback = false }()
	g.onApplied(applied)
}

func (g *Group) start() (err error) {
	defer g.recoverPanic(&err)
	g.node, err = raft.NewRawNode(&raft.Config{ID: g.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: g.storage,
		Applied: g.applied, MaxSizePerMsg: maxPerMessage, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, DisableProposalForwarding: true, Logger: discardLogger{}})
	return err
}

// recoverPanic turns a panic in the raft library into an error. The gateway goes on without its vote.
func (g *Group) recoverPanic(err *error) {
	if p := recover(); p != nil {
		g.node = nil
		g.stopCause = fmt.Errorf("agree: raft panicked, this gateway stops its part of the log: %v", p)
		*err = g.stopCause
	}
}

// ID returns the voter ID.
func (g *Group) ID() uint64 { return g.id }

// State returns the state that the applied entries have led to, nil before the first one is known. It must not be
// modified.
func (g *Group) State() *State { return g.state }

// Tick advances the time by one tick.
func (g *Group) Tick() (err error) {
	defer g.recoverPanic(&err)
	if err := g.usable(); err != nil {
		return err
	}
	g.ticks++
	g.node.Tick()
	return nil
}

// Step handles a message of another voter.
func (g *Group) Step(b []byte) (err error) {
	defer g.recoverPanic(&err)
	if err := g.usable(); err != nil {
		return err
	}
	m := &pb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return fmt.Errorf("agree: decode raft message: %w", err)
	}
	if m.GetTo() != g.id || raft.IsLocalMsg(m.GetType()) {
		return fmt.Errorf("agree: unexpected raft message of type %v for voter %x", m.GetType(), m.GetTo())
	}
	if m.GetFrom() == g.leaderID && g.leaderID != 0 {
		g.leaderContact = true
	}
	if g.state != nil && g.state.isMember(m.GetFrom()) {
		g.lastContactTick[m.GetFrom()] = g.ticks
	}
	return g.node.Step(m)
}

// TakeLeaderContact reports whether this voter has had contact with a leader since the last call, or is itself the
// leader, which implies contact with a majority.
func (g *Group) TakeLeaderContact() bool {
	contact := g.leaderContact || g.Leads()
	g.leaderContact = false
	return contact
}

// Removed reports whether the other voters have removed this one.
func (g *Group) Removed() bool { return g.removed }

// Leads reports whether this voter is the leader.
func (g *Group) Leads() bool {
	return g.node != nil && g.node.BasicStatus().RaftState == raft.StateLeader
}

// LeaderReady reports whether this voter is the leader and has applied all entries that were committed before it became
// the leader.
func (g *Group) LeaderReady() bool {
	if !g.Leads() {
		return false
	}
	status := g.node.BasicStatus()
	term, err := g.storage.Term(g.applied)
	return err == nil && term == status.HardState.GetTerm()
}

// Leader returns the ID of the leader, 0 if it is unknown.
func (g *Group) Leader() uint64 {
	if g.node == nil {
		return 0
	}
	return g.node.BasicStatus().Lead
}

// Behind returns how many entries another voter or learner has not acknowledged. ok is false if there is no such member
// or if it has not sent a message within an election timeout. Raft's own flag for active members cannot be used for
// that: raft clears it for all members once per election timeout to see which of them set it again.
func (g *Group) Behind(id uint64) (n uint64, ok bool) {
	if !g.Leads() {
		return 0, false
	}
	progress, ok := g.node.Status().Progress[id]
	if !ok {
		return 0, false
	}
	last, _ := g.storage.LastIndex()
	tick, known := g.lastContactTick[id]
	return last - min(last, progress.Match), known && g.ticks-tick <= electionTicks
}

// Propose adds an entry to the log if this voter is the leader. at becomes the time of the entry, except that the time
// never goes back.
func (g *Group) Propose(e *Entry, at int64) (err error) {
	defer g.recoverPanic(&err)
	if err := g.usable(); err != nil {
		return err
	}
	if !g.LeaderReady() {
		return errNotLeader
	}
	e.At = max(at, g.state.At)
	b, err := msgpack.Marshal(e)
	if err != nil {
		return err
	}
	return g.node.Propose(b)
}

// ProposeVoterChange proposes to add, update or remove one voter.
func (g *Group) ProposeVoterChange(v Voter, remove bool) (err error) {
	defer g.recoverPanic(&err)
	if err := g.usable(); err != nil {
		return err
	}
	if !g.LeaderReady() {
		return errNotLeader
	}
	kind := pb.ConfChangeAddNode
	switch {
	case remove:
		kind = pb.ConfChangeRemoveNode
	case v.Learner:
		kind = pb.ConfChangeAddLearnerNode
	}
	context, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	return g.node.ProposeConfChange(&pb.ConfChange{Type: &kind, NodeId: &v.ID, Context: context})
}

// TransferLead makes another voter the leader, before this one becomes unavailable.
func (g *Group) TransferLead(to uint64) {
	var err error
	defer g.recoverPanic(&err)
	if g.Leads() && !g.inCallback {
		g.node.TransferLeader(to)
	}
}

// Campaign makes this voter stand for election at once.
func (g *Group) Campaign() (err error) {
	defer g.recoverPanic(&err)
	if err := g.usable(); err != nil {
		return err
	}
	return g.node.Campaign()
}
