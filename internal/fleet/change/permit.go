package change

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Phase is how far a permit has come.
type Phase uint8

// The phases of a permit.
const (
	Asked    Phase = iota // it waits
	Granted               // its holder may use it; nothing is out yet
	Used                  // its things may be out
	Returned              // its holder says that they are back, or are to be used again
)

func (p Phase) String() string {
	return [...]string{"waits", "granted", "out", "coming back"}[min(p, Returned)]
}

// Permit is leave for things to be out.
type Permit struct {
	ID        uint64 // of the entry that asked for it: the order of asking
	Things    []Thing
	Holder    string // the gateway that takes them out, "" for all of the fleet by what the log says
	By, Why   string
	Release   uint64 // that it is a step of, 0 for none
	Emergency bool   // it asked nobody
	Phase     Phase
	Life      uint64 // of the holder when it was used
	Only      bool   // the only copies of a function were among them when it was granted
	Passed    int    // permits that asked later and were granted before
	Back      uint64 // the entry that said that they are back
	At        int64  // of the last phase, Unix ms
}

const (
	maxPermits     = 1024
	maxThings      = 512 // of a permit
	maxPassed      = 8   // a permit that waits for its hall is passed so often at most
	maxEnded       = 64  // that are remembered to be shown
	witnesses      = 2   // gateways that have to see a thing well, where there are as many
	witnessesNamed = 4   // of them in an entry, so that its size does not follow from the fleet's
)

// Ended is a permit that has ended, and how.
type Ended struct {
	Permit
	How string
}

// Context is the place of an entry in the log.
type Context struct {
	Index uint64
	At    int64 // the log's time, Unix ms
}

// State is what is agreed of changes. It is changed by the log's entries alone.
type State struct {
	Limits   Limits
	Things   map[Thing]*Known
	Permits  []*Permit // in the order of asking
	Ended    []Ended
	Releases []*Release
}

// NewState is the state before the first entry.
func NewState(l Limits) *State { return &State{Limits: l, Things: map[Thing]*Known{}} }

// Permit returns the one that has an ID, nil if it has ended.
func (s *State) Permit(id uint64) *Permit {
	for _, p := range s.Permits {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// PermitOf returns the permit that names a thing, nil if none does.
func (s *State) PermitOf(t Thing) *Permit {
	for _, p := range s.Permits {
		if slices.Contains(p.Things, t) {
			return p
		}
	}
	return nil
}

// out reports whether a thing counts as out: by a permit that was granted, or against its will.
func (s *State) out(t Thing) bool {
	if k := s.Things[t]; k != nil && k.Health != Well {
		return true
	}
	p := s.PermitOf(t)
	return p != nil && p.Phase > Asked
}

// Outs are all things that count as out.
func (s *State) Outs() (out []Thing) {
	for _, t := range slices.Sorted(maps.Keys(s.Things)) {
		if s.out(t) {
			out = append(out, t)
		}
	}
	return out
}

// Turn reports why a permit that waits may not be granted now: what asked before goes first, unless only its hall or its
// copies keep it back, there is room for both, and it has not been passed too often.
func (s *State) Turn(p *Permit, m Measure) error {
	_, err := s.turn(p, m)
	return err
}

func (s *State) turn(p *Permit, m Measure) (passes []*Permit, err error) {
	if err := s.Fits(s.takes(p), m); err != nil {
		return nil, err
	}
	for _, q := range s.Permits {
		if q == p {
			break
		}
		if q.Phase != Asked || !share(p, q) {
			continue
		}
		local, _ := s.Fits(q.Things, m).(hallOnly)
		both := slices.Concat(p.Things, q.Things)
		if local.error == nil || q.Passed >= maxPassed || s.sameHall(p, q) || s.fleetFits(both) != nil {
			return nil, fmt.Errorf("permit %d for %s asked before", q.ID, names(q.Things))
		}
		passes = append(passes, q)
	}
	return passes, nil
}

// TakeBack is the entry by which a permit's things may be used again, as of now: one that was not used lapses, one that is in use
// is returned. life is that of who says so. The error says why there is none: it has ended, or comes back already.
func (s *State) TakeBack(id, life uint64, why string) (Proposal, error) {
	p := s.Permit(id)
	switch {
	case p == nil:
		return Proposal{}, fmt.Errorf("permit %d has ended", id)
	case p.Phase <= Granted:
		return Proposal{"lapse", PermitBody{ID: id, Why: why}}, nil
	case p.Phase == Used:
		return Proposal{"return", PermitBody{ID: id, Holder: p.Holder, Life: max(p.Life, life)}}, nil
	}
	return Proposal{}, fmt.Errorf("permit %d %s", id, p.Phase)
}

// takes are the things that go out by a permit: a release that has something started which is out already takes nothing.
func (s *State) takes(p *Permit) []Thing {
	if p.Release == 0 || p.Holder != "" {
		return p.Things
	}
	return slices.DeleteFunc(slices.Clone(p.Things), func(t Thing) bool { k := s.Things[t]; return k != nil && k.Health == Out })
}

// share reports whether two permits draw on one budget.
func share(p, q *Permit) bool {
	for _, a := range p.Things {
		for _, b := range q.Things {
			if a.Kind() == b.Kind() {
				return true
			}
		}
	}
	return false
}

func (s *State) sameHall(p, q *Permit) bool {
	for _, a := range p.Things {
		for _, b := range q.Things {
			if x, y := s.Things[a], s.Things[b]; x != nil && y != nil && x.Hall == y.Hall {
				return true
			}
		}
	}
	return false
}

// fleetFits is Fits by the limits of the whole fleet alone.
func (s *State) fleetFits(things []Thing) error {
	o := *s
	o.Limits.GatewaysHall, o.Limits.WorkersHall, o.Limits.GatewayCalls, o.Limits.WorkerCalls = Limit{}, Limit{}, 0, 0
	return o.Fits(things, Measure{})
}

// waiting are the permits that wait, in their order.
func (s *State) waiting() (out []*Permit) {
	for _, p := range s.Permits {
		if p.Phase == Asked {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *Permit) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
