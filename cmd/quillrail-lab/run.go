package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"quillrail/internal/lab"
)

// experiment is the content of an experiment file. Times are in seconds from the first request.
type experiment struct {
	Name       string  `toml:"name"`
	Seconds    float64 `toml:"seconds"`
	Gateways   int     `toml:"gateways"`
	Workers    int     `toml:"workers"`
	Halls      int     `toml:"halls"`
	Seed       uint64  `toml:"seed"`
	Fleet      bool    `toml:"fleet"`    // gateways form a fleet and store their state on disk
	StoreLimit int     `toml:"store_at"` // more concurrent loads than this overload the store, 0 for no limit
	ColdS      float64 `toml:"cold_s"`   // how long a worker is cold after its start
	Load       struct {
		Rate      float64 `toml:"rate"`
		Functions int     `toml:"functions"`
		WaitMs    int     `toml:"wait_ms"`
		Unsafe    float64 `toml:"unsafe"`
		Keyed     float64 `toml:"keyed"`
		Tries     int     `toml:"tries"`
	} `toml:"load"`
	Faults []lab.Step `toml:"fault"`
}

// readExperiment reads and checks an experiment file.
func readExperiment(path string) (*experiment, error) {
	var exp experiment
	meta, err := toml.DecodeFile(path, &exp)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	if exp.Seconds <= 0 || exp.Seconds > 3600 || exp.Load.Rate <= 0 || exp.Load.Rate > 20_000 ||
		exp.Load.Functions < 1 || exp.Load.WaitMs < 1 {
		return nil, fmt.Errorf("%s: need seconds up to 3600, load.rate up to 20000, and positive load.functions and load.wait_ms", path)
	}
	return &exp, nil
}

// result is the JSON file of a run.
type result struct {
	Name       string             `json:"name"`
	Totals     lab.Totals         `json:"totals"`
	Counts     lab.Counts         `json:"counts"`
	Latency    map[string]float64 `json:"latency_ms"`
	Lateness   float64            `json:"clients_late_p99_ms"`
	Milestones []lab.Milestone    `json:"marks"`
}

// run runs an experiment and writes its results.
func run(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("run needs exactly one experiment file")
	}
	exp, err := readExperiment(c.Args().First())
	if err != nil {
		return err
	}
	out := c.Root().Writer
	opts := lab.Options{Gateways: exp.Gateways, Workers: exp.Workers, Halls: exp.Halls, Seed: exp.Seed, Log: out,
		Fleet: exp.Fleet, StoreLimit: exp.StoreLimit, ColdFor: time.Duration(exp.ColdS * float64(time.Second))}
	return withFleet(opts, c, func(l *lab.Lab) error {
		traffic := l.Start(lab.Load{Rate: exp.Load.Rate, Functions: exp.Load.Functions, Wait: time.Duration(exp.Load.WaitMs) * time.Millisecond,
			Unsafe: exp.Load.Unsafe, Keyed: exp.Load.Keyed, Tries: exp.Load.Tries})
		runErr := l.RunSteps(exp.Faults, time.Duration(exp.Seconds*float64(time.Second)))
		totals := traffic.End()
		r := result{Name: exp.Name, Totals: totals, Counts: l.Counts(), Latency: map[string]float64{}, Milestones: traffic.Milestones(),
			Lateness: float64(traffic.Lateness(99).Microseconds()) / 1000}
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "requests\tserved\trefused\tfailed\tunanswered\tunreached\tp50 ms\tp99 ms\tp99.9 ms")
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d", totals.Calls, totals.Served, totals.Refused, totals.Failed, totals.Unanswered,
			totals.Unreached)
		for _, percentile := range []float64{50, 99, 99.9} {
			ms := float64(traffic.Latency(percentile).Microseconds()) / 1000
			r.Latency[fmt.Sprint("p", percentile)] = ms
			fmt.Fprintf(table, "\t%.1f", ms)
		}
		fmt.Fprintln(table)
		table.Flush()
		fmt.Fprintf(out, "clients began %.1f ms late at the 99th percentile\n%s\n", r.Lateness, l.Summary(totals))
		if violations := l.Violations(totals); violations != "" {
			runErr = errors.Join(runErr, errors.New(violations))
		}
		return errors.Join(runErr, writeResult(r, filepath.Join(c.String("out"), exp.Name)))
	})
}

// writeResult writes the result as JSON, and a plot of requests by their outcome, to files with this path and an extension.
func writeResult(r result, path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".json", text, 0o644); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = r.Name, "seconds", "requests a second, mean of one second"
	p.Legend.Top = true
	for i, line := range []struct {
		name string
		of   func(lab.Totals) int
	}{{"served", func(t lab.Totals) int { return t.Served }}, {"refused", func(t lab.Totals) int { return t.Refused }},
		{"failed, unanswered", func(t lab.Totals) int { return t.Failed + t.Unanswered + t.Unreached }}} {
		var points plotter.XYs
		for j, k := 0, 0; j < len(r.Milestones); j++ {
			for r.Milestones[j].At-r.Milestones[k].At > time.Second {
				k++
			}
			if d := (r.Milestones[j].At - r.Milestones[k].At).Seconds(); d > 0 {
				points = append(points, plotter.XY{X: r.Milestones[j].At.Seconds(),
					Y: float64(line.of(r.Milestones[j].Totals)-line.of(r.Milestones[k].Totals)) / d})
			}
		}
		if len(points) == 0 {
			continue
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		l.Dashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(2)}, {vg.Points(1), vg.Points(2)}}[i]
		p.Add(l)
		p.Legend.Add(line.name, l)
	}
	return p.Save(20*vg.Centimeter, 10*vg.Centimeter, path+".svg")
}
