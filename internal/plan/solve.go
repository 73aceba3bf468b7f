package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The verdicts.
const (
	Optimal = "optimal"            // no plan is worth more
	Best    = "best found"         // cut off; Bound says how much more one could be worth
	None    = "no plan exists"     // proven; Conflict says why
	Unknown = "none found in time" // neither a plan nor a proof
)

// Options bound the work. The result depends on Steps alone unless the clock ends it first.
type Options struct {
	Steps int64                // 0: defaultSteps
	Clock func() time.Duration // nil: no limit of time
	Limit time.Duration
}

const (
	defaultSteps = 300_000_000 // about a second
	clockEvery   = 100_000     // steps between two looks at the clock
	flowLimit    = 40_000      // demands times workers up to which shares are found by flows
	aloneShare   = 2           // the bounds of single models take this part of the steps,
	greedShare   = 8           // and the greedy placements this;
	greedTries   = 40          // so many at most
	leastShare   = 8           // a conflict's search may take this part of the steps each time
)

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

// meter counts the work and says when it has to end.
type meter struct {
	steps, most, look int64
	clock             func() time.Duration
	end               time.Duration
	over              bool
}

func (t *meter) step(n int64) bool {
	if t.over {
		return false
	}
	if t.steps += n; t.steps >= t.most {
		t.over = true
	} else if t.clock != nil && t.steps >= t.look {
		t.look = t.steps + clockEvery
		t.over = t.clock() >= t.end
	}
	return !t.over
}

// Solve finds the plan that is worth most, or says why there is none.
func Solve(p *Problem, o Options) *Plan {
	t := &meter{most: cmp.Or(o.Steps, defaultSteps), clock: o.Clock}
	if o.Clock != nil {
		t.end = o.Clock() + o.Limit
	}
	in := number(p)
	start, verdict := in.feasible(nil, t, t.most/leastShare)
	switch verdict {
	case no:
		return &Plan{Verdict: None, Conflict: in.conflict(t), Steps: t.steps}
	case cutOff:
		return &Plan{Verdict: Unknown, Steps: t.steps}
	}
	s := &search{instance: in, meter: t}
	s.begin(start)
	proven := s.score >= s.bound || s.small && s.branch(0)
	for m := range s.x { // the last word on the shares of the best placement
		copy(s.x[m], s.best[m])
	}
	r := s.plan()
	if r.Verdict = Best; proven {
		r.Verdict, r.Bound = Optimal, r.Score
	}
	r.Steps = t.steps
	return r
}

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

// improve tries greedy placements under many orders of the models, always the same ones, and keeps the best.
func (s *search) improve(start [][]bool) {
	rng := rand.New(rand.NewPCG(1, uint64(len(s.Models))))
	density := make([]float64, len(s.Models)) // worth for each MB
	order := make([]int, len(s.Models))
	for m, o := range s.Models {
		order[m] = m
		for _, d := range o.Calls {
			density[m] += float64(d.Mcores*d.Worth) / float64(max(1, o.MemoryMB))
		}
	}
	end, best := s.steps+s.meter.most/greedShare, int64(-1<<62)
	var shares []share
	for n := 0; n < greedTries && (n == 0 || s.steps < end && !s.over); n++ {
		noise := make([]float64, len(order))
		for m := range noise {
			noise[m] = density[m]
			if n > 1 {
				noise[m] *= 0.3 + rng.Float64()
			}
		}
		slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(noise[b], noise[a]), cmp.Compare(a, b)) })
		for m := range s.x {
			for w := range s.x[m] {
				s.set(m, w, start[m][w])
			}
		}
		if s.greed(order, n%2 == 1); s.score > best {
			best, shares = s.score, s.shares
			s.keep()
		}
	}
	s.score, s.shares = best, shares
	for m := range s.x {
		for w := range s.x[m] {
			s.set(m, w, s.best[m][w])
		}
	}
}

