package replog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Ready returns what is to be done now. It returns nil if there is nothing to do, or until Written has been called for
// the previous output.
func (g *Group) Ready() (out *Output, err error) {
	defer g.recoverPanic(&err)
	if err := g.usable(); err != nil {
		return nil, err
	}
	if g.pendingReady != nil || !g.node.HasReady() {
		return nil, nil
	}
	ready := g.node.Ready()
	g.pendingReady = &ready
	if ready.SoftState != nil {
		g.leaderID = ready.SoftState.Lead
	}
	out = &Output{}
	write := &Write{Entries: map[uint64][]byte{}}
	if !raft.IsEmptyHardState(ready.HardState) {
		if write.Hard, err = proto.Marshal(ready.HardState); err != nil {
			return nil, err
		}
		g.storage.SetHardState(ready.HardState)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := g.restore(ready.Snapshot, write); err != nil {
			return nil, err
		}
	}
	last, _ := g.storage.LastIndex()
	for _, e := range ready.Entries {
		if write.Entries[e.GetIndex()], err = proto.Marshal(e); err != nil {
			return nil, err
		}
	}
	if n := len(ready.Entries); n > 0 {
		for i := ready.Entries[n-1].GetIndex() + 1; i <= last; i++ {
			write.Entries[i] = nil // overwritten entries were never committed
		}
		if err := g.storage.Append(ready.Entries); err != nil {
			return nil, err
		}
	}
	if write.Hard != nil || write.Snap != nil || len(write.Entries) > 0 {
		out.Write = write
	}
	for _, m := range ready.Messages {
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, err
		}
		out.Messages = append(out.Messages, Envelope{m.GetTo(), b})
	}
	return out, nil
}

// restore replaces the log and the state by a snapshot of another voter.
func (g *Group) restore(snap *pb.Snapshot, write *Write) error {
	s, err := Decode(snap.GetData())
	if err != nil {
		return err
	}
	if write.Snap, err = proto.Marshal(snap); err != nil {
		return err
	}
	first, _ := g.storage.FirstIndex()
	last, _ := g.storage.LastIndex()
	for i := first; i <= last; i++ {
		write.Entries[i] = nil
	}
	if err := g.storage.ApplySnapshot(snap); err != nil {
		return err
	}
	g.state, g.confState = s, snap.GetMetadata().GetConfState()
	g.applied = snap.GetMetadata().GetIndex()
	g.compactedTo = g.applied
	g.notify(Applied{Index: g.applied, Snapshot: true})
	return nil
}

// Written is called when the output of Ready is on disk and its messages have been sent. It may return a further write:
// a new snapshot with the removal of compacted entries.
func (g *Group) Written() (more *Write, err error) {
	defer g.recoverPanic(&err)
	if err := g.usable(); err != nil {
		return nil, err
	}
	if g.pendingReady == nil {
		return nil, errStopped
	}
	ready := *g.pendingReady
	g.pendingReady = nil
	for _, e := range ready.CommittedEntries {
		g.apply(e)
	}
	for _, m := range ready.Messages {
		if m.GetType() == pb.MsgSnap { // the snapshot's arrival shows in later answers
			g.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	g.node.Advance(ready)
	if g.removed {
		g.node = nil
		return nil, nil
	}
	return g.compact()
}

func (g *Group) apply(e *pb.Entry) {
	g.applied = e.GetIndex()
	applied := Applied{Index: e.GetIndex(), Raw: e.GetData()}
	if e.GetType() == pb.EntryConfChange {
		change := &pb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), change); err != nil {
			change = &pb.ConfChange{}
		}
		remove := change.GetType() == pb.ConfChangeRemoveNode
		g.confState = g.node.ApplyConfChange(change)
		applied.Raw = encodeVoterChange(change.GetNodeId(), remove, change.GetContext())
		g.votersChanged = true // a new member needs a snapshot that lists it
		if remove {
			delete(g.lastContactTick, change.GetNodeId())
		}
		g.removed = g.removed || remove && change.GetNodeId() == g.id
	}
	applied.Entry, applied.Err = g.state.applyRaw(e.GetIndex(), applied.Raw)
	g.notify(applied)
}

// compact takes a snapshot and drops entries that no voter needs unless it is far behind.
func (g *Group) compact() (*Write, error) {
	if g.state == nil || g.applied < g.compactedTo+compactEvery && !g.votersChanged {
		return nil, nil
	}
	g.votersChanged = false
	term, err := g.storage.Term(g.applied)
	if err != nil {
		return nil, err
	}
	write, err := snapshotWrite(g.state, g.confState, g.applied, term)
	if err != nil {
		return nil, err
	}
	write.Hard = nil
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(write.Snap, snap); err != nil {
		return nil, err
	}
	if _, err := g.storage.CreateSnapshot(g.applied, g.confState, snap.GetData()); err != nil {
		return nil, err
	}
	first, _ := g.storage.FirstIndex()
	for i := g.compactedTo + 1; i <= g.applied; i++ { // the log on disk starts after the snapshot
		write.Entries[i] = nil
	}
	if to := g.applied - min(g.applied, keepEntries); to > first {
		if err := g.storage.Compact(to); err != nil {
			return nil, err
		}
	}
	g.compactedTo = g.applied
	return write, nil
}

// discardLogger discards the raft library's own log messages: failures that matter show in the results of its calls.
type discardLogger struct{}

func (discardLogger) Debug(...any) {}

func (discardLogger) Debugf(string, ...any) {}

func (discardLogger) Error(...any) {}

func (discardLogger) Errorf(string, ...any) {}

func (discardLogger) Info(...any) {}

func (discardLogger) Infof(string, ...any) {}

func (discardLogger) Warning(...any) {}

func (discardLogger) Warningf(string, ...any) {}

func (discardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (discardLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
