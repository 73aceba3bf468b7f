package lab

import "time"

// ListLink is the relay between the gateway and its bulletin.
func (g *Gateway) ListLink() *Relay { return g.listLink }

// CutLists has no gateway hear its bulletin: open connections fall silent, and new ones are taken and say nothing.
func (l *Lab) CutLists() {
	l.mu.Lock()
	l.listCut = true
	l.mu.Unlock()
	l.Logf("the lists are out of reach")
	for _, g := range l.Gateways {
		g.listLink.Cut()
	}
}

// HealLists ends CutLists.
func (l *Lab) HealLists() {
	l.Logf("the lists are within reach again")
	for _, g := range l.Gateways {
		g.listLink.Heal()
	}
	l.mu.Lock()
	l.listCut = false
	l.mu.Unlock()
}

// listsTold is when what the lists have to tell from now on counts as told.
func (l *Lab) listsTold(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listCut {
		return now.Add(toldWithin)
	}
	return now
}

// draining reports whether the worker has been draining for so long.
func (w *Worker) draining(long time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.drains.IsZero() && time.Since(w.drains) >= long
}
