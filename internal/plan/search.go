package plan

import (
	"cmp"
	"slices"
)

type pair struct{ m, w int }

// search is branch and bound over the copies.
type search struct {
	*instance
	*meter
	net     network
	small   bool     // enough for flows
	free    []pair   // what is to be decided, in this order
	place   [][]int  // of a pair in free, -1 where it is not to be decided
	at      int      // so many of free are decided
	x       [][]bool // copies as decided
	used    []int64  // memory by worker
	count   []int    // copies by model
	work    []int64  // all calls of a model
	apart   []int64  // what a model is worth at most, alone; nil where there is but one
	idles   []int64  // idle, by model
	rank    []int    // of a model in the order of free
	later   []int64  // by rank: apart of the models that come after
	best    [][]bool
	shares  []share // of best, where flows are too large
	score   int64
	bound   int64
	loads   int64
	fetchMs int64
}

func grid[T any](in *instance) [][]T {
	g := make([][]T, len(in.Models))
	for m := range g {
		g[m] = make([]T, len(in.Workers))
	}
	return g
}

// begin takes a first placement, makes it better by greed, and orders what is to be decided.
func (s *search) begin(start [][]bool) {
	demands := 0
	for _, m := range s.Models {
		demands += len(m.Calls)
	}
	s.small = demands*len(s.Workers) <= flowLimit
	s.x, s.best, s.used, s.count = grid[bool](s.instance), grid[bool](s.instance), make([]int64, len(s.Workers)), make([]int, len(s.Models))
	s.improve(start)
	s.bound = s.knapsack()
	if len(s.Models) > 1 {
		s.apart, s.idles = s.alone(s.meter.most / aloneShare)
		sum := int64(0)
		for _, v := range s.apart {
			sum += v
		}
		s.bound = min(s.bound, sum)
	}
	if !s.small {
		return
	}
	s.score = s.value()
	s.keep()
	for m := range s.x {
		for w, on := range s.x[m] {
			if on {
				s.set(m, w, false)
			}
		}
	}
	s.place = grid[int](s.instance)
	worth := make([]int64, len(s.Models))
	s.work = make([]int64, len(s.Models))
	for m := range s.Models {
		for _, d := range s.Models[m].Calls {
			s.work[m] += d.Mcores
			worth[m] += d.Mcores * d.Worth
		}
		for w := range s.Workers {
			s.place[m][w] = -1
			switch {
			case s.pins[m][w]:
				s.set(m, w, true)
			case s.may[m][w] && s.Models[m].MemoryMB <= s.room[w]:
				s.free = append(s.free, pair{m, w})
			}
		}
	}
	slices.SortStableFunc(s.free, func(a, b pair) int {
		return cmp.Or(cmp.Compare(worth[b.m], worth[a.m]), cmp.Compare(a.m, b.m), cmp.Compare(s.holds[a.m][a.w], s.holds[b.m][b.w]),
			cmp.Compare(s.takes(b), s.takes(a)))
	})
	for i, p := range s.free {
		s.place[p.m][p.w] = i
	}
	if s.apart == nil {
		return
	}
	order := make([]int, len(s.Models))
	for m := range order {
		order[m] = m
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worth[b], worth[a]) }) // as in free
	s.rank, s.later = make([]int, len(order)), make([]int64, len(order))
	sum := int64(0)
	for i := len(order) - 1; i >= 0; i-- {
		s.rank[order[i]], s.later[i] = i, sum
		sum += s.apart[order[i]]
	}
}

func (s *search) set(m, w int, on bool) {
	if s.x[m][w] == on {
		return
	}
	s.x[m][w] = on
	n, mb, ms := 1, s.Models[m].MemoryMB, s.Models[m].LoadMs
	if !on {
		n, mb, ms = -1, -mb, -ms
	}
	s.count[m] += n
	s.used[w] += mb
	if !s.present[m][w] {
		s.loads += int64(n)
		s.fetchMs += ms
	}
}

// within reports whether memory, load and most of what is decided are within the limits.
func (s *search) within(m, w int) bool {
	return s.used[w] <= s.room[w] && s.count[m] <= s.mostCopies(m) &&
		(s.Limits.Loads == nil || s.loads <= *s.Limits.Loads) && (s.Limits.FetchMs == nil || s.fetchMs <= *s.Limits.FetchMs)
}

// enough reports whether a model has, or may still get, what it needs.
func (s *search) enough(m int) bool {
	copies, halls := 0, map[int]bool{}
	for w := range s.Workers {
		if s.x[m][w] || s.open(m, w) {
			copies++
			halls[s.halls[w]] = true
		}
	}
	return copies >= s.need(m) && len(halls) >= s.spread[m]
}

// open reports whether a copy is still to be decided.
func (s *search) open(m, w int) bool { return s.place != nil && s.place[m][w] >= s.at }

// costs are the points of what is decided to stand, and of what stands to be unloaded.
func (s *search) costs() int64 {
	sum := s.idle
	for m := range s.x {
		for w, on := range s.x[m] {
			if on {
				sum += s.holds[m][w]
			}
		}
	}
	return sum
}

// value is what the placement in x is worth.
func (s *search) value() int64 {
	gain, _, _ := s.serve(&s.net, func(m, w int) bool { return s.x[m][w] }, nil, s.stepOf)
	return gain - s.costs()
}

func (s *search) stepOf() bool { return s.step(int64(len(s.net.arcs))) }

func (s *search) keep() {
	for m := range s.x {
		copy(s.best[m], s.x[m])
	}
}

// branch decides the pairs from at on; false if it was cut off.
func (s *search) branch(at int) bool {
	s.at = at
	bound := s.relaxed()
	if s.over {
		return false
	}
	if at == 0 {
		s.bound = min(s.bound, bound)
	}
	if bound <= s.score {
		return true
	}
	if at == len(s.free) {
		for m := range s.Models {
			if !s.enough(m) {
				return true
			}
		}
		s.score = bound // nothing is open: the bound is the value
		s.keep()
		return true
	}
	p := s.free[at]
	first := s.best[p.m][p.w]
	for _, on := range []bool{first, !first} {
		s.set(p.m, p.w, on)
		s.at = at + 1
		if on && s.within(p.m, p.w) && !s.outdone(at) || !on && s.enough(p.m) {
			if !s.branch(at + 1) {
				return false
			}
		}
		s.set(p.m, p.w, false)
	}
	return true
}
