package lifecycle

import (
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet"
	"quillrail/internal/fleet/recover"
	"quillrail/internal/lifecycle/handover"
	"quillrail/internal/roster"
	"quillrail/internal/wire/bulletin"
)

// peers is what the fleet's node sees of the gateway.
type peers Gateway

// comeBack makes the node. Where this process takes over from one that serves, that one still has the gateway's place in
// the fleet and its file: the node starts once it has ended, and nothing has to be recovered. left are the bans of a state
// file, from before the fleet kept its own.
func (g *Gateway) comeBack(c *Config, left []roster.Ban) {
	if c.Fleet == nil || !c.Fleet.Enabled {
		return
	}
	s, d := *c.Fleet, c.Site.Decide
	s.ColdFrom, s.ColdFor = d.ColdFrom, d.ColdFor
	var worth []float64
	for _, k := range d.Classes {
		worth = append(worth, k.Worth)
	}
	lim := recover.Limits{Classes: len(d.Classes), Tenants: len(d.Tenants)}
	g.node = fleet.New(g.loop, &s, c.Name, d.Zone, g.log.Named("fleet"))
	g.node.Add(func(h *fleet.Host) fleet.Part {
		g.recovery = fleet.NewRecovery(h, (*peers)(g), &s, lim, worth, left)
		return g.recovery
	})
	g.agreeing(c)
}

// join takes the gateway's place in the fleet; serves says that this process has taken over from one that served.
func (g *Gateway) join(serves bool) {
	g.recovery.Start(serves)
	g.node.Start()
}

// Begin builds the gateway, unless it serves already.
func (p *peers) Begin(b fleet.Begin) error {
	g := (*Gateway)(p)
	if g.core != nil {
		for _, ban := range b.Roster.Bans {
			g.core.Adopt(ban)
		}
		return nil
	}
	c := *g.conf
	if b.List != nil {
		c.Known, c.Last = []bulletin.Event{{No: b.Event, Complete: true, Members: b.List}}, b.Event
	}
	if err := g.build(&c, handover.State{Roster: b.Roster, Module: b.Module}); err != nil {
		return err
	}
	if m := g.core.Remember(); len(b.Stands) > 0 {
		since := map[string]time.Duration{}
		for _, e := range c.Known {
			for _, w := range e.Members {
				since[w.Name] = w.Since
			}
		}
		for _, s := range b.Stands {
			m.AddCopy(s.Function, s.Worker, since[s.Worker], s.At)
		}
		if err := g.core.Recall(m); err != nil {
			g.log.Warn("copies that others have found are not known here", zap.Error(err))
		}
	}
	g.follow()
	return nil
}

// Serve takes clients.
func (p *peers) Serve() {
	if g := (*Gateway)(p); !g.front.Ready() {
		g.open()
	}
}

func (p *peers) Remember() *decide.Snapshot { return p.core.Remember() }
func (p *peers) Saved() roster.Saved        { return p.core.Saved() }

// Event is the last event of the list.
func (p *peers) Event() uint64 {
	if p.feed == nil {
		return p.conf.Last
	}
	return p.feed.Last()
}

// Ban and CallBack carry out what an operator has said at another gateway.
func (p *peers) Ban(b roster.Ban) { p.core.Adopt(b); p.keep() }
func (p *peers) CallBack(id string) {
	if p.core.Enable(id) == nil {
		p.keep()
	}
}

func (p *peers) keep() {
	if p.upgrade != nil && p.upgrade.saver != nil {
		p.upgrade.save()
	}
}

// Hold leaves workers alone that others know to drain.
func (p *peers) Hold(ids map[string]bool) { p.core.SetDraining(ids) }

// AssumeRate has cold workers judged by the rate that was served before, and bounds the loads under way.
func (p *peers) AssumeRate(perSec float64, loads int) { p.core.AssumeRate(perSec, loads) }

// gate is what fronts give their calls to in a fleet: while the gateway comes back not all are admitted, and some may run at
// stated sites alone.
type gate struct {
	*core.Core
	g *Gateway
}

// Count notes a call that was answered before the core had it: those that compare versions count it as well.
func (t *gate) Count(class int, answer string) {
	t.Core.Count(class, answer)
	if t.g.agreement != nil {
		t.g.agreement.Count(class, answer)
	}
}

// Submit refuses a call that is not admitted yet; nothing has run.
func (t *gate) Submit(call core.Call) core.Ref {
	ok, pause, why := true, time.Duration(0), ""
	if t.g.fresh {
		ok, pause = t.g.recovery.Admit(call.Class, call.Function)
	}
	if ok && t.g.agreement != nil {
		pause, why = t.g.place(&call)
	}
	if !ok || why != "" {
		t.Count(call.Class, "refused")
		call.Reply.Refused(pause, why)
		return 0
	}
	return t.Core.Submit(call)
}

// phase is how far the gateway has come back, for those who ask whether it is ready.
func (g *Gateway) phase() error {
	if g.node == nil {
		return errNotReady
	}
	phase, without := g.recovery.Course()
	if len(without) > 0 {
		phase += ", without " + strings.Join(without, ", ")
	}
	return fmt.Errorf("not ready: %s", phase)
}

// fleetStat words the fleet's figures.
func (g *Gateway) fleetStat(gauge func(string, int)) {
	g.node.Figures(func(name string, value int) { gauge("fleet."+name, value) })
	if g.asks() {
		g.agreedStat(gauge)
	}
}
