package decide

// Every decision of the router is in this file; api.go is the interface. Reading order: constants; state;
// events; choice (the design's path); release; attempts; rule guards; health; loads.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Tuned constants. Times that depend on the work are learnt; what is here is dimensionless or a pace.
const (
	sweepEvery   = 10 * time.Millisecond  // pace of the timer: release, patience, health
	quantumW     = 24000                  // Qw, ms of latency a tenant may take from a worker in a turn
	quantumU     = 400                    // Qu, ms of latency a tenant may take in a turn of the held
	queueDepth   = 2                      // calls a warm copy may have waiting, in multiples of its lanes
	loadBound    = 1.5                    // a new load skips workers this far above the mean in flight
	crowdPause   = 200 * time.Millisecond // a full worker is left alone so long; pace of closing windows
	yieldPart    = 0.24                   // while answers take more than this part of the aim,
	yieldRoom    = 0.2                    // calls of less worth may fill this part of the window
	aimPart      = 0.4                    // warm latency above this part of the aim closes the window
	unevenPart   = 2                      // a gateway may see so many times its even part of a tenant's calls
	shareBurst   = 3                      // seconds of a tenant's allowance that may be saved up
	doubtMost    = 0.4                    // with this part of the warm calls overdue, copies are doubted
	jamPart      = 0.25                   // a mean latency above this part of the aim presses the fleet
	gainPart     = 0.3                    // weight of an answer in the running mean of its worker
	unseenCalls  = 10                     // a latency of one aim counts as so many calls of others there
	hopeDevs     = 3                      // a held call is given up if one of mean + so many deviations,
	hopeMost     = 0.85                   // or of this part of the aim, would be late
	hintTrust    = 0.7                    // weight of a call's rough hint against the mean of its class
	owedUnit     = 0.5                    // hinted work in flight that counts as one call, in mean calls
	quietPart    = 0.15                   // part of the aim that the work of a class may well take
	latePart     = 0.7                    // and our own answers of late, FULL ones as 1
	secondDevs   = 2                      // due after mean + so many deviations where calls were lost of late
	lostOver     = 10 * time.Second       // that is, over this
	lostEnough   = 1                      // so many, reckoned with their fading
	secondPassed = 3                      // so many later calls answered by a copy say that one was lost
	patienceDevs = 5                      // a call is overdue after mean + so many deviations
	asideFirst   = 500 * time.Millisecond // a failing worker is set aside so long at first, then doubling
	outMost      = 0.5                    // at most this part of the fleet is judged unfit; else nobody
	coldSafety   = 0.8                    // part of the cold budget that is used
	coldSlots    = 8                      // parts of FallFor that are budgeted each for itself
	fewLoads     = 4                      // where warm calls are late, loads at one worker in so many
	loadsEach    = 2                      // loads at one worker that this gateway waits for at once
	gainFast     = 0.1                    // weight of a new sample in a running mean
	homePart     = 0.5                    // part of a worker's even load that one function should make up
	lanePart     = 0.5                    // part of a function's lanes that its calls should take up
	leastPart    = 0.25                   // of a call at work at each home
	forgetAfter  = 30 * time.Second       // what nobody called for so long is forgotten
	fadePart     = 0.6                    // part of the keep-alive over which a gateway counts its own calls
	spreadUp     = 1.01                   // homes grow so with each call that found its copy
	spreadDown   = 0.8                    // and shrink so with each that did not: 1 in 20 may fail
	lately       = 4 * time.Second        // over which rates are counted

	windowMin, windowMost   = 2, 32   // bounds of the in-flight window of a worker; it begins at the largest
	secondPart, secondBurst = 0.2, 10 // second copies by calls taken, and saved up
	spreadLeast, spreadMost = 0.1, 2.0
)

