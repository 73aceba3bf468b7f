// Package replog implements the decision log that a fleet of gateways shares: an ordered log that a few voting gateways
// replicate and that all gateways follow. State is the value that results from applying the entries of the log. Neither
// State nor Group uses a clock, a disk or the network itself: Group, one voter's part of the replication, runs etcd's
// raft on the ticks, messages and disk contents that its caller passes in.
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

// Level is the newest level of entries that this program understands. A fleet uses only entry kinds that all of its
// gateways understand.
const Level = 1

// Voter is a gateway that votes, or a learner that is to become one. ID is drawn when the gateway's disk is empty, so a
// gateway with another disk is another voter.
type Voter struct {
	ID      uint64
	Name    string
	Hall    string
	Learner bool
	At      int64 // time of the last change of this voter, Unix ms
}

// Rules are settings that all gateways share. They are agreed through the log.
type Rules struct {
	ClockBoundMs  int64 // upper bound on the error of every gateway's clock, ms
	FreezeAheadMs int64 // minimum time between the declaration of a freeze and its start, ms
}

// DefaultRules are the rules of a fleet that has not configured any.
var DefaultRules = Rules{ClockBoundMs: 500, FreezeAheadMs: 60_000}

// State is what the fleet has agreed on. Only Apply and voter changes modify it, so the same entries always give the
// same state.
type State struct {
	Level     int
	Era       uint64 // incremented each time operators rebuild the log without its majority
	Index     uint64 // index of the last applied entry
	At        int64  // time of the log, Unix ms; it never decreases
	Voters    []Voter
	Rules     Rules
	Names     site.KnownNames              // tenants, classes and halls that restrictions may refer to
	Proposers map[string]*AppliedProposals `json:"Said"` // by gateway
	Change    *change.State
	Freeze    *freeze.State
	Site      *site.State
}

// AppliedProposals records which proposals of a gateway have been applied: a proposal may arrive more than once and must
// be applied only once.
type AppliedProposals struct {
	Incarnation uint64 `json:"Life"` // of the gateway's process
	Highest     uint64 `json:"Top"`  // highest sequence number that has been applied
	Mask        uint64 // bit k is set if sequence number Highest-k has been applied
	Index       uint64 // index of the gateway's latest entry
}

const (
	proposalWindow = 64   // sequence numbers, up to the highest one, that are remembered for each gateway
	maxProposers   = 4096 // gateways whose proposals are remembered
	maxEntryBytes  = 256 << 10
)

// NewState returns the state before the first entry.
func NewState(names site.KnownNames, rules Rules, limits change.Limits) *State {
	return &State{Level: Level, Rules: rules, Names: names, Proposers: map[string]*AppliedProposals{},
		Change: change.NewState(limits), Freeze: &freeze.State{}, Site: &site.State{}}
}

// Clock returns the time of the log together with the bound on clock errors.
func (s *State) Clock() freeze.Clock {
	return freeze.Clock{At: time.UnixMilli(s.At), Bound: time.Duration(s.Rules.ClockBoundMs) * time.Millisecond}
}

// Encode returns the state as JSON, which is deterministic because JSON sorts the keys of maps.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode parses an encoded state.
func Decode(b []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("agree: state: %w", err)
	}
	if s.Change == nil || s.Freeze == nil || s.Site == nil || s.Proposers == nil || s.Change.Subjects == nil {
		return nil, fmt.Errorf("agree: a state without its parts")
	}
	return s, nil
}

// Hash returns a hash of the encoded state. Gateways that have applied the same entries have the same hash.
func (s *State) Hash() uint64 {
	b, err := s.Encode()
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// Voting returns the voters without the learners.
func (s *State) Voting() (out []Voter) {
	return slices.DeleteFunc(slices.Clone(s.Voters), func(v Voter) bool { return v.Learner })
}

// Voter returns the voter or learner with the given name, nil if there is none.
func (s *State) Voter(name string) *Voter {
	for i := range s.Voters {
		if s.Voters[i].Name == name {
			return &s.Voters[i]
		}
	}
	return nil
}

// isMember reports whether a voter or learner has the given ID.
func (s *State) isMember(id uint64) bool {
	return slices.ContainsFunc(s.Voters, func(v Voter) bool { return v.ID == id })
}

// applyVoterChange adds, updates or removes a voter. Such changes come as entries of raft itself.
func (s *State) applyVoterChange(v Voter, remove bool) {
	i := slices.IndexFunc(s.Voters, func(o Voter) bool { return o.ID == v.ID })
	switch {
	case remove && i >= 0:
		s.Voters = slices.Delete(s.Voters, i, i+1)
	case remove:
	case i >= 0:
		s.Voters[i] = v
	default:
		s.Voters = append(s.Voters, v)
		slices.SortFunc(s.Voters, func(a, b Voter) int { return int(int64(a.ID>>1) - int64(b.ID>>1)) })
	}
}

// recordProposal reports whether a proposal has not been applied yet, and records it as applied.
func (s *State) recordProposal(from string, incarnation, seq uint64) bool {
	applied := s.Proposers[from]
	if applied == nil {
		if len(s.Proposers) >= maxProposers { // forget the gateway whose last proposal is the oldest
			var oldest string
			for name, o := range s.Proposers {
				if oldest == "" || o.Index < s.Proposers[oldest].Index || o.Index == s.Proposers[oldest].Index && name < oldest {
					oldest = name
				}
			}
			delete(s.Proposers, oldest)
		}
		applied = &AppliedProposals{}
		s.Proposers[from] = applied
	}
	applied.Index = s.Index
	switch {
	case incarnation < applied.Incarnation:
		return false
	case incarnation > applied.Incarnation:
		applied.Incarnation, applied.Highest, applied.Mask = incarnation, seq, 1
		return true
	case seq > applied.Highest:
		if d := seq - applied.Highest; d < proposalWindow {
			applied.Mask = applied.Mask<<d | 1
		} else {
			applied.Mask = 1
		}
		applied.Highest = seq
		return true
	case s.HasApplied(from, incarnation, seq):
		return false
	}
	applied.Mask |= 1 << (applied.Highest - seq)
	return true
}

// HasApplied reports whether a proposal of a gateway has been applied. One that is so old that it is not remembered counts as applied.
func (s *State) HasApplied(from string, incarnation, seq uint64) bool {
	applied := s.Proposers[from]
	if applied == nil || applied.Incarnation != incarnation || seq > applied.Highest {
		return false
	}
	age := applied.Highest - seq
	return age >= proposalWindow || applied.Mask>>age&1 == 1
}

// freezeNotice returns how long before its start a freeze has to be declared.
func (s *State) freezeNotice() time.Duration {
	return time.Duration(s.Rules.FreezeAheadMs) * time.Millisecond
}
