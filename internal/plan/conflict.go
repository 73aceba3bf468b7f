package plan

import (
	"cmp"
	"fmt"
	"slices"
)

// searchOutcome is the outcome of findFeasible.
type searchOutcome int

const (
	feasible   searchOutcome = iota // a placement was found
	infeasible                      // none exists
	cutOff                          // the steps ran out first
)

// The functions and constants below give the names of limits in Plan.Conflict.
func memoryLimit(w Worker) string  { return "memory of worker " + w.ID }
func stateLimit(w Worker) string   { return fmt.Sprintf("worker %s is %s", w.ID, w.State) }
func leastLimit(m Model) string    { return fmt.Sprintf("least_copies %d of model %s", m.MinCopies, m.ID) }
func mostLimit(m Model) string     { return fmt.Sprintf("most_copies %d of model %s", m.MaxCopies, m.ID) }
func minHallsLimit(m Model) string { return fmt.Sprintf("halls %d of model %s", m.MinHalls, m.ID) }
func pinLimit(m Model, w Worker) string {
	return fmt.Sprintf("model %s is pinned to worker %s", m.ID, w.ID)
}
func excludeLimit(m Model, w Worker) string {
	return fmt.Sprintf("model %s is excluded from worker %s", m.ID, w.ID)
}

const (
	surviveHallLimit = "limits.survive_hall"
	loadsLimit       = "limits.loads"
	fetchLimit       = "limits.fetch_ms"
)

// findFeasible searches for a placement that keeps all limits except the ignored ones, with no more copies than are needed.
func (in *instance) findFeasible(ignored map[string]bool, budget *stepBudget, maxSteps int64) ([][]bool, searchOutcome) {
	f := &feasibilitySearch{instance: in, ignored: ignored, budget: budget, endStep: budget.steps + maxSteps,
		placed: grid[bool](in), usedMB: make([]int64, len(in.Workers))}
	for m := range in.Models {
		if f.requiredCopies(m) > 0 || f.requiredHalls(m) > 0 || slices.Contains(in.pins[m], true) {
			f.order = append(f.order, m)
		}
	}
	slices.SortStableFunc(f.order, func(a, b int) int { return cmp.Compare(in.Models[b].MemoryMB, in.Models[a].MemoryMB) })
	switch {
	case f.placeModel(0):
		return f.placed, feasible
	case f.cutOff:
		return nil, cutOff
	}
	return nil, infeasible
}

// feasibilitySearch is the state of findFeasible. It places the largest models first, and tries the workers of each model in a fixed
// order, so that no set of workers is tried twice.
type feasibilitySearch struct {
	*instance
	ignored        map[string]bool
	budget         *stepBudget
	endStep        int64
	cutOff         bool
	order          []int
	placed         [][]bool
	usedMB         []int64
	loads, fetchMs int64
}

func (f *feasibilitySearch) requiredCopies(m int) int {
	if f.ignored[leastLimit(f.Models[m])] {
		return 0
	}
	return f.minCopies(m)
}

// requiredHalls returns the number of halls in which a model must have copies.
func (f *feasibilitySearch) requiredHalls(m int) int {
	halls := 0
	if !f.ignored[minHallsLimit(f.Models[m])] {
		halls = int(f.Models[m].MinHalls)
	}
	if f.Limits.SurviveHall && len(f.Models[m].Calls) > 0 && !f.ignored[surviveHallLimit] {
		halls = max(halls, 2)
	}
	return halls
}

// canPlace reports whether a copy of a model may be loaded on a worker and fits the memory and load limits.
func (f *feasibilitySearch) canPlace(m, w int) bool {
	model, worker := f.Models[m], f.Workers[w]
	roomMB := f.roomMB[w]
	if worker.State != "ready" {
		if !f.ignored[stateLimit(worker)] {
			return false
		}
		roomMB = worker.MemoryMB * (100 - f.Limits.HeadroomPercent) / 100
	}
	if slices.Contains(model.Excludes, worker.ID) && !f.ignored[excludeLimit(model, worker)] ||
		f.usedMB[w]+model.MemoryMB > roomMB && !f.ignored[memoryLimit(worker)] {
		return false
	}
	if f.present[m][w] {
		return true
	}
	return (f.Limits.Loads == nil || f.ignored[loadsLimit] || f.loads < *f.Limits.Loads) &&
		(f.Limits.FetchMs == nil || f.ignored[fetchLimit] || f.fetchMs+model.LoadMs <= *f.Limits.FetchMs)
}

