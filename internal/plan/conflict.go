package plan

import (
	"cmp"
	"fmt"
	"slices"
)

// answer is that of a search for any placement.
type answer int

const (
	yes answer = iota
	no
	cutOff
)

// The names of limits, as a conflict lists them.
func memoryOf(w Worker) string { return "memory of worker " + w.ID }
func stateOf(w Worker) string  { return fmt.Sprintf("worker %s is %s", w.ID, w.State) }
func leastOf(m Model) string   { return fmt.Sprintf("least_copies %d of model %s", m.Least, m.ID) }
func mostOf(m Model) string    { return fmt.Sprintf("most_copies %d of model %s", m.Most, m.ID) }
func hallsOf(m Model) string   { return fmt.Sprintf("halls %d of model %s", m.Halls, m.ID) }
func pinOf(m Model, w Worker) string {
	return fmt.Sprintf("model %s is pinned to worker %s", m.ID, w.ID)
}
func banOf(m Model, w Worker) string {
	return fmt.Sprintf("model %s is excluded from worker %s", m.ID, w.ID)
}

const (
	surviveLimit = "limits.survive_hall"
	loadsLimit   = "limits.loads"
	fetchLimit   = "limits.fetch_ms"
)

// feasible searches for a placement that keeps all limits but those in skip, with no more copies than are needed.
func (in *instance) feasible(skip map[string]bool, t *meter, most int64) ([][]bool, answer) {
	f := &fitter{instance: in, skip: skip, t: t, end: t.steps + most, x: grid[bool](in), used: make([]int64, len(in.Workers))}
	for m := range in.Models {
		if f.least(m) > 0 || f.over(m) > 0 || slices.Contains(in.pins[m], true) {
			f.order = append(f.order, m)
		}
	}
	slices.SortStableFunc(f.order, func(a, b int) int { return cmp.Compare(in.Models[b].MemoryMB, in.Models[a].MemoryMB) })
	switch {
	case f.model(0):
		return f.x, yes
	case f.cut:
		return nil, cutOff
	}
	return nil, no
}

// fitter is the search of feasible. Models go in the order of their size, and the workers of each in one order, so that
// no set of them is tried twice.
type fitter struct {
	*instance
	skip           map[string]bool
	t              *meter
	end            int64
	cut            bool
	order          []int
	x              [][]bool
	used           []int64
	loads, fetchMs int64
}

func (f *fitter) least(m int) int {
	if f.skip[leastOf(f.Models[m])] {
		return 0
	}
	return f.need(m)
}

// over is the number of halls that a model has to stand in.
func (f *fitter) over(m int) int {
	n := 0
	if !f.skip[hallsOf(f.Models[m])] {
		n = int(f.Models[m].Halls)
	}
	if f.Limits.SurviveHall && len(f.Models[m].Calls) > 0 && !f.skip[surviveLimit] {
		n = max(n, 2)
	}
	return n
}

// takes reports whether a worker may hold a model and has room for it.
func (f *fitter) takes(m, w int) bool {
	o, k := f.Models[m], f.Workers[w]
	room := f.room[w]
	if k.State != "ready" {
		if !f.skip[stateOf(k)] {
			return false
		}
		room = k.MemoryMB * (100 - f.Limits.Headroom) / 100
	}
	if slices.Contains(o.Excludes, k.ID) && !f.skip[banOf(o, k)] || f.used[w]+o.MemoryMB > room && !f.skip[memoryOf(k)] {
		return false
	}
	if f.present[m][w] {
		return true
	}
	return (f.Limits.Loads == nil || f.skip[loadsLimit] || f.loads < *f.Limits.Loads) &&
		(f.Limits.FetchMs == nil || f.skip[fetchLimit] || f.fetchMs+o.LoadMs <= *f.Limits.FetchMs)
}

func (f *fitter) put(m, w int, on bool) {
	n, mb, ms := int64(1), f.Models[m].MemoryMB, f.Models[m].LoadMs
	if !on {
		n, mb, ms = -1, -mb, -ms
	}
	f.x[m][w] = on
	if f.used[w] += mb; !f.present[m][w] {
		f.loads += n
		f.fetchMs += ms
	}
}

// model places the model at a place in the order, and then the rest.
func (f *fitter) model(i int) bool {
	if i == len(f.order) {
		return true
	}
	m := f.order[i]
	var pins, others []int
	for w, k := range f.Workers {
		if f.pins[m][w] && !f.skip[pinOf(f.Models[m], k)] {
			pins = append(pins, w)
		} else {
			others = append(others, w)
		}
	}
	slices.SortStableFunc(others, func(a, b int) int { // what stands first: it needs no load
		return -cmp.Compare(number01(f.present[m][a]), number01(f.present[m][b]))
	})
	return f.pin(i, pins, others)
}

func number01(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (f *fitter) pin(i int, pins, others []int) bool {
	m := f.order[i]
	if len(pins) > 0 {
		w := pins[0]
		if !f.takes(m, w) {
			return false
		}
		f.put(m, w, true)
		if f.pin(i, pins[1:], others) {
			return true
		}
		f.put(m, w, false)
		return false
	}
	return f.choose(i, others)
}

// choose adds copies of a model at the workers that are left until it has what it needs.
func (f *fitter) choose(i int, left []int) bool {
	if !f.t.step(1) || f.t.steps > f.end {
		f.cut = true
		return false
	}
	m, copies, halls := f.order[i], 0, map[int]bool{}
	for w, on := range f.x[m] {
		if on {
			copies++
			halls[f.halls[w]] = true
		}
	}
	if most := f.mostCopies(m); copies > most && !f.skip[mostOf(f.Models[m])] {
		return false
	}
	need, over := f.least(m), f.over(m)
	if copies >= need && len(halls) >= over {
		return f.model(i + 1)
	}
	for j, w := range left {
		if copies+len(left)-j < need {
			return false
		}
		if copies >= need && halls[f.halls[w]] || !f.takes(m, w) {
			continue
		}
		f.put(m, w, true)
		if f.choose(i, left[j+1:]) {
			return true
		}
		f.put(m, w, false)
		if f.cut {
			return false
		}
	}
	return false
}

// conflict returns limits that can't all be kept, each of which is needed for that, as far as the steps go.
func (in *instance) conflict(t *meter) (left []string) {
	var all []string
	if in.Limits.Loads != nil {
		all = append(all, loadsLimit)
	}
	if in.Limits.FetchMs != nil {
		all = append(all, fetchLimit)
	}
	if in.Limits.SurviveHall {
		all = append(all, surviveLimit)
	}
	for _, w := range in.Workers {
		if all = append(all, memoryOf(w)); w.State != "ready" {
			all = append(all, stateOf(w))
		}
	}
	for i, m := range in.Models {
		if m.Least > 0 {
			all = append(all, leastOf(m))
		}
		if m.Most > 0 {
			all = append(all, mostOf(m))
		}
		if m.Halls > 0 {
			all = append(all, hallsOf(m))
		}
		for j, w := range in.Workers {
			if in.pins[i][j] {
				all = append(all, pinOf(m, w))
			}
			if slices.Contains(m.Excludes, w.ID) {
				all = append(all, banOf(m, w))
			}
		}
	}
	skip := map[string]bool{}
	for _, name := range all {
		skip[name] = true
		if _, a := in.feasible(skip, t, t.most/int64(leastShare*len(all))); a != no {
			delete(skip, name)
			left = append(left, name)
		}
	}
	return left
}
