package decide

// Events: what is taken in, and the first answer to it.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// New checks the settings and returns a Router that has no beliefs.
func New(s Settings, seed uint64, gw Gateway) (*Router, error) {
	if err := s.check(gw); err != nil {
		return nil, err
	}
	n := max(1, len(s.Tenants))
	r := &Router{set: s, gw: gw, rng: rand.New(rand.NewPCG(seed, 1)), listing: newListing(len(s.Classes), n),
		funcs: map[string]*function{}, byID: map[uint64]*request{}, spread: 1, bear: 1, seconds: secondBurst,
		span: max(lately, time.Duration(fadePart*float64(s.KeepAlive)))}
	r.turn, r.tokens, r.refilled = make([]float64, n), make([]float64, n), make([]time.Duration, n)
	for _, t := range s.Tenants {
		r.fleet += t.PerSec / float64(max(1, s.Gateways))
	}
	for _, c := range s.Classes {
		r.classes = append(r.classes, classStat{ms(c.Aim) / 4, ms(c.Aim) / 8, 0})
	}
	gw.WakeAt(sweepEvery, "sweep")
	if s.Subscribe {
		gw.Watch(true)
	}
	return r, nil
}

// Handle takes in one event at the clock time now and acts on it.
func (r *Router) Handle(now time.Duration, ev Event) {
	r.now = max(r.now, now)
	switch e := ev.(type) {
	case List:
		r.onList(e)
	case Current:
		r.onCurrent(e)
	case Arrival:
		r.onArrival(e)
	case ClientGone:
		if q := r.byID[e.ID]; q != nil && !q.ended {
			r.end(q, -1)
		}
	case Result:
		r.onResult(e)
	case FirstByte:
		if q := r.byID[e.ID]; q != nil && !q.ended && e.Shot >= 0 && e.Shot < len(q.attempts) {
			q.streams = true
			r.cutOthers(q, e.Shot)
		}
	case Loaded:
		r.onLoaded(e)
	case Probed:
		r.onProbed(e)
	case Wake:
		if e.Token == "sweep" {
			r.sweep()
			r.gw.WakeAt(sweepEvery, "sweep")
		}
	}
	r.release()
}

func (r *Router) onList(e List) {
	if e.Failed {
		if r.set.Subscribe {
			r.gw.Watch(true)
		}
		return
	}
	before := r.size()
	var told []*worker
	if e.Whole {
		for _, w := range r.workers {
			w.host.State, told = Gone, append(told, w) // unless listed below
		}
	}
	empty := map[*worker]bool{} // restarted: cold, and as healthy as any
	for _, h := range e.Hosts {
		w := r.workers[h.Name]
		if w == nil {
			w = r.begin(h)
		} else if h.restarted(w.host.Since) {
			empty[w] = true
			r.alter(w, func(u *use) { u.health, u.window = make([]health, len(r.classes)), windowMost })
		}
		if w.host.Zone != h.Zone {
			r.unlist(w)
		}
		if h.Since != w.host.Since || w.began == 0 {
			w.began = r.started(h, e.Whole)
		}
		if w.use != r.unused && (empty[w] || h.State != w.host.State && w.host.State != Gone) {
			w.proof = proof{}
		}
		if w.host, told = h, append(told, w); h.SelfReported { // proves itself, and so is counted by itself
			r.touch(w)
		}
	}
	if r.relist(told) || len(empty) > 0 {
		r.forget(func(w *worker) bool { return w.host.State == Gone || empty[w] })
	}
	r.left, r.listedAt = max(0, before-float64(len(r.ready))), r.now
}

// restarted reports whether a worker was started anew that was listed as started at a time before. A clock
// that was stepped back has the new start far behind the old one; a little behind, the old one was a guess.
func (h *Host) restarted(before time.Duration) bool {
	return h.Since > before || h.Since != 0 && h.Since < before-listLag
}

// started is when a worker counts as started that the list tells of, 0 for long ago. Clocks of machines are
// stepped: a start that is still to come, or too old for the list to tell it now, counts as one of now.
func (r *Router) started(h Host, whole bool) time.Duration {
	switch {
	case h.Since == 0:
		return 0
	case h.Since > r.now:
		return r.now
	case !whole && r.listAsOf > 0 && h.Since < r.listAsOf-listLag:
		return r.now
	}
	return h.Since
}

