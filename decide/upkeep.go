package decide

// Periodic maintenance of the listing.

import "slices"

// prune drops the workers that have gone and have no attempts in flight.
func (l *listing) prune() {
	dropped := map[*worker]bool{}
	l.departed = slices.DeleteFunc(l.departed, func(w *worker) bool {
		if drop := w.host.State == Gone && w.inflight == 0 && l.workers[w.host.Name] == w; drop {
			delete(l.workers, w.host.Name)
			dropped[w] = true
		}
		return w.host.State != Gone || dropped[w]
	})
	if len(dropped) > 0 {
		l.used = slices.DeleteFunc(l.used, func(w *worker) bool { return dropped[w] })
		l.suspects = slices.DeleteFunc(l.suspects, func(w *worker) bool { return dropped[w] })
	}
}

// recount calculates the sums anew, since rounding errors add up in running sums.
func (l *listing) recount() {
	l.unusedReady, l.inflight, l.loading, l.idle, l.delaySum = len(l.ready), 0, 0, 0, 0
	clear(l.positiveDeficits)
	for _, w := range l.used {
		if w.ready {
			l.unusedReady--
			l.addToSums(w, 1)
		}
		if ejected := slices.ContainsFunc(w.health, func(h health) bool { return h.ejectedUntil > 0 }); ejected && !w.suspect {
			w.suspect, l.suspects = true, append(l.suspects, w)
		}
	}
}
