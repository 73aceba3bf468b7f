// Command planplot measures the solver of placements on problems of growing size and draws time and gap against size.
//
//	go run ./tools/planplot docs/plan-measured.svg
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"quillrail/internal/plan"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "planplot:", err)
		os.Exit(1)
	}
}

// fleet draws a problem of the site's kind.
func fleet(workers, models int, seed uint64) *plan.Problem {
	rng := rand.New(rand.NewPCG(seed, uint64(workers)))
	p := &plan.Problem{Prices: plan.Prices{Cross: 1, Memory: 10, Load: 10, Move: 200}}
	for i := range workers {
		p.Workers = append(p.Workers, plan.Worker{ID: fmt.Sprint("w", i), Hall: fmt.Sprint("hall-", i%3), MemoryMB: 35_000,
			Cores: int64(2 + i%2), Speed: int64(70 + rng.IntN(40))})
	}
	for i := range models {
		m := plan.Model{ID: fmt.Sprint("m", i), MemoryMB: int64(2000 + rng.IntN(3500)), Lanes: 2 << rng.IntN(3),
			LoadMs: 1000 + int64(rng.IntN(900))}
		for h := range 3 { // popularity falls as 1 / rank
			work := int64(4000 * workers / (20 * (i + 4)))
			hall := fmt.Sprint("hall-", h)
			m.Calls = append(m.Calls, plan.Call{Class: "read", Hall: hall, Mcores: work, Worth: 1},
				plan.Call{Class: "command", Hall: hall, Mcores: work / 2, Worth: 5})
		}
		p.Models = append(p.Models, m)
	}
	return p
}

func run(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("one file to write is needed")
	}
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	var times, gaps plotter.XYs
	for _, workers := range []int{3, 6, 9, 12, 18, 24, 36, 50, 75, 100} {
		var took, gap float64
		const seeds = 3
		for seed := range uint64(seeds) {
			p := fleet(workers, 3*workers, seed)
			if err := p.Check(); err != nil {
				return err
			}
			start := time.Now()
			r := plan.Solve(p, plan.Options{Clock: clock, Limit: time.Second})
			took += time.Since(start).Seconds() / seeds
			if err := plan.Verify(p, r); err != nil {
				return err
			}
			gap += 100 * float64(r.Bound-r.Score) / float64(max(1, r.Bound)) / seeds
		}
		fmt.Printf("%3d workers, %3d models: %.3f s, gap %.2f %%\n", workers, 3*workers, took, gap)
		times = append(times, plotter.XY{X: float64(workers), Y: 100 * took})
		gaps = append(gaps, plotter.XY{X: float64(workers), Y: gap})
	}
	fig := plot.New()
	fig.Title.Text = "Planned placements: time and gap against size (mean of 3 seeds, 1 s allowed)"
	fig.X.Label.Text = "workers, with three models each"
	fig.Y.Label.Text = "gap to the bound, %;  time, hundredths of a second"
	fig.Y.Min, fig.Legend.Top, fig.Legend.Left = 0, true, true
	if err := plotutil.AddLinePoints(fig, "time", times, "gap", gaps); err != nil {
		return err
	}
	return fig.Save(18*vg.Centimeter, 10*vg.Centimeter, args[0])
}
