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

// slope is one figure against a size, with the size of the target.
type slope struct {
	file, x, y string
	target     float64 // on x
	most       float64 // on y, 0 for none
	points     plotter.XYs
}

// plotScale draws each slope into a folder.
func plotScale(r *scale.Result, folder string) error {
	var call, timer, list, core, bytes, force plotter.XYs
	for _, x := range r.Routers {
		if x.Functions == r.Routers[0].Functions {
			w := float64(x.Workers)
			call, timer, list = append(call, plotter.XY{X: w, Y: x.FirstUs}), append(timer, plotter.XY{X: w, Y: x.TimerUs}),
				append(list, plotter.XY{X: w, Y: float64(x.ListBytes) / (1 << 20)})
		}
	}
	for _, x := range r.Fleets {
		g := float64(x.Gateways)
		core, bytes, force = append(core, plotter.XY{X: g, Y: 100 * x.CorePart}), append(bytes, plotter.XY{X: g, Y: x.SentPerSec}),
			append(force, plotter.XY{X: g, Y: x.ForceMs[2]})
	}
	workers, gateways := float64(scale.Target.Workers), float64(scale.Target.Gateways)
	for _, s := range []slope{{"scale-first-call", "workers", "first call of a function, us", workers, 200, call},
		{"scale-timer", "workers", "timer, us", workers, 50, timer}, {"scale-list", "workers", "list, MB", workers, 16, list},
		{"scale-core", "gateways", "a gateway's control, % of a core", gateways, 100 * scale.Target.CorePart, core},
		{"scale-bytes", "gateways", "a gateway's control, bytes sent a second", gateways, scale.Target.BytesPerSec, bytes},
		{"scale-force", "gateways", "a change in force everywhere, ms", gateways, float64(scale.Target.InForce.Milliseconds()), force}} {
		if len(s.points) < 2 {
			continue
		}
		if err := s.draw(filepath.Join(folder, s.file+".svg")); err != nil {
			return err
		}
	}
	return nil
}

func (s slope) draw(path string) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min = s.x, s.y, 0
	line, dots, err := plotter.NewLinePoints(s.points)
	if err != nil {
		return err
	}
	dots.Shape = draw.CircleGlyph{}
	p.Add(line, dots)
	if s.most > 0 {
		most, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.most}, {X: s.target, Y: s.most}})
		if err != nil {
			return err
		}
		most.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		p.Add(most)
		p.Legend.Add("what the target allows", most)
	}
	mark, err := plotter.NewLine(plotter.XYs{{X: s.target, Y: 0}, {X: s.target, Y: max(s.most, s.points[len(s.points)-1].Y)}})
	if err != nil {
		return err
	}
	mark.Color = color.Gray{Y: 128}
	p.Add(mark)
	p.Legend.Add("the target's size", mark)
	p.Legend.Top = true
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
