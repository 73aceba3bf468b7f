package decide

// Renewal: how leases are renewed while the list is silent, by probes where these are allowed, else by calls.

import "time"

const (
	probeInterval       = 250 * time.Millisecond // between rounds of probes while the list is silent
	probeRepeatInterval = time.Second            // between two probes of a worker
	probeBurst          = 20                     // probes that may be saved up; each arriving call adds one
	probesPerSecond     = 2                      // probes added per second besides
	leaseOrderInterval  = time.Second            // between orders of copies that keep up leases
	wantedLeases        = 8                      // workers whose leases are kept up while the list is silent
)

// probeForLeases probes the workers in use whose lease is half over, where probes are allowed: the answer
// shows whether the worker drains. Workers without a lease are probed too, see onProbed.
func (r *Router) probeForLeases() {
	if !r.settings.Probing || !r.listSilent || r.now-r.probesSentAt < probeInterval {
		return
	}
	r.probeTokens = min(probeBurst,
		r.probeTokens+probesPerSecond*min(time.Second, r.now-r.probesSentAt).Seconds())
	r.probesSentAt = r.now
	due := r.now - r.leaseTime()/2
	for _, w := range r.used {
		if r.probeTokens < 1 {
			return
		}
		knownAt := max(r.listAsOf, w.readyAt, w.upAt)
		if w.ready && !w.host.SelfReported && knownAt < due && r.now-w.probedAt >= probeRepeatInterval {
			r.probeTokens--
			w.probedAt = r.now
			r.gateway.Probe(w.host.Name)
		}
	}
}

// onProbed records a worker's answer to a probe. A worker whose lease has expired may have drained, ended and
// restarted, which the list publishes only later: it gets work again once it has been up for MaxListDelay.
func (r *Router) onProbed(e Probed) {
	w := r.workers[e.Host]
	if w == nil || !w.ready {
		return
	}
	sentAt := r.now - e.Took
	switch e.Outcome {
	case Good:
		r.ownUsage(w)
		if w.upSince == 0 || sentAt-w.upAt >= r.leaseTime() {
			w.upSince = sentAt
		}
		w.upAt = sentAt
		if r.leased(w) {
			w.recordReady(sentAt)
		} else if sentAt-w.upSince >= r.settings.MaxListDelay {
			w.stoppedAt = 0
			w.recordReady(sentAt)
		}
	case Bad:
		r.recordStopped(w)
	}
}

// leaseHalfOver reports whether at least half of a worker's lease has passed.
func (r *Router) leaseHalfOver(w *worker) bool {
	return max(r.listAsOf, w.readyAt) < r.now-r.leaseTime()/2
}

// chooseForLease returns the idle worker with a loaded copy for the request whose lease is the oldest, if
// half of that is over. Without probes only a served call shows that a worker is not draining.
func (r *Router) chooseForLease(req *request) (best *worker) {
	if !r.listSilent || r.settings.Probing {
		return nil
	}
	for _, p := range req.fn.placements {
		if p.loaded && r.believedWarm(p) && p.worker.inflight == 0 && r.leaseHalfOver(p.worker) &&
			r.eligible(req, p.worker, true) && (best == nil || p.worker.readyAt < best.readyAt) {
			best = p.worker
		}
	}
	return best
}

// orderForLeases orders copies of the most called function, one at a time and in the common ranking, so that
// calls can show of more workers that they do not drain. Otherwise all workers with a lease could drain at
// once, while usable ones are idle.
func (r *Router) orderForLeases() {
	if !r.listSilent || r.settings.Probing || r.now-r.leaseOrderAt < leaseOrderInterval {
		return
	}
	r.leaseOrderAt = r.now
	req := &request{fn: r.busiest()}
	if req.fn == nil || r.countFreshLeases() >= min(wantedLeases, len(r.ready)) {
		return
	}
	for i, w := 1, r.rankedWorker(req, 0); w != nil; i, w = i+1, r.rankedWorker(req, i) {
		if p := req.fn.placementAt(w); !r.usable(w) || !r.leaseHalfOver(w) || r.now < w.fullUntil ||
			r.believedWarm(p) {
			continue
		}
		if p := r.ensurePlacement(req.fn, w); r.now >= -p.orderEnd && r.order(req.fn, w, 1) {
			p.sentAt, p.orderEnd = r.now, r.now+r.settings.OrderTimeout
		}
		return
	}
}

// countFreshLeases counts the usable workers whose lease is less than half over.
func (r *Router) countFreshLeases() (n int) {
	for _, w := range r.used {
		if w.ready && r.usable(w) && !r.leaseHalfOver(w) {
			n++
		}
	}
	return n
}

// busiest returns the function with the most calls in recent time, nil if there were none.
func (r *Router) busiest() (best *function) {
	most := 0.0
	for _, f := range r.funcs {
		calls := fade(f.recentCalls, r.now-f.usedAt, r.callFadeTime)
		if calls > most || calls == most && best != nil && f.name < best.name {
			best, most = f, calls
		}
	}
	return best
}
