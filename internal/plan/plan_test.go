package plan

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

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
