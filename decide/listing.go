package decide

// Listing: the listed workers, what this gateway knows about those that it has used, and running sums over the ready
// ones. No decision is made here. Tests check the sums against recount, which calculates them anew.

import (
	"slices"
	"strings"
	"time"

	"quillrail/internal/ranking"
)

// worker is a listed worker. Those that this gateway has not used share one usage: it never uses most of a long list.
type worker struct {
	host      Host
	hash      uint64
	ready     bool          // it is in listing.ready
	startedAt time.Duration // when it counts as started, 0 for long ago
	*usage
}

// usage is what this gateway's own calls have shown about a worker.
type usage struct {
	deficit      []float64 // per tenant: Qw counter, in ms
	inflight     int
	inflightWork float64 // hinted work of the attempts in flight, in ms
	warmInflight int     // attempts in flight at copies known to be loaded
	loads        int     // functions whose load this gateway waits for
	window       float64 // how many attempts may be in flight at loaded copies
	losses       float64 // calls whose hedge was answered first, as of lossAt, fading
	lossAt       time.Duration
	delay        float64 // running delay of warm calls (see classStat.record)
	shrunkAt     time.Duration
	failedAt     time.Duration // first failure since its last good answer, or 0
	fullUntil    time.Duration // it gets no calls until then, after it answered FULL
	health       []health      // by class
	coldSends    []sentWork    // calls sent while it was cold
	suspect      bool          // it is in listing.suspects
	probedAt     time.Duration // when this gateway last probed it
	evidence
}

type health struct {
	ejectedUntil, ejectedFor time.Duration // end and length of its last ejection
	ejected                  bool          // ejected as of the last sweep
}

// listing holds the listed workers and sums over the ready ones.
type listing struct {
	workers          map[string]*worker
	ready            []*worker // listed as ready, by name
	index            ranking.Index[*worker]
	unused           *usage    // shared by the workers that this gateway has not used
	used             []*worker // workers with a usage of their own
	unusedReady      int       // number of ready workers that share unused
	inflight         int       // sum of inflight over the ready workers
	loading          int       // sum of loads over the ready workers
	idle             int       // ready workers with a usage of their own and nothing in flight
	delaySum         float64   // sum of delay over the ready workers
	positiveDeficits []int     // per tenant: ready used workers with a positive counter
	suspects         []*worker // workers that may be ejected for a class
	departed         []*worker // workers that have left the list since the last prune
}

// newListing returns an empty list.
func newListing(classes, tenants int) listing {
	return listing{workers: map[string]*worker{}, unused: newUsage(classes, tenants), positiveDeficits: make([]int, tenants)}
}

func newUsage(classes, tenants int) *usage {
	return &usage{deficit: make([]float64, tenants), health: make([]health, classes), window: maxWindow}
}

// ownUsage gives a worker a usage of its own if it shares unused. Call it before any change of its usage.
func (l *listing) ownUsage(w *worker) {
	if w.usage != l.unused {
		return
	}
	own := *l.unused
	own.deficit, own.health = slices.Clone(own.deficit), slices.Clone(own.health)
	if w.ready {
		l.addToSums(w, -1)
	}
	w.usage, l.used = &own, append(l.used, w)
	if w.ready {
		l.addToSums(w, 1)
	}
}

// waiting returns the time for which calls wait at the worker, in multiples of the time that they are served.
func (u *usage) waiting() float64 { return max(0, u.delay) }

// addToSums adds a ready worker to the sums with n = 1, and removes it with n = -1.
func (l *listing) addToSums(w *worker, n int) {
	if w.usage == l.unused {
		l.unusedReady += n
		return
	}
	l.inflight, l.loading, l.delaySum = l.inflight+n*w.inflight, l.loading+n*w.loads, l.delaySum+float64(n)*w.delay
	if w.inflight == 0 {
		l.idle += n
	}
	for t, d := range w.deficit {
		if d > 0 {
			l.positiveDeficits[t] += n
		}
	}
}

// update changes a worker's usage, and the sums accordingly.
func (l *listing) update(w *worker, change func(u *usage)) {
	l.ownUsage(w)
	if w.ready {
		l.addToSums(w, -1)
	}
	change(w.usage)
	if w.ready {
		l.addToSums(w, 1)
	}
}

// credit adds ms to a tenant's counter at a worker.
func (l *listing) credit(w *worker, tenant int, ms float64) {
	l.ownUsage(w)
	was := w.deficit[tenant] > 0
	w.deficit[tenant] += ms
	if is := w.deficit[tenant] > 0; w.ready && was != is {
		l.positiveDeficits[tenant] += map[bool]int{true: 1, false: -1}[is]
	}
}

// creditAll adds ms to a tenant's counters at all ready workers.
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
	return l.positiveDeficits[tenant] > 0 || l.unusedReady > 0 && l.unused.deficit[tenant] > 0
}

// average returns the mean of a tenant's counters at the ready workers.
func (l *listing) average(tenant int) float64 {
	sum := float64(l.unusedReady) * l.unused.deficit[tenant]
	for _, w := range l.used {
		if w.ready {
			sum += w.deficit[tenant]
		}
	}
	return sum / float64(max(1, len(l.ready)))
}

// addWorker adds an unknown worker, with the average counters.
func (l *listing) addWorker(h Host) *worker {
	w := &worker{host: h, hash: hashOf(h.Name), usage: l.unused}
	w.host.State = Gone // until it is listed
	l.workers[h.Name] = w
	if h.State != Ready {
		l.ownUsage(w)
	}
	for t := range l.positiveDeficits {
		if d := l.average(t); len(l.ready) > 0 && d != l.unused.deficit[t] {
			l.ownUsage(w)
			w.deficit[t] = d
		}
	}
	return w
}

// anyReady reports whether a ready worker has room. Unused workers always have some.
func (l *listing) anyReady(room func(w *worker) bool) bool {
	return l.unusedReady > 0 || slices.ContainsFunc(l.used, func(w *worker) bool { return w.ready && room(w) })
}

// relist updates the sums, the index and the ready workers after changes of the list, and reports whether any worker
// has gone.
func (l *listing) relist(listed []*worker) (gone bool) {
	var removed, added []ranking.Entry[*worker]
	for _, w := range listed {
		entry := ranking.Entry[*worker]{Worker: w, Hash: w.hash, Zone: w.host.Zone}
		switch is := w.host.State == Ready; {
		case is && !w.ready:
			w.ready = true
			added = append(added, entry)
			l.addToSums(w, 1)
		case !is && w.ready:
			l.ownUsage(w) // its counters stay as they are from now on
			l.addToSums(w, -1)
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

// unlist removes a worker from the sums, the index and the ready workers before its entry changes. relist adds it again.
func (l *listing) unlist(w *worker) {
	if w.ready {
		l.addToSums(w, -1)
		w.ready = false
		l.index.Change([]ranking.Entry[*worker]{{Worker: w, Hash: w.hash, Zone: w.host.Zone}}, nil)
		l.ready = slices.DeleteFunc(l.ready, func(x *worker) bool { return x == w })
	}
}
