package plan

import (
	"cmp"
	"slices"
)

// candidate is a copy, by the indexes of its model and worker, that the search may place.
type candidate struct{ model, worker int }

// search finds the best placement by branch and bound. It decides the candidates one by one.
type search struct {
	*instance
	*stepBudget
	net              network
	usesFlows        bool        // the problem is small enough for network flows and branching
	candidates       []candidate // in the order in which they are decided
	candidateIndex   [][]int     // by model and worker: index in candidates, -1 if not a candidate
	decided          int         // number of candidates that are decided, from the first on
	placed           [][]bool    // copies of the current placement
	usedMB           []int64     // by worker: memory of the placed copies
	copyCount        []int       // by model: number of placed copies
	modelMcores      []int64     // by model: work of all its calls
	modelBounds      []int64     // by model: upper bound on its score if it had all workers to itself; nil if there is one model
	modelUnloadCosts []int64     // by model: its part of unloadAllCost
	modelRank        []int       // by model: its place in the order of candidates
	laterBounds      []int64     // by rank: sum of modelBounds of the models of higher rank
	bestPlaced       [][]bool    // copies of the best placement found
	shares           []share     // of bestPlaced, if usesFlows is not set
	score            int64       // of bestPlaced
	bound            int64       // no placement has a higher score
	loads            int64       // placed copies that are not present
	fetchMs          int64       // their load time
}

// grid returns a zeroed table by model and worker.
func grid[T any](in *instance) [][]T {
	g := make([][]T, len(in.Models))
	for m := range g {
		g[m] = make([]T, len(in.Workers))
	}
	return g
}

// prepare improves a first placement greedily, computes the first bounds, and orders the candidates.
func (s *search) prepare(start [][]bool) {
	demands := 0
	for _, m := range s.Models {
		demands += len(m.Calls)
	}
	s.usesFlows = demands*len(s.Workers) <= maxFlowSize
	s.placed, s.bestPlaced, s.usedMB, s.copyCount = grid[bool](s.instance), grid[bool](s.instance), make([]int64, len(s.Workers)),
		make([]int, len(s.Models))
	s.improveGreedily(start)
	s.bound = s.knapsackBound()
	if len(s.Models) > 1 {
		s.modelBounds, s.modelUnloadCosts = s.singleModelBounds(s.stepBudget.maxSteps / singleModelDivisor)
		sum := int64(0)
		for _, v := range s.modelBounds {
			sum += v
		}
		s.bound = min(s.bound, sum)
	}
	if !s.usesFlows {
		return
	}
	s.score = s.placementValue()
	s.saveBest()
	for m := range s.placed {
		for w, on := range s.placed[m] {
			if on {
				s.set(m, w, false)
			}
		}
	}
	s.candidateIndex = grid[int](s.instance)
	worth := make([]int64, len(s.Models))
	s.modelMcores = make([]int64, len(s.Models))
	for m := range s.Models {
		for _, d := range s.Models[m].Calls {
			s.modelMcores[m] += d.Mcores
			worth[m] += d.Mcores * d.Worth
		}
		for w := range s.Workers {
			s.candidateIndex[m][w] = -1
			switch {
			case s.pins[m][w]:
				s.set(m, w, true)
			case s.allowed[m][w] && s.Models[m].MemoryMB <= s.roomMB[w]:
				s.candidates = append(s.candidates, candidate{m, w})
			}
		}
	}
	slices.SortStableFunc(s.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(worth[b.model], worth[a.model]), cmp.Compare(a.model, b.model),
			cmp.Compare(s.copyCost[a.model][a.worker], s.copyCost[b.model][b.worker]), cmp.Compare(s.copyCapacity(b), s.copyCapacity(a)))
	})
	for i, p := range s.candidates {
		s.candidateIndex[p.model][p.worker] = i
	}
	if s.modelBounds == nil {
		return
	}
	order := make([]int, len(s.Models))
	for m := range order {
		order[m] = m
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worth[b], worth[a]) }) // as in candidates
	s.modelRank, s.laterBounds = make([]int, len(order)), make([]int64, len(order))
	sum := int64(0)
	for i := len(order) - 1; i >= 0; i-- {
		s.modelRank[order[i]], s.laterBounds[i] = i, sum
		sum += s.modelBounds[order[i]]
	}
}

