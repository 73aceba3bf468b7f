package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomProblem returns a random problem of up to six workers and eight models. At most maxOpen copies are left to the solver, besides
// pinned ones, so that every placement can be tried.
func randomProblem(rng *rand.Rand, maxOpen int) *Problem {
	between := func(least, most int) int64 { return int64(least + rng.IntN(most-least+1)) }
	problem := &Problem{Prices: Prices{Cross: between(0, 6), Memory: between(0, 30), Load: between(0, 30), Move: between(0, 3000)}}
	for i := range between(1, 6) {
		w := Worker{ID: fmt.Sprint("w", i), Hall: fmt.Sprint("h", rng.IntN(3)), MemoryMB: between(0, 12) * 1000, Cores: between(0, 3),
			SpeedPercent: between(60, 120), CapacityPercent: between(20, 100)}
		if rng.IntN(8) == 0 {
			w.State = []string{"draining", "out"}[rng.IntN(2)]
		}
		problem.Workers = append(problem.Workers, w)
	}
	open := 0
	for i := range between(1, 8) {
		m := Model{ID: fmt.Sprint("m", i), MemoryMB: between(0, 6) * 1000, Lanes: between(1, 4), LoadMs: between(0, 3000)}
		if rng.IntN(6) == 0 {
			m.MinCopies = between(0, 2)
		}
		if rng.IntN(4) == 0 {
			m.MaxCopies = between(1, 3)
		}
		if rng.IntN(12) == 0 {
			m.MinHalls = between(0, 2)
		}
		for _, w := range problem.Workers {
			switch {
			case rng.IntN(80) == 0:
				m.Pins = append(m.Pins, w.ID)
			case open >= maxOpen || rng.IntN(4) == 0:
				m.Excludes = append(m.Excludes, w.ID)
			default:
				open++
			}
			if rng.IntN(5) == 0 {
				problem.Present = append(problem.Present, Copy{m.ID, w.ID})
			}
		}
		for c := range rng.IntN(3) {
			m.Calls = append(m.Calls, Call{Class: fmt.Sprint("c", c), Hall: problem.Workers[rng.IntN(len(problem.Workers))].Hall,
				Mcores: between(0, 2500), Worth: between(0, 12)})
		}
		problem.Models = append(problem.Models, m)
	}
	if rng.IntN(3) == 0 {
		problem.Limits.Loads = new(int64)
		*problem.Limits.Loads = between(0, 5)
	}
	if rng.IntN(4) == 0 {
		problem.Limits.FetchMs = new(int64)
		*problem.Limits.FetchMs = between(0, 9000)
	}
	problem.Limits.HeadroomPercent, problem.Limits.SurviveHall = between(0, 20), rng.IntN(25) == 0
	return problem
}

// bruteForce tries every placement and returns the best score, or false if no placement keeps the limits. The best shares of a
// placement come from the code under test, which TestSharesEqualBruteForce checks with bruteForceGain.
func bruteForce(p *Problem) (best int64, found bool) {
	in := newInstance(p)
	type place struct{ m, w int }
	var places []place
	placed := grid[bool](in)
	for m, model := range p.Models {
		for w, worker := range p.Workers {
			switch {
			case slices.Contains(model.Pins, worker.ID):
				placed[m][w] = true
				if worker.State != "ready" || slices.Contains(model.Excludes, worker.ID) {
					return 0, false
				}
			case worker.State == "ready" && !slices.Contains(model.Excludes, worker.ID):
				places = append(places, place{m, w})
			}
		}
	}
	var net network
	for set := range 1 << len(places) {
		for i, place := range places {
			placed[place.m][place.w] = set>>i&1 == 1
		}
		if cost, ok := bruteForceCost(p, placed); ok {
			gain, _, _ := in.assignShares(&net, func(m, w int) bool { return placed[m][w] }, nil, func() bool { return true })
			if score := gain - cost; !found || score > best {
				best, found = score, true
			}
		}
	}
	return best, found
}

