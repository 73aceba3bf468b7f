package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// draw makes a small problem: up to six workers and eight models, of which at most `free` places for copies are open,
// so that every placement can be tried.
func draw(rng *rand.Rand, free int) *Problem {
	n := func(least, most int) int64 { return int64(least + rng.IntN(most-least+1)) }
	p := &Problem{Prices: Prices{Cross: n(0, 6), Memory: n(0, 30), Load: n(0, 30), Move: n(0, 3000)}}
	for i := range n(1, 6) {
		w := Worker{ID: fmt.Sprint("w", i), Hall: fmt.Sprint("h", rng.IntN(3)), MemoryMB: n(0, 12) * 1000, Cores: n(0, 3),
			Speed: n(60, 120), Capacity: n(20, 100)}
		if rng.IntN(8) == 0 {
			w.State = []string{"draining", "out"}[rng.IntN(2)]
		}
		p.Workers = append(p.Workers, w)
	}
	open := 0
	for i := range n(1, 8) {
		m := Model{ID: fmt.Sprint("m", i), MemoryMB: n(0, 6) * 1000, Lanes: n(1, 4), LoadMs: n(0, 3000)}
		if rng.IntN(6) == 0 {
			m.Least = n(0, 2)
		}
		if rng.IntN(4) == 0 {
			m.Most = n(1, 3)
		}
		if rng.IntN(12) == 0 {
			m.Halls = n(0, 2)
		}
		for _, w := range p.Workers {
			switch {
			case rng.IntN(80) == 0:
				m.Pins = append(m.Pins, w.ID)
			case open >= free || rng.IntN(4) == 0:
				m.Excludes = append(m.Excludes, w.ID)
			default:
				open++
			}
			if rng.IntN(5) == 0 {
				p.Present = append(p.Present, Copy{m.ID, w.ID})
			}
		}
		for c := range rng.IntN(3) {
			m.Calls = append(m.Calls, Call{Class: fmt.Sprint("c", c), Hall: p.Workers[rng.IntN(len(p.Workers))].Hall,
				Mcores: n(0, 2500), Worth: n(0, 12)})
		}
		p.Models = append(p.Models, m)
	}
	if rng.IntN(3) == 0 {
		p.Limits.Loads = new(int64)
		*p.Limits.Loads = n(0, 5)
	}
	if rng.IntN(4) == 0 {
		p.Limits.FetchMs = new(int64)
		*p.Limits.FetchMs = n(0, 9000)
	}
	p.Limits.Headroom, p.Limits.SurviveHall = n(0, 20), rng.IntN(25) == 0
	return p
}

// brute tries every placement and returns the best score; false if none keeps the limits. Only the best shares of a
// placement come from the code under test, and these are checked by bruteShares.
func brute(p *Problem) (best int64, found bool) {
	in := number(p)
	type place struct{ m, w int }
	var places []place
	x := grid[bool](in)
	for m, o := range p.Models {
		for w, k := range p.Workers {
			switch {
			case slices.Contains(o.Pins, k.ID):
				x[m][w] = true
				if k.State != "ready" || slices.Contains(o.Excludes, k.ID) {
					return 0, false
				}
			case k.State == "ready" && !slices.Contains(o.Excludes, k.ID):
				places = append(places, place{m, w})
			}
		}
	}
	var net network
	for set := range 1 << len(places) {
		for i, q := range places {
			x[q.m][q.w] = set>>i&1 == 1
		}
		if price, ok := bruteCosts(p, x); ok {
			gain, _, _ := in.serve(&net, func(m, w int) bool { return x[m][w] }, nil, func() bool { return true })
			if score := gain - price; !found || score > best {
				best, found = score, true
			}
		}
	}
	return best, found
}

// bruteCosts is what a placement costs, and whether it keeps the limits.
func bruteCosts(p *Problem, x [][]bool) (price int64, ok bool) {
	memory, loads, fetch := make([]int64, len(p.Workers)), int64(0), int64(0)
	for m, o := range p.Models {
		copies, halls := int64(0), map[string]bool{}
		for w, k := range p.Workers {
			stands := k.State == "ready" && slices.Contains(p.Present, Copy{o.ID, k.ID})
			if x[m][w] {
				copies++
				halls[k.Hall] = true
				memory[w] += o.MemoryMB
				price += o.MemoryMB * p.Prices.Memory / 100
				if !stands {
					loads++
					fetch += o.LoadMs
					price += o.LoadMs*p.Prices.Load/100 + p.Prices.Move
				}
			} else if stands {
				price += p.Prices.Move
			}
		}
		over := o.Halls
		if p.Limits.SurviveHall && len(o.Calls) > 0 {
			over = max(over, 2)
		}
		if copies < o.Least || o.Most > 0 && copies > o.Most || int64(len(halls)) < over {
			return 0, false
		}
	}
	for w, k := range p.Workers {
		if memory[w] > k.MemoryMB*(100-p.Limits.Headroom)/100 {
			return 0, false
		}
	}
	l, f := p.Limits.Loads, p.Limits.FetchMs
	return price, (l == nil || loads <= *l) && (f == nil || fetch <= *f)
}

// smallest checks that a conflict is one, and that without any one of its members there is a placement.
func smallest(t *testing.T, seed uint64, p *Problem, conflict []string) {
	in, m := number(p), &meter{most: 1 << 40}
	skip := map[string]bool{}
	all := map[string]bool{loadsLimit: true, fetchLimit: true, surviveLimit: true}
	for _, w := range p.Workers {
		all[memoryOf(w)], all[stateOf(w)] = true, true
		for _, o := range p.Models {
			all[pinOf(o, w)], all[banOf(o, w)], all[leastOf(o)], all[mostOf(o)], all[hallsOf(o)] = true, true, true, true, true
		}
	}
	for name := range all {
		skip[name] = !slices.Contains(conflict, name)
	}
	if _, a := in.feasible(skip, m, 1<<40); a != no || len(conflict) == 0 {
		t.Fatalf("seed %d: %q is no conflict", seed, conflict)
	}
	for _, name := range conflict {
		skip[name] = true
		if _, a := in.feasible(skip, m, 1<<40); a != yes {
			t.Fatalf("seed %d: %q holds without %q as well", seed, conflict, name)
		}
		skip[name] = false
	}
}

func bruteShares(in *instance, open func(m, w int) bool) (best int64) {
	type slot struct{ m, w int }
	var slots []slot
	for m := range in.Models {
		for w := range in.Workers {
			if len(in.Models[m].Calls) > 0 && open(m, w) {
				slots = append(slots, slot{m, w})
			}
		}
	}
	cpu, want := slices.Clone(in.cpu), make([]int64, len(in.Models))
	for m := range in.Models {
		for _, d := range in.Models[m].Calls {
			want[m] = d.Mcores
		}
	}
	var try func(i int, gain int64)
	try = func(i int, gain int64) {
		best = max(best, gain)
		if i == len(slots) {
			return
		}
		s := slots[i]
		for n := int64(0); n <= min(cpu[s.w], want[s.m], in.Models[s.m].Lanes*in.lane[s.w]); n++ {
			cpu[s.w] -= n
			want[s.m] -= n
			try(i+1, gain+n*in.gain(s.m, 0, s.w))
			cpu[s.w] += n
			want[s.m] += n
		}
	}
	try(0, 0)
	return best
}
