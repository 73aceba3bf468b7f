package change

import (
	"fmt"
	"maps"
	"slices"
)

// Observation is what the gateways' reports come to for one thing, as of now.
type Observation struct {
	Hall            string
	Health          Health
	Life            uint64
	Version, Config string
	Witnesses       []string
	Left            bool // a gateway that said that it leaves for good
}

// View is what who drives sees.
type View struct {
	Context
	Measure
	Self     string
	Things   map[Thing]Observation // those of which anything was heard; others are out
	Samples  map[string]Sample     // by gateway
	Classes  int
	Lonely   int64  // ms without a majority before this gateway began to lead, until it has driven once
	Frozen   string // the period that forbids releases now, "" for none
	FreezeIn int64  // ms until the next one does, 0 for none known
}

// Proposal is an entry that is proposed.
type Proposal struct {
	Kind string
	Body any
}

// Bodies of entries that the driver proposes.
type (
	SeeBody   struct{ Seen []Seen }
	GrantBody struct {
		ID      uint64
		Measure Measure
	}
	PermitBody struct {
		ID     uint64
		Why    string
		Holder string
		Life   uint64
	}
	HaltBody struct {
		ID     uint64
		Reason string
	}
)

const (
	waitLimit = 60_000 // ms for a holder that is out to come back to what it waits for
	useLimit  = 10_000 // ms for a holder to use a grant
	lonelyMax = 5_000  // ms without a majority after which a release does not go on by itself
	seeMost   = 256    // things in one entry
)

// Driver makes the fleet go on: it belongs to the gateway that leads the agreement, and has to see each of its proposals
// applied or failed before it is asked again.
type Driver struct {
	judge   *Judge
	of      uint64 // the release and
	batch   int    // batch that judge is for
	fed     int64
	usual   map[string][]Tally
	last    map[string]Counts
	reading int64
}

// NewDriver returns one that has seen nothing.
func NewDriver() *Driver { return &Driver{usual: map[string][]Tally{}, last: map[string]Counts{}} }

const feedEvery = 1000 // ms between two looks at the counts

// Drive returns what is to be proposed now.
func (d *Driver) Drive(s *State, v *View) (out []Proposal) {
	if seen := sightings(s, v); len(seen) > 0 {
		out = append(out, Proposal{"see", SeeBody{seen}})
	}
	out = append(out, permits(s, v)...)
	d.learn(s, v)
	if r := s.Current(); r != nil {
		out = append(out, d.release(s, r, v)...)
	}
	return out
}

// sightings are the things of which something else is seen than is agreed, and those that have to be seen anew.
func sightings(s *State, v *View) (out []Seen) {
	all := slices.Sorted(maps.Keys(s.Things))
	for _, t := range slices.Sorted(maps.Keys(v.Things)) {
		if s.Things[t] == nil {
			all = append(all, t)
		}
	}
	for _, t := range all {
		if len(out) == seeMost {
			break
		}
		k, sight := s.Things[t], v.Things[t]
		x := Seen{Thing: t, Known: Known{Hall: sight.Hall, Health: sight.Health, Life: sight.Life, Version: sight.Version, Config: sight.Config},
			Witnesses: sight.Witnesses[:min(len(sight.Witnesses), witnessesNamed)]}
		if k == nil {
			if x.Health != Well || s.missing(x) == 0 {
				out = append(out, x)
			}
			continue
		}
		if sight.Hall == "" { // nothing is heard of it: as it was, and out
			x.Known = *k
			x.Health = Out
			if sight.Left && s.PermitOf(t) == nil {
				x.Forget = true
				out = append(out, x)
				continue
			}
		}
		if x.Health == Well && s.missing(x) > 0 {
			x.Health = Cold // nobody else has seen it well
		}
		p := s.PermitOf(t)
		anew := p != nil && p.Phase == Returned && k.Index <= p.Back && x.Health == Well
		if anew || x.Health != k.Health || x.Life != k.Life || x.Version != k.Version || x.Config != k.Config || x.Hall != k.Hall {
			out = append(out, x)
		}
	}
	return out
}

// permits are the steps of permits that are due.
func permits(s *State, v *View) (out []Proposal) {
	granted := false
	for _, p := range s.Permits {
		gone := p.Holder != "" && v.Things[Of(Gateway, p.Holder)].Health == Out
		switch p.Phase {
		case Asked:
			if gone { // it keeps its place for a while: a holder may have said nothing for a moment
				if k := s.Things[Of(Gateway, p.Holder)]; k == nil || k.Health == Out && v.At-k.At > waitLimit {
					out = append(out, Proposal{"lapse", PermitBody{ID: p.ID, Why: p.Holder + " is out, and holds it"}})
				}
			} else if !granted && s.Turn(p, v.Measure) == nil {
				granted = true // the next one is judged by what this has left
				out = append(out, Proposal{"grant", GrantBody{p.ID, v.Measure}})
			}
		case Granted:
			switch {
			case p.Holder == "":
				out = append(out, Proposal{"use", PermitBody{ID: p.ID}})
			case v.At-p.At > useLimit:
				out = append(out, Proposal{"lapse", PermitBody{ID: p.ID, Why: "it was not used"}})
			}
		case Used:
			if r := s.releaseOf(p); r != nil && s.reached(r, p, v) {
				out = append(out, Proposal{"return", PermitBody{ID: p.ID, Holder: p.Holder, Life: v.Things[p.Things[0]].Life}})
			}
		case Returned:
			if !slices.ContainsFunc(p.Things, func(t Thing) bool {
				k := s.Things[t]
				return k != nil && (k.Health != Well || k.Index <= p.Back)
			}) {
				out = append(out, Proposal{"end", PermitBody{ID: p.ID}})
			}
		}
	}
	return out
}

func (s *State) releaseOf(p *Permit) *Release {
	for _, r := range s.Releases {
		if r.ID == p.Release {
			return r
		}
	}
	return nil
}

// reached reports whether the things of a step have come to what it is for: by their own reports, from lives that can't be
// those of before.
func (s *State) reached(r *Release, p *Permit, v *View) bool {
	for _, t := range p.Things {
		x, ok := v.Things[t]
		k := Known{Life: x.Life, Version: x.Version, Config: x.Config}
		switch {
		case !ok || x.Health == Out || x.Life < p.Life:
			return false
		case r.What == Workers && fmt.Sprint(x.Life) == r.From[t], r.What != Workers && k.at(r.What) != r.Target(t):
			return false
		}
	}
	return true
}

// learn notes how gateways usually do while nothing is being changed.
func (d *Driver) learn(s *State, v *View) {
	if s.Current() != nil || v.At-d.reading < feedEvery {
		return
	}
	d.reading = v.At
	for g, x := range v.Samples {
		diff, ok := Delta(x.Counts, d.last[g])
		d.last[g] = x.Counts
		if !ok || s.PermitOf(Of(Gateway, g)) != nil {
			continue
		}
		u := d.usual[g]
		if len(u) != len(diff) {
			u = make([]Tally, len(diff))
		}
		for k := range diff {
			u[k] = u[k].Plus(diff[k])
		}
		d.usual[g] = u
	}
	maps.DeleteFunc(d.usual, func(g string, _ []Tally) bool { _, there := v.Samples[g]; return !there })
	maps.DeleteFunc(d.last, func(g string, _ Counts) bool { _, there := v.Samples[g]; return !there })
}
