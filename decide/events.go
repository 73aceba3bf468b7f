package decide

// Events: New, which creates a Router, and Handle, which records the reported events and acts on them. The
// conditions on which a new request is refused at once, in an overload, are here too.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// New checks the settings and returns a Router that knows no workers and no copies.
func New(s Settings, seed uint64, gw Gateway) (*Router, error) {
	if err := s.check(gw); err != nil {
		return nil, err
	}
	tenants := max(1, len(s.Tenants))
	r := &Router{settings: s, gateway: gw, rng: rand.New(rand.NewPCG(seed, 1)),
		listing: newListing(len(s.Classes), tenants), funcs: map[string]*function{},
		byID: map[uint64]*request{}, kinds: map[callKind]*kindState{},
		homeFactor: 1, loadFactor: 1, loadTime: initialLoadTime, hedgeTokens: hedgeBurst,
		callFadeTime: max(rateFadeTime, time.Duration(keepAliveShare*float64(s.KeepAlive)))}
	r.heldDeficit = make([]float64, tenants)
	r.tokens = make([]float64, tenants)
	r.refilledAt = make([]time.Duration, tenants)
	for _, t := range s.Tenants {
		r.evenAllowance += t.PerSec / float64(max(1, s.Gateways))
	}
	for range s.Classes {
		r.classes = append(r.classes, classStat{mean: initialMean, dev: initialDev})
	}
	gw.WakeAt(sweepInterval, "sweep")
	if s.Subscribe {
		gw.Watch(true)
	}
	return r, nil
}

// Handle records one event at the clock time now and acts on it. The router's clock never goes back: an
// earlier now than that of a previous event counts as the latest time so far.
func (r *Router) Handle(now time.Duration, ev Event) {
	r.now = max(r.now, now)
	switch e := ev.(type) {
	case List:
		r.onList(e)
	case Current:
		r.onCurrent(e)
	case Arrival:
		r.onArrival(e)
	case ClientGone:
		if req := r.byID[e.ID]; req != nil && !req.ended {
			r.end(req, noAttempt)
		}
	case Result:
		r.onResult(e)
	case FirstByte:
		if req := r.byID[e.ID]; req != nil && !req.ended && e.Attempt >= 0 && e.Attempt < len(req.attempts) {
			req.streams = true
			r.retractOthers(req, e.Attempt)
		}
	case Loaded:
		r.onLoaded(e)
	case Probed:
		r.onProbed(e)
	case Wake:
		if e.Token == "sweep" {
			r.sweep()
			r.gateway.WakeAt(sweepInterval, "sweep")
		}
	}
	r.releaseHeld()
}

func (r *Router) onList(e List) {
	if e.Failed {
		if r.settings.Subscribe {
			r.gateway.Watch(true)
		}
		return
	}
	servingBefore := r.servingWorkers()
	var listed []*worker
	if e.Whole {
		for _, w := range r.workers {
			w.host.State = Gone // unless e.Hosts has it: see below
			listed = append(listed, w)
		}
	}
	restarted := map[*worker]bool{} // these are cold now, and their health is unknown
	for _, h := range e.Hosts {
		w := r.workers[h.Name]
		if w == nil {
			w = r.addWorker(h)
		} else if h.restarted(w.host.Since) {
			restarted[w] = true
			r.update(w, func(u *usage) { u.health, u.window = make([]health, len(r.classes)), maxWindow })
		}
		if w.host.Zone != h.Zone {
			r.unlist(w) // while host has the zone under which the index holds it; relist adds it again
		}
		if h.Since != w.host.Since || w.startedAt == 0 {
			w.startedAt = r.startTime(h, e.Whole)
		}
		if w.usage != r.unused && (restarted[w] || h.State != w.host.State && w.host.State != Gone) {
			w.evidence = evidence{}
		}
		// countLeased counts unused workers as leased only while the list is recent. A self-reported worker
		// needs no lease, so it gets a usage of its own and is counted by itself.
		w.host = h
		listed = append(listed, w)
		if h.SelfReported {
			r.ownUsage(w)
		}
	}
	if r.relist(listed) || len(restarted) > 0 {
		r.dropPlacements(func(w *worker) bool { return w.host.State == Gone || restarted[w] })
	}
	r.departedWeight = max(0, servingBefore-float64(len(r.ready)))
	r.listedAt = r.now
}

// restarted reports whether a worker has restarted since the start that was listed before. Any later start
// counts as a restart. An earlier one counts only if the difference exceeds maxStartLag, as after the clock
// was stepped back; if it is smaller, the start listed before was an estimate.
func (h *Host) restarted(listedSince time.Duration) bool {
	return h.Since > listedSince || h.Since != 0 && h.Since < listedSince-maxStartLag
}

// startTime returns when a listed worker counts as started, 0 for long ago. Since machines' clocks may be
// stepped, a start in the future counts as now. So does, in a list of changes only, a start so old that the
// list would have published it earlier.
func (r *Router) startTime(h Host, whole bool) time.Duration {
	switch {
	case h.Since == 0:
		return 0
	case h.Since > r.now:
		return r.now
	case !whole && r.listAsOf > 0 && h.Since < r.listAsOf-maxStartLag:
		return r.now
	}
	return h.Since
}

