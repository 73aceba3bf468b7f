package decide

// Attempts: when they are overdue, hedged, retracted or answered, and the checks that every send has to pass.

import (
	"maps"
	"math"
	"slices"
)

// sweep runs on the timer: leases, worker health, overdue calls, held requests that can't be served in time.
func (r *Router) sweep() {
	r.checkList()
	r.probeForLeases()
	r.orderForLeases()
	r.judgeHealth()
	r.requests = slices.DeleteFunc(r.requests, func(req *request) bool { return req.ended })
	for _, req := range r.requests {
		if req.held {
			if why := r.giveUpReason(req); why != NotGivenUp {
				r.giveUp(req, why)
			}
		} else if req.inflight == 1 && !req.streams {
			r.checkOverdue(req)
		}
	}
	if r.now-r.prunedAt > forgetAfter { // forget functions without recent calls
		r.prunedAt = r.now
		maps.DeleteFunc(r.funcs, func(_ string, f *function) bool {
			return r.now-f.usedAt > forgetAfter && !slices.ContainsFunc(f.placements, r.believedWarm)
		})
		clear(r.kinds) // held requests keep theirs
		r.prune()
		r.recount()
	}
}

// giveUpReason returns why a request without an attempt in flight should be answered now, or NotGivenUp. Its
// caller waits until the deadline, for a first attempt as for a further one.
func (r *Router) giveUpReason(req *request) Reason {
	switch {
	case r.noLeases:
		return ListOutdated
	case ms(req.deadline-r.now) <= r.timeNeeded(req):
		return NoTime
	case len(req.attempts) >= r.settings.MaxAttempts:
		return NoAttempts
	case !r.mayRepeat(req, nil):
		return MayHaveRun
	case len(req.zones) > 0 && r.index.CountIn(req.zones) == 0:
		return NoZone
	}
	return NotGivenUp
}

// checkOverdue ejects the worker of an overdue attempt and hedges the call. This guards against workers that
// are silent, slow or paused; in an overload it could eject workers that are merely busy.
func (r *Router) checkOverdue(req *request) {
	a := &req.attempts[len(req.attempts)-1]
	if !a.done && !a.overdue && r.now-a.sentAt >= r.overdueAfter(req, a) {
		if a.overdue = true; a.overtaken < maxOvertaken { // otherwise the worker is well, but lost this call
			r.eject(a.worker, req.class)
		}
		if r.overdueShare += 2 * meanGain * (1 - r.overdueShare); a.warm && r.overdueShare > maxOverdueShare {
			r.dropUnconfirmed(a.sentAt)
		}
	}
	c, lossy := r.classes[req.class], fade(a.worker.losses, r.now-a.worker.lossAt, lossFadeTime) >= minLosses
	if past := ms(r.now-a.sentAt) - c.mean; !a.done && !a.hedged &&
		(a.overtaken >= maxOvertaken && past >= overdueDevs*c.dev || lossy && past >= hedgeDevs*c.dev) {
		r.hedge(req, a)
	}
}

// countOvertaken counts an answered call for each call in flight to the same copy that was sent before it.
func (r *Router) countOvertaken(answered *attempt) {
	for _, req := range r.requests {
		for i := range req.attempts {
			if a := &req.attempts[i]; !req.ended && a.placement == answered.placement && !a.done &&
				a.sentAt < answered.sentAt {
				a.overtaken++
			}
		}
	}
}

// hedge sends a call that may be lost again: to another warm worker with a free lane, else to the same one,
// which drops a repeat of a key. Hedges are limited, and none is sent in an overload, since they add load.
func (r *Router) hedge(req *request, a *attempt) {
	if !r.settings.Parallel || !a.warm || r.hedgeTokens < 1 || r.overloaded() {
		return
	}
	w, free := r.chooseWarm(req, true)
	if p := req.fn.placementAt(w); !free || p == nil || !p.loaded {
		w = a.worker
	}
	if a.hedged = true; r.hasRoom(w) && r.send(req, w) {
		r.hedgeTokens--
	}
}

func (r *Router) retractOthers(req *request, except int) {
	for i := range req.attempts {
		if a := &req.attempts[i]; i != except && !a.done && !a.retracted && r.settings.Cancelling {
			a.retracted = true
			r.gateway.Retract(req.id, i)
		}
	}
}

// giveUp answers a request that can't be served: refused where a repeat is harmless, failed otherwise.
func (r *Router) giveUp(req *request, why Reason) {
	c := r.settings.Classes[req.class]
	if !req.mayHaveRun() || c.Effect == Safe ||
		c.Effect == Keyed && c.KeyScope == AllWorkers {
		r.gateway.Refuse(req.id, r.refusalPause(req, why), why)
	} else {
		r.gateway.Fail(req.id, why)
	}
	r.end(req, noAttempt)
}

// end ends a request and retracts its attempts other than except, which may be noAttempt.
func (r *Router) end(req *request, except int) {
	r.retractOthers(req, except)
	req.ended = true
	req.held = false
	if req.inflight == 0 {
		delete(r.byID, req.id)
	}
}

