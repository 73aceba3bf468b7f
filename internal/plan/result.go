package plan

// Plan is the result of Solve.
type Plan struct {
	Verdict   string    `json:"verdict"`
	Copies    []Copy    `json:"copies,omitempty"`
	Shares    []Share   `json:"shares,omitempty"`
	Moves     []Move    `json:"moves,omitempty"`
	Breakdown Breakdown `json:"price"`
	Score     int64     `json:"score"`
	Bound     int64     `json:"bound"` // no plan has a higher score
	Conflict  []string  `json:"conflict,omitempty"`
	Steps     int64     `json:"steps"`
}

// Share is the part of a demand that a worker is to serve.
type Share struct {
	Model  string `json:"model"`
	Class  string `json:"class"`
	Hall   string `json:"hall"` // of the callers
	Worker string `json:"worker"`
	Mcores int64  `json:"mcores"`
}

// Move is a load or unload on the way from the present copies to the plan.
type Move struct {
	Do     string `json:"do"` // load or unload
	Model  string `json:"model"`
	Worker string `json:"worker"`
}

// unknownBound is the bound of a model whose bound was not found within its steps. The sum over all models still fits into 64 bits.
const unknownBound = 1 << 50

// buildPlan converts the placement in s.placed to a Plan without a verdict.
func (s *search) buildPlan() *Plan {
	shares := s.shares
	if s.usesFlows {
		_, _, listShares := s.assignShares(&s.net, func(m, w int) bool { return s.placed[m][w] }, nil, func() bool { return true })
		shares = listShares()
	}
	result := &Plan{Bound: s.bound, Breakdown: Breakdown{Move: s.unloadAllCost}}
	for _, assigned := range shares {
		call := s.Models[assigned.model].Calls[assigned.demand]
		result.Shares = append(result.Shares, Share{s.Models[assigned.model].ID, call.Class, call.Hall, s.Workers[assigned.worker].ID,
			assigned.mcores})
		result.Breakdown.Worth += assigned.mcores * call.Worth
		if s.demandHall[assigned.model][assigned.demand] != s.hallOf[assigned.worker] {
			result.Breakdown.Cross += assigned.mcores * s.Prices.Cross
		}
	}
	for m := range s.placed {
		for w, on := range s.placed[m] {
			if !on {
				continue
			}
			result.Copies = append(result.Copies, Copy{s.Models[m].ID, s.Workers[w].ID})
			result.Breakdown.Memory += s.memoryCost(m)
			if s.present[m][w] {
				result.Breakdown.Move -= s.Prices.Move
			} else {
				result.Breakdown.Load += s.loadCost(m)
				result.Breakdown.Move += s.Prices.Move
			}
		}
	}
	result.Score = result.Breakdown.Score()
	result.Moves = s.moves()
	return result
}

// moves returns the loads and unloads that lead from the present copies to s.placed. Each load comes directly after the unloads
// that make room for it; the other unloads come last.
func (s *search) moves() (list []Move) {
	heldMB, unloaded := make([]int64, len(s.Workers)), grid[bool](s.instance)
	for m := range s.placed {
		for w := range s.Workers {
			if s.present[m][w] {
				heldMB[w] += s.Models[m].MemoryMB
			}
		}
	}
	unload := func(m, w int) {
		unloaded[m][w] = true
		heldMB[w] -= s.Models[m].MemoryMB
		list = append(list, Move{"unload", s.Models[m].ID, s.Workers[w].ID})
	}
	for m := range s.placed {
		for w := range s.Workers {
			if !s.placed[m][w] || s.present[m][w] {
				continue
			}
			for other := range s.placed {
				if heldMB[w]+s.Models[m].MemoryMB > s.roomMB[w] && s.present[other][w] && !s.placed[other][w] && !unloaded[other][w] {
					unload(other, w)
				}
			}
			heldMB[w] += s.Models[m].MemoryMB
			list = append(list, Move{"load", s.Models[m].ID, s.Workers[w].ID})
		}
	}
	for m := range s.placed {
		for w := range s.Workers {
			if s.present[m][w] && !s.placed[m][w] && !unloaded[m][w] {
				unload(m, w)
			}
		}
	}
	return list
}