func (r *Router) onArrival(e Arrival) {
	if r.byID[e.ID] != nil || e.Class < 0 || e.Class >= len(r.classes) {
		return
	}
	f := r.funcs[e.Function]
	if f == nil {
		f = &function{name: e.Function, hash: hashOf(e.Function)}
		r.funcs[e.Function] = f
	}
	f.calls = 1 + fade(f.calls, r.now-f.usedAt, r.span)
	r.calls, r.calledAt = 1+fade(r.calls, r.now-r.calledAt, r.span), r.now
	f.lanes, f.usedAt = max(1, e.Lanes), r.now
	q := &request{id: e.ID, class: e.Class, tenant: min(max(e.Tenant, 0), len(r.turn)-1), fn: f,
		arrived: r.now, deadline: r.now + e.TTL, work: r.workOf(e), load: ms(e.LoadTime),
		worth: r.set.Classes[e.Class].Worth, zones: e.Zones}
	if len(e.Zones) > 0 { // what may not go elsewhere comes before all that may
		q.worth, r.pinnedAt = q.worth+pinnedWorth, r.now
	}
	r.byID[e.ID] = q
	r.seconds = min(secondBurst, r.seconds+secondPart)
	r.probes = min(probesSaved, r.probes+1)
	r.open = append(r.open, q)
	r.arrivals = append(since(r.arrivals, r.now-r.set.OrderWindow), r.now)
	if r.overShare(q.tenant) && r.pressed() {
		r.answer(q, OverShare)
		return
	}
	r.dispatch(q)
}

// workOf is what a call is thought to take of a core, by its rough hint and its class.
func (r *Router) workOf(e Arrival) float64 {
	c := &r.classes[e.Class]
	work := cmp.Or(max(0, ms(e.Work)), c.work, c.mean)
	c.work = cmp.Or(c.work, work)
	c.work += gainFast / 2 * (work - c.work)
	r.work = cmp.Or(r.work, work) + gainFast/2*(work-cmp.Or(r.work, work))
	return hintTrust*work + (1-hintTrust)*c.work
}

// overShare takes a token of the tenant's allowance, as much of it as this gateway may well see (clients keep
// to theirs), and reports whether there was none: under pressure such a request is refused at once.
func (r *Router) overShare(t int) bool {
	if t >= len(r.set.Tenants) || r.set.Tenants[t].PerSec <= 0 {
		return false
	}
	rate := r.set.Tenants[t].PerSec * min(1, unevenPart/float64(max(1, r.set.Gateways)))
	r.tokens[t] = min(rate*shareBurst, r.tokens[t]+rate*(r.now-r.refilled[t]).Seconds())
	r.refilled[t] = r.now
	if r.tokens[t] < 1 {
		return true
	}
	r.tokens[t]--
	return false
}

// pressed reports whether more calls wait here than there are workers, or workers answer late on average, or
// our own answers of late were late or FULL: at a few calls a second most workers have told us nothing yet.
func (r *Router) pressed() bool {
	return len(r.held) > len(r.ready) || r.parts > jamPart*float64(len(r.ready)) || r.late > latePart
}

func (r *Router) onResult(e Result) {
	q := r.byID[e.ID]
	if q == nil || e.Shot < 0 || e.Shot >= len(q.attempts) || q.attempts[e.Shot].done {
		return
	}
	a := &q.attempts[e.Shot]
	a.done, q.out = true, q.out-1
	a.p.inflight--
	r.alter(a.w, func(u *use) {
		u.inflight, u.owed = u.inflight-1, max(0, u.owed-q.work)
		if a.p.loaded {
			u.busy--
		} else if a.p.inflight == 0 {
			u.loads, r.loads = u.loads-1, r.loads-1
		}
	})
	a.mayRun = !slices.Contains([]Outcome{Full, NoConn, Nop, Miss}, e.Outcome)
	r.charge(q.tenant, a, ms(e.Took))
	r.learn(q, a, e)
	if e.Final && !q.ended {
		r.end(q, e.Shot)
	}
	if q.ended && q.out == 0 {
		delete(r.byID, q.id)
	} else if q.out == 0 && !q.streams {
		r.dispatch(q)
	}
}
