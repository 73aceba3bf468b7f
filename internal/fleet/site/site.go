// Package site decides at which sites a call may run. It implements restrictions of calls to sites, sessions that stay at one site,
// and epochs, in each of which all gateways regard the same sites as up. It does no I/O. A site is
// a hall, given by its name.
package site

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// State is what the gateways have agreed on. Only entries of the replicated log change it.
type State struct {
	Rules            []*Restriction
	Epoch            uint64   // increases with each change that can move calls or sessions
	Down             []string // sites that are agreed to be lost, or that an operator has closed
	ClosedByOperator []string `json:"Hand"` // those of Down that only an operator can open again
}

// intersect returns the names that are in both a and b. If a is nil it stands for all names.
func intersect(a, b []string) []string {
	if a == nil {
		return b
	}
	return slices.DeleteFunc(slices.Clone(a), func(n string) bool { return !slices.Contains(b, n) })
}

// subtract returns the names in a that are not in b.
func subtract(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(n string) bool { return slices.Contains(b, n) })
}

// Declare adds a restriction, or changes the sites of an existing one. Sites that are no longer allowed are removed at once. Sites
// that are newly allowed are added by ApplyLoosening, when all serving gateways have received the change.
func (s *State) Declare(r *Restriction) error {
	i := slices.IndexFunc(s.Rules, func(other *Restriction) bool { return other.Name == r.Name })
	if i < 0 {
		if len(s.Rules) >= maxRules {
			return fmt.Errorf("%d restrictions are declared already", maxRules)
		}
		if err := s.checkCompatible(r); err != nil {
			return err
		}
		r.PinSites = r.Sites
		s.Rules = append(s.Rules, r)
		return s.beginEpoch()
	}
	old := s.Rules[i]
	if !slices.Equal(old.Tenants, r.Tenants) || !slices.Equal(old.Classes, r.Classes) ||
		!slices.Equal(old.Functions, r.Functions) || old.Pin != r.Pin {
		return fmt.Errorf("%s is for other calls: declare another restriction, then take this one back", r.Name)
	}
	strict := intersect(old.Sites, r.Sites)
	if len(strict) == 0 {
		return fmt.Errorf("%s allows %v now: nothing would be allowed until all have heard; allow both first", r.Name, old.Sites)
	}
	r.PendingSites = nil
	if len(strict) < len(r.Sites) {
		r.PendingSites = r.Sites
	}
	r.Sites, r.PinSites = strict, intersect(old.PinSites, strict)
	s.Rules[i] = r
	if err := s.checkCompatible(r); err != nil {
		s.Rules[i] = old
		return err
	}
	return s.beginEpoch()
}

// Lift marks a restriction as lifted. ApplyLoosening removes it, when all serving gateways have received the log entry whose index
// is given.
func (s *State) Lift(name string, entry uint64) error {
	for _, r := range s.Rules {
		if r.Name == name {
			r.Lifted, r.ID = true, entry
			return nil
		}
	}
	return fmt.Errorf("no restriction %s is declared", name)
}

// PendingLoosening returns the restrictions that are to be loosened or removed once all serving gateways have received that.
func (s *State) PendingLoosening() (out []*Restriction) {
	for _, r := range s.Rules {
		if r.Lifted || r.PendingSites != nil {
			out = append(out, r)
		}
	}
	return out
}

// ApplyLoosening removes a lifted restriction, or adds the pending sites of a changed one. It is called when all serving gateways
// have received the change.
func (s *State) ApplyLoosening(name string) error {
	i := slices.IndexFunc(s.Rules, func(r *Restriction) bool { return r.Name == name })
	switch {
	case i < 0:
		return fmt.Errorf("no restriction %s is declared", name)
	case s.Rules[i].Lifted:
		s.Rules = slices.Delete(s.Rules, i, i+1)
	case s.Rules[i].PendingSites != nil:
		s.Rules[i].Sites, s.Rules[i].PendingSites = s.Rules[i].PendingSites, nil
	default:
		return nil
	}
	return s.beginEpoch()
}

