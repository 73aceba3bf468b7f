package plan

import (
	"cmp"
	"slices"
)

// relaxed is what no placement is worth more than that keeps to what is decided: what is not decided may serve, and
// costs in proportion to that.
func (s *search) relaxed() int64 {
	// A copy takes as much at most as its lanes, the cores and its calls, so each unit bears that part of its points,
	// rounded down.
	toll := func(m, w int) int64 {
		if s.x[m][w] || s.holds[m][w] <= 0 {
			return 0
		}
		return s.holds[m][w] * fine / max(1, min(s.Models[m].Lanes*s.lane[w], s.cpu[w], s.work[m]))
	}
	sum := int64(1 << 62)
	if s.apart != nil && s.at < len(s.free) { // the models up to the one at hand together, the others alone
		last := s.rank[s.free[s.at].m]
		part := func(m int) bool { return s.rank[m] <= last }
		sum = s.later[last] - s.rest(part)
		gain, whole, _ := s.serve(&s.net, func(m, w int) bool { return part(m) && (s.x[m][w] || s.open(m, w)) }, toll, s.stepOf)
		if sum += gain; !whole {
			sum = 1 << 62
		}
		if sum <= s.score {
			return sum
		}
	}
	gain, whole, _ := s.serve(&s.net, func(m, w int) bool { return s.x[m][w] || s.open(m, w) }, toll, s.stepOf)
	if !whole {
		return sum
	}
	return min(sum, gain-s.rest(func(int) bool { return true }))
}

// rest is what some models cost at least, as far as it is decided.
func (s *search) rest(part func(m int) bool) (sum int64) {
	if s.idles == nil {
		sum = s.idle
	}
	for m := range s.x {
		if !part(m) {
			continue
		}
		if s.idles != nil {
			sum += s.idles[m]
		}
		for w, on := range s.x[m] {
			if on {
				sum += s.holds[m][w]
			} else if s.open(m, w) {
				sum += min(0, s.holds[m][w])
			}
		}
	}
	return sum
}

// takes is how much work a copy can take.
func (s *search) takes(p pair) int64 { return min(s.Models[p.m].Lanes*s.lane[p.w], s.cpu[p.w]) }

// outdone reports, for a model alone, whether a worker of the same hall that takes as much and costs no more was left
// out: a placement with that one instead is as good, and is found without this one.
func (s *search) outdone(at int) bool {
	if len(s.Models) > 1 {
		return false
	}
	p := s.free[at]
	for _, o := range s.free[:at] {
		if !s.x[o.m][o.w] && s.halls[o.w] == s.halls[p.w] && s.holds[o.m][o.w] <= s.holds[p.m][p.w] && s.takes(o) >= s.takes(p) &&
			(s.present[o.m][o.w] || !s.present[p.m][p.w]) {
			return true
		}
	}
	return false
}

// knapsack is a bound that is quick at any size: the work with most worth that all cores together take, each demand in
// its own hall, less what stands for nothing.
func (s *search) knapsack() int64 {
	type item struct{ worth, mcores int64 }
	var items []item
	for _, m := range s.Models {
		for _, d := range m.Calls {
			items = append(items, item{d.Worth, d.Mcores})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(b.worth, a.worth) })
	left := int64(0)
	for w := range s.Workers {
		if s.Workers[w].State == "ready" {
			left += s.cpu[w]
		}
	}
	sum := -s.idle
	for _, i := range items {
		n := min(left, i.mcores)
		sum += n * i.worth
		left -= n
	}
	for m := range s.Models {
		for w := range s.Workers {
			if s.may[m][w] {
				sum -= min(0, s.holds[m][w])
			}
		}
	}
	return sum
}
