package replog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Ready returns what is to be done now, nil for nothing or while something is being written.
func (g *Group) Ready() (out *Output, err error) {
	defer g.guard(&err)
	if g.rn == nil {
		return nil, errStopped
	}
	if g.pending != nil || !g.rn.HasReady() {
		return nil, nil
	}
	rd := g.rn.Ready()
	g.pending = &rd
	if rd.SoftState != nil {
		g.lead = rd.SoftState.Lead
	}
	out = &Output{}
	w := &Write{Entries: map[uint64][]byte{}}
	if !raft.IsEmptyHardState(rd.HardState) {
		if w.Hard, err = proto.Marshal(rd.HardState); err != nil {
			return nil, err
		}
		g.mem.SetHardState(rd.HardState)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := g.restore(rd.Snapshot, w); err != nil {
			return nil, err
		}
	}
	last, _ := g.mem.LastIndex()
	for _, e := range rd.Entries {
		if w.Entries[e.GetIndex()], err = proto.Marshal(e); err != nil {
			return nil, err
		}
	}
	if n := len(rd.Entries); n > 0 {
		for i := rd.Entries[n-1].GetIndex() + 1; i <= last; i++ {
			w.Entries[i] = nil // what stood there was never agreed
		}
		if err := g.mem.Append(rd.Entries); err != nil {
			return nil, err
		}
	}
	if w.Hard != nil || w.Snap != nil || len(w.Entries) > 0 {
		out.Write = w
	}
	for _, m := range rd.Messages {
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, err
		}
		out.Mail = append(out.Mail, Envelope{m.GetTo(), b})
	}
	return out, nil
}

// restore takes a snapshot of another voter in place of all that is here.
func (g *Group) restore(snap *pb.Snapshot, w *Write) error {
	s, err := Decode(snap.GetData())
	if err != nil {
		return err
	}
	if w.Snap, err = proto.Marshal(snap); err != nil {
		return err
	}
	first, _ := g.mem.FirstIndex()
	last, _ := g.mem.LastIndex()
	for i := first; i <= last; i++ {
		w.Entries[i] = nil
	}
	if err := g.mem.ApplySnapshot(snap); err != nil {
		return err
	}
	g.state, g.conf = s, snap.GetMetadata().GetConfState()
	g.applied = snap.GetMetadata().GetIndex()
	g.cut = g.applied
	g.seen(Applied{Index: g.applied, Whole: true})
	return nil
}

// Written says that what Ready wanted is on disk, and its mail on its way. It may return more to write: what is compacted.
func (g *Group) Written() (more *Write, err error) {
	defer g.guard(&err)
	if g.rn == nil || g.pending == nil {
		return nil, errStopped
	}
	rd := *g.pending
	g.pending = nil
	for _, e := range rd.CommittedEntries {
		g.apply(e)
	}
	for _, m := range rd.Messages {
		if m.GetType() == pb.MsgSnap { // whether it came shows by what comes back
			g.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
	g.rn.Advance(rd)
	if g.removed {
		g.rn = nil
		return nil, nil
	}
	return g.compact()
}

func (g *Group) apply(e *pb.Entry) {
	g.applied = e.GetIndex()
	a := Applied{Index: e.GetIndex(), Raw: e.GetData()}
	if e.GetType() == pb.EntryConfChange {
		cc := &pb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			cc = &pb.ConfChange{}
		}
		gone := cc.GetType() == pb.ConfChangeRemoveNode
		g.conf = g.rn.ApplyConfChange(cc)
		a.Raw = seatRaw(cc.GetNodeId(), gone, cc.GetContext())
		g.seated = true // who is taken in needs a snapshot that names it
		if gone {
			delete(g.answered, cc.GetNodeId())
		}
		g.removed = g.removed || gone && cc.GetNodeId() == g.id
	}
	a.Entry, a.Err = g.state.take(e.GetIndex(), a.Raw)
	g.seen(a)
}

// compact drops what nobody needs who is not far behind.
func (g *Group) compact() (*Write, error) {
	if g.state == nil || g.applied < g.cut+compactEvery && !g.seated {
		return nil, nil
	}
	g.seated = false
	term, err := g.mem.Term(g.applied)
	if err != nil {
		return nil, err
	}
	w, err := snapWrite(g.state, g.conf, g.applied, term)
	if err != nil {
		return nil, err
	}
	w.Hard = nil
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(w.Snap, snap); err != nil {
		return nil, err
	}
	if _, err := g.mem.CreateSnapshot(g.applied, g.conf, snap.GetData()); err != nil {
		return nil, err
	}
	first, _ := g.mem.FirstIndex()
	for i := g.cut + 1; i <= g.applied; i++ { // on disk the log begins after the snapshot
		w.Entries[i] = nil
	}
	if to := g.applied - min(g.applied, keepEntries); to > first {
		if err := g.mem.Compact(to); err != nil {
			return nil, err
		}
	}
	g.cut = g.applied
	return w, nil
}

// quiet takes the library's own log: what matters of it is seen by what it does.
type quiet struct{}

func (quiet) Debug(...any) {}

func (quiet) Debugf(string, ...any) {}

func (quiet) Error(...any) {}

func (quiet) Errorf(string, ...any) {}

func (quiet) Info(...any) {}

func (quiet) Infof(string, ...any) {}

func (quiet) Warning(...any) {}

func (quiet) Warningf(string, ...any) {}

func (quiet) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

func (quiet) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
