package lab

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Step is one thing that is done to the fleet, At seconds after the first request. What is one of kill, start, pause,
// resume, upgrade, end, mute, unmute (of a gateway), crash, restart, drain (of a worker), reset, cut, heal (of the link
// between a gateway and a worker), power_off and power_on (of all gateways and workers). Gateways and workers count from 1.
type Step struct {
	At      float64 `toml:"at"`
	What    string  `toml:"what"`
	Gateway int     `toml:"gateway"`
	Worker  int     `toml:"worker"`
}

// steps are what a Step may ask for, and whether it names a gateway and a worker.
var steps = map[string]struct {
	gateway, worker bool
	do              func(*Lab, *Gateway, *Worker) error
}{
	"kill":      {true, false, func(_ *Lab, g *Gateway, _ *Worker) error { g.Kill(); return nil }},
	"start":     {true, false, func(_ *Lab, g *Gateway, _ *Worker) error { return g.Start() }},
	"pause":     {true, false, func(_ *Lab, g *Gateway, _ *Worker) error { g.Pause(); return nil }},
	"resume":    {true, false, func(_ *Lab, g *Gateway, _ *Worker) error { g.Resume(); return nil }},
	"upgrade":   {true, false, func(_ *Lab, g *Gateway, _ *Worker) error { return g.Upgrade() }},
	"end":       {true, false, func(_ *Lab, g *Gateway, _ *Worker) error { return g.Terminate() }},
	"mute":      {true, false, func(_ *Lab, g *Gateway, _ *Worker) error { g.Mute(true); return nil }},
	"unmute":    {true, false, func(_ *Lab, g *Gateway, _ *Worker) error { g.Mute(false); return nil }},
	"crash":     {false, true, func(_ *Lab, _ *Gateway, w *Worker) error { w.Crash(); return nil }},
	"restart":   {false, true, func(_ *Lab, _ *Gateway, w *Worker) error { return w.Restart() }},
	"drain":     {false, true, func(_ *Lab, _ *Gateway, w *Worker) error { w.Drain(); return nil }},
	"reset":     {true, true, func(_ *Lab, g *Gateway, w *Worker) error { g.Link(w.n).Reset(); return nil }},
	"cut":       {true, true, func(_ *Lab, g *Gateway, w *Worker) error { g.Link(w.n).Cut(); return nil }},
	"heal":      {true, true, func(_ *Lab, g *Gateway, w *Worker) error { g.Link(w.n).Heal(); return nil }},
	"power_off": {false, false, func(l *Lab, _ *Gateway, _ *Worker) error { l.PowerLoss(l.Gateways, l.Workers); return nil }},
	"power_on":  {false, false, func(l *Lab, _ *Gateway, _ *Worker) error { return l.PowerBack(l.Gateways, l.Workers) }},
}

// check reports what is wrong with a step.
func (l *Lab) check(s Step) error {
	k, ok := steps[s.What]
	switch {
	case !ok:
		return fmt.Errorf("lab: fault %q is unknown", s.What)
	case k.gateway && (s.Gateway < 1 || s.Gateway > len(l.Gateways)):
		return fmt.Errorf("lab: %s at %v: gateway %d of %d", s.What, s.At, s.Gateway, len(l.Gateways))
	case k.worker && (s.Worker < 1 || s.Worker > len(l.Workers)):
		return fmt.Errorf("lab: %s at %v: worker %d of %d", s.What, s.At, s.Worker, len(l.Workers))
	}
	return nil
}

// Play does the steps at their times, and returns after the whole of so long. A step that can't be done is told, and the
// others are done all the same; a plan that names what is not there is refused before anything is.
func (l *Lab) Play(plan []Step, length time.Duration) (err error) {
	for _, s := range plan {
		err = errors.Join(err, l.check(s))
	}
	if err != nil {
		return err
	}
	plan = append([]Step(nil), plan...)
	sort.SliceStable(plan, func(i, j int) bool { return plan[i].At < plan[j].At })
	begun := time.Now()
	for _, s := range plan {
		<-time.After(time.Until(begun.Add(time.Duration(s.At * float64(time.Second)))))
		var g *Gateway
		var w *Worker
		k := steps[s.What]
		if k.gateway {
			g = l.Gateways[s.Gateway-1]
		}
		if k.worker {
			w = l.Workers[s.Worker-1]
		}
		err = errors.Join(err, k.do(l, g, w))
	}
	<-time.After(time.Until(begun.Add(length)))
	return err
}