// send is the only place that sends attempts; it checks every rule on sends.
func (r *Router) send(req *request, w *worker) bool {
	if req.ended || req.streams || r.now >= req.deadline || len(req.attempts) >= r.settings.MaxAttempts ||
		req.inflight > 0 && !r.settings.Parallel || !r.usable(w) || !req.permits(w) ||
		!r.mayRepeat(req, w) || !r.withinColdBudget(req, w) {
		return false
	}
	p := r.ensurePlacement(req.fn, w)
	if !r.settings.LoadsOnMiss && !p.loaded { // copies load only by order: the call waits for the copy
		if p.sentAt = r.now; r.now >= p.orderEnd && r.order(req.fn, w, 1) {
			p.orderEnd = r.now + r.settings.OrderTimeout
		}
		return false
	}
	if r.maxLoads > 0 && r.loads >= r.maxLoads && !p.loaded && p.inflight == 0 { // protects the store
		return false
	}
	a := attempt{worker: w, placement: p, sentAt: r.now, mayHaveRun: true, held: req.held,
		warm: p.loaded || r.homeCount(req) > 1}
	req.inflight++
	r.update(w, func(u *usage) {
		u.coldSends = append(u.coldSends, sentWork{r.now, r.relativeWork(req)})
		u.inflightWork += req.workHint
		if u.inflight++; p.loaded {
			u.warmInflight++
		} else if p.inflight == 0 {
			u.loads, r.loads = u.loads+1, r.loads+1
		}
	})
	p.inflight, p.sentAt = p.inflight+1, r.now
	r.charge(req.tenant, &a, r.classes[req.class].mean)
	req.attempts = append(req.attempts, a)
	r.gateway.Route(req.id, w.host.Name, 0)
	return true
}

// permits reports whether a request may run in a worker's zone. It applies to repeats, copies and loads too.
func (req *request) permits(w *worker) bool {
	return len(req.zones) == 0 || slices.Contains(req.zones, w.host.Zone)
}

// mayRepeat checks that a request that may have run is sent again only as its class allows, a keyed one in
// its key scope and within its window, which starts with the first such attempt. A nil worker means any.
func (r *Router) mayRepeat(req *request, w *worker) bool {
	c, margin := r.settings.Classes[req.class], r.settings.SendDelay+2*sweepInterval
	for _, a := range req.attempts {
		if a.mayHaveRun && c.Effect != Safe && (c.Effect == Unsafe || r.now-a.sentAt >= c.Window-margin ||
			w != nil && (c.KeyScope == SameZone && a.worker.host.Zone != w.host.Zone ||
				c.KeyScope == SameCell && a.worker.host.Cell != w.host.Cell)) {
			return false
		}
	}
	return true
}

// withinColdBudget checks that a cold worker gets only a share of the work that it can serve at present. Its
// capacity is estimated from the own calls that a worker serves on average (unlike calls sent, they never
// exceed it), or from the allowances before any was served. A budget below the work of the call would be
// spent by all gateways at the same time, when it reaches that work. So a hash chooses which gateways may
// send in each slot of the window; with a budget of half a call or more, only once in the window.
func (r *Router) withinColdBudget(req *request, w *worker) bool {
	age, weight, work := r.now-w.startedAt, r.relativeWork(req), 0.0
	if w.startedAt == 0 || age >= r.settings.ColdFor || r.settings.CollapseAfter <= 0 {
		w.coldSends = w.coldSends[:0]
		return true
	}
	w.coldSends, work = sentSince(w.coldSends, r.now-r.settings.CollapseAfter)
	share := r.settings.ColdFrom + (1-r.settings.ColdFrom)*max(0, age.Seconds())/r.settings.ColdFor.Seconds()
	mean := max(r.recentRate(), r.evenAllowance/4) / max(1, r.servingWorkers())
	budget := coldShare * r.settings.CollapseMultiple * share * mean * r.settings.CollapseAfter.Seconds()
	if budget >= weight {
		return work+weight <= budget
	}
	slot := uint64(age * coldSlots / r.settings.CollapseAfter)
	phase := float64(r.settings.Self)*math.Phi + float64(mix(w.hash, slot)>>40)/(1<<24)
	quota := max(budget, 1/float64(max(1, r.settings.Gateways))) / coldSlots
	sentInSlot := len(w.coldSends) > 0 &&
		w.coldSends[len(w.coldSends)-1].at > r.now-r.settings.CollapseAfter/coldSlots
	return !sentInSlot && (2*budget < 1 || work <= budget) && phase-math.Floor(phase) < quota/max(1, weight)
}

// recentRate returns the number of own calls served per second.
func (r *Router) recentRate() float64 { return fade(r.servedRate, r.now-r.servedAt, rateFadeTime) }

// order is the only place that orders loads; it checks the lease of the worker and the ration of orders.
func (r *Router) order(f *function, w *worker, copies int) bool {
	if !r.settings.Orders || !r.usable(w) {
		return false
	}
	if r.settings.OrderWindow > 0 {
		r.orders = dropUntil(r.orders, r.now-r.settings.OrderWindow-sweepInterval) // with a margin
		r.arrivals = dropUntil(r.arrivals, r.now-r.settings.OrderWindow+sweepInterval)
		if float64(len(r.orders)+1) > r.settings.FreeOrders+r.settings.OrderShare*float64(len(r.arrivals)) {
			return false
		}
		r.orders = append(r.orders, r.now)
	}
	r.gateway.Order(w.host.Name, f.name, copies)
	return true
}