func (f *feasibilitySearch) set(m, w int, on bool) {
	n, mb, ms := int64(1), f.Models[m].MemoryMB, f.Models[m].LoadMs
	if !on {
		n, mb, ms = -1, -mb, -ms
	}
	f.placed[m][w] = on
	if f.usedMB[w] += mb; !f.present[m][w] {
		f.loads += n
		f.fetchMs += ms
	}
}

// placeModel places the model at index i of the order and all later ones.
func (f *feasibilitySearch) placeModel(i int) bool {
	if i == len(f.order) {
		return true
	}
	m := f.order[i]
	var pins, others []int
	for w, worker := range f.Workers {
		if f.pins[m][w] && !f.ignored[pinLimit(f.Models[m], worker)] {
			pins = append(pins, w)
		} else {
			others = append(others, w)
		}
	}
	slices.SortStableFunc(others, func(a, b int) int { // present copies first, as they need no load
		return -cmp.Compare(boolToInt(f.present[m][a]), boolToInt(f.present[m][b]))
	})
	return f.placePinned(i, pins, others)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (f *feasibilitySearch) placePinned(i int, pins, others []int) bool {
	m := f.order[i]
	if len(pins) > 0 {
		w := pins[0]
		if !f.canPlace(m, w) {
			return false
		}
		f.set(m, w, true)
		if f.placePinned(i, pins[1:], others) {
			return true
		}
		f.set(m, w, false)
		return false
	}
	return f.addCopies(i, others)
}

// addCopies adds copies on the remaining workers until the model has the required copies and halls, then places the next model.
func (f *feasibilitySearch) addCopies(i int, remaining []int) bool {
	if !f.budget.spend(1) || f.budget.steps > f.endStep {
		f.cutOff = true
		return false
	}
	m, copies, halls := f.order[i], 0, map[int]bool{}
	for w, on := range f.placed[m] {
		if on {
			copies++
			halls[f.hallOf[w]] = true
		}
	}
	if maxCopies := f.maxCopies(m); copies > maxCopies && !f.ignored[mostLimit(f.Models[m])] {
		return false
	}
	minCopies, minHalls := f.requiredCopies(m), f.requiredHalls(m)
	if copies >= minCopies && len(halls) >= minHalls {
		return f.placeModel(i + 1)
	}
	for j, w := range remaining {
		if copies+len(remaining)-j < minCopies {
			return false
		}
		if copies >= minCopies && halls[f.hallOf[w]] || !f.canPlace(m, w) {
			continue
		}
		f.set(m, w, true)
		if f.addCopies(i, remaining[j+1:]) {
			return true
		}
		f.set(m, w, false)
		if f.cutOff {
			return false
		}
	}
	return false
}

// conflict returns limits that can't all be kept, and no more of them than necessary as far as the steps suffice to find out.
func (in *instance) conflict(budget *stepBudget) (needed []string) {
	var limits []string
	if in.Limits.Loads != nil {
		limits = append(limits, loadsLimit)
	}
	if in.Limits.FetchMs != nil {
		limits = append(limits, fetchLimit)
	}
	if in.Limits.SurviveHall {
		limits = append(limits, surviveHallLimit)
	}
	for _, w := range in.Workers {
		if limits = append(limits, memoryLimit(w)); w.State != "ready" {
			limits = append(limits, stateLimit(w))
		}
	}
	for i, m := range in.Models {
		if m.MinCopies > 0 {
			limits = append(limits, leastLimit(m))
		}
		if m.MaxCopies > 0 {
			limits = append(limits, mostLimit(m))
		}
		if m.MinHalls > 0 {
			limits = append(limits, minHallsLimit(m))
		}
		for j, w := range in.Workers {
			if in.pins[i][j] {
				limits = append(limits, pinLimit(m, w))
			}
			if slices.Contains(m.Excludes, w.ID) {
				limits = append(limits, excludeLimit(m, w))
			}
		}
	}
	ignored := map[string]bool{}
	for _, name := range limits {
		ignored[name] = true
		if _, outcome := in.findFeasible(ignored, budget, budget.maxSteps/int64(feasibilityDivisor*len(limits))); outcome != infeasible {
			delete(ignored, name)
			needed = append(needed, name)
		}
	}
	return needed
}
