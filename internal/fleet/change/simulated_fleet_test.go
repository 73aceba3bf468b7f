package change

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// simulatedFleet is a small fleet of gateways around one agreed State. Gateways act late on agreed entries or not at all, and the
// leader's observations of them are out of date.
type simulatedFleet struct {
	rng      *rand.Rand
	state    *State
	index    uint64
	now      int64
	gateways []*simulatedGateway
	observed map[Subject]Observation // the leader's observations, as of earlier steps
	applied  int                     // number of applied entries
}

// simulatedGateway is a gateway of a simulatedFleet.
type simulatedGateway struct {
	subject     Subject
	hall        string
	incarnation uint64
	usedPermit  uint64 // a permit whose use it has seen agreed and on which it has not acted yet, 0: none
	unavailable bool   // on purpose
	returning   bool   // it has returned its permit and does not serve yet
	emergency   bool   // the permit that it has returned was an emergency permit
	paused      bool
	crashed     bool
}

func newSimulatedFleet(seed uint64) *simulatedFleet {
	f := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 3)), state: NewState(Limits{Gateways: Limit{N: 2}, GatewaysHall: Limit{N: 1},
		Margin: 1, OnlyCopies: Limit{N: 1}}), observed: map[Subject]Observation{}}
	for i := range 6 {
		f.gateways = append(f.gateways, &simulatedGateway{subject: NewSubject(Gateway, fmt.Sprint("g", i)), hall: fmt.Sprint("h", i%3),
			incarnation: 1})
	}
	f.observe()
	f.apply("", 0, Proposal{"see", StatusUpdateBody{statusUpdates(f.state, f.view())}})
	return f
}

// observe updates the leader's observations of some gateways, of all at the start.
func (f *simulatedFleet) observe() {
	for _, g := range f.gateways {
		if f.index > 0 && f.rng.IntN(3) > 0 {
			continue
		}
		h := Healthy
		if g.unavailable || g.returning || g.paused || g.crashed {
			h = Unavailable
		}
		f.observed[g.subject] = Observation{Hall: g.hall, Health: h, Incarnation: g.incarnation, Version: "v1",
			Witnesses: []string{"g1", "g2", "g3"}}
	}
}

func (f *simulatedFleet) view() *View {
	return &View{Context: Context{f.index, f.now}, Measurements: Measurements{}, Subjects: f.observed}
}

func (f *simulatedFleet) apply(from string, incarnation uint64, p Proposal) error {
	f.index++
	f.applied++
	return Apply(f.state, Context{f.index, f.now}, from, incarnation, p)
}

