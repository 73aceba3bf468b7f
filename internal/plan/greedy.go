package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

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