// Router decides for one gateway. It is not safe for concurrent use.
type Router struct {
	set          Settings
	gw           Gateway
	rng          *rand.Rand
	now          time.Duration
	workers      map[string]*worker
	ready        []*worker // workers that may take new work, by name
	funcs        map[string]*function
	open, held   []*request // in order of arrival, ended ones dropped at the sweep; by worth
	byID         map[uint64]*request
	classes      []classStat
	turn, tokens []float64 // Qu counters and allowances, a tenant each
	refilled     []time.Duration

	seconds                  float64         // second copies that may be sent
	arrivals, orders         []time.Duration // times within the ration's window
	goodRate                 float64         // own calls served a second, running
	ranked                   int             // version of ready, for the cached ranks
	fleet                    float64         // even part of all allowances, calls a second
	late                     float64         // latency as a part of the aim, of late, all workers
	work                     float64         // ms of hinted work of a call, running
	calls                    float64         // own calls of late, fading
	doubt                    float64         // part of the warm calls of late that became overdue
	spread                   float64         // how freely functions are given homes, by what the memory bears
	goodAt, calledAt, pruned time.Duration
	span                     time.Duration // over which own calls fade
}

type worker struct {
	host      Host
	hash      uint64
	deficit   []float64 // Qw counters, a tenant each
	inflight  int
	owed      float64 // the work of these by their hints, in ms
	busy      int     // of these, at copies known to stand
	loads     int     // functions whose load there we wait for
	window    float64 // how many of these may be out
	lost      float64 // calls of late whose second copy was answered first, fading
	lostAt    time.Duration
	part      float64 // warm latency, as a part of the aim; running
	shrunkAt  time.Duration
	failedAt  time.Duration   // first since its last good answer, or 0
	fullUntil time.Duration   // takes no call
	health    []health        // by class
	cold      []time.Duration // sends to it while it was cold
}

type health struct {
	aside, length time.Duration // set aside until; for how long
	out           bool          // judged unfit at the last sweep
}

type place struct { // a believed-warm worker of a function
	w                *worker
	inflight         int
	lastSend, proven time.Duration // proven: when the last call was sent that found the copy
	loaded           bool          // an answer has shown a loaded copy
	ordered          time.Duration // an order for it may be out until then; below 0: failed, none until that
}

type function struct {
	name   string
	hash   uint64
	lanes  int
	places []*place
	rank   []*worker // by rendezvous, as of ranked
	ranked int
	usedAt time.Duration
	calls  float64 // own calls of late, fading
	served bool    // one has been answered by some worker
}

type request struct {
	id                   uint64
	class, tenant        int
	fn                   *function
	work, worth          float64 // ms, by its hint; of its class
	arrived, deadline    time.Duration
	attempts             []attempt
	out                  int
	held, ended, streams bool
}

type attempt struct {
	w             *worker
	p             *place
	at            time.Duration
	charged       float64 // ms taken from the counters so far
	warm          bool    // sent to a copy that should stand
	mayRun        bool    // cleared by an outcome that proves otherwise
	done, cut     bool    // ended; retracted by us
	late          bool    // overdue, and held against its worker
	held, doubled bool    // released from hold; a second copy was tried
	passed        int     // calls sent later to its worker that have been answered
}

type classStat struct {
	mean, dev, work float64 // ms: of a warm call, and its mean hint
}

// New checks the settings and returns a Router that has no beliefs.
func New(s Settings, seed uint64, gw Gateway) (*Router, error) {
	if gw == nil || len(s.Classes) == 0 || s.MaxAttempts < 1 || s.ColdFrom < 0 || s.ColdFrom > 1 {
		return nil, fmt.Errorf("decide: impossible: gateway %v, Classes %d, MaxAttempts %d, ColdFrom %v",
			gw != nil, len(s.Classes), s.MaxAttempts, s.ColdFrom)
	}
	if d := min(s.KeepAlive, s.DrainGrace, s.ColdFor, s.FallFor, s.OrderWindow); d < 0 {
		return nil, fmt.Errorf("decide: KeepAlive, DrainGrace, ColdFor, FallFor or OrderWindow is %v", d)
	}
	r := &Router{set: s, gw: gw, rng: rand.New(rand.NewPCG(seed, 1)), workers: map[string]*worker{},
		funcs: map[string]*function{}, byID: map[uint64]*request{}, spread: 1, seconds: secondBurst,
		span: max(lately, time.Duration(fadePart*float64(s.KeepAlive)))}
	n := max(1, len(s.Tenants))
	r.turn, r.tokens, r.refilled = make([]float64, n), make([]float64, n), make([]time.Duration, n)
	for _, t := range s.Tenants {
		r.fleet += t.PerSec / float64(max(1, s.Gateways))
	}
	for i, c := range s.Classes {
		if c.Aim <= 0 || c.Deadline <= 0 {
			return nil, fmt.Errorf("decide: class %d has no Aim or no Deadline", i)
		}
		r.classes = append(r.classes, classStat{ms(c.Aim) / 4, ms(c.Aim) / 8, 0})
	}
	gw.WakeAt(sweepEvery, "sweep")
	if s.Subscribe {
		gw.Watch(true)
	}
	return r, nil
}

