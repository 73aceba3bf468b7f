package plan

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// On thousands of small problems Solve has the same score as trying every placement, and its plan passes Verify. Its verdict is that
// no plan exists exactly if there is none, and then its conflict is minimal.
func TestSolveEqualsBruteForce(t *testing.T) {
	cases, withoutPlan := 2500, 0
	for seed := range uint64(cases) {
		p := randomProblem(rand.New(rand.NewPCG(seed, 1)), 7)
		if err := p.Check(); err != nil {
			t.Fatal(err)
		}
		r := Solve(p, Options{})
		if err := Verify(p, r); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		best, found := bruteForce(p)
		switch {
		case found && (r.Verdict != Optimal || r.Score != best):
			t.Fatalf("seed %d: verdict %s with score %d, want optimal with %d", seed, r.Verdict, r.Score, best)
		case !found && r.Verdict != NoPlan:
			t.Fatalf("seed %d: verdict %s, but no plan exists", seed, r.Verdict)
		case !found:
			withoutPlan++
			requireMinimalConflict(t, seed, p, r.Conflict)
		}
	}
	if withoutPlan < 50 || withoutPlan > cases/2 {
		t.Errorf("%d of %d random problems have no plan, want at least 50 and at most half of them", withoutPlan, cases)
	}
}

// The shares of a placement have the same gain as the best of all possible splits of a few units of work.
func TestSharesEqualBruteForce(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		p := randomProblem(rng, 9)
		p.Workers, p.Models = p.Workers[:min(2, len(p.Workers))], p.Models[:min(2, len(p.Models))]
		for i := range p.Models {
			m := &p.Models[i]
			m.Calls = m.Calls[:min(1, len(m.Calls))]
			for j := range m.Calls {
				m.Calls[j].Hall, m.Calls[j].Mcores = p.Workers[0].Hall, int64(rng.IntN(7))
			}
		}
		p.Present = nil
		for i := range p.Workers { // the small numbers below make cores as well as work the limit
			p.Workers[i].State = "ready"
		}
		in := newInstance(p)
		for w := range in.cpuMcores {
			in.cpuMcores[w], in.laneMcores[w] = int64(rng.IntN(6)), 1
		}
		loaded := func(m, w int) bool { return (int(seed)>>(m*2+w))&1 == 0 }
		var net network
		got, _, _ := in.assignShares(&net, loaded, nil, func() bool { return true })
		if want := bruteForceGain(in, loaded); got != want {
			t.Fatalf("seed %d: gain %d, want %d", seed, got, want)
		}
	}
}

