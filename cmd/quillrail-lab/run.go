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

// experiment is the file of a run. Times are in seconds from the first request.
type experiment struct {
	Name     string  `toml:"name"`
	Seconds  float64 `toml:"seconds"`
	Gateways int     `toml:"gateways"`
	Workers  int     `toml:"workers"`
	Halls    int     `toml:"halls"`
	Seed     uint64  `toml:"seed"`
	Fleet    bool    `toml:"fleet"`    // gateways know each other and keep their state on disk
	StoreAt  int     `toml:"store_at"` // loads at once that push the store over, 0 for never
	ColdS    float64 `toml:"cold_s"`   // a worker that starts is warm after so long
	Load     struct {
		Rate      float64 `toml:"rate"`
		Functions int     `toml:"functions"`
		WaitMs    int     `toml:"wait_ms"`
		Unsafe    float64 `toml:"unsafe"`
		Keyed     float64 `toml:"keyed"`
		Tries     int     `toml:"tries"`
	} `toml:"load"`
	Fault []lab.Step `toml:"fault"`
}

func read(path string) (*experiment, error) {
	var e experiment
	meta, err := toml.DecodeFile(path, &e)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	if e.Seconds <= 0 || e.Seconds > 3600 || e.Load.Rate <= 0 || e.Load.Rate > 20_000 || e.Load.Functions < 1 || e.Load.WaitMs < 1 {
		return nil, fmt.Errorf("%s: seconds up to 3600, load.rate up to 20000, load.functions and load.wait_ms are needed", path)
	}
	return &e, nil
}

// result is what a run writes as JSON.
type result struct {
	Name     string             `json:"name"`
	Totals   lab.Totals         `json:"totals"`
	Counts   lab.Counts         `json:"counts"`
	Latency  map[string]float64 `json:"latency_ms"`
	Lateness float64            `json:"clients_late_p99_ms"`
	Marks    []lab.Milestone    `json:"marks"`
}

func run(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("run takes one file")
	}
	e, err := read(c.Args().First())
	if err != nil {
		return err
	}
	out := c.Root().Writer
	o := lab.Options{Gateways: e.Gateways, Workers: e.Workers, Halls: e.Halls, Seed: e.Seed, Log: out, Fleet: e.Fleet, StoreAt: e.StoreAt,
		ColdFor: time.Duration(e.ColdS * float64(time.Second))}
	return with(o, c, func(l *lab.Lab) error {
		t := l.Start(lab.Load{Rate: e.Load.Rate, Functions: e.Load.Functions, Wait: time.Duration(e.Load.WaitMs) * time.Millisecond,
			Unsafe: e.Load.Unsafe, Keyed: e.Load.Keyed, Tries: e.Load.Tries})
		faults := l.Play(e.Fault, time.Duration(e.Seconds*float64(time.Second)))
		n := t.End()
		r := result{Name: e.Name, Totals: n, Counts: l.Counts(), Latency: map[string]float64{}, Marks: t.Marks(),
			Lateness: float64(t.Lateness(99).Microseconds()) / 1000}
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "requests\tserved\trefused\tfailed\tunanswered\tunreached\tp50 ms\tp99 ms\tp99.9 ms")
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d", n.Calls, n.Served, n.Refused, n.Failed, n.Unanswered, n.Unreached)
		for _, q := range []float64{50, 99, 99.9} {
			ms := float64(t.Latency(q).Microseconds()) / 1000
			r.Latency[fmt.Sprint("p", q)] = ms
			fmt.Fprintf(w, "\t%.1f", ms)
		}
		fmt.Fprintln(w)
		w.Flush()
		fmt.Fprintf(out, "clients began %.1f ms late at the 99th percentile\n%s\n", r.Lateness, l.Figures(n))
		if broken := l.Broken(n); broken != "" {
			faults = errors.Join(faults, errors.New(broken))
		}
		return errors.Join(faults, write(r, filepath.Join(c.String("out"), e.Name)))
	})
}

// write writes the JSON and the plot of requests by how they ended.
func write(r result, path string) error {
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
		for j, k := 0, 0; j < len(r.Marks); j++ {
			for r.Marks[j].At-r.Marks[k].At > time.Second {
				k++
			}
			if d := (r.Marks[j].At - r.Marks[k].At).Seconds(); d > 0 {
				points = append(points, plotter.XY{X: r.Marks[j].At.Seconds(), Y: float64(line.of(r.Marks[j].Totals)-line.of(r.Marks[k].Totals)) / d})
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
