package plan

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
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

// On thousands of small problems the solver's score is that of trying everything, its plan passes the checker, and it
// says 'no plan exists' exactly where there is none, with a conflict of which each member is needed.
func TestEqualsBruteForce(t *testing.T) {
	cases, none := 2500, 0
	for seed := range uint64(cases) {
		p := draw(rand.New(rand.NewPCG(seed, 1)), 7)
		if err := p.Check(); err != nil {
			t.Fatal(err)
		}
		r := Solve(p, Options{})
		if err := Verify(p, r); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		best, found := brute(p)
		switch {
		case found && (r.Verdict != Optimal || r.Score != best):
			t.Fatalf("seed %d: %s with %d, the best is %d", seed, r.Verdict, r.Score, best)
		case !found && r.Verdict != None:
			t.Fatalf("seed %d: %s, and there is no plan", seed, r.Verdict)
		case !found:
			none++
			smallest(t, seed, p, r.Conflict)
		}
	}
	if none < 50 || none > cases/2 {
		t.Errorf("%d of %d problems have no plan: the draw shows nothing", none, cases)
	}
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

// The best shares of a placement are those of trying every split of a few units of work.
func TestSharesEqualBruteForce(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		p := draw(rng, 9)
		p.Workers, p.Models = p.Workers[:min(2, len(p.Workers))], p.Models[:min(2, len(p.Models))]
		for i := range p.Models {
			m := &p.Models[i]
			m.Calls = m.Calls[:min(1, len(m.Calls))]
			for j := range m.Calls {
				m.Calls[j].Hall, m.Calls[j].Mcores = p.Workers[0].Hall, int64(rng.IntN(7))
			}
		}
		p.Present = nil
		for i := range p.Workers { // so small that cores bind as well as work does
			p.Workers[i].State = "ready"
		}
		in := number(p)
		for w := range in.cpu {
			in.cpu[w], in.lane[w] = int64(rng.IntN(6)), 1
		}
		open := func(m, w int) bool { return (int(seed)>>(m*2+w))&1 == 0 }
		var net network
		got, _, _ := in.serve(&net, open, nil, func() bool { return true })
		if want := bruteShares(in, open); got != want {
			t.Fatalf("seed %d: gain %d, want %d", seed, got, want)
		}
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

// fleet is a problem of the site's size and kind.
func fleet(workers, models int) *Problem {
	rng := rand.New(rand.NewPCG(uint64(workers), uint64(models)))
	p := &Problem{Prices: Prices{Cross: 1, Memory: 10, Load: 10, Move: 200}}
	for i := range workers {
		p.Workers = append(p.Workers, Worker{ID: fmt.Sprint("w", i), Hall: fmt.Sprint("hall-", i%3), MemoryMB: 35_000,
			Cores: int64(2 + i%2), Speed: int64(70 + rng.IntN(40))})
	}
	for i := range models {
		m := Model{ID: fmt.Sprint("m", i), MemoryMB: int64(2000 + rng.IntN(3500)), Lanes: 2 << rng.IntN(3), LoadMs: 1000 + int64(rng.IntN(900))}
		for h := range 3 {
			m.Calls = append(m.Calls, Call{Class: "read", Hall: fmt.Sprint("hall-", h), Mcores: int64(4000 * workers / (20 * (i + 4))), Worth: 1},
				Call{Class: "command", Hall: fmt.Sprint("hall-", h), Mcores: int64(2000 * workers / (20 * (i + 4))), Worth: 5})
		}
		p.Models = append(p.Models, m)
	}
	return p
}

// The work is bounded by counted steps, whatever the input: knapsacks, equal items, one worker, a hundred. What is cut
// off is still a plan that keeps every limit, under a bound that is proven; the same input gives the same plan.
func TestWorkIsBounded(t *testing.T) {
	knapsack := &Problem{Workers: []Worker{{ID: "w", Hall: "h", MemoryMB: 100_003, Cores: 900}}}
	for i := range 60 {
		knapsack.Models = append(knapsack.Models, Model{ID: fmt.Sprint("m", i), MemoryMB: int64(5000 + 37*i), Lanes: 4,
			Calls: []Call{{Class: "c", Hall: "h", Mcores: int64(5000 + 37*i), Worth: 3}}})
	}
	equal := &Problem{Prices: Prices{Memory: 1}}
	for i := range 12 {
		equal.Workers = append(equal.Workers, Worker{ID: fmt.Sprint("w", i), Hall: "h", MemoryMB: 1000, Cores: 1})
		equal.Models = append(equal.Models, Model{ID: fmt.Sprint("m", i), MemoryMB: 400, Lanes: 1,
			Calls: []Call{{Class: "c", Hall: "h", Mcores: 900, Worth: 3}}})
	}
	for name, p := range map[string]*Problem{"knapsack": knapsack, "equal": equal, "fleet": fleet(12, 60), "large": fleet(100, 300),
		"nothing": {}, "no workers": {Models: []Model{{ID: "m", MemoryMB: 1, Lanes: 1}}}, "no models": {Workers: equal.Workers}} {
		if err := p.Check(); err != nil {
			t.Fatal(name, err)
		}
		const most = 3_000_000
		r := Solve(p, Options{Steps: most})
		if err := Verify(p, r); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if r.Verdict != Optimal && r.Verdict != Best || r.Steps > most+1_000_000 || r.Bound < r.Score {
			t.Errorf("%s: %s after %d steps, score %d, bound %d", name, r.Verdict, r.Steps, r.Score, r.Bound)
		}
		if again := Solve(p, Options{Steps: most}); !reflect.DeepEqual(r, again) {
			t.Errorf("%s: another plan for the same input", name)
		}
	}
}

// The clock ends a search as the steps do.
func TestClockEndsTheSearch(t *testing.T) {
	p, now := fleet(12, 60), time.Duration(0)
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	r := Solve(p, Options{Clock: func() time.Duration { now += 100 * time.Millisecond; return now }, Limit: time.Second})
	if err := Verify(p, r); err != nil || r.Verdict != Best || now > 1200*time.Millisecond {
		t.Errorf("%s after %v: %v", r.Verdict, now, err)
	}
}

// Where no plan exists the conflict names the limits, and 'none found in time' is another verdict.
func TestVerdictsAreKeptApart(t *testing.T) {
	p := &Problem{Workers: []Worker{{ID: "a", Hall: "x", MemoryMB: 1000, Cores: 1}, {ID: "b", Hall: "y", MemoryMB: 1000, Cores: 1, State: "draining"}},
		Models: []Model{{ID: "big", MemoryMB: 900, Lanes: 1, Least: 1, Pins: []string{"a"}}, {ID: "other", MemoryMB: 300, Lanes: 1, Least: 1}}}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	r := Solve(p, Options{})
	if r.Verdict != None || !slices.Equal(r.Conflict, []string{"memory of worker a", "worker b is draining", "model big is pinned to worker a", "least_copies 1 of model other"}) {
		t.Errorf("%s, %q", r.Verdict, r.Conflict)
	}
	if r := Solve(p, Options{Steps: 1}); r.Verdict != Unknown || len(r.Copies)+len(r.Conflict) > 0 {
		t.Errorf("with one step: %+v", r)
	}
}

// When a worker drains, what stands elsewhere stays: moves are priced.
func TestReplanningMovesLittle(t *testing.T) {
	p := fleet(6, 8)
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	p.Present = Solve(p, Options{Steps: 5_000_000}).Copies
	if moves := Solve(p, Options{Steps: 5_000_000}).Moves; len(moves) > 0 {
		t.Errorf("from its own plan it moves %v", moves)
	}
	p.Workers[0].State = "draining"
	stood := 0
	for _, k := range p.Present {
		if k.Worker == p.Workers[0].ID {
			stood++
		}
	}
	r := Solve(p, Options{Steps: 5_000_000})
	if err := Verify(p, r); err != nil || len(r.Moves) > 2*stood {
		t.Errorf("%d copies stood at the worker that drains, %d moves: %v", stood, len(r.Moves), err)
	}
}

// What can't be used is refused with its place.
func TestBadInput(t *testing.T) {
	good := `{"workers":[{"id":"w","hall":"h","memory_mb":1,"cores":1}],"models":[{"id":"m","memory_mb":1,"lanes":1,"calls":[{"class":"c","hall":"h","mcores":5,"worth":1}]}],"present":[{"model":"m","worker":"w"}]}`
	if _, err := ReadJSON([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for old, next := range map[string][2]string{
		`"memory_mb":1,"cores"`:     {`"memory_mb":-1,"cores"`, "workers[0].memory_mb"},
		`"cores":1`:                 {`"cores":1e99`, "workers.cores"},
		`"lanes":1`:                 {`"lanes":0`, "models[0].lanes"},
		`"mcores":5`:                {`"mcores":99999999999`, "models[0].calls[0].mcores"},
		`"hall":"h","mcores"`:       {`"hall":"q","mcores"`, "models[0].calls[0].hall"},
		`{"model":"m","worker":"w"`: {`{"model":"m","worker":"v"`, "present[0]"},
		`"cores":1}`:                {`"cores":1},{"id":"w","hall":"h"}`, "workers[1].id"},
		`"worth":1`:                 {`"worth":NaN`, "byte"},
		`"id":"m"`:                  {`"id":"m","odd":1`, "odd"},
		`]}]`:                       {`]}]}{`, "byte"},
	} {
		text := strings.Replace(good, old, next[0], 1)
		if _, err := ReadJSON([]byte(text)); err == nil || !strings.Contains(err.Error(), next[1]) {
			t.Errorf("%s: %v", next[0], err)
		}
	}
	for text, place := range map[string]string{"[[workers]]\nid = 3": "line 2", "[[workers]]\nodd = 3": "workers.odd", "x": "line 1",
		"[[workers]]\nid = 'w'\nhall = 'h'\nmemory_mb = nan": "line 4"} {
		if _, err := ReadTOML([]byte(text)); err == nil || !strings.Contains(err.Error(), place) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// FuzzInput: any bytes either are refused or give a plan that the checker passes.
func FuzzInput(f *testing.F) {
	f.Add([]byte(`{"workers":[{"id":"w","hall":"h","memory_mb":5,"cores":1}],"models":[{"id":"m","memory_mb":1,"lanes":1,"least_copies":1}]}`))
	f.Add([]byte(`{"models":[{"id":"m","memory_mb":1000000000,"lanes":1024,"least_copies":512}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := ReadJSON(b)
		if err != nil {
			return
		}
		if r := Solve(p, Options{Steps: 100_000}); Verify(p, r) != nil {
			text, _ := json.Marshal(p)
			t.Errorf("%s: %v", text, Verify(p, r))
		}
	})
}

// BenchmarkFleet shows time and gap against size.
func BenchmarkFleet(b *testing.B) {
	for _, size := range [][2]int{{6, 8}, {12, 60}, {30, 120}, {100, 300}} {
		b.Run(fmt.Sprint(size[0], "x", size[1]), func(b *testing.B) {
			p := fleet(size[0], size[1])
			if err := p.Check(); err != nil {
				b.Fatal(err)
			}
			var r *Plan
			for range b.N {
				r = Solve(p, Options{Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, Limit: time.Second})
			}
			b.ReportMetric(100*float64(r.Bound-r.Score)/float64(max(1, r.Bound)), "%gap")
			b.ReportMetric(float64(r.Steps), "steps")
		})
	}
}
