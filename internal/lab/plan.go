package lab

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Step is one fault or other action on the fleet, At seconds after the first request. What is one of kill, start, pause, resume,
// upgrade and end (of a gateway), mute and unmute (of a gateway's bulletin), crash, restart and drain (of a worker), reset, cut and
// heal (of the link between a gateway and a worker), power_off and power_on (of all gateways and workers). Gateways and workers count
// from 1.
type Step struct {
	At      float64 `toml:"at"`
	What    string  `toml:"what"`
	Gateway int     `toml:"gateway"`
	Worker  int     `toml:"worker"`
}

// stepKinds maps each value of Step.What to its action, and states whether the step needs a gateway and a worker.
var stepKinds = map[string]struct {
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
	"reset":     {true, true, func(_ *Lab, g *Gateway, w *Worker) error { g.Link(w.index).Reset(); return nil }},
	"cut":       {true, true, func(_ *Lab, g *Gateway, w *Worker) error { g.Link(w.index).Cut(); return nil }},
	"heal":      {true, true, func(_ *Lab, g *Gateway, w *Worker) error { g.Link(w.index).Heal(); return nil }},
	"power_off": {false, false, func(l *Lab, _ *Gateway, _ *Worker) error { l.PowerLoss(l.Gateways, l.Workers); return nil }},
	"power_on":  {false, false, func(l *Lab, _ *Gateway, _ *Worker) error { return l.PowerRestore(l.Gateways, l.Workers) }},
}

// checkStep returns an error if a step is unknown or names a gateway or worker that doesn't exist.
func (l *Lab) checkStep(step Step) error {
	kind, ok := stepKinds[step.What]
	switch {
	case !ok:
		return fmt.Errorf("lab: unknown fault %q", step.What)
	case kind.gateway && (step.Gateway < 1 || step.Gateway > len(l.Gateways)):
		return fmt.Errorf("lab: fault %s at %v s: no gateway %d, the fleet has gateways 1 to %d", step.What, step.At, step.Gateway,
			len(l.Gateways))
	case kind.worker && (step.Worker < 1 || step.Worker > len(l.Workers)):
		return fmt.Errorf("lab: fault %s at %v s: no worker %d, the fleet has workers 1 to %d", step.What, step.At, step.Worker, len(l.Workers))
	}
	return nil
}

// RunSteps runs the steps of a plan at their times, and returns when the duration is over. The error of a step that fails is
// returned at the end, and the other steps run nevertheless. A plan with an invalid step fails before any step runs.
func (l *Lab) RunSteps(plan []Step, duration time.Duration) (err error) {
	for _, s := range plan {
		err = errors.Join(err, l.checkStep(s))
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
		kind := stepKinds[s.What]
		if kind.gateway {
			g = l.Gateways[s.Gateway-1]
		}
		if kind.worker {
			w = l.Workers[s.Worker-1]
		}
		err = errors.Join(err, kind.do(l, g, w))
	}
	<-time.After(time.Until(begun.Add(duration)))
	return err
}
