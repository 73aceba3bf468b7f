package main

import (
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"quillrail/internal/lab/scale"
)

// chart plots one measurement over the size of the fleet or the list, with the target's size and limit.
type chart struct {
	file, x, y string  // file name without extension, and labels of the axes
	target     float64 // size of the target, on x
	limit      float64 // limit of the measurement, on y; 0 for none
	points     plotter.XYs
}

// plotScale draws all charts with at least two points as SVG files into a folder.
func plotScale(r *scale.Result, folder string) error {
	var call, timer, list, core, bytes, inForce plotter.XYs
	for _, x := range r.Routers {
		if x.Functions == r.Routers[0].Functions {
			w := float64(x.Workers)
			call, timer, list = append(call, plotter.XY{X: w, Y: x.FirstUs}), append(timer, plotter.XY{X: w, Y: x.TimerUs}),
				append(list, plotter.XY{X: w, Y: float64(x.ListBytes) / (1 << 20)})
		}
	}
	for _, x := range r.Fleets {
		g := float64(x.Gateways)
		core, bytes, inForce = append(core, plotter.XY{X: g, Y: 100 * x.CorePart}), append(bytes, plotter.XY{X: g, Y: x.SentPerSec}),
			append(inForce, plotter.XY{X: g, Y: x.InForceMs[2]})
	}
	workers, gateways := float64(scale.Target.Workers), float64(scale.Target.Gateways)
	for _, c := range []chart{{"scale-first-call", "workers", "first call of a function, us", workers, 200, call},
		{"scale-timer", "workers", "timer, us", workers, 50, timer}, {"scale-list", "workers", "list, MB", workers, 16, list},
		{"scale-core", "gateways", "a gateway's control, % of a core", gateways, 100 * scale.Target.CorePart, core},
		{"scale-bytes", "gateways", "a gateway's control, bytes sent a second", gateways, scale.Target.BytesPerSec, bytes},
		{"scale-force", "gateways", "a change in force everywhere, ms", gateways, float64(scale.Target.InForce.Milliseconds()), inForce}} {
		if len(c.points) < 2 {
			continue
		}
		if err := c.draw(filepath.Join(folder, c.file+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// draw draws the chart into a file.
func (c chart) draw(path string) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min = c.x, c.y, 0
	line, dots, err := plotter.NewLinePoints(c.points)
	if err != nil {
		return err
	}
	dots.Shape = draw.CircleGlyph{}
	p.Add(line, dots)
	if c.limit > 0 {
		limitLine, err := plotter.NewLine(plotter.XYs{{X: 0, Y: c.limit}, {X: c.target, Y: c.limit}})
		if err != nil {
			return err
		}
		limitLine.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		p.Add(limitLine)
		p.Legend.Add("what the target allows", limitLine)
	}
	targetLine, err := plotter.NewLine(plotter.XYs{{X: c.target, Y: 0}, {X: c.target, Y: max(c.limit, c.points[len(c.points)-1].Y)}})
	if err != nil {
		return err
	}
	targetLine.Color = color.Gray{Y: 128}
	p.Add(targetLine)
	p.Legend.Add("the target's size", targetLine)
	p.Legend.Top = true
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