// fleetProblem returns a problem that resembles a site with the given numbers of workers and models.
func fleetProblem(workers, models int) *Problem {
	rng := rand.New(rand.NewPCG(uint64(workers), uint64(models)))
	p := &Problem{Prices: Prices{Cross: 1, Memory: 10, Load: 10, Move: 200}}
	for i := range workers {
		p.Workers = append(p.Workers, Worker{ID: fmt.Sprint("w", i), Hall: fmt.Sprint("hall-", i%3), MemoryMB: 35_000,
			Cores: int64(2 + i%2), SpeedPercent: int64(70 + rng.IntN(40))})
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

// The step limit bounds the work for any input: knapsacks, equal items, one worker, a hundred. A search that is cut off still returns
// a plan that keeps every limit and a proven bound, and the same input gives the same plan.
func TestSolveStopsAtStepLimit(t *testing.T) {
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
	for name, p := range map[string]*Problem{"knapsack": knapsack, "equal": equal, "fleet": fleetProblem(12, 60),
		"large": fleetProblem(100, 300), "nothing": {}, "no workers": {Models: []Model{{ID: "m", MemoryMB: 1, Lanes: 1}}},
		"no models": {Workers: equal.Workers}} {
		if err := p.Check(); err != nil {
			t.Fatal(name, err)
		}
		const maxSteps = 3_000_000
		r := Solve(p, Options{MaxSteps: maxSteps})
		if err := Verify(p, r); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if r.Verdict != Optimal && r.Verdict != BestFound || r.Steps > maxSteps+1_000_000 || r.Bound < r.Score {
			t.Errorf("%s: %s after %d steps, score %d, bound %d", name, r.Verdict, r.Steps, r.Score, r.Bound)
		}
		if again := Solve(p, Options{MaxSteps: maxSteps}); !reflect.DeepEqual(r, again) {
			t.Errorf("%s: a second run with the same input returned a different plan", name)
		}
	}
}

// The time limit ends a search as the step limit does.
func TestSolveStopsAtTimeLimit(t *testing.T) {
	p, now := fleetProblem(12, 60), time.Duration(0)
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	r := Solve(p, Options{Clock: func() time.Duration { now += 100 * time.Millisecond; return now }, TimeLimit: time.Second})
	if err := Verify(p, r); err != nil || r.Verdict != BestFound || now > 1200*time.Millisecond {
		t.Errorf("verdict %s after %v, want best found within 1.2 s: %v", r.Verdict, now, err)
	}
}

// If no plan exists, the verdict says so and the conflict names the limits. If the search is cut off, the verdict is a different one.
func TestSolveVerdictsWithoutPlan(t *testing.T) {
	p := &Problem{Workers: []Worker{{ID: "a", Hall: "x", MemoryMB: 1000, Cores: 1},
		{ID: "b", Hall: "y", MemoryMB: 1000, Cores: 1, State: "draining"}},
		Models: []Model{{ID: "big", MemoryMB: 900, Lanes: 1, MinCopies: 1, Pins: []string{"a"}},
			{ID: "other", MemoryMB: 300, Lanes: 1, MinCopies: 1}}}
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	r := Solve(p, Options{})
	if r.Verdict != NoPlan || !slices.Equal(r.Conflict, []string{"memory of worker a", "worker b is draining",
		"model big is pinned to worker a", "least_copies 1 of model other"}) {
		t.Errorf("verdict %s, conflict %q", r.Verdict, r.Conflict)
	}
	if r := Solve(p, Options{MaxSteps: 1}); r.Verdict != NoneFound || len(r.Copies)+len(r.Conflict) > 0 {
		t.Errorf("with one step: %+v", r)
	}
}

// When a worker drains, copies on other workers stay where they are, because moves have a price.
func TestReplanningMovesFewCopies(t *testing.T) {
	p := fleetProblem(6, 8)
	if err := p.Check(); err != nil {
		t.Fatal(err)
	}
	p.Present = Solve(p, Options{MaxSteps: 5_000_000}).Copies
	if moves := Solve(p, Options{MaxSteps: 5_000_000}).Moves; len(moves) > 0 {
		t.Errorf("replanning from the planned copies moves %v, want no moves", moves)
	}
	p.Workers[0].State = "draining"
	atDrained := 0
	for _, present := range p.Present {
		if present.Worker == p.Workers[0].ID {
			atDrained++
		}
	}
	r := Solve(p, Options{MaxSteps: 5_000_000})
	if err := Verify(p, r); err != nil || len(r.Moves) > 2*atDrained {
		t.Errorf("%d copies were on the draining worker; got %d moves, want at most two per copy: %v", atDrained, len(r.Moves), err)
	}
}

// BenchmarkFleet measures the time and the gap between score and bound for problems of growing size.
func BenchmarkFleet(b *testing.B) {
	for _, size := range [][2]int{{6, 8}, {12, 60}, {30, 120}, {100, 300}} {
		b.Run(fmt.Sprint(size[0], "x", size[1]), func(b *testing.B) {
			p := fleetProblem(size[0], size[1])
			if err := p.Check(); err != nil {
				b.Fatal(err)
			}
			var r *Plan
			for range b.N {
				r = Solve(p, Options{Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, TimeLimit: time.Second})
			}
			b.ReportMetric(100*float64(r.Bound-r.Score)/float64(max(1, r.Bound)), "%gap")
			b.ReportMetric(float64(r.Steps), "steps")
		})
	}
}
