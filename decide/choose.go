package decide

// Choice: the design's path, which worker serves a request, homes, and the release of held requests.

import (
	"cmp"
	"math"
	"slices"
	"sort"

	"quillrail/internal/ranking"
)

// dispatch sends a request that has no attempt out, holds it, or answers it.
func (r *Router) dispatch(q *request) {
	if why := r.hopeless(q); why != NotGivenUp {
		r.answer(q, why)
		return
	}
	r.held = slices.DeleteFunc(r.held, func(h *request) bool { return !h.held })
	ahead := sort.Search(len(r.held), func(i int) bool { return r.held[i].worth < q.worth })
	if len(q.attempts) > 0 || ahead == 0 { // the held go first, but for those worth less
		if w := r.choose(q); w != nil && r.send(q, w) {
			return
		}
	}
	q.held = true
	r.held = slices.Insert(r.held, ahead, q)
}

// choose is D2LPM's SelectWorker. Among believed-warm workers with a free lane it takes one where the
// tenant's counter is positive, own in-flight fewest, ties random; else one whose counter is spent, topped
// up by Qw. With every warm worker busy, one with quantum left may queue the call; else a cold one serves.
func (r *Router) choose(q *request) *worker {
	if w := r.renewal(q); w != nil {
		return w
	}
	home, loading := r.standing(q)
	for _, strict := range []bool{true, false} {
		if w, free := r.warmChoice(q, strict); w != nil {
			if free && w.deficit[q.tenant] <= 0 {
				r.credit(w, q.tenant, quantumW)
			}
			if free || w.deficit[q.tenant] > 0 || loading {
				return w
			}
			if cold := r.coldChoice(q, strict, true); cold != nil && !r.ahead(q.fn, cold) {
				return cold
			}
			return w
		}
		if loading {
			return nil
		}
		if w := r.coldChoice(q, strict, home); w != nil {
			return w
		}
	}
	return nil
}

// warmChoice returns the best believed-warm worker and whether it has a free lane by our count. Several
// agreed homes count as warm: others keep them so. Lateness stands for the others' calls in flight.
func (r *Router) warmChoice(q *request, strict bool) (best *worker, free bool) {
	q.fn.homes = r.homes(q)
	homes, ranked := min(q.fn.homes, r.index.Share(q.fn.hash)), 0
	ties, bestKey := 0, math.MaxInt
	fresh, freshKey := (*worker)(nil), math.MaxInt // the least busy home at which no copy is known to stand
	weigh := func(w *worker, p *place) {
		homes--
		key := int(w.owed/(owedUnit*max(1, r.work)) + unseenCalls*min(2, w.part))
		switch {
		case p == nil || !p.loaded && p.inflight == 0:
			if w.deficit[q.tenant] > 0 && key < freshKey {
				fresh, freshKey = w, key
			}
			return
		case !p.loaded && p.inflight >= q.fn.lanes, p.inflight >= q.fn.lanes*(1+queueDepth):
			return // what a copy cannot start with waits here, not in the worker's queue
		case !p.loaded:
			key += 3 << 20
		case p.inflight >= q.fn.lanes:
			key += 2 << 20
		}
		if w.deficit[q.tenant] <= 0 {
			key += 1 << 20
		}
		if key < bestKey {
			ties = 0
		}
		if ties++; key < bestKey || key == bestKey && r.rng.IntN(ties) == 0 {
			best, bestKey, free = w, key, key < 2<<20
		}
	}
	if homes > 1 && !r.pressed() {
		for w := r.rankOf(q, 0); w != nil && homes > 0; w = r.rankOf(q, ranked) {
			if ranked++; r.eligible(q, w, strict) {
				weigh(w, q.fn.at(w))
			}
		}
	}
	for _, p := range q.fn.places { // copies beyond the agreed homes may lapse
		if homes <= 0 && bestKey < 1<<20 {
			break
		}
		if r.believed(p) && !q.fn.order.Among(p.w, ranked) && r.eligible(q, p.w, strict) {
			weigh(p.w, p)
		}
	}
	loaded := func(p *place) bool { return p.loaded }
	_, loading := r.standing(q)
	use := fresh != nil && (!loading || slices.ContainsFunc(q.fn.places, loaded)) // first copy: wait
	if use && (best == nil || bestKey >= 3<<20 || freshKey < bestKey && !r.ahead(q.fn, fresh)) {
		return fresh, true
	}
	return best, free
}

// ahead orders a copy at a worker while others serve the function, one at a time: calls sent there would wait
// for the load. It reports whether such an order is out.
func (r *Router) ahead(f *function, w *worker) bool {
	if slices.ContainsFunc(f.places, func(p *place) bool { return !p.loaded && r.now < p.ordered }) {
		return true
	}
	p := r.place(f, w)
	if !r.set.LoadsOnMiss || r.most > 0 || r.now < -p.ordered || !r.order(f, w, 1) {
		return false
	}
	p.lastSend, p.ordered = r.now, r.now+r.set.OrderTimeout
	return true
}

