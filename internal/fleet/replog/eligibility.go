package replog

import (
	"cmp"
	"slices"

	"quillrail/internal/fleet/safeguard"
)

// Verdict says whether a gateway may still use the vote that its disk holds.
type Verdict int

// The verdicts of an Eligibility.
const (
	VerdictPending Verdict = iota // too few gateways have answered
	VerdictVote                   // the gateway may vote as before
	VerdictForfeit                // the disk is outdated: the gateway gives up this vote and gets a new voter ID
)

// Eligibility decides whether a starting gateway may vote with the log on its disk. With a disk that was set back to an
// older copy, the gateway could vote twice in a term or forget entries that it has acknowledged. The gateway's
// incarnation is one more than the number on its disk. A gateway that has observed this incarnation or a later one has
// therefore met a process that wrote to a newer disk.
type Eligibility struct {
	Name        string
	Incarnation uint64 // of this process, derived from the disk
	Voters      []Voter
	answers     map[string]uint64 // highest incarnation of this gateway that each other gateway knows of
}

// NewEligibility returns an Eligibility without any answers.
func NewEligibility(name string, incarnation uint64, voters []Voter) *Eligibility {
	return &Eligibility{Name: name, Incarnation: incarnation, Voters: voters, answers: map[string]uint64{}}
}

// Answer records the highest incarnation of this gateway that another gateway had observed before it received a message
// from this process.
func (c *Eligibility) Answer(from string, incarnation uint64) {
	c.answers[from] = max(c.answers[from], incarnation)
}

// Verdict evaluates the answers so far. The gateways that answered, together with this one, have to be a majority of the
// voters: they then include at least one other member of any majority that a previous process of this gateway took part
// in.
func (c *Eligibility) Verdict() Verdict {
	if !safeguard.Enabled("voter identity") {
		return VerdictVote
	}
	otherVoters, voting := 0, 0
	for _, incarnation := range c.answers {
		if incarnation >= c.Incarnation {
			return VerdictForfeit
		}
	}
	for _, v := range c.Voters {
		if v.Learner {
			continue
		}
		voting++
		if _, ok := c.answers[v.Name]; ok && v.Name != c.Name {
			otherVoters++
		}
	}
	if otherVoters < voting/2 {
		return VerdictPending
	}
	return VerdictVote
}

// Membership decides which voter is added or removed next, one at a time. Voters that have been unavailable for too long
// are replaced, preferably by gateways of halls without a voter.
type Membership struct {
	TargetVoters int   // wanted number of voters
	LostAfterMs  int64 // time without contact after which a voter counts as lost, ms
}

// Candidate is a gateway that votes or could vote.
type Candidate struct {
	Name, Hall string
	ID         uint64 // voter ID of the gateway's disk, 0 if unknown
	Up         bool
	DownForMs  int64
	Behind     uint64 // entries that it has not acknowledged
	Responsive bool   // it has sent the leader a message within the last election timeout
}

// Next returns the next voter change, if one is due; remove says that the voter is to be removed. self is the ID of the
// leader, which is never replaced. all lists the known gateways, including the voters.
func (s Membership) Next(state *State, self uint64, all []Candidate) (voter Voter, remove, ok bool) {
	find := func(id uint64) *Candidate {
		for i := range all {
			if all[i].ID == id {
				return &all[i]
			}
		}
		return nil
	}
	var lost []Voter
	voters, coveredHalls := 0, map[string]bool{}
	for _, voter := range state.Voters {
		c := find(voter.ID)
		switch {
		case voter.ID == self:
		case c == nil && slices.ContainsFunc(all, func(other Candidate) bool {
			return other.Name == voter.Name && other.Up && other.ID != 0
		}):
			lost = append(lost, voter) // the gateway has another disk now
			continue
		case c != nil && !c.Up && c.DownForMs >= s.LostAfterMs:
			lost = append(lost, voter)
			continue
		}
		if coveredHalls[voter.Hall] = true; !voter.Learner {
			voters++
		}
	}
	for _, voter := range state.Voters { // a learner that has caught up becomes a voter
		if c := find(voter.ID); voter.Learner && c != nil && c.Up && c.Responsive && c.Behind < keepEntries/8 && voters < s.TargetVoters {
			voter.Learner = false
			return voter, false, true
		}
	}
	if len(lost) > 0 { // remove lost voters before adding new ones, so that a smaller majority suffices
		return lost[0], true, true
	}
	learning := slices.ContainsFunc(state.Voters, func(voter Voter) bool { return voter.Learner })
	if voters >= s.TargetVoters || learning {
		return voter, false, false
	}
	var available []Candidate
	for _, c := range all {
		if c.Up && c.ID != 0 && state.Voter(c.Name) == nil {
			available = append(available, c)
		}
	}
	if len(available) == 0 {
		return voter, false, false
	}
	slices.SortFunc(available, func(a, b Candidate) int {
		if coveredHalls[a.Hall] != coveredHalls[b.Hall] {
			if coveredHalls[a.Hall] {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return Voter{ID: available[0].ID, Name: available[0].Name, Hall: available[0].Hall, Learner: true}, false, true
}
