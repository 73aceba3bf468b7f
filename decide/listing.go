package decide

// Listing: the workers that the list tells of, what this gateway knows of those it has used, and sums over the ready
// ones that are kept as they change. Nothing is decided here. recount checks the sums against a plain scan in tests.

import (
	"slices"
	"strings"
	"time"

	"quillrail/internal/ranking"
)

// worker is one that was told. Workers that this gateway has not used share one use: most of a long list are never used here.
type worker struct {
	host  Host
	hash  uint64
	ready bool          // among Router.ready, by host as it was when listed
	began time.Duration // it counts as started then, 0 for long ago
	*use
}

// use is what is known of a worker by this gateway's own calls.
type use struct {
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
	failedAt  time.Duration // first since its last good answer, or 0
	fullUntil time.Duration // takes no call
	health    []health      // by class
	cold      []sentWork    // to it while it was cold
	struck    bool          // among listing.struck
	askedAt   time.Duration // when it was last probed
	proof
}

type health struct {
	aside, length time.Duration // set aside until; for how long
	out           bool          // judged unfit at the last sweep
}

// listing is the list, and sums over the workers that are ready.
type listing struct {
	workers  map[string]*worker
	ready    []*worker // workers that may take new work, by name
	index    ranking.Index[*worker]
	unused   *use      // what is known of workers that were not used
	used     []*worker // the others
	idle     int       // ready workers that were not used
	inflight int       // sums over the ready ones
	loading  int
	parts    float64
	positive []int     // of the used ones, with a positive counter, a tenant each
	struck   []*worker // that may be set aside for a class
	departed []*worker // that have gone since the last pruning
}

// newListing returns an empty list.
func newListing(classes, tenants int) listing {
	return listing{workers: map[string]*worker{}, unused: newUse(classes, tenants), positive: make([]int, tenants)}
}

func newUse(classes, tenants int) *use {
	return &use{deficit: make([]float64, tenants), health: make([]health, classes), window: windowMost}
}

// touch gives a worker a use of its own, before anything of it is changed.
func (l *listing) touch(w *worker) {
	if w.use != l.unused {
		return
	}
	own := *l.unused
	own.deficit, own.health = slices.Clone(own.deficit), slices.Clone(own.health)
	if w.ready {
		l.sum(w, -1)
	}
	w.use, l.used = &own, append(l.used, w)
	if w.ready {
		l.sum(w, 1)
	}
}

// sum adds a ready worker to the sums, or takes it out with -1.
func (l *listing) sum(w *worker, n int) {
	if w.use == l.unused {
		l.idle += n
		return
	}
	l.inflight, l.loading, l.parts = l.inflight+n*w.inflight, l.loading+n*w.loads, l.parts+float64(n)*w.part
	for t, d := range w.deficit {
		if d > 0 {
			l.positive[t] += n
		}
	}
}

// alter changes a worker's use, and the sums with it.
func (l *listing) alter(w *worker, change func(u *use)) {
	l.touch(w)
	if w.ready {
		l.sum(w, -1)
	}
	change(w.use)
	if w.ready {
		l.sum(w, 1)
	}
}

// credit adds to a tenant's counter at a worker, in ms.
func (l *listing) credit(w *worker, tenant int, ms float64) {
	l.touch(w)
	was := w.deficit[tenant] > 0
	w.deficit[tenant] += ms
	if is := w.deficit[tenant] > 0; w.ready && was != is {
		l.positive[tenant] += map[bool]int{true: 1, false: -1}[is]
	}
}

// creditAll adds to a tenant's counters at all ready workers.
func (l *listing) creditAll(tenant int, ms float64) {
	l.unused.deficit[tenant] += ms
	for _, w := range l.used {
		if w.ready {
			l.credit(w, tenant, ms)
		}
	}
}

// anyPositive reports whether a tenant's counter is positive at a ready worker.
func (l *listing) anyPositive(tenant int) bool {
	return l.positive[tenant] > 0 || l.idle > 0 && l.unused.deficit[tenant] > 0
}

// average is the mean of a tenant's counters at the ready workers.
func (l *listing) average(tenant int) float64 {
	sum := float64(l.idle) * l.unused.deficit[tenant]
	for _, w := range l.used {
		if w.ready {
			sum += w.deficit[tenant]
		}
	}
	return sum / float64(max(1, len(l.ready)))
}

// begin adds a worker that was not known. It counts as average.
func (l *listing) begin(h Host) *worker {
	w := &worker{host: h, hash: hashOf(h.Name), use: l.unused}
	w.host.State = Gone // until it is listed
	l.workers[h.Name] = w
	if h.State != Ready {
		l.touch(w)
	}
	for t := range l.positive {
		if d := l.average(t); len(l.ready) > 0 && d != l.unused.deficit[t] {
			l.touch(w)
			w.deficit[t] = d
		}
	}
	return w
}

// anyRoom reports whether a ready worker suits; one that was not used does.
func (l *listing) anyRoom(room func(w *worker) bool) bool {
	return l.idle > 0 || slices.ContainsFunc(l.used, func(w *worker) bool { return w.ready && room(w) })
}

// relist brings what is kept of workers in line with what was told of them, and reports whether any has gone.
func (l *listing) relist(told []*worker) (gone bool) {
	var removed, added []ranking.Entry[*worker]
	for _, w := range told {
		entry := ranking.Entry[*worker]{Worker: w, Hash: w.hash, Zone: w.host.Zone}
		switch is := w.host.State == Ready; {
		case is && !w.ready:
			w.ready = true
			added = append(added, entry)
			l.sum(w, 1)
		case !is && w.ready:
			l.touch(w) // its counters stand still from now on
			l.sum(w, -1)
			w.ready = false
			removed = append(removed, entry)
		}
		if w.host.State == Gone {
			l.departed, gone = append(l.departed, w), true
		}
	}
	l.index.Change(removed, added)
	byName := func(w *worker, name string) int { return strings.Compare(w.host.Name, name) }
	if len(added)+len(removed) > len(l.ready)/16 {
		l.ready = slices.DeleteFunc(l.ready, func(w *worker) bool { return !w.ready })
		for _, e := range added {
			l.ready = append(l.ready, e.Worker)
		}
		slices.SortFunc(l.ready, func(a, b *worker) int { return byName(a, b.host.Name) })
		return gone
	}
	if len(removed) > 0 {
		l.ready = slices.DeleteFunc(l.ready, func(w *worker) bool { return !w.ready })
	}
	for _, e := range added {
		i, _ := slices.BinarySearchFunc(l.ready, e.Worker.host.Name, byName)
		l.ready = slices.Insert(l.ready, i, e.Worker)
	}
	return gone
}

// unlist takes a worker out of the sums and the order, before anything of its entry is changed; relist puts it back.
func (l *listing) unlist(w *worker) {
	if w.ready {
		l.sum(w, -1)
		w.ready = false
		l.index.Change([]ranking.Entry[*worker]{{Worker: w, Hash: w.hash, Zone: w.host.Zone}}, nil)
		l.ready = slices.DeleteFunc(l.ready, func(x *worker) bool { return x == w })
	}
}