// set places or removes a copy and updates the sums.
func (s *search) set(m, w int, on bool) {
	if s.placed[m][w] == on {
		return
	}
	s.placed[m][w] = on
	n, mb, ms := 1, s.Models[m].MemoryMB, s.Models[m].LoadMs
	if !on {
		n, mb, ms = -1, -mb, -ms
	}
	s.copyCount[m] += n
	s.usedMB[w] += mb
	if !s.present[m][w] {
		s.loads += int64(n)
		s.fetchMs += ms
	}
}

// withinLimits reports whether the placed copies keep the limits of the worker's memory, the model's copies and the loads.
func (s *search) withinLimits(m, w int) bool {
	return s.usedMB[w] <= s.roomMB[w] && s.copyCount[m] <= s.maxCopies(m) &&
		(s.Limits.Loads == nil || s.loads <= *s.Limits.Loads) && (s.Limits.FetchMs == nil || s.fetchMs <= *s.Limits.FetchMs)
}

// canBeSatisfied reports whether the placed and undecided copies of a model suffice for its least numbers of copies and halls.
func (s *search) canBeSatisfied(m int) bool {
	copies, halls := 0, map[int]bool{}
	for w := range s.Workers {
		if s.placed[m][w] || s.undecided(m, w) {
			copies++
			halls[s.hallOf[w]] = true
		}
	}
	return copies >= s.minCopies(m) && len(halls) >= s.minHalls[m]
}

// undecided reports whether a copy is a candidate that has not been decided.
func (s *search) undecided(m, w int) bool {
	return s.candidateIndex != nil && s.candidateIndex[m][w] >= s.decided
}

// placementCost returns the costs of the placed copies and of unloading the other present copies.
func (s *search) placementCost() int64 {
	sum := s.unloadAllCost
	for m := range s.placed {
		for w, on := range s.placed[m] {
			if on {
				sum += s.copyCost[m][w]
			}
		}
	}
	return sum
}

// placementValue returns the score of the current placement with its best shares.
func (s *search) placementValue() int64 {
	gain, _, _ := s.assignShares(&s.net, func(m, w int) bool { return s.placed[m][w] }, nil, s.spendPath)
	return gain - s.placementCost()
}

// spendPath spends the steps of finding one path in the flow network.
func (s *search) spendPath() bool { return s.spend(int64(len(s.net.arcs))) }

func (s *search) saveBest() {
	for m := range s.placed {
		copy(s.bestPlaced[m], s.placed[m])
	}
}

// branch searches all decisions of the candidates from index from on. It returns false if it was cut off.
func (s *search) branch(from int) bool {
	s.decided = from
	bound := s.relaxedBound()
	if s.exhausted {
		return false
	}
	if from == 0 {
		s.bound = min(s.bound, bound)
	}
	if bound <= s.score {
		return true
	}
	if from == len(s.candidates) {
		for m := range s.Models {
			if !s.canBeSatisfied(m) {
				return true
			}
		}
		s.score = bound // nothing is undecided, so the bound is the score of the placement
		s.saveBest()
		return true
	}
	p := s.candidates[from]
	preferred := s.bestPlaced[p.model][p.worker]
	for _, on := range []bool{preferred, !preferred} {
		s.set(p.model, p.worker, on)
		s.decided = from + 1
		if on && s.withinLimits(p.model, p.worker) && !s.dominated(from) || !on && s.canBeSatisfied(p.model) {
			if !s.branch(from + 1) {
				return false
			}
		}
		s.set(p.model, p.worker, false)
	}
	return true
}
