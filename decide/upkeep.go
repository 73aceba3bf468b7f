package decide

// Upkeep of the list: what is done now and then.

import "slices"

// prune drops the workers that have gone and hold nothing of ours.
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
		l.struck = slices.DeleteFunc(l.struck, func(w *worker) bool { return dropped[w] })
	}
}

// recount reckons the sums anew, against what rounding may add up to in them.
func (l *listing) recount() {
	l.idle, l.inflight, l.loading, l.parts = len(l.ready), 0, 0, 0
	clear(l.positive)
	for _, w := range l.used {
		if w.ready {
			l.idle--
			l.sum(w, 1)
		}
		if aside := slices.ContainsFunc(w.health, func(h health) bool { return h.aside > 0 }); aside && !w.struck {
			w.struck, l.struck = true, append(l.struck, w)
		}
	}
}
