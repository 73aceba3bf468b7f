package decide

// Holding: which requests wait at the gateway, in which order they leave it, and how long that takes.

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// dispatch sends a request that has no attempt in flight, holds it, or answers it. A request that was sent
// before takes the place that its time gives it, like any other.
func (r *Router) dispatch(req *request) {
	if why := r.giveUpReason(req); why != NotGivenUp {
		r.giveUp(req, why)
		return
	}
	r.held = slices.DeleteFunc(r.held, func(other *request) bool { return !other.held })
	needed := time.Duration(r.timeNeeded(req) * float64(time.Millisecond))
	req.startBy = req.deadline - needed
	place := sort.Search(len(r.held), func(i int) bool { return req.before(r.held[i]) })
	if place == 0 {
		if w := r.choose(req); w != nil && r.send(req, w) {
			return
		}
	}
	if r.now+r.expectedWait(r.turnsAhead(req, place)) > req.startBy { // it would wait for its time in vain
		r.giveUp(req, TooLate)
		return
	}
	req.held, req.kind = true, r.kindOf(req)
	r.held = slices.Insert(r.held, place, req)
	if r.settings.MaxHeld > 0 && len(r.held) > r.settings.MaxHeld {
		r.giveUp(r.mostPatient(), TooLate)
	}
}

// heldByTenant returns how many of some held requests are of each tenant.
func (r *Router) heldByTenant(held []*request) []int {
	counts := make([]int, len(r.heldDeficit))
	for _, req := range held {
		counts[req.tenant]++
	}
	return counts
}

// turnsAhead returns how many held requests leave before one that would be inserted at a place: those of its
// tenant that stand ahead, and as many turns of each other tenant.
func (r *Router) turnsAhead(req *request, place int) int {
	own := r.heldByTenant(r.held[:place])[req.tenant]
	ahead := own
	for tenant, held := range r.heldByTenant(r.held) {
		if tenant != req.tenant {
			ahead += min(held, own+1)
		}
	}
	return ahead
}

// mostPatient returns the last request, which has the most time left to come again, of the tenant with most
// of the held requests. So no tenant can crowd out the others.
func (r *Router) mostPatient() *request {
	counts := r.heldByTenant(r.held)
	most := slices.Index(counts, slices.Max(counts))
	for _, req := range slices.Backward(r.held) {
		if req.tenant == most {
			return req
		}
	}
	return nil // there is one, since the queue is full
}

// before reports whether a request leaves before a held one. What is restricted to zones comes first, since
// all other calls may run where room is left. Otherwise it is the one that has to begin first, to be in time.
func (req *request) before(held *request) bool {
	if req.restricted() != held.restricted() {
		return req.restricted()
	}
	return req.startBy < held.startBy
}

// restricted reports whether a request may run in some zones only.
func (req *request) restricted() bool { return len(req.zones) > 0 }

// expectedWait returns how long it takes until so many held requests have been sent: the calls that the
// workers' windows hold are served in the mean latency. It is 0 while no worker is ready.
func (r *Router) expectedWait(requests int) time.Duration {
	if requests == 0 || len(r.ready) == 0 {
		return 0
	}
	room := float64(r.unusedReady) * maxWindow
	for _, w := range r.used {
		if w.ready {
			room += w.window
		}
	}
	latency := 0.0
	for i := range r.classes {
		latency += r.classes[i].mean / float64(len(r.classes))
	}
	return time.Duration(float64(requests) * latency / max(1, room) * float64(time.Millisecond))
}

// releaseHeld sends held requests by DLPM, to warm workers first. Spent counters gain Qu if none can be sent.
func (r *Router) releaseHeld() {
	for len(r.held) > 0 && r.anyReady(r.hasRoom) {
		r.held = slices.DeleteFunc(r.held, func(req *request) bool { return !req.held })
		if r.releaseOne() {
			continue
		}
		credited := false
		for t := range r.heldDeficit {
			if r.heldDeficit[t] <= 0 && slices.ContainsFunc(r.held, func(req *request) bool {
				return req.tenant == t
			}) {
				r.heldDeficit[t], credited = r.heldDeficit[t]+heldQuantum, true
			}
		}
		if !credited {
			return
		}
	}
}

// refusalPause returns for how long the client of a refused request should stay away: until it may be served.
// Where nothing tells that, it may come again at once.
func (r *Router) refusalPause(req *request, why Reason) time.Duration {
	switch why {
	case ListOutdated:
		return outdatedPause
	case OverShare:
		return r.allowanceDue(req.tenant)
	case NoTime, TooLate: // what waits now has to leave first
		return r.expectedWait(len(r.held))
	}
	return 0
}

// callKind is what the choice of a worker depends on, for a request that no attempt of its own binds.
type callKind struct {
	fn            *function
	class, tenant int
	zones         string
	sent          bool // it has been sent before
}

// kindState is shared by the held requests of a kind.
type kindState struct {
	blockedIn int // the last pass over the held requests in which one of the kind found no worker
}

// kindOf returns the state of a request's kind.
func (r *Router) kindOf(req *request) *kindState {
	kind := callKind{req.fn, req.class, req.tenant, "", len(req.attempts) > 0}
	if req.restricted() {
		kind.zones = fmt.Sprint(req.zones)
	}
	if r.kinds[kind] == nil {
		r.kinds[kind] = &kindState{}
	}
	return r.kinds[kind]
}

// mayHaveRun reports whether an attempt of the request may have run. It then may run again only where its
// class allows it.
func (req *request) mayHaveRun() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// releaseOne sends one held request of a tenant with a positive counter, and reports whether it could. Where
// one request finds no worker, the others of its kind don't either. This keeps long queues cheap.
func (r *Router) releaseOne() bool {
	for _, warmOnly := range []bool{true, false} {
		r.passes++
		for _, req := range r.held {
			if req.kind.blockedIn == r.passes || r.heldDeficit[req.tenant] <= 0 {
				continue
			}
			if r.sendHeld(req, warmOnly) {
				return true
			}
			if !req.mayHaveRun() {
				req.kind.blockedIn = r.passes
			}
		}
	}
	return false
}

// findsFreeLane reports whether a warm worker has a free lane for a request, be it one that it has tried.
func (r *Router) findsFreeLane(req *request) bool {
	w, free := r.chooseWarm(req, true)
	if w == nil && len(req.attempts) > 0 {
		w, free = r.chooseWarm(req, false)
	}
	return w != nil && free
}

// sendHeld sends a held request if there is a worker for it; with warmOnly, a warm one with a free lane.
func (r *Router) sendHeld(req *request, warmOnly bool) bool {
	if warmOnly && !r.findsFreeLane(req) {
		return false
	}
	w := r.choose(req)
	if w == nil || !r.send(req, w) {
		return false
	}
	req.held = false
	return true
}
