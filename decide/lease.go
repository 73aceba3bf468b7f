package decide

// Leases: how long a worker may get new work on the strength of what was last known of it. The list says when
// a worker drains, and what it has to say counts as told a while after it was published, come or not. So what
// it said is true only for so long; from then on a worker has to have shown by itself that it does not drain.

import "time"

const (
	leaseMargin  = 250 * time.Millisecond // besides SendDelay, between a decision and its last byte
	drainAccepts = 2 * time.Second        // a draining worker may go on taking calls for so long
	listQuiet    = 4 * time.Second        // after which a list that says nothing is silent
	probePace    = 250 * time.Millisecond // of probes while the list is silent
	probeAgain   = time.Second            // a worker is probed once in so long
	probesSaved  = 20                     // probes that may be saved up, at one for a call
	probesFree   = 2                      // and so many a second
	listLag      = 12 * time.Second       // a start is told so much later at most
	keepPace     = time.Second            // of orders for that
	keepWorkers  = 8                      // so many workers are kept in use while the list is silent
	noticeEvery  = 5 * time.Second        // pace of log lines while the list is silent
)

// outdating is what is kept for the leases of all workers.
type outdating struct {
	listAsOf time.Duration // the list is known to have been complete then
	outdated bool          // no worker holds a lease, as of the last sweep
	silent   bool          // the list has not spoken for a while, as of the last sweep
	noticed  time.Duration // when that was last logged
	probed   time.Duration // when workers were last probed
	probes   float64       // that may be sent
	kept     time.Duration // when copies were last ordered to keep workers in use
}

// proof is what a worker has shown of itself.
type proof struct {
	readyAt   time.Duration // it did not drain then
	stoppedAt time.Duration // it refused a connection or said that it drains; nothing shown before counts
	upSince   time.Duration // since then it has said often enough that it is up; 0 if it has not
	upAt      time.Duration // it last said so
	turned    int           // calls turned away while the list was silent, since it last served one
}

// leaseTime is how long a worker may get new work after it was known not to drain.
func (r *Router) leaseTime() time.Duration {
	return r.set.ToldWithin + r.set.DrainGrace - r.set.SendDelay - leaseMargin
}

// usable reports whether a worker may get new work: it is listed as ready, and its lease is not over.
func (r *Router) usable(w *worker) bool { return w.host.State == Ready && r.leased(w) }

// leased reports whether a worker may get new work by the age of what is known of it. Once it has stopped
// a silent list would have to tell that it may be used again: another process of it may listen there by now.
func (r *Router) leased(w *worker) bool {
	if r.set.ToldWithin <= 0 || w.host.SelfReported {
		return true
	}
	if r.silent && w.stoppedAt > 0 && w.stoppedAt >= r.listAsOf {
		return false
	}
	return r.now < max(r.listAsOf, w.readyAt)+r.leaseTime()
}

// Outdated reports whether a worker that was listed as ready is left alone since its lease is over.
func (r *Router) Outdated(host string) bool {
	w := r.workers[host]
	return w != nil && w.ready && !r.leased(w)
}

// onCurrent takes that the list was complete at a time.
func (r *Router) onCurrent(e Current) {
	r.listAsOf = max(r.listAsOf, min(e.AsOf, r.now))
	r.watchList()
}

// watchList notes whether the list is silent, and whether any worker may still be used.
func (r *Router) watchList() {
	if r.set.ToldWithin <= 0 {
		return
	}
	was, wasOutdated := r.silent, r.outdated
	r.silent = r.now-r.listAsOf > listQuiet
	r.outdated = r.silent && len(r.ready) > 0 && r.countLeased() == 0
	if r.silent && (!was || r.outdated != wasOutdated || r.now-r.noticed >= noticeEvery) {
		r.noticed = r.now
		r.gw.Log(Notice{ListSilent, r.now - r.listAsOf, r.countLeased(), len(r.ready)})
	} else if was && !r.silent {
		r.gw.Log(Notice{Kind: ListSpeaks, Ready: len(r.ready)})
		for _, w := range r.used {
			w.turned = 0
		}
	}
}

// countLeased counts the ready workers that may get new work.
func (r *Router) countLeased() (n int) {
	if r.now < r.listAsOf+r.leaseTime() {
		n = r.idle
	}
	for _, w := range r.used {
		if w.ready && r.leased(w) {
			n++
		}
	}
	return n
}

// proveReady notes that a worker did not drain at a time.
func (w *worker) proveReady(at time.Duration) { w.readyAt, w.turned = max(w.readyAt, at), 0 }

// stopped notes that a worker has ended or drains.
func (r *Router) stopped(w *worker) {
	r.touch(w)
	w.stoppedAt, w.upSince = r.now, 0
}

// turnedAway is how long a worker is left alone that was full. While the list is silent it may well be
// draining: it is tried less and less.
func (r *Router) turnedAway(w *worker) time.Duration {
	if !r.silent {
		return crowdPause
	}
	w.turned = min(w.turned+1, 6)
	return crowdPause << (w.turned - 1)
}

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
	if !r.silent || r.set.Probing || r.now-r.kept < keepPace || r.shown() >= min(keepWorkers, len(r.ready)) {
		return
	}
	r.kept = r.now
	q := &request{fn: r.busiest()}
	if q.fn == nil {
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
