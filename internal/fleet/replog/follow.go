package replog

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Raft itself puts voter changes into the log. In the form that is sent to followers they begin with one of these bytes,
// with which no encoded Entry begins.
const (
	voterChangeMark  = 0xc1 // unused in MessagePack
	voterRemovalMark = 0xc7 // a MessagePack extension, which is never an Entry
)

// encodeVoterChange returns a voter change in the form that is sent to followers.
func encodeVoterChange(id uint64, remove bool, context []byte) []byte {
	mark := byte(voterChangeMark)
	if remove {
		mark = voterRemovalMark
	}
	return append(binary.BigEndian.AppendUint64([]byte{mark}, id), context...)
}

// applyRaw applies the log entry with the given index, in the form that is sent to followers. It returns the entry if it
// is not one of raft's own.
func (s *State) applyRaw(index uint64, raw []byte) (e *Entry, err error) {
	defer func() {
		if p := recover(); p != nil { // the panic is the same at every gateway that applies the entry
			err = fmt.Errorf("agree: entry %d: %v", index, p)
		}
	}()
	if len(raw) == 0 { // the empty entry that a new leader commits first
		s.Index = index
		return nil, nil
	}
	if m := raw[0]; (m == voterChangeMark || m == voterRemovalMark) && len(raw) >= 9 {
		s.Index = index
		var v Voter
		if len(raw) == 9 {
			return nil, nil
		}
		if err := msgpack.Unmarshal(raw[9:], &v); err != nil || v.ID != binary.BigEndian.Uint64(raw[1:]) {
			return nil, fmt.Errorf("agree: entry %d: malformed voter change", index)
		}
		s.applyVoterChange(v, m == voterRemovalMark)
		return nil, nil
	}
	e = &Entry{}
	if err := msgpack.Unmarshal(raw, e); err != nil {
		s.Index = index
		return nil, fmt.Errorf("agree: entry %d: %w", index, err)
	}
	return e, s.Apply(index, e)
}

// Follower is the copy of the state at a gateway that does not vote.
type Follower struct {
	State     *State // nil before any state has been received
	onApplied func(Applied)
}

// NewFollower returns a follower that starts with the given state, nil for none. onApplied is called for each entry that
// is applied.
func NewFollower(s *State, onApplied func(Applied)) *Follower { return &Follower{s, onApplied} }

// LastIndex returns the index of the last entry that has been applied.
func (f *Follower) LastIndex() uint64 {
	if f.State == nil {
		return 0
	}
	return f.State.Index
}

// ApplyEntries applies raw entries, the first of which has index from. Entries that have been applied already are
// skipped; a gap is an error.
func (f *Follower) ApplyEntries(from uint64, raw [][]byte) error {
	for i, b := range raw {
		index := from + uint64(i)
		switch {
		case index <= f.LastIndex():
			continue
		case f.State == nil || index != f.LastIndex()+1:
			return fmt.Errorf("agree: gap in the entries: got entry %d after entry %d", index, f.LastIndex())
		}
		e, err := f.State.applyRaw(index, b)
		f.onApplied(Applied{Index: index, Raw: b, Entry: e, Err: err})
	}
	return nil
}

// Newer reports whether a state with the given era and index is newer than another one.
func Newer(era, index uint64, old *State) bool {
	return old == nil || era > old.Era || era == old.Era && index > old.Index
}

// Replace decodes a whole state and uses it in place of the current one if it is newer.
func (f *Follower) Replace(b []byte) error {
	s, err := Decode(b)
	if err != nil {
		return err
	}
	if Newer(s.Era, s.Index, f.State) {
		f.State = s
		f.onApplied(Applied{Index: s.Index, Snapshot: true})
	}
	return nil
}
