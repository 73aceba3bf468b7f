// Package replog is what a fleet of gateways has agreed: an ordered log of decisions, held by a few of them that vote, and
// followed by all. State is the one value that the log's entries come to; it is pure, and so is Group, a voter's part, which
// runs etcd's raft with the time, the messages and the disk handed in.
package replog

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/freeze"
	"quillrail/internal/fleet/site"
)

// Level is the newest kind of entry that this program understands; a fleet uses those that all of it do.
const Level = 1

// Voter is a gateway that votes, or learns to. Its number is drawn when its disk was empty: another disk is another voter.
type Voter struct {
	ID      uint64
	Name    string
	Hall    string
	Learner bool
	At      int64 // of the last change, Unix ms
}

// Rules are settings that all share. They are agreed like all else.
type Rules struct {
	ClockBoundMs  int64 // no clock is off from true time by more
	FreezeAheadMs int64 // a freeze is declared so long before it begins
}

// DefaultRules are those of a fleet that was told nothing else.
var DefaultRules = Rules{ClockBoundMs: 500, FreezeAheadMs: 60_000}

// State is what is agreed. It is changed by Apply alone: same entries, same state.
type State struct {
	Level  int
	Era    uint64 // grows when an agreement is begun anew without its majority
	Index  uint64 // of the last entry
	At     int64  // its time, Unix ms; it never goes back
	Voters []Voter
	Rules  Rules
	Names  site.KnownNames // what restrictions may name
	Said   map[string]*Said
	Change *change.State
	Freeze *freeze.State
	Site   *site.State
}

// Said is which proposals of a gateway have been applied: a proposal may come twice, and counts once.
type Said struct {
	Life, Top uint64
	Mask      uint64 // bit k: Top-k has been
	Index     uint64
}

const (
	window   = 64   // proposals that a gateway may have under way
	maxSaid  = 4096 // gateways that are remembered
	maxEntry = 256 << 10
)

// NewState is the state before the first entry.
func NewState(names site.KnownNames, rules Rules, limits change.Limits) *State {
	return &State{Level: Level, Rules: rules, Names: names, Said: map[string]*Said{}, Change: change.NewState(limits), Freeze: &freeze.State{},
		Site: &site.State{}}
}

// Clock is the log's time with the bound on clocks.
func (s *State) Clock() freeze.Clock {
	return freeze.Clock{At: time.UnixMilli(s.At), Bound: time.Duration(s.Rules.ClockBoundMs) * time.Millisecond}
}

// Encode returns the state as bytes, the same for the same state: JSON, which has the keys of maps in order.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads a state.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("agree: state: %w", err)
	}
	if s.Change == nil || s.Freeze == nil || s.Site == nil || s.Said == nil || s.Change.Things == nil {
		return nil, fmt.Errorf("agree: a state without its parts")
	}
	return s, nil
}

// Hash is that of the state: two gateways that applied the same entries have the same.
func (s *State) Hash() uint64 {
	b, err := s.Encode()
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// Voting are the voters that vote.
func (s *State) Voting() (out []Voter) {
	return slices.DeleteFunc(slices.Clone(s.Voters), func(v Voter) bool { return v.Learner })
}

// Voter returns the one of a name, nil if it is none.
func (s *State) Voter(name string) *Voter {
	for i := range s.Voters {
		if s.Voters[i].Name == name {
			return &s.Voters[i]
		}
	}
	return nil
}

// votes reports whether a number is a voter's or a learner's.
func (s *State) votes(id uint64) bool {
	return slices.ContainsFunc(s.Voters, func(v Voter) bool { return v.ID == id })
}

// seat takes a change of who votes: it comes with the log's own entries.
func (s *State) seat(v Voter, gone bool) {
	i := slices.IndexFunc(s.Voters, func(o Voter) bool { return o.ID == v.ID })
	switch {
	case gone && i >= 0:
		s.Voters = slices.Delete(s.Voters, i, i+1)
	case gone:
	case i >= 0:
		s.Voters[i] = v
	default:
		s.Voters = append(s.Voters, v)
		slices.SortFunc(s.Voters, func(a, b Voter) int { return int(int64(a.ID>>1) - int64(b.ID>>1)) })
	}
}

// once reports whether a proposal has not been applied yet, and notes it.
func (s *State) once(from string, life, seq uint64) bool {
	x := s.Said[from]
	if x == nil {
		if len(s.Said) >= maxSaid { // the one that is silent longest
			var oldest string
			for name, o := range s.Said {
				if oldest == "" || o.Index < s.Said[oldest].Index || o.Index == s.Said[oldest].Index && name < oldest {
					oldest = name
				}
			}
			delete(s.Said, oldest)
		}
		x = &Said{}
		s.Said[from] = x
	}
	x.Index = s.Index
	switch {
	case life < x.Life:
		return false
	case life > x.Life:
		x.Life, x.Top, x.Mask = life, seq, 1
		return true
	case seq > x.Top:
		if d := seq - x.Top; d < window {
			x.Mask = x.Mask<<d | 1
		} else {
			x.Mask = 1
		}
		x.Top = seq
		return true
	case x.Top-seq >= window || x.Mask>>(x.Top-seq)&1 == 1:
		return false
	}
	x.Mask |= 1 << (x.Top - seq)
	return true
}

// ahead is how long before its begin a freeze has to be declared.
func (s *State) ahead() time.Duration { return time.Duration(s.Rules.FreezeAheadMs) * time.Millisecond }
