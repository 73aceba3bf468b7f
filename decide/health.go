package decide

// Health: what answers show of a worker, and whether it may get more calls.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// hasRoom reports whether a worker may get more work by its FULL answers and its window.
func (r *Router) hasRoom(w *worker) bool {
	return r.now >= w.fullUntil && float64(w.warmInflight) < w.window
}

// mustYield reports whether the rest of a worker's window is kept for calls that are restricted to zones,
// while such calls arrive and calls wait at workers. All other calls may take the room elsewhere.
func (r *Router) mustYield(req *request, w *worker) bool {
	restrictedArrive := r.restrictedAt > 0 && r.now-r.restrictedAt < rateFadeTime
	return restrictedArrive && !req.restricted() && r.callsWait() &&
		float64(w.warmInflight) >= unreservedShare*w.window
}

// eligible reports whether an attempt may go to a worker; strict excludes workers that the request has tried.
func (r *Router) eligible(req *request, w *worker, strict bool) bool {
	return r.usable(w) && req.permits(w) && !w.health[req.class].ejected && r.hasRoom(w) &&
		!r.mustYield(req, w) && r.mayRepeat(req, w) && r.withinColdBudget(req, w) &&
		!slices.ContainsFunc(req.attempts, func(a attempt) bool {
			return a.worker == w && (strict || !a.done)
		})
}

// judgeHealth marks the workers that are ejected for a class after a failure or an overdue call. The limit on
// their share keeps a common cause (a failing store, an overload) from ejecting the whole fleet.
func (r *Router) judgeHealth() {
	for class := range r.classes {
		ejected := 0
		for _, w := range r.suspects {
			if w.ready {
				w.health[class].ejected = r.now < w.health[class].ejectedUntil
				ejected += map[bool]int{true: 1}[w.health[class].ejected]
			}
		}
		for _, w := range r.suspects {
			if w.ready {
				w.health[class].ejected = w.health[class].ejected &&
					float64(ejected) <= maxEjectedShare*float64(len(r.ready))
			}
		}
	}
	r.suspects = slices.DeleteFunc(r.suspects, func(w *worker) bool {
		ejected := func(h health) bool { return h.ejected || r.now < h.ejectedUntil }
		w.suspect = slices.ContainsFunc(w.health, ejected)
		return !w.suspect
	})
}

// learn records what the result of an attempt shows about the worker, the copy, the class and the overload.
func (r *Router) learn(req *request, a *attempt, e Result) {
	w, p, c, took := a.worker, a.placement, &r.classes[req.class], ms(max(time.Microsecond, e.Took))
	switch e.Outcome {
	case Good:
		r.countOvertaken(a)
		for i := range req.attempts {
			if other := &req.attempts[i]; other.hedged && !other.done {
				other.worker.losses, other.worker.lossAt =
					1+fade(other.worker.losses, r.now-other.worker.lossAt, lossFadeTime), r.now
			}
		}
		w.health[req.class], req.fn.served, w.failedAt = health{}, true, 0
		w.recordReady(a.sentAt - r.drainServeTime())
		r.servedRate, r.servedAt = r.recentRate()+1/rateFadeTime.Seconds(), r.now
		growth := homeGrowth
		if e.Note == BeganLoad { // memory holds fewer copies than assumed; a quick load raises the load limit
			r.loadTime += meanGain * (took - r.loadTime)
			growth *= homeShrink
			if r.loadFactor = min(maxLoadFactor, r.loadFactor+meanGain); r.homeFactor < 1 ||
				took > slowLoadFactor*(req.loadHint+req.workHint) {
				r.loadFactor = max(1, (1-meanGain)*r.loadFactor)
			}
		}
		if a.warm {
			r.homeFactor = max(minHomeFactor, min(r.homeFactor*growth, maxHomeFactor))
		}
		if e.Note == FoundWarm || !r.settings.MarksCold {
			r.overdueShare -= 2 * meanGain * r.overdueShare
			p.confirmedAt = max(p.confirmedAt, a.sentAt)
			if delay, known := c.record(took, cmp.Or(req.workHint, c.work, unknownWork), r.now); known {
				r.recordDelay(delay)
				r.resizeWindow(w, delay)
			}
		}
		r.markLoaded(p)
	case Full:
		r.recordDelay(fullDelay)
		w.fullUntil = r.now + r.pauseAfterFull(w)
		if !p.loaded && p.inflight == 0 || r.listSilent && w.inflight == 0 { // in silence it may be draining
			req.fn.drop(w)
		}
	case Miss:
		req.fn.drop(w)
	case Bad, TimedOut, NoConn, Reset:
		if e.Note == ConnectionRefused {
			r.recordStopped(w)
		} else if e.Note == LocalFault { // it shows nothing about the worker
			return
		}
		w.failedAt = cmp.Or(w.failedAt, r.now)
		dead := e.Outcome == NoConn || e.Outcome == Reset && w.failedAt < r.now // not just one connection
		if dead || e.Note == LoadFailed {
			req.fn.drop(w)
		}
		for class := range w.health { // failed loads and functions never served don't show a bad worker
			if dead || e.Outcome == Bad && class == req.class && e.Note != LoadFailed && req.fn.served {
				r.eject(w, class)
			}
		}
	}
}

// eject ejects a worker for a class, at first for about the time in which this gateway sends each worker a
// call (a shorter ejection would have no effect), doubling while the worker goes on failing.
func (r *Router) eject(w *worker, class int) {
	if h := &w.health[class]; r.now >= h.ejectedUntil {
		interval := time.Duration(float64(len(r.ready)) / max(r.recentRate(), 1) * float64(time.Second))
		h.ejectedFor = min(max(2*h.ejectedFor, firstEjection, interval), 16*max(firstEjection, interval))
		h.ejectedUntil = r.now + h.ejectedFor
		if !w.suspect {
			w.suspect, r.suspects = true, append(r.suspects, w)
		}
	}
}

// resizeWindow takes in the delay of a call at a worker, and adapts the window of own calls there: it shrinks
// while calls wait for longer than they are served, and grows otherwise.
func (r *Router) resizeWindow(w *worker, delay float64) {
	r.update(w, func(u *usage) { u.delay += delayGain * (delay - u.delay) })
	if w.delay < busyDelay {
		w.window = math.Min(maxWindow, w.window+0.5)
	} else if r.now-w.shrunkAt > fullPause {
		w.shrunkAt = r.now
		w.window = math.Max(minWindow, 0.8*math.Min(w.window, float64(w.warmInflight+1)))
	}
}
