package agreement

import (
	"fmt"
	"slices"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/safeguard"
	"quillrail/internal/fleet/site"
)

const (
	refusePause        = 500 * time.Millisecond // delay before a retry of a call that may not run at any site
	unknownPause       = 200 * time.Millisecond // delay before a retry while the agreed state is unknown
	hallRecoveredAfter = 3 * time.Second        // time of recovery after which a lost hall serves again
)

// Place decides where a call may run. zones are the zone numbers of the permitted sites, nil for all. If the call may
// not run anywhere now, why is the reason and pause the delay before a retry. epoch is the epoch of the session's site,
// 0 if the call has none.
func (a *Agent) Place(call *core.Call) (zones []int, epoch uint64, why string, pause time.Duration) {
	state := a.State()
	if state == nil && len(a.options.OwnRestrictions) == 0 {
		if a.options.InitialVoters == nil || !safeguard.Enabled("asks first") {
			return nil, 0, "", 0
		}
		return nil, 0, "it is not known yet what is agreed", unknownPause
	}
	request := site.Call{Class: call.ClassName, Function: call.Function, Session: a.session(call)}
	if call.Tenant >= 0 && call.Tenant < len(a.options.Tenants) {
		request.Tenant = a.options.Tenants[call.Tenant]
	}
	if state == nil {
		state = &replog.State{Site: &site.State{}}
	}
	agreed := state.Site
	if !safeguard.Enabled("session epoch") { // without this guard each gateway moves sessions by its own observations
		own := *agreed
		own.Down = slices.DeleteFunc(slices.Clone(a.options.Halls), func(h string) bool {
			for name, m := range a.observed.members {
				if isReady(m) && a.hallName(m.Zone) == h && !a.gateway.Avoids(name) {
					return true
				}
			}
			return false
		})
		agreed = &own
	}
	placement := agreed.Place(request, a.options.OwnRestrictions)
	if !placement.Restricted || !safeguard.Enabled("restrictions") {
		return nil, 0, "", 0
	}
	if !a.caughtUp && a.options.InitialVoters != nil && safeguard.Enabled("asks first") {
		return nil, 0, "it is not known yet whether what is agreed is still so", unknownPause
	}
	zones = []int{}
	for i, h := range a.options.Halls {
		if slices.Contains(placement.Sites, h) {
			zones = append(zones, i)
		}
	}
	if len(zones) == 0 {
		return nil, 0, "no permitted site is up", refusePause
	}
	if !a.hasWorker(zones) {
		return nil, 0, fmt.Sprintf("no worker serves at %v", placement.Sites), refusePause
	}
	if placement.Pinned {
		epoch = placement.Epoch
	}
	return zones, epoch, "", 0
}

// session returns the identifier of a call's session.
func (a *Agent) session(call *core.Call) string {
	switch a.options.Session {
	case "tenant":
		return fmt.Sprint(call.Tenant)
	case "function":
		return call.Function
	}
	return call.Key
}

// ZoneOf returns the zone number of the hall that a worker is listed in, -1 if there is none.
func (a *Agent) ZoneOf(worker string) int {
	if m, ok := a.observed.members[worker]; ok {
		return m.Zone
	}
	return -1
}

// hasWorker reports whether any of the zones has a worker that is ready and not banned.
func (a *Agent) hasWorker(zones []int) bool {
	for name, m := range a.observed.members {
		if isReady(m) && slices.Contains(zones, m.Zone) && !a.permits.banned[name] {
			return true
		}
	}
	return false
}

// updateHalls proposes to declare halls lost or recovered, and to widen restrictions that wait until all gateways have
// applied them.
func (a *Agent) updateHalls(state *replog.State, now time.Duration) {
	lead := &a.lead
	answered, unanswered, reporting := map[string]bool{}, map[string]int{}, 0
	for _, report := range lead.reports {
		if now-report.receivedAt <= reportMaxAge {
			reporting++
			for _, hall := range report.AnsweredHalls {
				answered[hall] = true
			}
			for _, hall := range report.UnansweredHalls {
				unanswered[hall]++
			}
		}
	}
	inService, restarted := map[string]int{}, map[string]bool{}
	for subject, known := range state.Change.Subjects {
		if subject.Kind() == change.Worker && known.Health != change.Unavailable {
			inService[known.Hall]++
			restarted[known.Hall] = restarted[known.Hall] || known.Incarnation > 0 &&
				time.Duration(known.Incarnation)*time.Millisecond > lead.lostAt[known.Hall]
		}
	}
	for _, hall := range a.options.Halls {
		down := slices.Contains(state.Site.Down, hall)
		since := func(m map[string]time.Duration, holds bool) time.Duration {
			if !holds {
				delete(m, hall)
				return 0
			}
			if m[hall] == 0 {
				m[hall] = now
			}
			return now - m[hall]
		}
		// A hall is lost if all of its workers are unavailable, or if two gateways send calls there and get no answers.
		// A hall without calls is not lost. It has recovered once a gateway gets an answer there or a worker there has
		// been restarted since.
		lostFor := since(lead.seemsLostSince, reporting > 0 && !answered[hall] &&
			(inService[hall] == 0 || unanswered[hall] >= min(2, reporting)))
		recoveredFor := since(lead.seemsRecoveredSince, answered[hall] || restarted[hall])
		switch {
		case !down && lostFor > a.options.HallLostAfter:
			lead.lostAt[hall] = now
			a.proposeAsLeader("lose", replog.NameBody{Name: hall})
		case down && recoveredFor > hallRecoveredAfter:
			a.proposeAsLeader("back", replog.NameBody{Name: hall})
		}
	}
	for _, rule := range state.Site.PendingLoosening() {
		if a.allApplied(state, rule.ID, now) {
			a.proposeAsLeader("widen", replog.NameBody{Name: rule.Name})
		}
	}
}

// allApplied reports whether every gateway has applied an entry or is known to be unavailable because of a permit in
// use. Gateways that have left the agreed state do not count.
func (a *Agent) allApplied(state *replog.State, index uint64, now time.Duration) bool {
	if !safeguard.Enabled("all have heard") {
		return true
	}
	for subject := range state.Change.Subjects {
		if subject.Kind() != change.Gateway {
			continue
		}
		if report := a.lead.reports[subject.Name()]; report != nil && now-report.receivedAt <= reportMaxAge &&
			report.Index >= index {
			continue
		}
		if permit := state.Change.PermitOf(subject); permit != nil && permit.Phase >= change.InUse {
			continue
		}
		return false
	}
	return true
}

// Capacity returns the number of healthy workers at a restriction's sites, and the calls/s that the restriction applies
// to, as measured now.
func (a *Agent) Capacity(r *site.Restriction, state *replog.State) (workers int, load float64) {
	for subject, known := range state.Change.Subjects {
		if subject.Kind() == change.Worker && known.Health == change.Healthy && slices.Contains(r.Sites, known.Hall) {
			workers++
		}
	}
	for _, report := range a.lead.reports {
		for i, rate := range report.CallRates {
			call := site.Call{Tenant: nameAt(a.options.Tenants, i/max(1, len(a.options.Classes))),
				Class: nameAt(a.options.Classes, i%max(1, len(a.options.Classes)))}
			restriction := *r
			restriction.Functions = nil // call rates are not reported by function, so the calls of all functions count
			if restriction.Matches(call) {
				load += rate
			}
		}
	}
	return workers, load
}

func nameAt(names []string, index int) string {
	if index >= 0 && index < len(names) {
		return names[index]
	}
	return ""
}