// greed takes the models in an order and gives each the copy that adds most, as long as one adds anything; byWorth, it
// does so for the calls of most worth of all models first. Copies that are there already serve first.
func (s *search) greed(order []int, byWorth bool) {
	cpu, lane, left := slices.Clone(s.cpu), grid[int64](s.instance), make([][]int64, len(s.Models))
	s.score, s.shares = 0, nil
	levels := []int64{-1}
	for m, o := range s.Models {
		for _, c := range o.Calls {
			left[m] = append(left[m], c.Mcores)
			if byWorth {
				levels = append(levels, c.Worth)
			}
		}
		for w := range s.Workers {
			lane[m][w] = o.Lanes * s.lane[w]
			if s.present[m][w] && !s.x[m][w] && s.may[m][w] && s.holds[m][w] < 0 { // cheaper to keep than to unload
				if s.set(m, w, true); !s.within(m, w) {
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
			if s.over {
				break
			}
			s.fill(m, level, cpu, lane[m], left[m])
		}
	}
	s.score -= s.costs()
}

// fill serves the calls of a model that are worth at least level.
func (s *search) fill(m int, level int64, cpu, lane, left []int64) {
	byGain := make([]int, 0, len(left))
	for d, c := range s.Models[m].Calls {
		if c.Worth >= level && left[d] > 0 {
			byGain = append(byGain, d)
		}
	}
	if len(byGain) == 0 {
		return
	}
	serve := func(w int, take func(d int, n int64)) (gain int64) {
		room := min(cpu[w], lane[w])
		slices.SortStableFunc(byGain, func(a, b int) int { return cmp.Compare(s.gain(m, b, w), s.gain(m, a, w)) })
		for _, d := range byGain {
			if g := s.gain(m, d, w); g > 0 {
				n := min(room, left[d])
				room -= n
				gain += n * g
				take(d, n)
			}
		}
		s.step(int64(10 + 10*len(byGain)))
		return gain
	}
	use := func(w int) {
		s.score += serve(w, func(d int, n int64) {
			if n > 0 {
				left[d] -= n
				cpu[w] -= n
				lane[w] -= n
				s.shares = append(s.shares, share{m, d, w, n})
			}
		})
	}
	for w := range s.Workers {
		if s.x[m][w] {
			use(w)
		}
	}
	for !s.over {
		best, most := -1, int64(0)
		for w := range s.Workers {
			if s.x[m][w] || !s.may[m][w] || min(cpu[w], lane[w]) == 0 {
				continue
			}
			if gain := serve(w, func(int, int64) {}) - s.holds[m][w]; gain > most {
				s.set(m, w, true)
				fits := s.within(m, w)
				if s.set(m, w, false); fits {
					best, most = w, gain
				}
			}
		}
		if best < 0 {
			return
		}
		s.set(m, best, true)
		use(best)
	}
}

// alone returns a bound on each model's part, and its idle: what it is worth with all workers to itself. What models
// share can only make the sum less.
func (s *search) alone(steps int64) (apart, idles []int64) {
	apart, idles = make([]int64, len(s.Models)), make([]int64, len(s.Models))
	for m := range s.Models {
		q := *s.Problem
		q.Models, q.Present = q.Models[m:m+1], nil
		for _, k := range s.Present {
			if k.Model == q.Models[0].ID {
				q.Present = append(q.Present, k)
			}
		}
		in := number(&q)
		t := &meter{most: steps / int64(len(s.Models)), clock: s.clock, end: s.end}
		idles[m], apart[m] = in.idle, unbounded
		if s.over {
			continue
		}
		if start, a := in.feasible(nil, t, t.most); a == yes {
			o := &search{instance: in, meter: t}
			o.begin(start)
			if o.score >= o.bound || o.small && o.branch(0) {
				apart[m] = o.score
			} else {
				apart[m] = o.bound
			}
		}
		s.step(t.steps)
		s.over = s.over || t.over && t.steps < t.most // by the clock
	}
	return apart, idles
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
