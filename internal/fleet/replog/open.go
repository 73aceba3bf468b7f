package replog

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Envelope is a message to another voter.
type Envelope struct {
	To   uint64
	Body []byte
}

// Disk is what a voter has on disk: its log and what that log begins with.
type Disk struct {
	ID      uint64 // the disk's own number, drawn when it was empty
	Hard    []byte // raft's term, vote and commit
	Snap    []byte // raft's snapshot: the state and who votes, as of an entry
	Entries map[uint64][]byte
}

// Write is what has to be on disk before Group goes on. A nil value removes.
type Write struct {
	Hard, Snap []byte            // nil: as they are
	Entries    map[uint64][]byte // by index
}

// Output is what a Group wants done. Where Write is not nil, Mail is sent and Written called once it is on disk, and nothing
// else comes meanwhile.
type Output struct {
	Write *Write
	Mail  []Envelope
}

// Applied is an entry of the log that has been applied, and what came of it; Entry is nil for raft's own. Whole says that it
// is a state that has been taken in place of what was known.
type Applied struct {
	Index uint64
	Whole bool
	Raw   []byte
	Entry *Entry
	Err   error
}

// Found begins a log with its first voters, and returns what each of them has to have on disk before it takes part.
func Found(state *State, voters []Voter) (*Write, error) {
	state.Index, state.Voters = state.Index+1, nil
	conf := &pb.ConfState{}
	for _, v := range voters {
		state.seat(v, false)
		conf.Voters = append(conf.Voters, v.ID)
	}
	return snapWrite(state, conf, state.Index, 1)
}

func snapWrite(state *State, conf *pb.ConfState, index, term uint64) (*Write, error) {
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

// Open takes part again with what is on disk. seen is told of each entry that is applied.
func Open(self string, d Disk, seen func(Applied)) (*Group, error) {
	g := &Group{id: d.ID, self: self, mem: raft.NewMemoryStorage(), seen: seen, answered: map[uint64]uint64{}}
	hard, snap := &pb.HardState{}, &pb.Snapshot{}
	if err := errors.Join(proto.Unmarshal(d.Hard, hard), proto.Unmarshal(d.Snap, snap)); err != nil {
		return nil, fmt.Errorf("agree: log on disk: %w", err)
	}
	if !raft.IsEmptySnap(snap) {
		var err error
		if g.state, err = Decode(snap.GetData()); err != nil {
			return nil, err
		}
		if err := g.mem.ApplySnapshot(snap); err != nil {
			return nil, fmt.Errorf("agree: log on disk: %w", err)
		}
		g.conf, g.applied, g.cut = snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	}
	var entries []*pb.Entry
	for i := g.applied + 1; d.Entries[i] != nil; i++ {
		e := &pb.Entry{}
		if err := proto.Unmarshal(d.Entries[i], e); err != nil || e.GetIndex() != i {
			return nil, fmt.Errorf("agree: entry %d on disk: %w", i, errors.Join(err, errors.New("not what was written")))
		}
		entries = append(entries, e)
	}
	for i := range d.Entries {
		if i > g.applied+uint64(len(entries)) {
			return nil, fmt.Errorf("agree: the log on disk has a gap before entry %d", i)
		}
	}
	if err := g.mem.Append(entries); err != nil {
		return nil, fmt.Errorf("agree: log on disk: %w", err)
	}
	if c := hard.GetCommit(); c > g.applied+uint64(len(entries)) || c < g.applied && c > 0 {
		return nil, fmt.Errorf("agree: the log on disk ends at %d, and %d is committed", g.applied+uint64(len(entries)), c)
	}
	g.mem.SetHardState(hard)
	return g, g.start()
}

// Learn begins with nothing, for one that the voters are taking in: they send what it has to know.
func Learn(self string, id uint64, seen func(Applied)) (*Group, error) {
	g := &Group{id: id, self: self, mem: raft.NewMemoryStorage(), seen: seen, answered: map[uint64]uint64{}}
	return g, g.start()
}
