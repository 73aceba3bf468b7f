package decide

// Leases: how long a worker may get new work on the strength of what was last known of it. The list says when
// a worker drains, and what it has to say counts as told a while after it was published, come or not. So what
// it said is true only for so long; from then on a worker has to have shown by itself that it does not drain.

import "time"

const (
	leaseMargin  = 250 * time.Millisecond // besides SendDelay, between a decision and its last byte
	drainAccepts = 2 * time.Second        // a draining worker may go on taking calls for so long
	listQuiet    = 4 * time.Second        // after which a list that says nothing is silent
	listLag      = 12 * time.Second       // a start is told so much later at most
	countPace    = 250 * time.Millisecond // of counting the workers that may be used
	noticeEvery  = 5 * time.Second        // pace of log lines while the list is silent
)

// pauses are how long refused clients are asked to stay away, by the reason. Others come back at once: pauses
// lost worth when tried.
var pauses = map[Reason]time.Duration{ListOutdated: 500 * time.Millisecond}

// outdating is what is kept for the leases of all workers.
type outdating struct {
	listAsOf time.Duration // the list is known to have been complete then
	outdated bool          // the list is silent, and no worker holds a lease
	silent   bool          // the list has not spoken for a while, as of the last sweep
	counted  time.Duration // when workers with a lease were last counted
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

// drainServes is how long a worker that drains may go on serving calls: at least for as long as gateways may
// send it some. A served call proves that its worker did not drain so long before.
func (r *Router) drainServes() time.Duration { return max(drainAccepts, r.set.DrainGrace) }

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

// watchList notes whether the list is silent, and at a pace whether any worker may still be used.
func (r *Router) watchList() {
	if r.set.ToldWithin <= 0 {
		return
	}
	was := r.silent
	r.silent = r.now-r.listAsOf > listQuiet
	switch {
	case r.silent && (!was || r.now-r.counted >= countPace):
		r.countWorkers(!was)
	case !r.silent && was:
		r.outdated = false
		r.gw.Log(Notice{Kind: ListSpeaks, Ready: len(r.ready)})
		for _, w := range r.used {
			w.turned = 0
		}
	}
}

// countWorkers notes whether any worker may still be used while the list is silent, and says so at a pace.
func (r *Router) countWorkers(first bool) {
	r.counted = r.now
	leased, before := r.countLeased(), r.outdated
	r.outdated = leased == 0 && len(r.ready) > 0
	if first || r.outdated != before || r.now-r.noticed >= noticeEvery {
		r.noticed = r.now
		r.gw.Log(Notice{ListSilent, r.now - r.listAsOf, leased, len(r.ready)})
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
