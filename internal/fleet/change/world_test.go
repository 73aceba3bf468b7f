package change

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// world is a small fleet beside the log: gateways that act on what they have seen agreed, late, or not at all, and a leader
// that sees them late.
type world struct {
	rng   *rand.Rand
	s     *State
	index uint64
	now   int64
	all   []*actor
	seen  map[Thing]Observation // as of an earlier step
	count int                   // entries applied
}

// actor is a gateway: intent is the permit that it has seen itself use and has not acted on.
type actor struct {
	thing   Thing
	hall    string
	life    uint64
	intent  uint64
	out     bool
	coming  bool // it said that it is back, and does not serve yet
	urgent  bool // it is out by an emergency
	stopped bool
	crashed bool
}

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), s: NewState(Limits{Gateways: Limit{N: 2}, GatewaysHall: Limit{N: 1}, Margin: 1, Only: Limit{N: 1}}), seen: map[Thing]Observation{}}
	for i := range 6 {
		w.all = append(w.all, &actor{thing: Of(Gateway, fmt.Sprint("g", i)), hall: fmt.Sprint("h", i%3), life: 1})
	}
	w.look()
	w.apply("", 0, Proposal{"see", SeeBody{sightings(w.s, w.view())}})
	return w
}

// look brings the leader's sight up to date.
func (w *world) look() {
	for _, a := range w.all {
		if w.index > 0 && w.rng.IntN(3) > 0 {
			continue
		}
		h := Well
		if a.out || a.coming || a.stopped || a.crashed {
			h = Out
		}
		w.seen[a.thing] = Observation{Hall: a.hall, Health: h, Life: a.life, Version: "v1", Witnesses: []string{"g1", "g2", "g3"}}
	}
}

func (w *world) view() *View {
	return &View{Context: Context{w.index, w.now}, Measure: Measure{}, Things: w.seen}
}

func (w *world) apply(from string, life uint64, p Proposal) error {
	w.index++
	w.count++
	return Apply(w.s, Context{w.index, w.now}, from, life, p)
}

// step does something at random and reports what must not be.
func (w *world) step() error {
	w.now += 700
	a := w.all[w.rng.IntN(len(w.all))]
	name := a.thing.Name()
	p := w.s.PermitOf(a.thing)
	awake := !a.stopped && !a.crashed
	switch w.rng.IntN(13) {
	case 12: // one that led before, or a holder that says everything twice
		if len(w.s.Permits) > 0 {
			q := w.s.Permits[w.rng.IntN(len(w.s.Permits))]
			waits := w.s.waiting()
			kind := []string{"grant", "end", "lapse", "use"}[w.rng.IntN(4)]
			x := Proposal{kind, PermitBody{ID: q.ID, Holder: q.Holder, Life: w.holder(q).life}}
			if kind == "grant" {
				x.Body = GrantBody{ID: q.ID}
			}
			if err := w.apply("leader", 1, x); err == nil && kind == "grant" {
				if bad := w.granted(waits, q.ID); bad != nil {
					return bad
				}
			} else if err == nil && kind == "use" && q.Holder != "" && !w.holder(q).stopped && !w.holder(q).crashed {
				w.holder(q).intent = q.ID
			}
		}
	case 0:
		things := []Thing{a.thing}
		if b := w.all[w.rng.IntN(len(w.all))]; b != a && b.hall != a.hall && w.rng.IntN(3) == 0 {
			things = append(things, b.thing) // a large one: it needs the whole budget
		}
		w.apply(name, a.life, Proposal{"ask", &Permit{Things: things, Holder: name, By: "anna", Emergency: w.rng.IntN(30) == 0}})
	case 1, 2, 3:
		w.look()
		fallthrough
	case 4:
		steps := permits(w.s, w.view())
		steps = append(steps, Proposal{"see", SeeBody{sightings(w.s, w.view())}})
		for _, x := range steps {
			if w.rng.IntN(10) > 0 { // some are lost, some come twice
				waits := w.s.waiting()
				err := w.apply("leader", 1, x)
				if g, ok := x.Body.(GrantBody); ok && err == nil {
					if bad := w.granted(waits, g.ID); bad != nil {
						return bad
					}
				}
				if w.rng.IntN(10) == 0 {
					w.apply("leader", 1, x)
				}
			}
		}
	case 5, 6:
		if awake && p != nil && p.Holder == name && p.Phase == Granted && w.apply(name, a.life, Proposal{"use", PermitBody{ID: p.ID, Holder: name, Life: a.life}}) == nil {
			a.intent = p.ID
		}
	case 7:
		if awake && a.intent != 0 {
			a.out, a.intent = true, 0
		} else if a.coming && w.rng.IntN(4) == 0 {
			a.coming, a.urgent = false, false
		}
	case 8:
		if awake && p != nil && p.Holder == name && p.Phase == Used && p.Life <= a.life {
			a.out, a.intent, a.coming, a.urgent = false, 0, true, p.Emergency
			w.apply(name, a.life, Proposal{"return", PermitBody{ID: p.ID, Holder: name, Life: a.life}})
		}
	case 9:
		a.stopped = !a.stopped
	case 10:
		if a.crashed = !a.crashed; a.crashed {
			a.life++
			a.out, a.intent, a.stopped, a.coming, a.urgent = false, 0, false, false, false
		}
	}
	used := 0
	for _, q := range w.s.Permits {
		if q.Phase > Asked && !q.Emergency {
			used += len(q.Things)
		}
	}
	truly := 0
	for _, a := range w.all {
		if (a.out || a.coming) && !a.urgent {
			truly++
		}
	}
	if used > 2 || truly > 2 {
		return fmt.Errorf("%d are out by permit, %d in truth", used, truly)
	}
	for _, a := range w.all {
		if q := w.s.PermitOf(a.thing); a.out && (q == nil || q.Phase != Used) {
			return fmt.Errorf("%s is out on purpose, its permit is %+v", a.thing, q)
		}
	}
	return nil
}

func (w *world) holder(p *Permit) *actor {
	for _, a := range w.all {
		if a.thing.Name() == p.Holder {
			return a
		}
	}
	return w.all[0]
}

// granted reports what a grant breaks: the limits by what is agreed, or the order of asking.
func (w *world) granted(waits []*Permit, id uint64) error {
	out, hall := 0, map[string]int{}
	for t, k := range w.s.Things {
		if w.s.out(t) {
			out++
			hall[k.Hall]++
		}
	}
	p := w.s.Permit(id)
	if out > 2 || slices.ContainsFunc(p.Things, func(t Thing) bool { return hall[w.s.Things[t].Hall] > 1 }) {
		return fmt.Errorf("%d are out after a grant, by hall %v", out, hall)
	}
	for _, q := range waits {
		if q.Passed > maxPassed {
			return fmt.Errorf("permit %d was passed %d times", q.ID, q.Passed)
		}
	}
	return nil
}

func explore(seeds, steps int) (states int, err error) {
	for seed := range uint64(seeds) {
		w := newWorld(seed)
		for range steps {
			if err := w.step(); err != nil {
				return states, fmt.Errorf("seed %d: %w", seed, err)
			}
			states++
		}
	}
	return states, nil
}
