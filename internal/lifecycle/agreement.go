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

// Version is the version of the program that gateways of a fleet compare. The program sets it before it starts a gateway.
var Version = "unknown"

// Clock is the clock that Serve gives to the gateway. Middleware, unless nil, wraps the handler to which the fronts pass their calls.
// Only tests set them, to simulate a wrong clock or a version that misbehaves, and only before a gateway starts.
var (
	Clock      = core.NewSteadyClock(core.SystemReading).Now
	Middleware func(httpfront.Core) httpfront.Core
)

// addAgreement adds the agreement part to the fleet node, if the fleet file enables it or has restrictions.
func (g *Gateway) addAgreement(conf *Config) {
	settings := conf.Fleet
	if !settings.Agree.Enabled && len(settings.Site.Restriction) == 0 {
		return
	}
	options := agreement.Options{Name: conf.Name, Hall: nameAt(conf.Site.Zones, conf.Site.Decide.Zone), Halls: conf.Site.Zones,
		Classes: conf.Site.Classes, Tenants: conf.Site.Tenants, TargetVoters: settings.Agree.VoterCount,
		ReplaceAfter:  time.Duration(settings.Agree.ReplaceAfterS * float64(time.Second)),
		HallLostAfter: time.Duration(settings.Site.LostAfterS * float64(time.Second)),
		Limits:        settings.Change,
		Rules:         replog.Rules{ClockBoundMs: settings.Freeze.ClockBoundMs, FreezeAheadMs: int64(settings.Freeze.AheadS * 1000)},
		ColdFor:       conf.Site.Decide.ColdFor, Session: settings.Site.Session, Version: Version, Config: conf.Revision,
		OwnRestrictions: configuredRestrictions(settings)}
	if settings.Agree.Enabled {
		options.InitialVoters = settings.Agree.Voters
	}
	g.node.Add(func(h *fleet.Host) fleet.Part {
		g.agreement = agreement.New(h, (*agreementGateway)(g), options)
		return g.agreement
	})
}

// configuredRestrictions returns the restrictions of the fleet file, which hold at this gateway alone.
func configuredRestrictions(f *fleet.Settings) (out []*site.Restriction) {
	for _, r := range f.Site.Restriction {
		out = append(out, &site.Restriction{Name: r.Name, Tenants: r.Tenants, Classes: r.Classes, Functions: r.Functions, Sites: r.Sites,
			Pin: r.Pin})
	}
	return out
}

// checkRestrictions returns an error if a restriction of the fleet file names a tenant, class or hall that the settings lack.
func checkRestrictions(conf *Config) error {
	for _, r := range configuredRestrictions(conf.Fleet) {
		if err := r.Check(site.KnownNames{Tenants: conf.Site.Tenants, Classes: conf.Site.Classes, Halls: conf.Site.Zones}); err != nil {
			return err
		}
	}
	return nil
}

func nameAt(names []string, i int) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	return ""
}

// agreementGateway is the Gateway as the agreement part uses it: it implements the interface that package agreement requires.
type agreementGateway Gateway

func (a *agreementGateway) Drain(why string) {
	a.log.Info("drained by what was agreed", zap.String("why", why))
	(*Gateway)(a).drainClients()
}
func (a *agreementGateway) Resume()       { (*Gateway)(a).resumeClients() }
func (a *agreementGateway) Serving() bool { return a.front.Ready() && !a.terminating }
func (a *agreementGateway) Warm() bool    { return a.recovery.Phase() == recover.Full }
func (a *agreementGateway) Avoids(id string) bool {
	return a.core != nil && a.core.Avoids(id)
}

// Probe sends a probe to a worker, and calls answered if it succeeds.
func (a *agreementGateway) Probe(id string, answered func()) {
	if a.core != nil {
		a.core.Probe(id, func(good bool) {
			if good {
				answered()
			}
		})
	}
}

func (a *agreementGateway) Ban(id string) {
	if a.core != nil {
		a.core.AdoptBan(roster.Ban{ID: id, Since: a.core.ListedStart(id)})
		ban, banned := a.core.Banned(id)
		a.recovery.BroadcastBan(id, banned, ban.Since)
	}
}

