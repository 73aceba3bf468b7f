package decide

// Choice: which worker serves a request, and how many homes a function has.

import (
	"cmp"
	"math"
	"slices"

	"quillrail/internal/ranking"
)

// choose is SelectWorker of D2LPM (deficit longest prefix match): of the warm workers with a free lane, the
// one with a positive counter of the tenant and the fewest calls in flight, else one whose counter is spent
// and gains Qw. If all are busy, the call queues where the counter is positive, else a cold worker serves it.
func (r *Router) choose(req *request) *worker {
	if w := r.chooseForLease(req); w != nil {
		return w
	}
	warm, loading := r.copyStatus(req)
	for _, strict := range []bool{true, false} {
		if w, free := r.chooseWarm(req, strict); w != nil {
			if free && w.deficit[req.tenant] <= 0 {
				r.credit(w, req.tenant, workerQuantum)
			}
			if free || w.deficit[req.tenant] > 0 || loading {
				return w
			}
			if cold := r.chooseCold(req, strict, true); cold != nil && !r.orderAhead(req.fn, cold) {
				return cold
			}
			return w
		}
		if loading {
			return nil
		}
		if w := r.chooseCold(req, strict, warm); w != nil {
			return w
		}
	}
	return nil
}

// chooseWarm returns the best warm worker and whether own calls leave it a free lane. If a function has
// several homes, all count as warm, since other gateways keep copies there. The calls of other gateways in
// flight are estimated from the delay: where calls wait as long as they are served, as many wait as there are
// lanes.
func (r *Router) chooseWarm(req *request, strict bool) (best *worker, free bool) {
	req.fn.homes = r.homeCount(req)
	homes, ranked := min(req.fn.homes, r.index.MaxHomes(req.fn.hash)), 0
	ties, bestScore := 0, math.MaxInt
	fresh, freshScore := (*worker)(nil), math.MaxInt // the least busy home without a known copy
	weigh := func(w *worker, p *placement) {
		homes--
		calls := w.inflightWork/max(1, r.meanWork) + float64(req.fn.lanes)*w.waiting()
		score := int(calls / workPerCall)
		switch {
		case p == nil || !p.loaded && p.inflight == 0:
			if w.deficit[req.tenant] > 0 && score < freshScore {
				fresh, freshScore = w, score
			}
			return
		case !p.loaded && p.inflight >= req.fn.lanes, p.inflight >= req.fn.lanes*(1+queueDepth):
			return // calls that a copy cannot start yet wait here, not in the worker's queue
		case !p.loaded:
			score += loadingStep
		case p.inflight >= req.fn.lanes:
			score += queueStep
		}
		if w.deficit[req.tenant] <= 0 {
			score += spentStep
		}
		if score < bestScore {
			ties = 0
		}
		if ties++; score < bestScore || score == bestScore && r.rng.IntN(ties) == 0 {
			best, bestScore, free = w, score, score < queueStep
		}
	}
	if homes > 1 && r.mayAddCopies() {
		for w := r.rankedWorker(req, 0); w != nil && homes > 0; w = r.rankedWorker(req, ranked) {
			if ranked++; r.eligible(req, w, strict) {
				weigh(w, req.fn.placementAt(w))
			}
		}
	}
	for _, p := range req.fn.placements { // copies beyond the common homes may expire
		if homes <= 0 && bestScore < spentStep {
			break
		}
		if r.believedWarm(p) && !req.fn.order.InFirst(p.worker, ranked) && r.eligible(req, p.worker, strict) {
			weigh(p.worker, p)
		}
	}
	loaded := func(p *placement) bool { return p.loaded }
	_, loading := r.copyStatus(req)
	// A function without a loaded copy waits for the load in progress.
	use := fresh != nil && (!loading || slices.ContainsFunc(req.fn.placements, loaded))
	if use && (best == nil || bestScore >= loadingStep ||
		freshScore < bestScore && !r.orderAhead(req.fn, fresh)) {
		return fresh, true
	}
	return best, free
}

