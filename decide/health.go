package decide

// Health: what answers tell of a worker, and whether it takes more.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// room reports whether a worker takes more work by its answers and its window.
func (r *Router) room(w *worker) bool {
	return r.now >= w.fullUntil && float64(w.busy) < w.window
}

// yields reports whether a worker keeps what is left of its window for calls worth more than q. Guards
// against overloads in which all were late alike; where answers are prompt no call waits, however many come.
func (r *Router) yields(q *request, w *worker) bool {
	pinned := len(q.zones) == 0 && r.pinnedAt > 0 && r.now-r.pinnedAt < lately
	return r.late > yieldPart && float64(w.busy) >= yieldRoom*w.window && (pinned ||
		slices.ContainsFunc(r.set.Classes, func(c Class) bool { return c.Worth > q.worth }))
}

// eligible reports whether an attempt of q may go to w; strict also asks that q has not tried it.
func (r *Router) eligible(q *request, w *worker, strict bool) bool {
	return r.usable(w) && q.permits(w) && !w.health[q.class].out && r.room(w) && !r.yields(q, w) &&
		r.mayRepeat(q, w) && r.coldRoom(q, w) &&
		!slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.w == w && (strict || !a.done) })
}

// judge marks the workers that look unfit for a class: set aside for a failure or an overdue call. A cap
// keeps a common cause (a store, an overload) from emptying the fleet.
func (r *Router) judge() {
	for k := range r.classes {
		out := 0
		for _, w := range r.struck {
			if w.ready {
				w.health[k].out = r.now < w.health[k].aside
				out += map[bool]int{true: 1}[w.health[k].out]
			}
		}
		for _, w := range r.struck {
			if w.ready {
				w.health[k].out = w.health[k].out && float64(out) <= outMost*float64(len(r.ready))
			}
		}
	}
	r.struck = slices.DeleteFunc(r.struck, func(w *worker) bool {
		aside := func(h health) bool { return h.out || r.now < h.aside }
		w.struck = slices.ContainsFunc(w.health, aside)
		return !w.struck
	})
}

func (r *Router) learn(q *request, a *attempt, e Result) {
	w, p, c, took := a.w, a.p, &r.classes[q.class], ms(e.Took)
	switch e.Outcome {
	case Good:
		r.passed(a)
		for i := range q.attempts {
			if o := &q.attempts[i]; o.doubled && !o.done {
				o.w.lost, o.w.lostAt = 1+fade(o.w.lost, r.now-o.w.lostAt, lostOver), r.now
			}
		}
		w.health[q.class], q.fn.served, w.failedAt = health{}, true, 0
		w.proveReady(a.at - r.drainServes())
		r.goodRate, r.goodAt = r.rate()+1/lately.Seconds(), r.now
		grow := spreadUp
		if e.Note == BeganLoad { // memory bears fewer copies; else the store more loads, if this was quick
			grow *= spreadDown
			if r.bear = min(bearMost, r.bear+gainFast); r.spread < 1 || took > loadSlow*(q.load+q.work) {
				r.bear = max(1, (1-gainFast)*r.bear)
			}
		}
		if a.warm {
			r.spread = max(spreadLeast, min(r.spread*grow, spreadMost))
		}
		if e.Note == FoundWarm || !r.set.MarksCold {
			r.doubt -= 2 * gainFast * r.doubt
			p.proven = max(p.proven, a.at)
			c.dev += gainFast / 2 * (math.Abs(took-c.mean) - c.dev)
			c.mean += gainFast / 2 * (took - c.mean)
			part := took / max(ms(r.set.Classes[q.class].Aim), c.work/quietPart)
			r.late += gainFast / 3 * (min(2, part) - r.late)
			r.resize(w, part)
		}
		r.landed(p)
	case Full:
		r.late += gainFast / 3 * (1 - r.late)
		w.fullUntil = r.now + r.turnedAway(w)
		if !p.loaded && p.inflight == 0 || r.silent && w.inflight == 0 { // it may well be draining
			q.fn.drop(w)
		}
	case Miss:
		q.fn.drop(w)
	case Bad, Late, NoConn, Reset:
		if e.Note == NobodyListens {
			r.stopped(w)
		} else if e.Note == LocalFault { // says nothing of the worker
			return
		}
		w.failedAt = cmp.Or(w.failedAt, r.now)
		dead := e.Outcome == NoConn || e.Outcome == Reset && w.failedAt < r.now // not one connection
		if dead || e.Note == LoadFailed {
			q.fn.drop(w)
		}
		for k := range w.health { // loads that fail or last and what nobody ever served show no sickness
			if dead || e.Outcome == Bad && k == q.class && e.Note != LoadFailed && q.fn.served {
				r.strike(w, k)
			}
		}
	}
}

// strike sets a worker aside for a class, at first for as long as this gateway takes to send each worker a
// call (a shorter time would not be noticed), doubling while it goes on failing.
func (r *Router) strike(w *worker, class int) {
	if h := &w.health[class]; r.now >= h.aside {
		pace := time.Duration(float64(len(r.ready)) / max(r.rate(), 1) * float64(time.Second))
		h.length = min(max(2*h.length, asideFirst, pace), 16*max(asideFirst, pace))
		h.aside = r.now + h.length
		if !w.struck {
			w.struck, r.struck = true, append(r.struck, w)
		}
	}
}

// resize moves the window of own attempts at a worker, against queues in which every call is late.
func (r *Router) resize(w *worker, part float64) {
	r.alter(w, func(u *use) { u.part += gainPart * (part - u.part) })
	if w.part < aimPart {
		w.window = math.Min(windowMost, w.window+0.5)
	} else if r.now-w.shrunkAt > crowdPause {
		w.shrunkAt = r.now
		w.window = math.Max(windowMin, 0.8*math.Min(w.window, float64(w.busy+1)))
	}
}
