// Command rollout simulates releases over fleets that are too large to run on one machine. It prints what a release costs with each
// strategy. For fleets of several sizes it prints, and draws as SVG, how long a release takes, how soon a faulty one is halted, and
// how many messages the gateways exchange.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/change/simulation"
)

func options(gateways int, seed uint64) simulation.Options {
	limits := change.DefaultLimits
	limits.Gateways, limits.GatewaysHall = change.Limit{Part: 0.1}, change.Limit{Part: 0.2}
	return simulation.Options{Seed: seed, Gateways: gateways, Halls: 3, CallsPerSecond: 20, Strategy: simulation.Supervised, Limits: limits,
		MaxMs: 3_600_000, UnevenGateways: true,
		Release: change.Release{Name: "r", By: "anna", What: change.Version, To: "v2", VerifyMs: 30_000, MaxVerifyMs: 120_000,
			StepTimeoutMs: 20_000, AutoRollback: true}}
}

// compareStrategies prints the mean costs of each strategy and fault in a fleet of 24 gateways, over the seeds 1 to n.
func compareStrategies(n uint64) {
	fmt.Printf("24 gateways, seeds 1 to %d, means\n%-14s %-8s %10s %12s %10s %8s\n", n, "strategy", "fault", "lost calls", "part of all", "reached",
		"minutes")
	for _, strategy := range []simulation.Strategy{simulation.AllAtOnce, simulation.FixedBatches, simulation.Supervised} {
		for _, fault := range []simulation.Fault{simulation.NoFault, simulation.Crash, simulation.OneClassFails, simulation.SlowTail,
			simulation.TenPercentSlower} {
			var lost, part, reached, minutes float64
			for seed := range n {
				o := options(24, seed+1)
				o.Strategy, o.Fault = strategy, fault
				r := simulation.Run(o)
				lost, part, reached, minutes = lost+r.LostCalls, part+r.LostFraction, reached+r.MaxReached, minutes+float64(r.LengthMs)/60_000
			}
			k := float64(n)
			fmt.Printf("%-14s %-8s %10.0f %12.4f %10.2f %8.1f\n", strategy, fault, lost/k, part/k, reached/k, minutes/k)
		}
	}
}

func main() {
	out := flag.String("out", "", "SVG file to which the plot is written; no plot if empty")
	seeds := flag.Uint64("seeds", 3, "number of seeds with which each strategy is run")
	flag.Parse()
	fmt.Printf("%s, %d cores\n", runtime.GOARCH, runtime.NumCPU())
	compareStrategies(*seeds)
	var whole, halt, bytes, messages plotter.XYs
	fmt.Printf("\ngateways  whole min  halted s  reached  max down  entries  kB/s a gateway  messages/s a gateway  kB/s at the leader\n")
	for _, n := range []int{6, 12, 24, 50, 100, 200, 300} {
		o := options(n, 1)
		r := simulation.Run(o)
		o.Fault = simulation.OneClassFails
		faulty := simulation.Run(o)
		s := float64(r.LengthMs)/1000 + simulation.WarmUp.Seconds()
		kb, msgs := r.Bytes/1000/s, r.Messages/s
		fmt.Printf("%8d  %9.1f  %8.1f  %7.2f  %8d  %7d  %14.2f  %20.1f  %18.0f\n", n, float64(r.HaltOrEndMs)/60_000,
			float64(faulty.HaltOrEndMs)/1000, faulty.MaxReached, r.MaxUnavailable, r.Entries, kb, msgs, kb*float64(n)/2)
		add := func(to *plotter.XYs, y float64) { *to = append(*to, plotter.XY{X: float64(n), Y: y}) }
		add(&whole, float64(r.HaltOrEndMs)/60_000)
		add(&halt, float64(faulty.HaltOrEndMs)/60_000)
		add(&bytes, kb)
		add(&messages, msgs)
	}
	if *out == "" {
		return
	}
	if err := draw(*out, map[string]plotter.XYs{"minutes of a whole release": whole, "minutes until a harmful one is halted": halt,
		"kB/s a gateway": bytes, "messages/s a gateway": messages}); err != nil {
		fmt.Fprintln(os.Stderr, "rollout:", err)
		os.Exit(1)
	}
}

// draw writes a plot of the lines, which are given by the names in its legend, to an SVG file.
func draw(file string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Releases over fleets", "gateways"
	p.X.Scale, p.X.Tick.Marker, p.Y.Min, p.Legend.Top, p.Legend.Left = plot.LogScale{}, plot.LogTicks{}, 0, true, true
	for i, name := range []string{"minutes of a whole release", "minutes until a harmful one is halted", "kB/s a gateway",
		"messages/s a gateway"} {
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return err
		}
		line.Dashes = [][]vg.Length{nil, {vg.Points(6), vg.Points(2)}, {vg.Points(2), vg.Points(2)}, {vg.Points(1), vg.Points(4)}}[i]
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}
