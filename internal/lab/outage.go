package lab

import "time"

// ListLink is the relay between the gateway and its bulletin.
func (g *Gateway) ListLink() *Relay { return g.listLink }

// SlowList has all that the gateway hears of its bulletin come so much later, until HealLists.
func (g *Gateway) SlowList(by time.Duration) {
	g.lab.impairLists(true)
	g.lab.Logf("the list of %s comes %v late", g.Name, by)
	g.listLink.Set(Fault{}, Fault{Delay: by})
}

// CutLists has no gateway hear its bulletin: open connections fall silent, and new ones are taken and say nothing.
func (l *Lab) CutLists() {
	l.impairLists(true)
	l.Logf("the lists are out of reach")
	for _, g := range l.Gateways {
		g.listLink.Cut()
	}
}

// RefuseLists has the bulletins of all gateways go down: connections are reset, open and new ones.
func (l *Lab) RefuseLists() {
	l.impairLists(true)
	l.Logf("the lists are down")
	for _, g := range l.Gateways {
		g.listLink.Refuse()
	}
}

// HealLists ends CutLists, RefuseLists and SlowList.
func (l *Lab) HealLists() {
	l.Logf("the lists are within reach again")
	for _, g := range l.Gateways {
		g.listLink.Heal()
	}
	l.impairLists(false)
}

func (l *Lab) impairLists(on bool) {
	l.mu.Lock()
	l.listsImpaired = on
	l.mu.Unlock()
}

// listsTold is when what the lists have to tell from now on counts as told.
func (l *Lab) listsTold(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listsImpaired {
		return now.Add(toldWithin)
	}
	return now
}

// GraceIsOver reports whether nothing new may come to the worker any more, which drains or was left out.
func (w *Worker) GraceIsOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.drained.IsZero() && time.Since(w.drained) > drainGrace
}

// listed is the worker's phase and start as the list has them.
func (w *Worker) listed() (phase string, started int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if phase = "active"; !w.drains.IsZero() {
		phase = "leaving"
	}
	return phase, w.toldStart
}

// draining reports whether the worker has been draining for so long.
func (w *Worker) draining(long time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.drains.IsZero() && time.Since(w.drains) >= long
}
