package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/recover"
)

// open begins to admit clients.
func (c *Recovery) open() {
	gateways := c.host.View().Alive()
	if c.saved != nil {
		gateways = max(gateways, c.saved.Alive)
	}
	c.admit = recover.NewAdmission(recover.Share{Worth: c.rank, Former: c.former, Loads: c.set.Loads, Gateways: gateways},
		c.bear(), c.host.Now())
	for fn := range c.agreed.Stands {
		c.admit.Stands(fn)
	}
	if c.saved != nil && c.saved.Module != nil {
		kept := c.kept()
		for _, f := range c.saved.Module.Functions {
			if slices.ContainsFunc(f.Placements, func(p decide.PlacementSnapshot) bool { return kept[p.Worker] }) {
				c.admit.Stands(f.Name)
			}
		}
	}
	c.host.Become(member.Serving)
	if c.serves || TrustAll {
		c.admit = nil
		c.pass(recover.Admitting, "")
	}
	c.gw.Serve()
	if c.admit == nil {
		return
	}
	c.host.Log().Info("clients are admitted", zap.Float64("calls_per_s", c.admit.Rate()), zap.Int("first_loads", c.admit.Slots()),
		zap.Int("gateways", gateways))
}

// kept are the workers that have not been started anew since the state was saved: what was loaded there may stand. Where it
// does not, the module's bound on loads still holds.
func (c *Recovery) kept() map[string]bool {
	kept := map[string]bool{}
	for _, h := range c.saved.List {
		if m, listed := c.members[h.Name]; listed && m.State == decide.Ready && m.Since <= h.Since {
			kept[h.Name] = true
		}
	}
	return kept
}

// bear is the part of their capacity that the workers have on average, cold as they are.
func (c *Recovery) bear() float64 {
	if len(c.members) == 0 {
		return 1
	}
	sum := 0.0
	for _, m := range c.members {
		share := 1.0
		if age := c.host.Now() - m.Since; m.Since > 0 && age < c.set.ColdFor {
			share = c.set.ColdFrom + (1-c.set.ColdFrom)*max(0, age.Seconds())/c.set.ColdFor.Seconds()
		}
		sum += share
	}
	return sum / float64(len(c.members))
}

// Admit reports whether a call is taken; where it isn't, how long its client is asked to stay away.
func (c *Recovery) Admit(class int, function string) (bool, time.Duration) {
	if c.admit == nil || c.course.Phase() == recover.Full {
		return true, 0
	}
	return c.admit.Admit(c.host.Now(), class, function), refusal
}

// Observe takes the end of a call.
func (c *Recovery) Observe(r core.Record) {
	if c.admit == nil || c.course.Phase() == recover.Full || r.Answer == "gone" {
		return
	}
	served := r.Answer == "served"
	c.admit.Ended(r.Call.Function, served)
	if served && len(c.foundCopies) < 4*foundCopiesMost && !slices.Contains(c.foundCopies, r.Call.Function) {
		c.foundCopies = append(c.foundCopies, r.Call.Function)
	}
}