// MarkDown records that a site is agreed to be lost, or that an operator has closed it. Its sessions move once, at all gateways
// alike.
func (s *State) MarkDown(hall string, byOperator bool) error {
	if byOperator && slices.Contains(s.Down, hall) && !slices.Contains(s.ClosedByOperator, hall) {
		s.ClosedByOperator = append(s.ClosedByOperator, hall)
		return nil
	}
	if slices.Contains(s.Down, hall) {
		return fmt.Errorf("%s is down already", hall)
	}
	if s.Down = append(s.Down, hall); byOperator {
		s.ClosedByOperator = append(s.ClosedByOperator, hall)
	}
	return s.beginEpoch()
}

// MarkUp records that a lost site serves again. Sessions stay where they are, except for those that have no other site.
func (s *State) MarkUp(hall string) error {
	if !slices.Contains(s.Down, hall) {
		return fmt.Errorf("%s is not down", hall)
	}
	if slices.Contains(s.ClosedByOperator, hall) {
		return fmt.Errorf("%s was closed by hand: an operator opens it", hall)
	}
	s.Down = subtract(s.Down, []string{hall})
	return s.beginEpoch()
}

// Open lets a site take sessions of all restrictions that allow it, including the sessions that it had before it was lost or closed.
// A site that is in fact still lost has to be detected and marked down again.
func (s *State) Open(hall string) error {
	opened := slices.Contains(s.Down, hall)
	s.ClosedByOperator, s.Down = subtract(s.ClosedByOperator, []string{hall}), subtract(s.Down, []string{hall})
	for _, r := range s.Rules {
		if r.Pin && slices.Contains(r.Sites, hall) && !slices.Contains(r.PinSites, hall) {
			r.PinSites, opened = append(slices.Clone(r.PinSites), hall), true
		}
	}
	if !opened {
		return fmt.Errorf("%s is open to all sessions that may be there", hall)
	}
	return s.beginEpoch()
}

// beginEpoch begins a new epoch. Sites that are down take no sessions from now on. If that leaves a restriction no site for its
// sessions, all its sites that are up take them.
func (s *State) beginEpoch() error {
	s.Epoch++
	for _, r := range s.Rules {
		if r.PinSites = subtract(r.PinSites, s.Down); len(r.PinSites) == 0 {
			r.PinSites = subtract(r.Sites, s.Down)
		}
	}
	return nil
}

// Placement states where a call may run.
type Placement struct {
	Restricted bool
	Sites      []string // empty although Restricted: the call may run nowhere at present
	Pinned     bool     // Sites holds only the site of its session
	Epoch      uint64
}

// Place returns where a call may run, by all restrictions that match it. own are further restrictions of this gateway.
func (s *State) Place(c Call, own []*Restriction) Placement {
	p := Placement{Epoch: s.Epoch}
	var pins []string
	for _, r := range slices.Concat(s.Rules, own) {
		if !r.Matches(c) {
			continue
		}
		p.Restricted, p.Sites = true, intersect(p.Sites, r.Sites)
		if p.Pinned = p.Pinned || r.Pin; r.Pin && r.PinSites != nil {
			pins = intersect(pins, r.PinSites)
		}
	}
	if p.Pinned = p.Pinned && c.Session != ""; !p.Pinned {
		return p
	}
	up := subtract(p.Sites, s.Down)
	if at := Rendezvous(c.Session, intersect(pins, up)); at != "" {
		p.Sites = []string{at}
	} else if at := Rendezvous(c.Session, up); at != "" {
		p.Sites = []string{at}
	} else {
		p.Sites = nil
	}
	return p
}

// Rendezvous returns the site of a session by highest random weight hashing (Thaler and Ravishankar, 1998), "" if sites is empty. All
// gateways choose the same site, and the loss of a site moves only its own sessions.
func Rendezvous(session string, sites []string) (best string) {
	var highest uint64
	for _, site := range sites {
		h := fnv.New64a()
		h.Write([]byte(site))
		h.Write([]byte{0})
		h.Write([]byte(session))
		weight := h.Sum64()
		weight = (weight ^ weight>>30) * 0xbf58476d1ce4e5b9 // finalizer of splitmix64: FNV alone gives similar high bits for short names
		weight = (weight ^ weight>>27) * 0x94d049bb133111eb
		if weight ^= weight >> 31; best == "" || weight > highest || weight == highest && site < best {
			best, highest = site, weight
		}
	}
	return best
}
