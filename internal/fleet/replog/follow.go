package replog

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// How entries that are the log's own are marked where they are told to those who follow: no entry of ours begins so.
const (
	seatMark = 0xc1 // msgpack never uses it
	goneMark = 0xc7 // an extension, which is no entry either
)

// seatRaw is the form in which a change of who votes is told.
func seatRaw(id uint64, gone bool, context []byte) []byte {
	mark := byte(seatMark)
	if gone {
		mark = goneMark
	}
	return append(binary.BigEndian.AppendUint64([]byte{mark}, id), context...)
}

// take applies what stands in the log at an index, in the form in which it is told.
func (s *State) take(index uint64, raw []byte) (e *Entry, err error) {
	defer func() {
		if p := recover(); p != nil { // the same at all who apply it
			err = fmt.Errorf("agree: entry %d: %v", index, p)
		}
	}()
	if len(raw) == 0 { // a leader's first
		s.Index = index
		return nil, nil
	}
	if m := raw[0]; (m == seatMark || m == goneMark) && len(raw) >= 9 {
		s.Index = index
		var v Voter
		if len(raw) == 9 {
			return nil, nil
		}
		if err := msgpack.Unmarshal(raw[9:], &v); err != nil || v.ID != binary.BigEndian.Uint64(raw[1:]) {
			return nil, fmt.Errorf("agree: entry %d is not understood", index)
		}
		s.seat(v, m == goneMark)
		return nil, nil
	}
	e = &Entry{}
	if err := msgpack.Unmarshal(raw, e); err != nil {
		s.Index = index
		return nil, fmt.Errorf("agree: entry %d: %w", index, err)
	}
	return e, s.Apply(index, e)
}

// Follower is the copy of one that does not vote.
type Follower struct {
	State *State // nil before anything is known
	seen  func(Applied)
}

// NewFollower begins with what is known, nil for nothing. seen is told of each entry that is applied.
func NewFollower(s *State, seen func(Applied)) *Follower { return &Follower{s, seen} }

// After is the last entry that is known.
func (f *Follower) After() uint64 {
	if f.State == nil {
		return 0
	}
	return f.State.Index
}

// Take applies entries as they are told, the first of them being the one at an index. What is known already is passed over;
// a gap is refused.
func (f *Follower) Take(from uint64, raw [][]byte) error {
	for i, b := range raw {
		index := from + uint64(i)
		switch {
		case index <= f.After():
			continue
		case f.State == nil || index != f.After()+1:
			return fmt.Errorf("agree: entry %d comes after %d", index, f.After())
		}
		e, err := f.State.take(index, b)
		f.seen(Applied{Index: index, Raw: b, Entry: e, Err: err})
	}
	return nil
}

// Newer reports whether a state counts where another one is known.
func Newer(era, index uint64, old *State) bool {
	return old == nil || era > old.Era || era == old.Era && index > old.Index
}

// Replace takes a whole state in place of what is known, if it is newer.
func (f *Follower) Replace(b []byte) error {
	s, err := Decode(b)
	if err != nil {
		return err
	}
	if Newer(s.Era, s.Index, f.State) {
		f.State = s
		f.seen(Applied{Index: s.Index, Whole: true})
	}
	return nil
}
