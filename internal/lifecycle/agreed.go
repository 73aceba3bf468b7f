package lifecycle

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet"
	"quillrail/internal/fleet/agreement"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/freeze"
	"quillrail/internal/fleet/recover"
	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/site"
	"quillrail/internal/roster"
	"quillrail/internal/wire/httpfront"
)

// Version is the program's, as the fleet compares it. The program sets it before anything runs.
var Version = "unknown"

// Clock is what the program goes by, and Before stands before the core where it is set: tests have a clock that is off and a
// version that misbehaves. Nothing else sets them, and nothing does once the program runs.
var (
	Clock  = core.NewSteadyClock(core.SystemReading).Now
	Before func(httpfront.Core) httpfront.Core
)

// agreeing adds the part that keeps what the fleet has agreed, where the file says so.
func (g *Gateway) agreeing(c *Config) {
	f := c.Fleet
	if !f.Agree.Enabled && len(f.Site.Restriction) == 0 {
		return
	}
	o := agreement.Options{Name: c.Name, Hall: name(c.Site.Zones, c.Site.Decide.Zone), Halls: c.Site.Zones, Classes: c.Site.Classes, Tenants: c.Site.Tenants,
		Votes: f.Agree.Votes, Replace: time.Duration(f.Agree.Replace * float64(time.Second)), Lost: time.Duration(f.Site.Lost * float64(time.Second)),
		Limits: f.Change, Rules: replog.Rules{ClockBoundMs: f.Freeze.ClockBoundMs, FreezeAheadMs: int64(f.Freeze.AheadS * 1000)},
		ColdFor: c.Site.Decide.ColdFor, Session: f.Site.Session, Version: Version, Config: c.ID, Own: restrictions(f)}
	if f.Agree.Enabled {
		o.First = f.Agree.Voters
	}
	g.node.Add(func(h *fleet.Host) fleet.Part {
		g.agreement = agreement.New(h, (*deeds)(g), o)
		return g.agreement
	})
}

// restrictions are those of the file: this gateway's own.
func restrictions(f *fleet.Settings) (out []*site.Restriction) {
	for _, r := range f.Site.Restriction {
		out = append(out, &site.Restriction{Name: r.Name, Tenants: r.Tenants, Classes: r.Classes, Functions: r.Functions, Sites: r.Sites, Pin: r.Pin})
	}
	return out
}

// checkRestrictions names what the file's restrictions name that this site does not have.
func checkRestrictions(c *Config) error {
	for _, r := range restrictions(c.Fleet) {
		if err := r.Check(site.Known{Tenants: c.Site.Tenants, Classes: c.Site.Classes, Halls: c.Site.Zones}); err != nil {
			return err
		}
	}
	return nil
}

func name(names []string, i int) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	return ""
}

// deeds is what the agreement has the gateway do, and asks of it.
type deeds Gateway

func (d *deeds) Drain(why string) {
	d.log.Info("drained by what was agreed", zap.String("why", why))
	(*Gateway)(d).sendAway()
}
func (d *deeds) Resume()       { (*Gateway)(d).takeAgain() }
func (d *deeds) Serving() bool { return d.front.Ready() && !d.terminating }
func (d *deeds) Warm() bool    { return d.recovery.Phase() == recover.Full }
func (d *deeds) Avoids(id string) bool {
	return d.core != nil && d.core.Avoids(id)
}

// Probe asks a worker whether it answers.
func (d *deeds) Probe(id string, answered func()) {
	if d.core != nil {
		d.core.Probe(id, func(good bool) {
			if good {
				answered()
			}
		})
	}
}

func (d *deeds) Ban(id string) {
	if d.core != nil {
		d.core.Adopt(roster.Ban{ID: id, Since: d.core.ListedStart(id)})
		ban, banned := d.core.Banned(id)
		d.recovery.BroadcastBan(id, banned, ban.Since)
	}
}

func (d *deeds) CallBack(id string) {
	if d.core != nil && d.core.Enable(id) == nil {
		d.recovery.BroadcastBan(id, false, 0)
	}
}

// Copies are the functions that are believed to stand at a worker, and those of them that stand elsewhere too.
func (d *deeds) Copies(id string) (there, elsewhere []string) {
	if d.core == nil {
		return nil, nil
	}
	for _, f := range d.core.Remember().Functions {
		here, other := false, false
		for _, p := range f.Placements {
			if p.Loaded {
				here, other = here || p.Worker == id, other || p.Worker != id
			}
		}
		if here {
			there = append(there, f.Name)
		}
		if other {
			elsewhere = append(elsewhere, f.Name)
		}
	}
	return there, elsewhere
}

// Thawed looks again at a configuration that came in a freeze.
func (d *deeds) Thawed() {
	g := (*Gateway)(d)
	if g.pending == nil || g.agreement.Frozen(freeze.Config) != "" {
		return
	}
	c := g.pending
	if g.pending = nil; g.drops {
		g.log.Info("a configuration that came in a freeze is dropped", zap.String("config", c.ID))
		return
	}
	g.take(c)
}

// Take takes a configuration that came in a freeze, by an exception that two operators have agreed to.
func (d *deeds) Take() {
	if g := (*Gateway)(d); g.pending != nil && g.feed != nil {
		g.take(g.pending)
	}
}

// frozen keeps a configuration back that must not be taken now.
func (g *Gateway) frozen(c *Config) bool {
	if g.agreement == nil || !g.conf.Fleet.Agree.Enabled {
		return false
	}
	why := g.agreement.Frozen(freeze.Config)
	if why == "" {
		return false
	}
	g.kept++
	g.pending, g.drops = c, g.agreement.Drops(freeze.Config)
	g.log.Warn("configuration not taken", zap.String("why", why), zap.String("config", c.ID), zap.Bool("dropped_afterwards", g.drops))
	return true
}

// place keeps a call to the sites where alone it may run, or says why it may run nowhere now.
func (g *Gateway) place(call *core.Call) (pause time.Duration, why string) {
	zones, epoch, why, pause := g.agreement.Place(call)
	if why != "" {
		return pause, why
	}
	if call.Zones = zones; epoch > 0 {
		if at, ok := call.Reply.(interface{ ServedAt([]byte, uint64) }); ok {
			call.Reply = &pinned{call.Reply, at.ServedAt, epoch}
		}
	}
	return 0, ""
}

// pinned tells the client of a session in which epoch its call was served.
type pinned struct {
	core.Reply
	at    func(body []byte, epoch uint64)
	epoch uint64
}

// Served passes on the worker's body.
func (p *pinned) Served(body []byte) { p.at(body, p.epoch) }

// agreedStat words the figures of configurations that were kept back.
func (g *Gateway) agreedStat(gauge func(string, int)) {
	waits := 0
	if g.pending != nil {
		waits = 1
	}
	gauge("fleet.agreed.config_kept", int(g.kept))
	gauge("fleet.agreed.config_waits", waits)
}

// errNoAgreement says that words which need one have none.
var errNoAgreement = fmt.Errorf("this gateway is of no fleet that agrees on anything: see agree in its file")

// asks reports whether drains and bans have to be asked for.
func (g *Gateway) asks() bool { return g.agreement != nil && g.conf.Fleet.Agree.Enabled }

// self is this gateway as the agreement names it.
func (g *Gateway) self() change.Thing { return change.Of(change.Gateway, g.conf.Name) }