func (a *agreementGateway) Unban(id string) {
	if a.core != nil && a.core.Enable(id) == nil {
		a.recovery.BroadcastBan(id, false, 0)
	}
}

// Copies returns the functions that are believed to be loaded at a worker, and all functions that are believed loaded elsewhere.
func (a *agreementGateway) Copies(id string) (there, elsewhere []string) {
	if a.core == nil {
		return nil, nil
	}
	for _, f := range a.core.ModuleSnapshot().Functions {
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

// RecheckFreezes applies or drops the configuration that was deferred by a freeze, if no freeze forbids it any more.
func (a *agreementGateway) RecheckFreezes() {
	g := (*Gateway)(a)
	if g.pendingConfig == nil || g.agreement.Frozen(freeze.Config) != "" {
		return
	}
	conf := g.pendingConfig
	if g.pendingConfig = nil; g.dropPending {
		g.log.Info("configuration received during a freeze dropped", zap.String("config", conf.Revision))
		return
	}
	g.applyConfig(conf)
}

// ApplyPendingConfig applies the configuration that was deferred by a freeze, since two operators have agreed to an exception.
func (a *agreementGateway) ApplyPendingConfig() {
	if g := (*Gateway)(a); g.pendingConfig != nil && g.feed != nil {
		g.applyConfig(g.pendingConfig)
	}
}

// deferDuringFreeze reports whether a freeze forbids a change of configuration now; then it stores this one for later.
func (g *Gateway) deferDuringFreeze(conf *Config) bool {
	if g.agreement == nil || !g.conf.Fleet.Agree.Enabled {
		return false
	}
	why := g.agreement.Frozen(freeze.Config)
	if why == "" {
		return false
	}
	g.deferredConfigs++
	g.pendingConfig, g.dropPending = conf, g.agreement.Drops(freeze.Config)
	g.log.Warn("configuration not taken", zap.String("why", why), zap.String("config", conf.Revision),
		zap.Bool("dropped_afterwards", g.dropPending))
	return true
}

// placeCall limits a call to the sites where it may run. If it may run nowhere now, placeCall returns the reason in why, with the pause
// after which the client may try again.
func (g *Gateway) placeCall(call *core.Call) (pause time.Duration, why string) {
	zones, epoch, why, pause := g.agreement.Place(call)
	if why != "" {
		return pause, why
	}
	if call.Zones = zones; epoch > 0 {
		if at, ok := call.Reply.(interface{ ServedAt([]byte, uint64) }); ok {
			call.Reply = &sessionReply{call.Reply, at.ServedAt, epoch}
		}
	}
	return 0, ""
}

// sessionReply adds to a reply the epoch of the session in which the call was served.
type sessionReply struct {
	core.Reply
	servedAt func(body []byte, epoch uint64)
	epoch    uint64
}

// Served passes the worker's body on, with the epoch.
func (p *sessionReply) Served(body []byte) { p.servedAt(body, p.epoch) }

// writeAgreementMetrics reports how many configurations freezes have deferred so far, and whether one is pending (0 or 1).
func (g *Gateway) writeAgreementMetrics(gauge func(string, int)) {
	pending := 0
	if g.pendingConfig != nil {
		pending = 1
	}
	gauge("fleet.agreed.config_kept", int(g.deferredConfigs))
	gauge("fleet.agreed.config_waits", pending)
}

// errNoAgreement answers operator calls that need the agreement part where it is not enabled.
var errNoAgreement = fmt.Errorf("this gateway is of no fleet that agrees on anything: see agree in its file")

// requiresPermits reports whether drains and bans need a permit of the fleet.
func (g *Gateway) requiresPermits() bool { return g.agreement != nil && g.conf.Fleet.Agree.Enabled }

// self returns this gateway as the subject of a permit.
func (g *Gateway) self() change.Subject { return change.NewSubject(change.Gateway, g.conf.Name) }