// bruteForceCost returns the cost of a placement and whether it keeps the limits.
func bruteForceCost(p *Problem, placed [][]bool) (cost int64, ok bool) {
	memoryMB, loads, fetchMs := make([]int64, len(p.Workers)), int64(0), int64(0)
	for m, model := range p.Models {
		copies, halls := int64(0), map[string]bool{}
		for w, worker := range p.Workers {
			present := worker.State == "ready" && slices.Contains(p.Present, Copy{model.ID, worker.ID})
			if placed[m][w] {
				copies++
				halls[worker.Hall] = true
				memoryMB[w] += model.MemoryMB
				cost += model.MemoryMB * p.Prices.Memory / 100
				if !present {
					loads++
					fetchMs += model.LoadMs
					cost += model.LoadMs*p.Prices.Load/100 + p.Prices.Move
				}
			} else if present {
				cost += p.Prices.Move
			}
		}
		minHalls := model.MinHalls
		if p.Limits.SurviveHall && len(model.Calls) > 0 {
			minHalls = max(minHalls, 2)
		}
		if copies < model.MinCopies || model.MaxCopies > 0 && copies > model.MaxCopies || int64(len(halls)) < minHalls {
			return 0, false
		}
	}
	for w, worker := range p.Workers {
		if memoryMB[w] > worker.MemoryMB*(100-p.Limits.HeadroomPercent)/100 {
			return 0, false
		}
	}
	maxLoads, maxFetchMs := p.Limits.Loads, p.Limits.FetchMs
	return cost, (maxLoads == nil || loads <= *maxLoads) && (maxFetchMs == nil || fetchMs <= *maxFetchMs)
}

// requireMinimalConflict checks that no placement keeps all limits of a conflict, but that one does if any single limit is ignored.
func requireMinimalConflict(t *testing.T, seed uint64, p *Problem, conflict []string) {
	in, budget := newInstance(p), &stepBudget{maxSteps: 1 << 40}
	ignored := map[string]bool{}
	limits := map[string]bool{loadsLimit: true, fetchLimit: true, surviveHallLimit: true}
	for _, w := range p.Workers {
		limits[memoryLimit(w)], limits[stateLimit(w)] = true, true
		for _, m := range p.Models {
			limits[pinLimit(m, w)], limits[excludeLimit(m, w)], limits[leastLimit(m)], limits[mostLimit(m)],
				limits[minHallsLimit(m)] = true, true, true, true, true
		}
	}
	for name := range limits {
		ignored[name] = !slices.Contains(conflict, name)
	}
	if _, outcome := in.findFeasible(ignored, budget, 1<<40); outcome != infeasible || len(conflict) == 0 {
		t.Fatalf("seed %d: conflict %q is empty, can be kept or was not searched to the end", seed, conflict)
	}
	for _, name := range conflict {
		ignored[name] = true
		if _, outcome := in.findFeasible(ignored, budget, 1<<40); outcome != feasible {
			t.Fatalf("seed %d: conflict %q remains without %q, or was not searched to the end", seed, conflict, name)
		}
		ignored[name] = false
	}
}

// bruteForceGain returns the best gain of the loaded copies by trying all shares. It supports one demand per model.
func bruteForceGain(in *instance, loaded func(m, w int) bool) (best int64) {
	type slot struct{ m, w int }
	var slots []slot
	for m := range in.Models {
		for w := range in.Workers {
			if len(in.Models[m].Calls) > 0 && loaded(m, w) {
				slots = append(slots, slot{m, w})
			}
		}
	}
	cpu, unserved := slices.Clone(in.cpuMcores), make([]int64, len(in.Models))
	for m := range in.Models {
		for _, d := range in.Models[m].Calls {
			unserved[m] = d.Mcores
		}
	}
	var try func(i int, gain int64)
	try = func(i int, gain int64) {
		best = max(best, gain)
		if i == len(slots) {
			return
		}
		s := slots[i]
		for mcores := int64(0); mcores <= min(cpu[s.w], unserved[s.m], in.Models[s.m].Lanes*in.laneMcores[s.w]); mcores++ {
			cpu[s.w] -= mcores
			unserved[s.m] -= mcores
			try(i+1, gain+mcores*in.unitGain(s.m, 0, s.w))
			cpu[s.w] += mcores
			unserved[s.m] += mcores
		}
	}
	try(0, 0)
	return best
}
