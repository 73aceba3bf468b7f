package decide

// Leases: how long a worker may get new work after it was last known not to drain. The list publishes drains,
// and a published drain counts as received after MaxListDelay, whether or not it has arrived. The last known
// state of a worker is therefore valid only for a limited time. After that the worker itself has to have
// shown that it is not draining.

import "time"

const (
	leaseMargin     = 250 * time.Millisecond // from a decision to the last byte sent, besides SendDelay
	drainAcceptTime = 2 * time.Second        // time for which a draining worker may go on accepting calls
	listSilentAfter = 4 * time.Second        // the list is silent if it sent nothing for this long
	maxStartLag     = 12 * time.Second       // longest time from a worker's start until the list publishes it
	countInterval   = 250 * time.Millisecond // between counts of the workers that hold a lease
	noticeInterval  = 5 * time.Second        // between log lines while the list is silent
	outdatedPause   = 500 * time.Millisecond // for clients refused meanwhile; twice countInterval
)

// leaseTracking is the state that the leases of all workers share.
type leaseTracking struct {
	listAsOf     time.Duration // everything that the list published until then has been received
	noLeases     bool          // the list is silent, and no worker holds a lease
	listSilent   bool          // nothing was received from the list for listSilentAfter, as of the last check
	countedAt    time.Duration // when the workers with a lease were last counted
	noticedAt    time.Duration // when that count was last logged
	probesSentAt time.Duration // when workers were last probed
	probeTokens  float64       // probes that may be sent
	leaseOrderAt time.Duration // when a copy was last ordered to keep up leases
}

// evidence is what the answers of a worker have shown about its state.
type evidence struct {
	readyAt    time.Duration // it was not draining then
	stoppedAt  time.Duration // it refused a connection or reported that it drains; earlier evidence is void
	upSince    time.Duration // since then its probes succeeded without a long gap; 0 for none
	upAt       time.Duration // its last successful probe
	rejections int           // FULL answers while the list was silent, since it last served a call
}

// leaseTime is how long a worker may get new work after it was last known not to drain.
func (r *Router) leaseTime() time.Duration {
	return r.settings.MaxListDelay + r.settings.DrainGrace - r.settings.SendDelay - leaseMargin
}

// drainServeTime is how long a draining worker may go on serving calls: at least for as long as gateways may
// send it some. A served call implies that its worker was not draining at this time before the call was sent.
func (r *Router) drainServeTime() time.Duration { return max(drainAcceptTime, r.settings.DrainGrace) }

// usable reports whether a worker may get new work: it is listed as ready, and its lease has not expired.
func (r *Router) usable(w *worker) bool { return w.host.State == Ready && r.leased(w) }

// leased reports whether the last known state of a worker is recent enough to send it new work. A worker that
// has stopped holds no lease while the list is silent: another process may use its address by now.
func (r *Router) leased(w *worker) bool {
	if r.settings.MaxListDelay <= 0 || w.host.SelfReported {
		return true
	}
	if r.listSilent && w.stoppedAt > 0 && w.stoppedAt >= r.listAsOf {
		return false
	}
	return r.now < max(r.listAsOf, w.readyAt)+r.leaseTime()
}

// LeaseExpired reports whether a worker that is listed as ready gets no new work because its lease has
// expired.
func (r *Router) LeaseExpired(host string) bool {
	w := r.workers[host]
	return w != nil && w.ready && !r.leased(w)
}

// onCurrent records that everything published by a given time has been received.
func (r *Router) onCurrent(e Current) {
	r.listAsOf = max(r.listAsOf, min(e.AsOf, r.now))
	r.checkList()
}

// checkList updates whether the list is silent and, every countInterval, whether any worker holds a lease.
func (r *Router) checkList() {
	if r.settings.MaxListDelay <= 0 {
		return
	}
	was := r.listSilent
	r.listSilent = r.now-r.listAsOf > listSilentAfter
	switch {
	case r.listSilent && (!was || r.now-r.countedAt >= countInterval):
		r.updateNoLeases(!was)
	case !r.listSilent && was:
		r.noLeases = false
		r.gateway.Log(Notice{Kind: ListResumed, Ready: len(r.ready)})
		for _, w := range r.used {
			w.rejections = 0
		}
	}
}

// updateNoLeases updates whether any worker holds a lease while the list is silent, and logs it on changes
// and every noticeInterval.
func (r *Router) updateNoLeases(first bool) {
	r.countedAt = r.now
	leased, before := r.countLeased(), r.noLeases
	r.noLeases = leased == 0 && len(r.ready) > 0
	if first || r.noLeases != before || r.now-r.noticedAt >= noticeInterval {
		r.noticedAt = r.now
		r.gateway.Log(Notice{ListSilent, r.now - r.listAsOf, leased, len(r.ready)})
	}
}

// countLeased counts the ready workers that hold a lease.
func (r *Router) countLeased() (n int) {
	if r.now < r.listAsOf+r.leaseTime() {
		n = r.unusedReady
	}
	for _, w := range r.used {
		if w.ready && r.leased(w) {
			n++
		}
	}
	return n
}

// recordReady records that a worker was not draining at a given time.
func (w *worker) recordReady(at time.Duration) { w.readyAt, w.rejections = max(w.readyAt, at), 0 }

// recordStopped records that a worker has ended or drains.
func (r *Router) recordStopped(w *worker) {
	r.ownUsage(w)
	w.stoppedAt, w.upSince = r.now, 0
}

// pauseAfterFull is how long a worker that answered FULL gets no calls. While the list is silent the worker
// may well be draining: the pause doubles with each FULL answer, up to a limit.
func (r *Router) pauseAfterFull(w *worker) time.Duration {
	if !r.listSilent {
		return fullPause
	}
	w.rejections = min(w.rejections+1, 6)
	return fullPause << (w.rejections - 1)
}
