package replog

import (
	"cmp"
	"slices"

	"quillrail/internal/fleet/safeguard"
)

// Verdict is what becomes of the vote that a gateway's disk holds.
type Verdict int

// The verdicts.
const (
	Wait     Verdict = iota // too few have answered
	May                     // it votes as it did
	Forfeits                // its disk is not the newest: the vote is given up, and the gateway is another one
)

// Eligibility decides whether a gateway that starts may vote by its disk: a disk that came back older would vote a second time, or
// not know what it had promised to keep. Its incarnation is one more than the one on the disk, so that anybody who has
// heard of this one or a later one has met a process that wrote to a newer disk.
type Eligibility struct {
	Name   string
	Life   uint64 // of this process, as it follows from the disk
	Voters []Voter
	heard  map[string]uint64
}

// NewEligibility begins one: nobody has answered.
func NewEligibility(name string, life uint64, voters []Voter) *Eligibility {
	return &Eligibility{Name: name, Life: life, Voters: voters, heard: map[string]uint64{}}
}

// Answer takes the highest incarnation of this gateway that another one knows of, before it heard of this process.
func (c *Eligibility) Answer(from string, life uint64) { c.heard[from] = max(c.heard[from], life) }

// Verdict is what follows from the answers so far. With itself those who have answered have to be a majority of the voters:
// one of any majority that a former life took part in is then among them, itself left out.
func (c *Eligibility) Verdict() Verdict {
	if !safeguard.Enabled("voter identity") {
		return May
	}
	others, voting := 0, 0
	for _, life := range c.heard {
		if life >= c.Life {
			return Forfeits
		}
	}
	for _, v := range c.Voters {
		if v.Learner {
			continue
		}
		voting++
		if _, ok := c.heard[v.Name]; ok && v.Name != c.Name {
			others++
		}
	}
	if others < voting/2 {
		return Wait
	}
	return May
}

// Membership decides who is taken in and who is removed, one at a time: voters that are out for long are replaced, by gateways
// of halls without a voter first.
type Membership struct {
	Want   int   // voters
	LostMs int64 // after so long a voter counts as lost
}

// Candidate is a gateway that could vote, with its disk's number.
type Candidate struct {
	Name, Hall string
	ID         uint64
	Up         bool
	DownFor    int64 // ms
	Behind     uint64
	Listens    bool // it has acknowledged entries of late
}

// Next returns the next change, if one is due. all are the gateways that are known of, voters among them.
func (s Membership) Next(state *State, self uint64, all []Candidate) (v Voter, gone, ok bool) {
	find := func(id uint64) *Candidate {
		for i := range all {
			if all[i].ID == id {
				return &all[i]
			}
		}
		return nil
	}
	var lost []Voter
	voting, halls := 0, map[string]bool{}
	for _, v := range state.Voters {
		c := find(v.ID)
		switch {
		case v.ID == self:
		case c == nil && slices.ContainsFunc(all, func(o Candidate) bool { return o.Name == v.Name && o.Up && o.ID != 0 }):
			lost = append(lost, v) // its name has another disk
			continue
		case c != nil && !c.Up && c.DownFor >= s.LostMs:
			lost = append(lost, v)
			continue
		}
		if halls[v.Hall] = true; !v.Learner {
			voting++
		}
	}
	for _, v := range state.Voters { // one that has learnt all becomes a voter
		if c := find(v.ID); v.Learner && c != nil && c.Up && c.Listens && c.Behind < keepEntries/8 && voting < s.Want {
			v.Learner = false
			return v, false, true
		}
	}
	if len(lost) > 0 { // what is lost goes first: a majority is then easier to have, not harder
		return lost[0], true, true
	}
	learning := slices.ContainsFunc(state.Voters, func(v Voter) bool { return v.Learner })
	if voting >= s.Want || learning {
		return v, false, false
	}
	var can []Candidate
	for _, c := range all {
		if c.Up && c.ID != 0 && state.Voter(c.Name) == nil {
			can = append(can, c)
		}
	}
	if len(can) == 0 {
		return v, false, false
	}
	slices.SortFunc(can, func(a, b Candidate) int {
		if halls[a.Hall] != halls[b.Hall] {
			if halls[a.Hall] {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return Voter{ID: can[0].ID, Name: can[0].Name, Hall: can[0].Hall, Learner: true}, false, true
}