// step makes one random step and returns an error if an invariant is broken.
func (f *simulatedFleet) step() error {
	f.now += 700
	g := f.gateways[f.rng.IntN(len(f.gateways))]
	name := g.subject.Name()
	p := f.state.PermitOf(g.subject)
	awake := !g.paused && !g.crashed
	switch f.rng.IntN(13) {
	case 12: // a former leader, or a holder that repeats its entries
		if len(f.state.Permits) > 0 {
			q := f.state.Permits[f.rng.IntN(len(f.state.Permits))]
			waiting := f.state.waiting()
			kind := []string{"grant", "end", "lapse", "use"}[f.rng.IntN(4)]
			x := Proposal{kind, PermitBody{ID: q.ID, Holder: q.Holder, Incarnation: f.holder(q).incarnation}}
			if kind == "grant" {
				x.Body = GrantBody{ID: q.ID}
			}
			if err := f.apply("leader", 1, x); err == nil && kind == "grant" {
				if bad := f.checkAfterGrant(waiting, q.ID); bad != nil {
					return bad
				}
			} else if err == nil && kind == "use" && q.Holder != "" && !f.holder(q).paused && !f.holder(q).crashed {
				f.holder(q).usedPermit = q.ID
			}
		}
	case 0:
		subjects := []Subject{g.subject}
		if other := f.gateways[f.rng.IntN(len(f.gateways))]; other != g && other.hall != g.hall && f.rng.IntN(3) == 0 {
			subjects = append(subjects, other.subject) // a permit for two subjects, which needs the whole limit
		}
		f.apply(name, g.incarnation, Proposal{"ask", &Permit{Subjects: subjects, Holder: name, By: "anna", Emergency: f.rng.IntN(30) == 0}})
	case 1, 2, 3:
		f.observe()
		fallthrough
	case 4:
		steps := permitSteps(f.state, f.view())
		steps = append(steps, Proposal{"see", StatusUpdateBody{statusUpdates(f.state, f.view())}})
		for _, x := range steps {
			if f.rng.IntN(10) > 0 { // some entries are lost, some are applied twice
				waiting := f.state.waiting()
				err := f.apply("leader", 1, x)
				if grant, ok := x.Body.(GrantBody); ok && err == nil {
					if bad := f.checkAfterGrant(waiting, grant.ID); bad != nil {
						return bad
					}
				}
				if f.rng.IntN(10) == 0 {
					f.apply("leader", 1, x)
				}
			}
		}
	case 5, 6:
		if awake && p != nil && p.Holder == name && p.Phase == Granted &&
			f.apply(name, g.incarnation, Proposal{"use", PermitBody{ID: p.ID, Holder: name, Incarnation: g.incarnation}}) == nil {
			g.usedPermit = p.ID
		}
	case 7:
		if awake && g.usedPermit != 0 {
			g.unavailable, g.usedPermit = true, 0
		} else if g.returning && f.rng.IntN(4) == 0 {
			g.returning, g.emergency = false, false
		}
	case 8:
		if awake && p != nil && p.Holder == name && p.Phase == InUse && p.Incarnation <= g.incarnation {
			g.unavailable, g.usedPermit, g.returning, g.emergency = false, 0, true, p.Emergency
			f.apply(name, g.incarnation, Proposal{"return", PermitBody{ID: p.ID, Holder: name, Incarnation: g.incarnation}})
		}
	case 9:
		g.paused = !g.paused
	case 10:
		if g.crashed = !g.crashed; g.crashed {
			g.incarnation++
			g.unavailable, g.usedPermit, g.paused, g.returning, g.emergency = false, 0, false, false, false
		}
	}
	permitted := 0
	for _, q := range f.state.Permits {
		if q.Phase > Requested && !q.Emergency {
			permitted += len(q.Subjects)
		}
	}
	actual := 0
	for _, g := range f.gateways {
		if (g.unavailable || g.returning) && !g.emergency {
			actual++
		}
	}
	if permitted > 2 || actual > 2 {
		return fmt.Errorf("want at most 2 gateways unavailable: %d are by permits, %d in fact", permitted, actual)
	}
	for _, g := range f.gateways {
		if q := f.state.PermitOf(g.subject); g.unavailable && (q == nil || q.Phase != InUse) {
			return fmt.Errorf("%s is unavailable on purpose without a permit in use: %+v", g.subject, q)
		}
	}
	return nil
}

func (f *simulatedFleet) holder(p *Permit) *simulatedGateway {
	for _, g := range f.gateways {
		if g.subject.Name() == p.Holder {
			return g
		}
	}
	return f.gateways[0]
}

// checkAfterGrant returns an error if a grant broke a limit according to the agreed state, or overtook a permit too often. waiting
// are the permits that waited before the grant.
func (f *simulatedFleet) checkAfterGrant(waiting []*Permit, id uint64) error {
	unavailable, byHall := 0, map[string]int{}
	for subject, status := range f.state.Subjects {
		if f.state.countsUnavailable(subject) {
			unavailable++
			byHall[status.Hall]++
		}
	}
	p := f.state.Permit(id)
	if unavailable > 2 || slices.ContainsFunc(p.Subjects, func(t Subject) bool { return byHall[f.state.Subjects[t].Hall] > 1 }) {
		return fmt.Errorf("%d gateways count as unavailable after a grant, by hall %v; want at most 2, and 1 in the hall of the permit",
			unavailable, byHall)
	}
	for _, q := range waiting {
		if q.Overtaken > maxOvertaken {
			return fmt.Errorf("permit %d was overtaken %d times, want at most %d", q.ID, q.Overtaken, maxOvertaken)
		}
	}
	return nil
}

// runRandomSteps simulates a fleet for each seed and returns the number of steps, and the first broken invariant.
func runRandomSteps(seeds, steps int) (states int, err error) {
	for seed := range uint64(seeds) {
		f := newSimulatedFleet(seed)
		for range steps {
			if err := f.step(); err != nil {
				return states, fmt.Errorf("seed %d: %w", seed, err)
			}
			states++
		}
	}
	return states, nil
}