// ---- events ----

// Handle takes in one event at the clock time now and acts on it.
func (r *Router) Handle(now time.Duration, ev Event) {
	r.now = max(r.now, now)
	switch e := ev.(type) {
	case List:
		r.onList(e)
	case Arrival:
		r.onArrival(e)
	case ClientGone:
		if q := r.byID[e.ID]; q != nil && !q.ended {
			r.cutOthers(q, -1)
			r.end(q)
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
	if e.Whole {
		for _, w := range r.workers {
			w.host.State = Gone // unless listed below
		}
	}
	for _, h := range e.Hosts {
		w := r.workers[h.Name]
		if w == nil {
			w = &worker{hash: hashOf(h.Name), window: windowMost, health: make([]health, len(r.classes))}
			w.deficit = make([]float64, len(r.turn))
			for t := range w.deficit { // an unsent-to worker counts as average
				for _, x := range r.ready {
					w.deficit[t] += x.deficit[t] / float64(len(r.ready))
				}
			}
			r.workers[h.Name] = w
		} else if h.Since > w.host.Since { // restarted: empty, cold, and as healthy as any
			r.forget(w)
			w.health, w.window = make([]health, len(r.classes)), windowMost
		}
		w.host = h
	}
	r.ready = r.ready[:0]
	for _, w := range r.workers {
		switch w.host.State {
		case Ready:
			r.ready = append(r.ready, w)
		case Gone:
			r.forget(w)
		}
	}
	sort.Slice(r.ready, func(i, j int) bool { return r.ready[i].host.Name < r.ready[j].host.Name })
	r.ranked++
}

func (r *Router) onArrival(e Arrival) {
	if r.byID[e.ID] != nil || e.Class < 0 || e.Class >= len(r.classes) {
		return
	}
	f := r.funcs[e.Function]
	if f == nil {
		f = &function{name: e.Function, hash: hashOf(e.Function), ranked: -1}
		r.funcs[e.Function] = f
	}
	f.calls = 1 + fade(f.calls, r.now-f.usedAt, r.span)
	r.calls, r.calledAt = 1+fade(r.calls, r.now-r.calledAt, r.span), r.now
	f.lanes, f.usedAt = max(1, e.Lanes), r.now
	q := &request{id: e.ID, class: e.Class, tenant: min(max(e.Tenant, 0), len(r.turn)-1), fn: f,
		arrived: r.now, deadline: r.now + e.TTL, work: r.workOf(e), worth: r.set.Classes[e.Class].Worth}
	r.byID[e.ID] = q
	r.seconds = min(secondBurst, r.seconds+secondPart)
	r.open = append(r.open, q)
	r.arrivals = append(since(r.arrivals, r.now-r.set.OrderWindow), r.now)
	if r.overShare(q.tenant) && r.pressed() {
		r.answer(q)
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
	sum := 0.0
	for _, w := range r.ready {
		sum += w.part - jamPart
	}
	return len(r.held) > len(r.ready) || sum > 0 || r.late > latePart
}

func (r *Router) onResult(e Result) {
	q := r.byID[e.ID]
	if q == nil || e.Shot < 0 || e.Shot >= len(q.attempts) || q.attempts[e.Shot].done {
		return
	}
	a := &q.attempts[e.Shot]
	a.done = true
	q.out--
	a.w.inflight--
	a.w.owed = max(0, a.w.owed-q.work)
	a.p.inflight--
	if a.p.loaded {
		a.w.busy--
	} else if a.p.inflight == 0 {
		a.w.loads--
	}
	a.mayRun = !slices.Contains([]Outcome{Full, NoConn, Nop, Miss}, e.Outcome)
	r.charge(q.tenant, a, ms(e.Took))
	r.learn(q, a, e)
	if e.Final && !q.ended {
		r.cutOthers(q, e.Shot)
		r.end(q)
	}
	if q.ended && q.out == 0 {
		delete(r.byID, q.id)
	}
	if !q.ended && q.out == 0 && !q.streams {
		r.dispatch(q)
	}
}

// ---- choice: the design's path ----

// dispatch sends a request that has no attempt out, holds it, or answers it.
func (r *Router) dispatch(q *request) {
	if r.hopeless(q) {
		r.answer(q)
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
	home, loading := r.standing(q)
	for _, strict := range []bool{true, false} {
		if w, free := r.warmChoice(q, strict); w != nil {
			if d := &w.deficit[q.tenant]; free && *d <= 0 {
				*d += quantumW
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
	homes := r.homes(q)
	ties, bestKey, several := 0, math.MaxInt, homes > 1 && !r.pressed()
	fresh, freshKey := (*worker)(nil), math.MaxInt // the least busy home at which no copy is known to stand
	for _, w := range r.rankOf(q.fn) {
		if homes <= 0 && bestKey < 1<<20 {
			break // copies beyond the agreed homes may lapse
		}
		p := q.fn.at(w)
		if !r.believed(p) && (homes <= 0 || !several) || !r.eligible(q, w, strict) {
			continue
		}
		homes--
		key := int(w.owed/(owedUnit*max(1, r.work)) + unseenCalls*min(2, w.part))
		switch {
		case p == nil || !p.loaded && p.inflight == 0:
			if w.deficit[q.tenant] > 0 && key < freshKey {
				fresh, freshKey = w, key
			}
			continue
		case !p.loaded && p.inflight >= q.fn.lanes, p.inflight >= q.fn.lanes*(1+queueDepth):
			continue // what a copy cannot start with waits here, not in the worker's queue
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
	if !r.set.LoadsOnMiss || r.now < -p.ordered || !r.order(f, w, 1) {
		return false
	}
	p.lastSend, p.ordered = r.now, r.now+r.set.OrderTimeout
	return true
}

// homes is how many workers the gateways agree to use for a function: so many that its calls take up lanePart
// of the lanes and homePart of an even worker's load, as far as memory bears it (spread), with leastPart of a
// call at work at each. Its share is judged from our own calls; one that has seen few stays at one home.
func (r *Router) homes(q *request) int {
	fleet := r.calls / r.span.Seconds()
	if r.fleet > 0 {
		fleet = min(fleet, r.fleet)
	}
	share := (q.fn.calls - 1) / r.calls
	took := min(r.classes[q.class].mean, ms(r.set.Classes[q.class].Aim)/2) / 1000
	busy := share * fleet * float64(r.set.Gateways) * took
	most := max(busy/(lanePart*float64(q.fn.lanes)), share*float64(len(r.ready))/homePart)
	return int(math.Ceil(min(busy/leastPart, r.spread*most)))
}

// standing reports whether f is believed to stand, and whether a load of it is under way: one is enough.
func (r *Router) standing(q *request) (home, loading bool) {
	for _, p := range q.fn.places {
		if p.w.host.State == Ready && !p.w.health[q.class].out && r.believed(p) {
			home, loading = true, loading || !p.loaded && p.inflight > 0
		}
	}
	return home, loading
}

// coldChoice picks the worker for a new load, as all gateways would: the first in rank with quantum left and
// not far busier than the mean; with no positive counter anywhere, all of the tenant's counters gain Qw.
func (r *Router) coldChoice(q *request, strict, spread bool) *worker {
	total, loads, positive := 0, 0, false
	for _, w := range r.ready {
		total, loads = total+w.inflight, loads+w.loads
		positive = positive || w.deficit[q.tenant] > 0
	}
	if !positive {
		for _, w := range r.ready {
			w.deficit[q.tenant] += quantumW
		}
	}
	// A jammed store gets fewer loads, a pressed fleet no second copies. Where warm calls are late, a copy
	// pushes out what others use, whose load pushes out a third. Held calls are no sign: loads end them.
	if few := max(2, len(r.ready)/fewLoads); loads >= len(r.ready) || spread && r.pressed() ||
		r.late > yieldPart && loads >= few {
		return nil
	}
	bound := loadBound*float64(total+1)/float64(max(1, len(r.ready))) + 2
	var spare *worker
	for _, w := range r.rankOf(q.fn) {
		if w.loads >= loadsEach || spread && w.part > jamPart ||
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

func (r *Router) rankOf(f *function) []*worker {
	if f.ranked != r.ranked {
		f.ranked = r.ranked
		f.rank = append(f.rank[:0], r.ready...)
		sort.Slice(f.rank, func(i, j int) bool {
			return mix(f.hash, f.rank[i].hash) < mix(f.hash, f.rank[j].hash)
		})
	}
	return f.rank
}

// believed reports whether the belief stands: it lapses after the least keep-alive since our last send.
func (r *Router) believed(p *place) bool {
	return p != nil && (p.inflight > 0 || r.set.KeepAlive == 0 || r.now-p.lastSend < r.set.KeepAlive)
}

// charge brings what an attempt has taken from the tenant's counters to took ms: the class's mean when it
// is sent, its latency when it ends. Turns are among held requests, so only these draw on Qu.
func (r *Router) charge(tenant int, a *attempt, took float64) {
	a.w.deficit[tenant] -= took - a.charged
	if a.held {
		r.turn[tenant] -= took - a.charged
	}
	a.charged = took
}

// ---- release of held requests ----

// release is DLPM over the held: warm matches first, positive tenants only; others gain Qu if none can go.
func (r *Router) release() {
	for len(r.held) > 0 && slices.ContainsFunc(r.ready, r.room) {
		r.held = slices.DeleteFunc(r.held, func(q *request) bool { return !q.held })
		if r.releaseOne() {
			continue
		}
		topped := false
		for t := range r.turn {
			if r.turn[t] <= 0 && slices.ContainsFunc(r.held, func(q *request) bool { return q.tenant == t }) {
				r.turn[t] += quantumU
				topped = true
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

// ---- attempts ----

// sweep runs on the timer: health, calls overdue, held requests whose time is over.
func (r *Router) sweep() {
	r.judge()
	r.open = slices.DeleteFunc(r.open, func(q *request) bool { return q.ended })
	for _, q := range r.open {
		if q.held && r.hopeless(q) {
			r.answer(q)
		} else if q.out == 1 && !q.streams {
			r.overdue(q)
		}
	}
	if r.now-r.pruned > forgetAfter { // what nobody has called for long is forgotten
		r.pruned = r.now
		maps.DeleteFunc(r.funcs, func(_ string, f *function) bool {
			return r.now-f.usedAt > forgetAfter && !slices.ContainsFunc(f.places, r.believed)
		})
		gone := func(_ string, w *worker) bool { return w.host.State == Gone && w.inflight == 0 }
		maps.DeleteFunc(r.workers, gone)
	}
}

// hopeless reports whether a request without attempts out should be answered now: no time, attempts or right
// to send again, or a warm call would be late, or later than its client waits; most, before it is first sent.
func (r *Router) hopeless(q *request) bool {
	c, aim := r.classes[q.class], ms(r.set.Classes[q.class].Aim)
	need := min(c.mean, aim/2) // half of it at most, or a bad spell would refuse all and never end
	left := ms(q.deadline-r.now) - max(need, ms(2*sweepEvery))
	if len(q.attempts) == 0 {
		need = min(c.mean+hopeDevs*c.dev, hopeMost*aim)
	}
	return left <= 0 || len(q.attempts) >= r.set.MaxAttempts || !r.mayRepeat(q, nil) ||
		ms(r.now-q.arrived)+need > aim
}

// overdue holds an attempt that has been out for too long against its worker. Guards against workers that are
// silent, slow or paused, for one class or all; in an overload it could shun the merely busy.
func (r *Router) overdue(q *request) {
	a := &q.attempts[len(q.attempts)-1]
	if !a.done && !a.late && r.now-a.at >= r.patience(q, a) {
		if a.late = true; a.passed < secondPassed { // else its worker answers, and has lost this call
			r.strike(a.w, q.class)
		}
		if r.doubt += 2 * gainFast * (1 - r.doubt); a.warm && r.doubt > doubtMost {
			r.flushed(a.at)
		}
	}
	c, loses := r.classes[q.class], fade(a.w.lost, r.now-a.w.lostAt, lostOver) >= lostEnough
	if past := ms(r.now-a.at) - c.mean; !a.done && !a.doubled &&
		(a.passed >= secondPassed && past >= patienceDevs*c.dev || loses && past >= secondDevs*c.dev) {
		r.second(q, a)
	}
}

// passed counts, for the calls out at a worker, those that were sent there later and have been answered.
func (r *Router) passed(b *attempt) {
	for _, q := range r.open {
		for i := range q.attempts {
			if a := &q.attempts[i]; !q.ended && a.p == b.p && !a.done && a.at < b.at {
				a.passed++
			}
		}
	}
}

// second sends an overdue call again: to another believed-warm worker with a free lane, else to the same one,
// which drops a repeat of a key. Guards against lost calls; unbounded, or if pressed, it would add load.
func (r *Router) second(q *request, a *attempt) {
	if !r.set.Parallel || !a.warm || r.seconds < 1 || r.pressed() {
		return
	}
	w, free := r.warmChoice(q, true)
	if p := q.fn.at(w); !free || p == nil || !p.loaded {
		w = a.w
	}
	if a.doubled = true; r.room(w) && r.send(q, w) {
		r.seconds--
	}
}

// patience is how long an attempt may take before it is overdue.
func (r *Router) patience(q *request, a *attempt) time.Duration {
	c := r.classes[q.class]
	wait := c.mean + patienceDevs*c.dev
	if !a.warm {
		wait += ms(r.set.Classes[q.class].Deadline) / 2 // it may be a load that it waits for
	}
	return time.Duration(wait * float64(time.Millisecond))
}

func (r *Router) cutOthers(q *request, but int) {
	for i := range q.attempts {
		if a := &q.attempts[i]; i != but && !a.done && !a.cut && r.set.Cancelling {
			a.cut = true
			r.gw.Retract(q.id, i)
		}
	}
}

// answer ends a request that is owed one: refused where a repeat is harmless by the rules, failed otherwise.
func (r *Router) answer(q *request) {
	c := r.set.Classes[q.class]
	mayHaveRun := slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.mayRun })
	if !mayHaveRun || c.Effect == Safe || c.Effect == Keyed && c.Group == AllWorkers {
		r.gw.Refuse(q.id, 0)
	} else {
		r.gw.Lose(q.id)
	}
	r.cutOthers(q, -1)
	r.end(q)
}

func (r *Router) end(q *request) {
	q.ended, q.held = true, false
	if q.out == 0 {
		delete(r.byID, q.id)
	}
}

// ---- rule guards ----

// send is the one way out for attempts; it keeps every rule on sends.
func (r *Router) send(q *request, w *worker) bool {
	if q.ended || q.streams || r.now >= q.deadline || len(q.attempts) >= r.set.MaxAttempts ||
		q.out > 0 && !r.set.Parallel || w.host.State != Ready || !r.mayRepeat(q, w) ||
		!r.coldRoom(w) {
		return false
	}
	p := r.place(q.fn, w)
	if !r.set.LoadsOnMiss && !p.loaded { // nothing loads here unless ordered: the call waits for the copy
		if p.lastSend = r.now; r.now >= p.ordered && r.order(q.fn, w, 1) {
			p.ordered = r.now + r.set.OrderTimeout
		}
		return false
	}
	w.cold = append(w.cold, r.now)
	q.attempts = append(q.attempts, attempt{w: w, p: p, at: r.now, mayRun: true, held: q.held})
	a := &q.attempts[len(q.attempts)-1]
	a.warm = p.loaded || r.homes(q) > 1
	q.out++
	w.owed += q.work
	if w.inflight++; !p.loaded && p.inflight == 0 {
		w.loads++
	}
	p.inflight++
	p.lastSend = r.now
	if p.loaded {
		w.busy++
	}
	r.charge(q.tenant, a, r.classes[q.class].mean)
	r.gw.Route(q.id, w.host.Name, 0)
	return true
}

// mayRepeat keeps rule 2: a request that may have run goes out again only as its class allows, a keyed one
// within its window, which runs from the first such attempt, and its group. No worker means any.
func (r *Router) mayRepeat(q *request, w *worker) bool {
	c := r.set.Classes[q.class]
	for i := range q.attempts {
		a := &q.attempts[i]
		if !a.mayRun || c.Effect == Safe {
			continue
		}
		if c.Effect == Unsafe || r.now-a.at >= c.Window-2*sweepEvery {
			return false
		}
		if w != nil && (c.Group == SameZone && a.w.host.Zone != w.host.Zone ||
			c.Group == SameCell && a.w.host.Cell != w.host.Cell) {
			return false
		}
	}
	return true
}

// coldRoom keeps rule 4: a cold worker gets a part of what it can take at present, judged by what a worker
// serves us on average (calls served never exceed capacity, as calls sent do), before any by the allowances.
// Where that is below one call, each slot of the window admits the gateways whose turn it is, by number.
func (r *Router) coldRoom(w *worker) bool {
	age := r.now - w.host.Since
	if w.host.Since == 0 || age >= r.set.ColdFor || r.set.FallFor <= 0 {
		w.cold = w.cold[:0]
		return true
	}
	w.cold = since(w.cold, r.now-r.set.FallFor)
	share := r.set.ColdFrom + (1-r.set.ColdFrom)*max(0, age.Seconds())/r.set.ColdFor.Seconds()
	mean := max(r.rate(), r.fleet/4) / float64(max(1, len(r.ready)))
	budget := coldSafety * r.set.FallMultiple * share * mean * r.set.FallFor.Seconds()
	if budget >= 1 {
		return float64(len(w.cold)+1) <= budget
	}
	slot := uint64(age * coldSlots / r.set.FallFor)
	turn := float64(r.set.Self)*math.Phi + float64(mix(w.hash, slot)>>40)/(1<<24)
	part := max(budget, 1/float64(max(1, r.set.Gateways))) / coldSlots
	spent := len(w.cold) > 0 && w.cold[len(w.cold)-1] > r.now-r.set.FallFor/coldSlots
	return !spent && turn-math.Floor(turn) < part
}

func (r *Router) rate() float64 { return fade(r.goodRate, r.now-r.goodAt, lately) } // calls served a second

// order is the one way out for orders to load; it keeps the drain rule and the ration (rule 5).
func (r *Router) order(f *function, w *worker, copies int) bool {
	if !r.set.Orders || w.host.State != Ready {
		return false
	}
	if r.set.OrderWindow > 0 {
		r.orders = since(r.orders, r.now-r.set.OrderWindow-sweepEvery) // counted long, earned short
		r.arrivals = since(r.arrivals, r.now-r.set.OrderWindow+sweepEvery)
		if float64(len(r.orders)+1) > r.set.FreeOrders+r.set.OrderShare*float64(len(r.arrivals)) {
			return false
		}
		r.orders = append(r.orders, r.now)
	}
	r.gw.Order(w.host.Name, f.name, copies)
	return true
}

// ---- health ----

// room reports whether a worker takes more work by its answers and its window.
func (r *Router) room(w *worker) bool {
	return r.now >= w.fullUntil && float64(w.busy) < w.window
}

// yields reports whether a worker keeps what is left of its window for calls worth more than q. Guards
// against overloads in which all were late alike; where answers are prompt no call waits, however many come.
func (r *Router) yields(q *request, w *worker) bool {
	dearer := func(c Class) bool { return c.Worth > q.worth }
	return r.late > yieldPart && float64(w.busy) >= yieldRoom*w.window &&
		slices.ContainsFunc(r.set.Classes, dearer)
}

// eligible reports whether an attempt of q may go to w; strict also asks that q has not tried it.
func (r *Router) eligible(q *request, w *worker, strict bool) bool {
	if w.host.State != Ready || w.health[q.class].out || !r.room(w) || r.yields(q, w) ||
		!r.mayRepeat(q, w) || !r.coldRoom(w) {
		return false
	}
	return !slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.w == w && (strict || !a.done) })
}

// judge marks the workers that look unfit for a class: set aside for a failure or an overdue call. A cap
// keeps a common cause (a store, an overload) from emptying the fleet.
func (r *Router) judge() {
	for k := range r.classes {
		out := 0
		for _, w := range r.ready {
			h := &w.health[k]
			if h.out = r.now < h.aside; h.out {
				out++
			}
		}
		for _, w := range r.ready {
			w.health[k].out = w.health[k].out && float64(out) <= outMost*float64(len(r.ready))
		}
	}
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
		r.goodRate, r.goodAt = r.rate()+1/lately.Seconds(), r.now
		if a.warm { // where it had to load, memory bears fewer copies
			r.spread *= spreadUp
			if e.Note == BeganLoad {
				r.spread *= spreadDown
			}
			r.spread = max(spreadLeast, min(r.spread, spreadMost))
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
		if w.fullUntil = r.now + crowdPause; !p.loaded && p.inflight == 0 {
			q.fn.drop(w)
		}
	case Miss:
		q.fn.drop(w)
	case Bad, Late, NoConn, Reset:
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
	}
}

// resize moves the window of own attempts at a worker, against queues in which every call is late.
func (r *Router) resize(w *worker, part float64) {
	w.part += gainPart * (part - w.part)
	if w.part < aimPart {
		w.window = math.Min(windowMost, w.window+0.5)
	} else if r.now-w.shrunkAt > crowdPause {
		w.shrunkAt = r.now
		w.window = math.Max(windowMin, 0.8*math.Min(w.window, float64(w.busy+1)))
	}
}

// ---- loads ----

// place returns the belief about f at w, made anew where none stands.
func (r *Router) place(f *function, w *worker) *place {
	p := f.at(w)
	if p == nil {
		p = &place{w: w}
		f.places = append(f.places, p)
	} else if !r.believed(p) {
		p.loaded, p.ordered = false, min(0, p.ordered)
	}
	return p
}

func (f *function) at(w *worker) *place {
	if i := slices.IndexFunc(f.places, func(p *place) bool { return p.w == w }); i >= 0 {
		return f.places[i]
	}
	return nil
}

// landed notes that a copy is known to stand; what waited for it is at work from now on.
func (r *Router) landed(p *place) {
	if !p.loaded {
		p.loaded = true
		p.w.busy += p.inflight
		if p.inflight > 0 {
			p.w.loads--
		}
	}
}

// flushed drops the belief in copies that no call sent after t has found: all their homes would load at once.
func (r *Router) flushed(t time.Duration) {
	r.doubt = 0
	for _, f := range r.funcs {
		for _, p := range f.places {
			if p.loaded && p.proven < t {
				p.loaded = false
				if p.w.busy -= p.inflight; p.inflight > 0 {
					p.w.loads++
				}
			}
		}
	}
}

// drop clears the belief about f at w.
func (f *function) drop(w *worker) {
	f.places = slices.DeleteFunc(f.places, func(p *place) bool { return p.w == w })
}

// forget clears every belief about a worker.
func (r *Router) forget(w *worker) {
	for _, f := range r.funcs {
		f.drop(w)
	}
}

func (r *Router) onLoaded(e Loaded) {
	f, w := r.funcs[e.Function], r.workers[e.Host]
	if f == nil || w == nil || w.host.State != Ready {
		return
	}
	f.drop(w) // made anew: the order renewed the idle time
	p := r.place(f, w)
	p.ordered = -r.now - r.set.OrderTimeout // where it failed a call may still load it
	if p.loaded = e.Copies > 0; p.loaded {
		p.lastSend = r.now
	}
}