func (r *Router) onArrival(e Arrival) {
	if r.byID[e.ID] != nil || e.Class < 0 || e.Class >= len(r.classes) {
		return
	}
	f := r.funcs[e.Function]
	if f == nil {
		f = &function{name: e.Function, hash: hashOf(e.Function)}
		r.funcs[e.Function] = f
	}
	f.recentCalls = 1 + fade(f.recentCalls, r.now-f.usedAt, r.callFadeTime)
	f.usedAt = r.now
	f.lanes = max(1, e.Lanes)
	r.recentCalls = 1 + fade(r.recentCalls, r.now-r.calledAt, r.callFadeTime)
	r.calledAt = r.now
	req := &request{id: e.ID, class: e.Class, tenant: min(max(e.Tenant, 0), len(r.heldDeficit)-1), fn: f,
		arrived: r.now, deadline: r.now + e.TTL, workHint: r.estimateWork(e), loadHint: ms(e.LoadTime),
		zones: e.Zones}
	if req.restricted() {
		r.restrictedAt = r.now
	}
	r.byID[e.ID] = req
	r.hedgeTokens = min(hedgeBurst, r.hedgeTokens+hedgeShare)
	r.probeTokens = min(probeBurst, r.probeTokens+1)
	r.requests = append(r.requests, req)
	r.arrivals = append(dropUntil(r.arrivals, r.now-r.settings.OrderWindow), r.now)
	if r.overAllowance(req.tenant) && r.overloaded() {
		r.giveUp(req, OverShare)
		return
	}
	r.dispatch(req)
}

// unknownWork stands for the work of a call, in ms, while no call has had a hint: then all count the same.
const unknownWork = 1.0

// estimateWork returns the core time that a call probably takes, in ms, from its rough hint and the mean of
// its class. It also updates the running means of the class and of all calls.
func (r *Router) estimateWork(e Arrival) float64 {
	c := &r.classes[e.Class]
	work := cmp.Or(max(0, ms(e.Work)), c.work, r.meanWork, unknownWork)
	c.work = cmp.Or(c.work, work)
	c.work += meanGain / 2 * (work - c.work)
	r.meanWork = cmp.Or(r.meanWork, work) + meanGain/2*(work-cmp.Or(r.meanWork, work))
	return hintWeight*work + (1-hintWeight)*c.work
}

// allowanceRate returns how many calls a second of a tenant this gateway takes in an overload.
func (r *Router) allowanceRate(tenant int) float64 {
	return r.settings.Tenants[tenant].PerSec * min(1, maxTenantSkew/float64(max(1, r.settings.Gateways)))
}

// allowanceDue returns how long it takes until a tenant that has used up its allowance has its next call.
func (r *Router) allowanceDue(tenant int) time.Duration {
	return time.Duration((1 - r.tokens[tenant]) / r.allowanceRate(tenant) * float64(time.Second))
}

// overAllowance reports whether a tenant has used up its allowance at this gateway; if not, it takes one
// token of it. In an overload, requests over the allowance are refused at once. Since clients may stay with
// one gateway, each gateway allows a tenant maxTenantSkew times its even share, but at most the whole
// allowance.
func (r *Router) overAllowance(tenant int) bool {
	if tenant >= len(r.settings.Tenants) || r.settings.Tenants[tenant].PerSec <= 0 {
		return false
	}
	rate := r.allowanceRate(tenant)
	r.tokens[tenant] = min(rate*allowanceBurst, r.tokens[tenant]+rate*(r.now-r.refilledAt[tenant]).Seconds())
	r.refilledAt[tenant] = r.now
	if r.tokens[tenant] < 1 {
		return true
	}
	r.tokens[tenant]--
	return false
}

func (r *Router) onResult(e Result) {
	req := r.byID[e.ID]
	if req == nil || e.Attempt < 0 || e.Attempt >= len(req.attempts) || req.attempts[e.Attempt].done {
		return
	}
	attempt := &req.attempts[e.Attempt]
	attempt.done = true
	req.inflight--
	attempt.placement.inflight--
	r.update(attempt.worker, func(u *usage) {
		u.inflight--
		u.inflightWork = max(0, u.inflightWork-req.workHint)
		if attempt.placement.loaded {
			u.warmInflight--
		} else if attempt.placement.inflight == 0 { // no attempt waits for the load of this copy any longer
			u.loads--
			r.loads--
		}
	})
	attempt.mayHaveRun = !slices.Contains([]Outcome{Full, NoConn, NotSent, Miss}, e.Outcome)
	r.charge(req.tenant, attempt, ms(e.Took))
	r.learn(req, attempt, e)
	if e.Final && !req.ended {
		r.end(req, e.Attempt)
	}
	if req.ended && req.inflight == 0 {
		delete(r.byID, req.id)
	} else if req.inflight == 0 && !req.streams {
		r.dispatch(req)
	}
}
