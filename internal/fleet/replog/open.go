package replog

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Envelope is a raft message to another voter, identified by its ID.
type Envelope struct {
	To   uint64
	Body []byte
}

// Disk is what a voter has stored: its log, and the snapshot that the log starts from.
type Disk struct {
	ID      uint64            // voter ID, drawn when the disk was empty
	Hard    []byte            // raft's HardState: term, vote and commit index
	Snap    []byte            // raft's snapshot: the state and the voters as of an entry
	Entries map[uint64][]byte // by index
}

// Write is what has to be stored before the Group goes on. A nil entry is deleted from the disk.
type Write struct {
	Hard, Snap []byte            // nil if unchanged
	Entries    map[uint64][]byte // by index
}

// Output is what a Group wants done. If Write is not nil, it has to be on disk before Messages are sent and Written is
// called, and Ready returns nothing in between.
type Output struct {
	Write    *Write
	Messages []Envelope
}

// Applied is an applied entry of the log and its result. Entry is nil for raft's own entries. Snapshot says that a whole
// state was adopted in place of the previous one.
type Applied struct {
	Index    uint64
	Snapshot bool
	Raw      []byte
	Entry    *Entry
	Err      error
}

// Bootstrap starts a log with its first voters and returns what each of them has to store before it takes part.
func Bootstrap(state *State, voters []Voter) (*Write, error) {
	state.Index, state.Voters = state.Index+1, nil
	conf := &pb.ConfState{}
	for _, v := range voters {
		state.applyVoterChange(v, false)
		conf.Voters = append(conf.Voters, v.ID)
	}
	return snapshotWrite(state, conf, state.Index, 1)
}

func snapshotWrite(state *State, conf *pb.ConfState, index, term uint64) (*Write, error) {
	data, err := state.Encode()
	if err != nil {
		return nil, err
	}
	b, err := proto.Marshal(&pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: &index, Term: &term}})
	if err != nil {
		return nil, err
	}
	hard, err := proto.Marshal(&pb.HardState{Term: &term, Commit: &index, Vote: new(uint64)})
	return &Write{Hard: hard, Snap: b, Entries: map[uint64][]byte{}}, err
}

// Open continues with the log on disk. onApplied is called for each entry that is applied.
func Open(self string, disk Disk, onApplied func(Applied)) (*Group, error) {
	g := &Group{id: disk.ID, self: self, storage: raft.NewMemoryStorage(), onApplied: onApplied, lastContactTick: map[uint64]uint64{}}
	hard, snap := &pb.HardState{}, &pb.Snapshot{}
	if err := errors.Join(proto.Unmarshal(disk.Hard, hard), proto.Unmarshal(disk.Snap, snap)); err != nil {
		return nil, fmt.Errorf("agree: decode the log on disk: %w", err)
	}
	if !raft.IsEmptySnap(snap) {
		var err error
		if g.state, err = Decode(snap.GetData()); err != nil {
			return nil, err
		}
		if err := g.storage.ApplySnapshot(snap); err != nil {
			return nil, fmt.Errorf("agree: apply the snapshot on disk: %w", err)
		}
		g.confState, g.applied, g.compactedTo = snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	}
	var entries []*pb.Entry
	for i := g.applied + 1; disk.Entries[i] != nil; i++ {
		e := &pb.Entry{}
		if err := proto.Unmarshal(disk.Entries[i], e); err != nil || e.GetIndex() != i {
			return nil, fmt.Errorf("agree: entry %d on disk: %w", i, errors.Join(err, errors.New("malformed, or stored under another index")))
		}
		entries = append(entries, e)
	}
	for i := range disk.Entries {
		if i > g.applied+uint64(len(entries)) {
			return nil, fmt.Errorf("agree: the log on disk has a gap before entry %d", i)
		}
	}
	if err := g.storage.Append(entries); err != nil {
		return nil, fmt.Errorf("agree: append the entries on disk: %w", err)
	}
	if commit := hard.GetCommit(); commit > g.applied+uint64(len(entries)) || commit < g.applied && commit > 0 {
		return nil, fmt.Errorf("agree: the log on disk ends at entry %d, which does not fit committed entry %d",
			g.applied+uint64(len(entries)), commit)
	}
	g.storage.SetHardState(hard)
	return g, g.start()
}

// OpenLearner starts with an empty log, for a gateway that the voters are adding: they send it the state.
func OpenLearner(self string, id uint64, onApplied func(Applied)) (*Group, error) {
	g := &Group{id: id, self: self, storage: raft.NewMemoryStorage(), onApplied: onApplied, lastContactTick: map[uint64]uint64{}}
	return g, g.start()
}