// orderAhead orders a copy at a worker while others serve the function, one at a time, since calls sent there
// would wait for the load. It reports whether such an order is in flight.
func (r *Router) orderAhead(f *function, w *worker) bool {
	if slices.ContainsFunc(f.placements, func(p *placement) bool { return !p.loaded && r.now < p.orderEnd }) {
		return true
	}
	p := r.ensurePlacement(f, w)
	if !r.settings.LoadsOnMiss || r.maxLoads > 0 || r.now < -p.orderEnd || !r.order(f, w, 1) {
		return false
	}
	p.sentAt, p.orderEnd = r.now, r.now+r.settings.OrderTimeout
	return true
}

// homeCount returns how many workers all gateways together use for a function: enough that its calls occupy
// laneUseShare of the lanes and make up homeLoadShare of a mean worker's load, scaled by homeFactor, with at
// least minHomeUse calls in execution at each. It counts only own calls: with few, there is one home.
func (r *Router) homeCount(req *request) int {
	gatewayRate := min(r.recentCalls/r.callFadeTime.Seconds(), cmp.Or(r.evenAllowance, math.MaxFloat64))
	share := (req.fn.recentCalls - 1) / r.recentCalls
	service := r.classes[req.class].service() / 1000 // waiting takes no lane
	busyLanes := share * gatewayRate * float64(r.settings.Gateways) * service
	wanted := max(busyLanes/(laneUseShare*float64(req.fn.lanes)), share*float64(len(r.ready))/homeLoadShare)
	return int(math.Ceil(min(busyLanes/minHomeUse, r.homeFactor*wanted)))
}

// chooseCold returns the worker for a new load, the same at all gateways: the first in rank with a positive
// counter and not far more calls in flight than the mean. If no counter is positive, all of these gain Qw.
func (r *Router) chooseCold(req *request, strict, additional bool) *worker {
	if !r.anyPositive(req.tenant) {
		r.creditAll(req.tenant, workerQuantum)
	}
	// Fewer loads may be in flight while the function store is slow, and while warm calls wait: then a new
	// copy evicts one in use, whose reload evicts another. In an overload only a function's first copy
	// is loaded, even if held calls are the overload, since they wait for it.
	if few := max(2, len(r.ready)/workersPerLoad); float64(r.loading) >= r.loadFactor*float64(len(r.ready)) ||
		additional && !r.mayAddCopies() || r.callsWait() && r.loading >= few {
		return nil
	}
	bound := inflightBound*float64(r.inflight+1)/float64(max(1, len(r.ready))) + 2
	var spare *worker
	for i, w := 1, r.rankedWorker(req, 0); w != nil; i, w = i+1, r.rankedWorker(req, i) {
		if float64(w.loads) >= loadsPerWorker*r.loadFactor || additional && w.delay > busyDelay ||
			!r.eligible(req, w, strict) || r.believedWarm(req.fn.placementAt(w)) {
			continue
		}
		if w.deficit[req.tenant] > 0 && float64(w.inflight) < bound {
			return w
		}
		if spare == nil || w.inflight < spare.inflight {
			spare = w
		}
	}
	return spare
}

// rankedWorker returns the i-th worker in the common ranking for the request's function, nil if there is
// none. Of very many workers only the first are ranked, and of very many homes each gateway uses a part.
func (r *Router) rankedWorker(req *request, i int) *worker {
	w, _ := r.index.At(&req.fn.order, ranking.Query{Hash: req.fn.hash, Zones: req.zones, Homes: req.fn.homes,
		Zone: r.settings.Zone, Self: r.settings.Self}, i)
	return w
}

// charge sets what an attempt has taken from the tenant's counters to took ms: the class's mean when it is
// sent, its latency when it ends. Qu is shared out among held requests, so only these draw on it.
func (r *Router) charge(tenant int, a *attempt, took float64) {
	r.credit(a.worker, tenant, a.charged-took)
	if a.held {
		r.heldDeficit[tenant] -= took - a.charged
	}
	a.charged = took
}
