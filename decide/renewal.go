package decide

// Renewal: how leases are kept up while the list is silent, by probes where these are allowed, else by calls.

import "time"

const (
	probePace   = 250 * time.Millisecond // of probes while the list is silent
	probeAgain  = time.Second            // a worker is probed once in so long
	probesSaved = 20                     // probes that may be saved up, at one for a call
	probesFree  = 2                      // and so many a second
	keepPace    = time.Second            // of orders for that
	keepWorkers = 8                      // so many workers are kept in use while the list is silent
)

// renewLeases probes the workers in use whose lease is half over, where probes are allowed: a worker says by
// itself whether it drains. Those without a lease are probed too, see onProbed.
func (r *Router) renewLeases() {
	if !r.set.Probing || !r.silent || r.now-r.probed < probePace {
		return
	}
	r.probes = min(probesSaved, r.probes+probesFree*min(time.Second, r.now-r.probed).Seconds())
	r.probed = r.now
	due := r.now - r.leaseTime()/2
	for _, w := range r.used {
		if r.probes < 1 {
			return
		}
		known := max(r.listAsOf, w.readyAt, w.upAt)
		if w.ready && !w.host.SelfReported && known < due && r.now-w.askedAt >= probeAgain {
			r.probes--
			w.askedAt = r.now
			r.gw.Probe(w.host.Name)
		}
	}
}

// onProbed takes what a worker says of itself. One whose lease was over may have drained, ended and come
// back, which counts as told only later: it is used once it has been up for so long.
func (r *Router) onProbed(e Probed) {
	w := r.workers[e.Host]
	if w == nil || !w.ready {
		return
	}
	asked := r.now - e.Took
	switch e.Outcome {
	case Good:
		r.touch(w)
		if w.upSince == 0 || asked-w.upAt >= r.leaseTime() {
			w.upSince = asked
		}
		w.upAt = asked
		if r.leased(w) {
			w.proveReady(asked)
		} else if asked-w.upSince >= r.set.ToldWithin {
			w.stoppedAt = 0
			w.proveReady(asked)
		}
	case Bad:
		r.stopped(w)
	}
}

// due reports whether half of a worker's lease is over.
func (r *Router) due(w *worker) bool { return max(r.listAsOf, w.readyAt) < r.now-r.leaseTime()/2 }

// renewal is the worker with a copy for q whose lease most needs a call: where probes are not allowed, only a
// call that is served shows that a worker does not drain.
func (r *Router) renewal(q *request) (best *worker) {
	if !r.silent || r.set.Probing {
		return nil
	}
	for _, p := range q.fn.places {
		if p.loaded && r.believed(p) && p.w.inflight == 0 && r.due(p.w) && r.eligible(q, p.w, true) &&
			(best == nil || p.w.readyAt < best.readyAt) {
			best = p.w
		}
	}
	return best
}

// keepLeases orders copies of the function called most, one at a time and where all gateways would have them,
// so that some workers more can be shown not to drain. Else all that serves may drain while others lie idle.
func (r *Router) keepLeases() {
	if !r.silent || r.set.Probing || r.now-r.kept < keepPace {
		return
	}
	r.kept = r.now
	q := &request{fn: r.busiest()}
	if q.fn == nil || r.shown() >= min(keepWorkers, len(r.ready)) {
		return
	}
	for i, w := 1, r.rankOf(q, 0); w != nil; i, w = i+1, r.rankOf(q, i) {
		if p := q.fn.at(w); !r.usable(w) || !r.due(w) || r.now < w.fullUntil || r.believed(p) {
			continue
		}
		if p := r.place(q.fn, w); r.now >= -p.ordered && r.order(q.fn, w, 1) {
			p.lastSend, p.ordered = r.now, r.now+r.set.OrderTimeout
		}
		return
	}
}

// shown counts the usable workers of which half of the lease is not over.
func (r *Router) shown() (n int) {
	for _, w := range r.used {
		if w.ready && r.usable(w) && !r.due(w) {
			n++
		}
	}
	return n
}

// busiest is the function that was called most of late, nil if none was.
func (r *Router) busiest() (best *function) {
	most := 0.0
	for _, f := range r.funcs {
		calls := fade(f.calls, r.now-f.usedAt, r.span)
		if calls > most || calls == most && best != nil && f.name < best.name {
			best, most = f, calls
		}
	}
	return best
}
