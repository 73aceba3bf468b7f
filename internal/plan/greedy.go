package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// improveGreedily tries greedy placements with several orders of the models and keeps the best. The orders are the same in each run.
func (s *search) improveGreedily(start [][]bool) {
	rng := rand.New(rand.NewPCG(1, uint64(len(s.Models))))
	worthPerMB := make([]float64, len(s.Models))
	order := make([]int, len(s.Models))
	for m, model := range s.Models {
		order[m] = m
		for _, call := range model.Calls {
			worthPerMB[m] += float64(call.Mcores*call.Worth) / float64(max(1, model.MemoryMB))
		}
	}
	endStep, best := s.steps+s.stepBudget.maxSteps/greedyDivisor, int64(-1<<62)
	var shares []share
	for run := 0; run < maxGreedyRuns && (run == 0 || s.steps < endStep && !s.exhausted); run++ {
		priority := make([]float64, len(order))
		for m := range priority {
			priority[m] = worthPerMB[m]
			if run > 1 {
				priority[m] *= 0.3 + rng.Float64()
			}
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(priority[b], priority[a]), cmp.Compare(a, b)) })
		for m := range s.placed {
			for w := range s.placed[m] {
				s.set(m, w, start[m][w])
			}
		}
		if s.placeGreedily(order, run%2 == 1); s.score > best {
			best, shares = s.score, s.shares
			s.saveBest()
		}
	}
	s.score, s.shares = best, shares
	for m := range s.placed {
		for w := range s.placed[m] {
			s.set(m, w, s.bestPlaced[m][w])
		}
	}
}

// placeGreedily goes through the models in the given order and adds the copy that raises the score most, as long as there is one.
// With byWorth it goes through the models once for each level of worth, the highest first, and serves only calls of at least that
// worth. Copies that are already placed serve first.
func (s *search) placeGreedily(order []int, byWorth bool) {
	cpu, lane, unserved := slices.Clone(s.cpuMcores), grid[int64](s.instance), make([][]int64, len(s.Models))
	s.score, s.shares = 0, nil
	levels := []int64{-1}
	for m, model := range s.Models {
		for _, call := range model.Calls {
			unserved[m] = append(unserved[m], call.Mcores)
			if byWorth {
				levels = append(levels, call.Worth)
			}
		}
		for w := range s.Workers {
			lane[m][w] = model.Lanes * s.laneMcores[w]
			if s.present[m][w] && !s.placed[m][w] && s.allowed[m][w] && s.copyCost[m][w] < 0 { // cheaper to keep than to unload
				if s.set(m, w, true); !s.withinLimits(m, w) {
					s.set(m, w, false)
				}
			}
		}
	}
	slices.Sort(levels)
	levels = slices.Compact(levels)
	slices.Reverse(levels)
	for _, level := range levels {
		for _, m := range order {
			if s.exhausted {
				break
			}
			s.placeModel(m, level, cpu, lane[m], unserved[m])
		}
	}
	s.score -= s.placementCost()
}

// placeModel serves the calls of a model whose worth is at least level, and adds copies for them. cpuMcores, laneMcores (by worker)
// and unserved (by demand) are what remains of each.
func (s *search) placeModel(m int, level int64, cpuMcores, laneMcores, unserved []int64) {
	demands := make([]int, 0, len(unserved))
	for d, call := range s.Models[m].Calls {
		if call.Worth >= level && unserved[d] > 0 {
			demands = append(demands, d)
		}
	}
	if len(demands) == 0 {
		return
	}
	// serve calls take with the work of each demand that a copy on worker w can serve, and returns the gain.
	serve := func(w int, take func(d int, mcores int64)) (gain int64) {
		freeMcores := min(cpuMcores[w], laneMcores[w])
		slices.SortStableFunc(demands, func(a, b int) int { return cmp.Compare(s.unitGain(m, b, w), s.unitGain(m, a, w)) })
		for _, d := range demands {
			if unitGain := s.unitGain(m, d, w); unitGain > 0 {
				mcores := min(freeMcores, unserved[d])
				freeMcores -= mcores
				gain += mcores * unitGain
				take(d, mcores)
			}
		}
		s.spend(int64(10 + 10*len(demands)))
		return gain
	}
	use := func(w int) {
		s.score += serve(w, func(d int, mcores int64) {
			if mcores > 0 {
				unserved[d] -= mcores
				cpuMcores[w] -= mcores
				laneMcores[w] -= mcores
				s.shares = append(s.shares, share{m, d, w, mcores})
			}
		})
	}
	for w := range s.Workers {
		if s.placed[m][w] {
			use(w)
		}
	}
	for !s.exhausted {
		bestWorker, bestGain := -1, int64(0)
		for w := range s.Workers {
			if s.placed[m][w] || !s.allowed[m][w] || min(cpuMcores[w], laneMcores[w]) == 0 {
				continue
			}
			if gain := serve(w, func(int, int64) {}) - s.copyCost[m][w]; gain > bestGain {
				s.set(m, w, true)
				fits := s.withinLimits(m, w)
				if s.set(m, w, false); fits {
					bestWorker, bestGain = w, gain
				}
			}
		}
		if bestWorker < 0 {
			return
		}
		s.set(m, bestWorker, true)
		use(bestWorker)
	}
}

// singleModelBounds returns, by model, an upper bound on the score of the model if it had all workers to itself, and its part of
// unloadAllCost. Models that share workers can only score less, so the sum of the bounds is a bound for all models.
func (s *search) singleModelBounds(steps int64) (bounds, unloadCosts []int64) {
	bounds, unloadCosts = make([]int64, len(s.Models)), make([]int64, len(s.Models))
	for m := range s.Models {
		single := *s.Problem
		single.Models, single.Present = single.Models[m:m+1], nil
		for _, loaded := range s.Present {
			if loaded.Model == single.Models[0].ID {
				single.Present = append(single.Present, loaded)
			}
		}
		in := newInstance(&single)
		budget := &stepBudget{maxSteps: steps / int64(len(s.Models)), clock: s.clock, deadline: s.deadline}
		unloadCosts[m], bounds[m] = in.unloadAllCost, unknownBound
		if s.exhausted {
			continue
		}
		if start, outcome := in.findFeasible(nil, budget, budget.maxSteps); outcome == feasible {
			modelSearch := &search{instance: in, stepBudget: budget}
			modelSearch.prepare(start)
			if modelSearch.score >= modelSearch.bound || modelSearch.usesFlows && modelSearch.branch(0) {
				bounds[m] = modelSearch.score
			} else {
				bounds[m] = modelSearch.bound
			}
		}
		s.spend(budget.steps)
		s.exhausted = s.exhausted || budget.exhausted && budget.steps < budget.maxSteps // the time limit has passed
	}
	return bounds, unloadCosts
}
