package plan

import (
	"cmp"
	"slices"
)

// relaxedBound returns an upper bound on the score of all placements that agree with the decisions so far. For the bound, every
// undecided copy may serve calls and costs only in proportion to the work that it serves.
func (s *search) relaxedBound() int64 {
	// A copy serves at most as much work as its lanes, the cores of its worker and the calls of its model allow. Its cost divided
	// by this maximum, rounded down, is the cost per mcore, so the sum never exceeds the real cost.
	unitCost := func(m, w int) int64 {
		if s.placed[m][w] || s.copyCost[m][w] <= 0 {
			return 0
		}
		return s.copyCost[m][w] * gainScale / max(1, min(s.Models[m].Lanes*s.laneMcores[w], s.cpuMcores[w], s.modelMcores[m]))
	}
	sum := int64(1 << 62)
	if s.modelBounds != nil && s.decided < len(s.candidates) { // bound the models up to the current one jointly, later ones singly
		lastRank := s.modelRank[s.candidates[s.decided].model]
		included := func(m int) bool { return s.modelRank[m] <= lastRank }
		sum = s.laterBounds[lastRank] - s.minCost(included)
		gain, complete, _ := s.assignShares(&s.net, func(m, w int) bool { return included(m) && (s.placed[m][w] || s.undecided(m, w)) },
			unitCost, s.spendPath)
		if sum += gain; !complete {
			sum = 1 << 62
		}
		if sum <= s.score {
			return sum
		}
	}
	gain, complete, _ := s.assignShares(&s.net, func(m, w int) bool { return s.placed[m][w] || s.undecided(m, w) },
		unitCost, s.spendPath)
	if !complete {
		return sum
	}
	return min(sum, gain-s.minCost(func(int) bool { return true }))
}

// minCost returns the least that the included models can cost, given the decisions so far. It counts undecided copies only if their
// cost is negative, that is, if keeping them is cheaper than unloading them.
func (s *search) minCost(included func(m int) bool) (sum int64) {
	if s.modelUnloadCosts == nil {
		sum = s.unloadAllCost
	}
	for m := range s.placed {
		if !included(m) {
			continue
		}
		if s.modelUnloadCosts != nil {
			sum += s.modelUnloadCosts[m]
		}
		for w, on := range s.placed[m] {
			if on {
				sum += s.copyCost[m][w]
			} else if s.undecided(m, w) {
				sum += min(0, s.copyCost[m][w])
			}
		}
	}
	return sum
}

// copyCapacity returns how much work, in mcores, a copy can serve.
func (s *search) copyCapacity(p candidate) int64 {
	return min(s.Models[p.model].Lanes*s.laneMcores[p.worker], s.cpuMcores[p.worker])
}

// dominated reports whether a candidate can be skipped because an earlier one, which was decided against, is in the same hall, can
// serve as much, costs no more and needs a load only if this one does: a placement with the earlier one instead is as good and is
// found in another branch. This holds only if the problem has a single model.
func (s *search) dominated(index int) bool {
	if len(s.Models) > 1 {
		return false
	}
	p := s.candidates[index]
	for _, other := range s.candidates[:index] {
		if !s.placed[other.model][other.worker] && s.hallOf[other.worker] == s.hallOf[p.worker] &&
			s.copyCost[other.model][other.worker] <= s.copyCost[p.model][p.worker] && s.copyCapacity(other) >= s.copyCapacity(p) &&
			(s.present[other.model][other.worker] || !s.present[p.model][p.worker]) {
			return true
		}
	}
	return false
}

// knapsackBound returns an upper bound on the score that is quick to compute for a problem of any size. It fills the sum of all
// cores with the work of most worth, as if each call were served in its own hall, and counts copies only if their cost is negative.
func (s *search) knapsackBound() int64 {
	type item struct{ worth, mcores int64 }
	var items []item
	for _, m := range s.Models {
		for _, d := range m.Calls {
			items = append(items, item{d.Worth, d.Mcores})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(b.worth, a.worth) })
	freeMcores := int64(0)
	for w := range s.Workers {
		if s.Workers[w].State == "ready" {
			freeMcores += s.cpuMcores[w]
		}
	}
	sum := -s.unloadAllCost
	for _, i := range items {
		taken := min(freeMcores, i.mcores)
		sum += taken * i.worth
		freeMcores -= taken
	}
	for m := range s.Models {
		for w := range s.Workers {
			if s.allowed[m][w] {
				sum -= min(0, s.copyCost[m][w])
			}
		}
	}
	return sum
}
