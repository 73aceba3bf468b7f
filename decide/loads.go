package decide

// Loads: beliefs about which copies stand where.

import (
	"slices"
	"time"
)

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
		if p.w.busy += p.inflight; p.inflight > 0 {
			p.w.loads, r.loads = p.w.loads-1, r.loads-1
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
					p.w.loads, r.loads = p.w.loads+1, r.loads+1
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
