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

// admitClients starts to admit clients, by share unless this process took over from one that served. Copies that peers or the
// saved state report count as loaded for admission.
func (c *Recovery) admitClients() {
	gateways := c.host.View().Alive()
	if c.saved != nil {
		gateways = max(gateways, c.saved.Alive)
	}
	c.admission = recover.NewAdmission(recover.AdmissionConfig{FormerRate: c.formerRate,
		FirstLoads: c.settings.FirstLoads, Gateways: gateways}, c.averageCapacity(), c.host.Now())
	for fn := range c.peerState.LoadedCopies {
		c.admission.MarkLoaded(fn)
	}
	if c.saved != nil && c.saved.Module != nil {
		unrestarted := c.unrestartedWorkers()
		for _, f := range c.saved.Module.Functions {
			if slices.ContainsFunc(f.Placements, func(p decide.PlacementSnapshot) bool { return unrestarted[p.Worker] }) {
				c.admission.MarkLoaded(f.Name)
			}
		}
	}
	c.host.SetState(member.Serving)
	if c.tookOver || TrustAll {
		c.admission = nil
		c.endPhase(recover.Admitting, "")
	}
	c.gateway.Serve()
	if c.admission == nil {
		return
	}
	c.host.Log().Info("clients are admitted", zap.Float64("calls_per_s", c.admission.Rate()),
		zap.Int("first_loads", c.admission.MaxFirstLoads()), zap.Int("gateways", gateways))
}

// unrestartedWorkers returns the workers that have not restarted since the state was saved: functions loaded there then may still
// be loaded. Where one is not, the module's limit on loads still applies.
func (c *Recovery) unrestartedWorkers() map[string]bool {
	unrestarted := map[string]bool{}
	for _, h := range c.saved.List {
		if m, listed := c.workers[h.Name]; listed && m.State == decide.Ready && m.Since <= h.Since {
			unrestarted[h.Name] = true
		}
	}
	return unrestarted
}

// averageCapacity returns the part of its full capacity, 0 to 1, that a worker has on average, counting cold workers by age.
func (c *Recovery) averageCapacity() float64 {
	if len(c.workers) == 0 {
		return 1
	}
	sum := 0.0
	for _, m := range c.workers {
		share := 1.0
		if age := c.host.Now() - m.Since; m.Since > 0 && age < c.settings.ColdFor {
			share = c.settings.ColdFrom + (1-c.settings.ColdFrom)*max(0, age.Seconds())/c.settings.ColdFor.Seconds()
		}
		sum += share
	}
	return sum / float64(len(c.workers))
}

// Admit reports whether a call is admitted, and if not, after what time the client should retry.
func (c *Recovery) Admit(function string) (bool, time.Duration) {
	if c.admission == nil || c.phases.Phase() == recover.Full {
		return true, 0
	}
	return c.admission.Admit(c.host.Now(), function), refusalRetryAfter
}

// Observe records the outcome of a call.
func (c *Recovery) Observe(r core.Record) {
	if c.admission == nil || c.phases.Phase() == recover.Full || r.Answer == "gone" {
		return
	}
	served := r.Answer == "served"
	c.admission.RecordOutcome(r.Call.Function, served)
	if served && len(c.foundFunctions) < 4*maxFoundFunctions && !slices.Contains(c.foundFunctions, r.Call.Function) {
		c.foundFunctions = append(c.foundFunctions, r.Call.Function)
	}
}
