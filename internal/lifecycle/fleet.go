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

// fleetGateway is the Gateway as the fleet node uses it: it implements the interface that package fleet requires.
type fleetGateway Gateway

// addFleetNode creates the fleet node, if the gateway belongs to a fleet. While a predecessor runs it is the fleet's member of this
// name and owns the node's file: then the node starts only when that process has ended, and there is nothing to recover. savedBans
// are the bans of the state file; the node adopts them too, since they may date from before the gateway belonged to a fleet.
func (g *Gateway) addFleetNode(conf *Config, savedBans []roster.Ban) {
	if conf.Fleet == nil || !conf.Fleet.Enabled {
		return
	}
	settings, decideConf := *conf.Fleet, conf.Site.Decide
	settings.ColdFrom, settings.ColdFor = decideConf.ColdFrom, decideConf.ColdFor
	dimensions := recover.Dimensions{Classes: len(decideConf.Classes), Tenants: len(decideConf.Tenants)}
	g.node = fleet.New(g.loop, &settings, conf.Name, decideConf.Zone, g.log.Named("fleet"))
	g.node.Add(func(h *fleet.Host) fleet.Part {
		g.recovery = fleet.NewRecovery(h, (*fleetGateway)(g), &settings, dimensions, savedBans)
		return g.recovery
	})
	g.addAgreement(conf)
}

// joinFleet makes the gateway a member of the fleet. serves is true if this process serves already, having taken over from another.
func (g *Gateway) joinFleet(serves bool) {
	g.recovery.Start(serves)
	g.node.Start()
}

// Begin builds the gateway from the recovered state. If the gateway serves already it only adopts the bans.
func (f *fleetGateway) Begin(initial fleet.InitialState) error {
	gateway := (*Gateway)(f)
	if gateway.core != nil {
		for _, ban := range initial.Roster.Bans {
			gateway.core.AdoptBan(ban)
		}
		return nil
	}
	conf := *gateway.conf
	if initial.List != nil {
		conf.KnownEvents, conf.LastEvent = []bulletin.Event{{No: initial.ListEvent, Complete: true, Members: initial.List}}, initial.ListEvent
	}
	if err := gateway.build(&conf, handover.State{Roster: initial.Roster, Module: initial.Module}); err != nil {
		return err
	}
	if memory := gateway.core.ModuleSnapshot(); len(initial.Copies) > 0 {
		since := map[string]time.Duration{}
		for _, e := range conf.KnownEvents {
			for _, w := range e.Members {
				since[w.Name] = w.Since
			}
		}
		for _, loaded := range initial.Copies {
			memory.AddCopy(loaded.Function, loaded.Worker, since[loaded.Worker], loaded.ProvenAt)
		}
		if err := gateway.core.RestoreModule(memory); err != nil {
			gateway.log.Warn("loaded copies reported by other gateways could not be used", zap.Error(err))
		}
	}
	gateway.followList()
	return nil
}

// Serve starts to serve clients, unless the gateway does so already.
func (f *fleetGateway) Serve() {
	if g := (*Gateway)(f); !g.front.Ready() {
		g.acceptClients()
	}
}

func (f *fleetGateway) Remember() *decide.Snapshot { return f.core.ModuleSnapshot() }
func (f *fleetGateway) Saved() roster.Saved        { return f.core.Saved() }

// LastEvent returns the number of the last bulletin event that was applied.
func (f *fleetGateway) LastEvent() uint64 {
	if f.feed == nil {
		return f.conf.LastEvent
	}
	return f.feed.Last()
}

// Ban applies a ban that an operator has imposed at another gateway.
func (f *fleetGateway) Ban(b roster.Ban) { f.core.AdoptBan(b); f.saveState() }

// Unban lifts a ban that an operator has lifted at another gateway.
func (f *fleetGateway) Unban(id string) {
	if f.core.Enable(id) == nil {
		f.saveState()
	}
}

func (f *fleetGateway) saveState() {
	if f.upgrade != nil {
		f.upgrade.save()
	}
}

// Hold excludes from selection the workers that other gateways report as draining.
func (f *fleetGateway) Hold(ids map[string]bool) { f.core.SetDraining(ids) }

// AssumeRate makes the module assess cold workers by the rate of calls per second that was served before the start (0 for none), and
// limits the loads in flight (0 for no limit).
func (f *fleetGateway) AssumeRate(perSec float64, loads int) { f.core.AssumeRate(perSec, loads) }

// admissionGate is the handler of the fronts' calls in a fleet. It refuses calls that recovery does not admit yet, and limits calls to
// the sites that restrictions allow.
type admissionGate struct {
	*core.Core
	gateway *Gateway
}

// Count counts a call that was answered before it reached the core. The agreement part counts it as well, to compare versions.
func (a *admissionGate) Count(class int, answer string) {
	a.Core.Count(class, answer)
	if a.gateway.agreement != nil {
		a.gateway.agreement.Count(class, answer)
	}
}

// Submit passes a call on to the core, or refuses it before any attempt if it is not admitted or may run nowhere.
func (a *admissionGate) Submit(call core.Call) core.Ref {
	ok, pause, why := true, time.Duration(0), ""
	if a.gateway.recovers {
		ok, pause = a.gateway.recovery.Admit(call.Function)
	}
	if ok && a.gateway.agreement != nil {
		pause, why = a.gateway.placeCall(&call)
	}
	if !ok || why != "" {
		a.Count(call.Class, "refused")
		call.Reply.Refused(pause, why)
		return 0
	}
	return a.Core.Submit(call)
}

// notReadyError returns the answer to operators while the gateway is not ready. In a fleet it names the phase of the recovery and what
// the gateway goes on without.
func (g *Gateway) notReadyError() error {
	if g.node == nil {
		return errNotReady
	}
	phase, without := g.recovery.Progress()
	if len(without) > 0 {
		phase += ", without " + strings.Join(without, ", ")
	}
	return fmt.Errorf("not ready: %s", phase)
}

// writeFleetMetrics reports the metrics of the fleet node and of the agreement.
func (g *Gateway) writeFleetMetrics(gauge func(string, int)) {
	g.node.Metrics(func(name string, value int) { gauge("fleet."+name, value) })
	if g.requiresPermits() {
		g.writeAgreementMetrics(gauge)
	}
}
