// Command rollout plays releases over fleets of a size that no machine has sockets for, by the pure packages that decide about
// them. It prints what a release costs by each way of going over a fleet, and prints, and draws as SVG, how long one takes, how
// soon a harmful one is halted and what gateways tell each other, against the size of the fleet.
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
	l := change.Defaults
	l.Gateways, l.GatewaysHall = change.Limit{Part: 0.1}, change.Limit{Part: 0.2}
	return simulation.Options{Seed: seed, Gateways: gateways, Halls: 3, PerSecond: 20, Way: simulation.Ours, Limits: l, Length: 3_600_000, Uneven: true,
		Release: change.Release{Name: "r", By: "anna", What: change.Version, To: "v2", ProveMs: 30_000, MostMs: 120_000, StepMs: 20_000, TakeBack: true}}
}

// ways compares the ways of going over a fleet of 24, by seeds 1 to n.
func ways(n uint64) {
	fmt.Printf("24 gateways, seeds 1 to %d, means\n%-14s %-8s %10s %12s %10s %8s\n", n, "way", "fault", "lost calls", "part of all", "reached", "minutes")
	for _, way := range []simulation.Way{simulation.AllAtOnce, simulation.ByTime, simulation.Ours} {
		for _, fault := range []simulation.Fault{simulation.None, simulation.Crash, simulation.Fails, simulation.Slow, simulation.Tenth} {
			var lost, part, reached, minutes float64
			for seed := range n {
				o := options(24, seed+1)
				o.Way, o.Fault = way, fault
				r := simulation.Play(o)
				lost, part, reached, minutes = lost+r.LostCalls, part+r.Lost, reached+r.Reached, minutes+float64(r.Length)/60_000
			}
			k := float64(n)
			fmt.Printf("%-14s %-8s %10.0f %12.4f %10.2f %8.1f\n", way, fault, lost/k, part/k, reached/k, minutes/k)
		}
	}
}

func main() {
	out := flag.String("out", "", "file of the plot, SVG")
	seeds := flag.Uint64("seeds", 3, "seeds that the ways are compared by")
	flag.Parse()
	fmt.Printf("%s, %d cores\n", runtime.GOARCH, runtime.NumCPU())
	ways(*seeds)
	var whole, halt, bytes, messages plotter.XYs
	fmt.Printf("\ngateways  whole min  halted s  reached  out most  entries  kB/s a gateway  messages/s a gateway  kB/s at the leader\n")
	for _, n := range []int{6, 12, 24, 50, 100, 200, 300} {
		o := options(n, 1)
		r := simulation.Play(o)
		o.Fault = simulation.Fails
		bad := simulation.Play(o)
		s := float64(r.Length)/1000 + simulation.WarmUp.Seconds()
		kb, msgs := r.Bytes/1000/s, r.Messages/s
		fmt.Printf("%8d  %9.1f  %8.1f  %7.2f  %8d  %7d  %14.2f  %20.1f  %18.0f\n", n, float64(r.Took)/60_000, float64(bad.Took)/1000, bad.Reached, r.MostOut, r.Entries,
			kb, msgs, kb*float64(n)/2)
		add := func(to *plotter.XYs, y float64) { *to = append(*to, plotter.XY{X: float64(n), Y: y}) }
		add(&whole, float64(r.Took)/60_000)
		add(&halt, float64(bad.Took)/60_000)
		add(&bytes, kb)
		add(&messages, msgs)
	}
	if *out == "" {
		return
	}
	if err := draw(*out, map[string]plotter.XYs{"minutes of a whole release": whole, "minutes until a harmful one is halted": halt, "kB/s a gateway": bytes,
		"messages/s a gateway": messages}); err != nil {
		fmt.Fprintln(os.Stderr, "rollout:", err)
		os.Exit(1)
	}
}

func draw(file string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Releases over fleets", "gateways"
	p.X.Scale, p.X.Tick.Marker, p.Y.Min, p.Legend.Top, p.Legend.Left = plot.LogScale{}, plot.LogTicks{}, 0, true, true
	for i, name := range []string{"minutes of a whole release", "minutes until a harmful one is halted", "kB/s a gateway", "messages/s a gateway"} {
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
