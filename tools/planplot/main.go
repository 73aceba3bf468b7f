// Command planplot measures package plan on problems of growing size, and plots the time of Solve and the gap between score and bound
// against the number of workers. The argument is the SVG file to write.
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

// fleetProblem returns a random problem that resembles a site with the given numbers of workers and models.
func fleetProblem(workers, models int, seed uint64) *plan.Problem {
	rng := rand.New(rand.NewPCG(seed, uint64(workers)))
	problem := &plan.Problem{Prices: plan.Prices{Cross: 1, Memory: 10, Load: 10, Move: 200}}
	for i := range workers {
		problem.Workers = append(problem.Workers, plan.Worker{ID: fmt.Sprint("w", i), Hall: fmt.Sprint("hall-", i%3), MemoryMB: 35_000,
			Cores: int64(2 + i%2), SpeedPercent: int64(70 + rng.IntN(40))})
	}
	for i := range models {
		model := plan.Model{ID: fmt.Sprint("m", i), MemoryMB: int64(2000 + rng.IntN(3500)), Lanes: 2 << rng.IntN(3),
			LoadMs: 1000 + int64(rng.IntN(900))}
		for h := range 3 { // the calls of a model are about proportional to 1/rank
			work := int64(4000 * workers / (20 * (i + 4)))
			hall := fmt.Sprint("hall-", h)
			model.Calls = append(model.Calls, plan.Call{Class: "read", Hall: hall, Mcores: work, Worth: 1},
				plan.Call{Class: "command", Hall: hall, Mcores: work / 2, Worth: 5})
		}
		problem.Models = append(problem.Models, model)
	}
	return problem
}

func run(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("want one argument, the SVG file to write, got %d", len(args))
	}
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	var times, gaps plotter.XYs
	for _, workers := range []int{3, 6, 9, 12, 18, 24, 36, 50, 75, 100} {
		var seconds, gap float64
		const seeds = 3
		for seed := range uint64(seeds) {
			problem := fleetProblem(workers, 3*workers, seed)
			if err := problem.Check(); err != nil {
				return err
			}
			start := time.Now()
			result := plan.Solve(problem, plan.Options{Clock: clock, TimeLimit: time.Second})
			seconds += time.Since(start).Seconds() / seeds
			if err := plan.Verify(problem, result); err != nil {
				return err
			}
			gap += 100 * float64(result.Bound-result.Score) / float64(max(1, result.Bound)) / seeds
		}
		fmt.Printf("%3d workers, %3d models: %.3f s, gap %.2f %%\n", workers, 3*workers, seconds, gap)
		times = append(times, plotter.XY{X: float64(workers), Y: 100 * seconds})
		gaps = append(gaps, plotter.XY{X: float64(workers), Y: gap})
	}
	figure := plot.New()
	figure.Title.Text = "Planned placements: time and gap against size (mean of 3 seeds, 1 s allowed)"
	figure.X.Label.Text = "workers, with three models each"
	figure.Y.Label.Text = "gap to the bound, %;  time, hundredths of a second"
	figure.Y.Min, figure.Legend.Top, figure.Legend.Left = 0, true, true
	if err := plotutil.AddLinePoints(figure, "time", times, "gap", gaps); err != nil {
		return err
	}
	return figure.Save(18*vg.Centimeter, 10*vg.Centimeter, args[0])
}
