package plan

// Plan is what was found.
type Plan struct {
	Verdict  string   `json:"verdict"`
	Copies   []Copy   `json:"copies,omitempty"`
	Shares   []Share  `json:"shares,omitempty"`
	Moves    []Move   `json:"moves,omitempty"`
	Price    Price    `json:"price"`
	Score    int64    `json:"score"`
	Bound    int64    `json:"bound"` // no plan is worth more than this
	Conflict []string `json:"conflict,omitempty"`
	Steps    int64    `json:"steps"`
}

// Share is work of one demand that a worker is to serve.
type Share struct {
	Model  string `json:"model"`
	Class  string `json:"class"`
	Hall   string `json:"hall"` // where the calls come from
	Worker string `json:"worker"`
	Mcores int64  `json:"mcores"`
}

// Move is one step from what stands to the plan.
type Move struct {
	Do     string `json:"do"` // load or unload
	Model  string `json:"model"`
	Worker string `json:"worker"`
}

// unbounded stands for a bound that was not found in time. The sum over all models still fits.
const unbounded = 1 << 50

// plan words the placement in x.
func (s *search) plan() *Plan {
	shares := s.shares
	if s.small {
		_, _, list := s.serve(&s.net, func(m, w int) bool { return s.x[m][w] }, nil, func() bool { return true })
		shares = list()
	}
	r := &Plan{Bound: s.bound, Price: Price{Move: s.idle}}
	for _, h := range shares {
		d := s.Models[h.model].Calls[h.demand]
		r.Shares = append(r.Shares, Share{s.Models[h.model].ID, d.Class, d.Hall, s.Workers[h.worker].ID, h.mcores})
		r.Price.Worth += h.mcores * d.Worth
		if s.home[h.model][h.demand] != s.halls[h.worker] {
			r.Price.Cross += h.mcores * s.Prices.Cross
		}
	}
	for m := range s.x {
		for w, on := range s.x[m] {
			if !on {
				continue
			}
			r.Copies = append(r.Copies, Copy{s.Models[m].ID, s.Workers[w].ID})
			r.Price.Memory += s.memoryPrice(m)
			if s.present[m][w] {
				r.Price.Move -= s.Prices.Move
			} else {
				r.Price.Load += s.loadPrice(m)
				r.Price.Move += s.Prices.Move
			}
		}
	}
	r.Score = r.Price.Score()
	r.Moves = s.moves()
	return r
}

// moves orders the way from what stands to x: a load as soon as there is room, after the unloads that it needs.
func (s *search) moves() (list []Move) {
	held, gone := make([]int64, len(s.Workers)), grid[bool](s.instance)
	for m := range s.x {
		for w := range s.Workers {
			if s.present[m][w] {
				held[w] += s.Models[m].MemoryMB
			}
		}
	}
	unload := func(m, w int) {
		gone[m][w] = true
		held[w] -= s.Models[m].MemoryMB
		list = append(list, Move{"unload", s.Models[m].ID, s.Workers[w].ID})
	}
	for m := range s.x {
		for w := range s.Workers {
			if !s.x[m][w] || s.present[m][w] {
				continue
			}
			for o := range s.x {
				if held[w]+s.Models[m].MemoryMB > s.room[w] && s.present[o][w] && !s.x[o][w] && !gone[o][w] {
					unload(o, w)
				}
			}
			held[w] += s.Models[m].MemoryMB
			list = append(list, Move{"load", s.Models[m].ID, s.Workers[w].ID})
		}
	}
	for m := range s.x {
		for w := range s.Workers {
			if s.present[m][w] && !s.x[m][w] && !gone[m][w] {
				unload(m, w)
			}
		}
	}
	return list
}