// homes is how many workers the gateways agree to use for a function: so many that its calls take up lanePart
// of the lanes and homePart of an even worker's load, as far as memory bears it (spread), with leastPart of a
// call at work at each. Its share is judged from our own calls; one that has seen few stays at one home.
func (r *Router) homes(q *request) int {
	fleet := min(r.calls/r.span.Seconds(), cmp.Or(r.fleet, math.MaxFloat64))
	share := (q.fn.calls - 1) / r.calls
	took := min(r.classes[q.class].mean, ms(r.set.Classes[q.class].Aim)/2) / 1000
	busy := share * fleet * float64(r.set.Gateways) * took
	most := max(busy/(lanePart*float64(q.fn.lanes)), share*float64(len(r.ready))/homePart)
	return int(math.Ceil(min(busy/leastPart, r.spread*most)))
}

// standing reports whether f is believed to stand, and whether a load of it is under way: one is enough.
func (r *Router) standing(q *request) (home, loading bool) {
	for _, p := range q.fn.places {
		if r.usable(p.w) && q.permits(p.w) && !p.w.health[q.class].out && r.believed(p) {
			home, loading = true, loading || !p.loaded && p.inflight > 0
		}
	}
	return home, loading
}

// coldChoice picks the worker for a new load, as all gateways would: the first in rank with quantum left and
// not far busier than the mean; with no positive counter anywhere, all of the tenant's counters gain Qw.
func (r *Router) coldChoice(q *request, strict, spread bool) *worker {
	if !r.anyPositive(q.tenant) {
		r.creditAll(q.tenant, quantumW)
	}
	// A jammed store gets fewer loads, a pressed fleet no second copies. Where warm calls are late, a copy
	// pushes out what others use, whose load pushes out a third. Held calls are no sign: loads end them.
	if few := max(2, len(r.ready)/fewLoads); float64(r.loading) >= r.bear*float64(len(r.ready)) ||
		spread && r.pressed() || r.late > yieldPart && r.loading >= few {
		return nil
	}
	bound := loadBound*float64(r.inflight+1)/float64(max(1, len(r.ready))) + 2
	var spare *worker
	for i, w := 1, r.rankOf(q, 0); w != nil; i, w = i+1, r.rankOf(q, i) {
		if float64(w.loads) >= loadsEach*r.bear || spread && w.part > jamPart ||
			!r.eligible(q, w, strict) || r.believed(q.fn.at(w)) {
			continue
		}
		if w.deficit[q.tenant] > 0 && float64(w.inflight) < bound {
			return w
		}
		if spare == nil || w.inflight < spare.inflight {
			spare = w
		}
	}
	return spare
}

// rankOf is the i-th worker for a request's function, as all gateways have it; nil if there is none. Of very
// many workers only the first are ranked, and of very many homes each gateway has a part.
func (r *Router) rankOf(q *request, i int) *worker {
	w, _ := r.index.At(&q.fn.order, ranking.Wants{Hash: q.fn.hash, Zones: q.zones, Homes: q.fn.homes,
		Zone: r.set.Zone, Self: r.set.Self}, i)
	return w
}

// believed reports whether the belief stands: it lapses after the least keep-alive since our last send.
func (r *Router) believed(p *place) bool {
	return p != nil && (p.inflight > 0 || r.set.KeepAlive == 0 || r.now-p.lastSend < r.set.KeepAlive)
}

// charge brings what an attempt has taken from the tenant's counters to took ms: the class's mean when it
// is sent, its latency when it ends. Turns are among held requests, so only these draw on Qu.
func (r *Router) charge(tenant int, a *attempt, took float64) {
	r.credit(a.w, tenant, a.charged-took)
	if a.held {
		r.turn[tenant] -= took - a.charged
	}
	a.charged = took
}

// release is DLPM over the held: warm matches first, positive tenants only; others gain Qu if none can go.
func (r *Router) release() {
	for len(r.held) > 0 && r.anyRoom(r.room) {
		r.held = slices.DeleteFunc(r.held, func(q *request) bool { return !q.held })
		if r.releaseOne() {
			continue
		}
		topped := false
		for t := range r.turn {
			if r.turn[t] <= 0 && slices.ContainsFunc(r.held, func(q *request) bool { return q.tenant == t }) {
				r.turn[t], topped = r.turn[t]+quantumU, true
			}
		}
		if !topped {
			return
		}
	}
}

// releaseOne sends one held request of a tenant whose turn it is; false when none could go.
func (r *Router) releaseOne() bool {
	for _, warmOnly := range []bool{true, false} {
		for _, q := range r.held {
			if r.turn[q.tenant] <= 0 {
				continue
			}
			if w, free := r.warmChoice(q, true); warmOnly && (w == nil || !free) {
				continue
			}
			if w := r.choose(q); w != nil && r.send(q, w) {
				q.held = false
				return true
			}
		}
	}
	return false
}
