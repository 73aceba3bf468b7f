package decide

// Loads: beliefs about which copies stand where.

import (
	"cmp"
	"slices"
	"time"
)

// place returns the belief about f at w, made anew where none stands.
func (r *Router) place(f *function, w *worker) *place {
	p := f.at(w)
	if p == nil {
		p = &place{w: w}
		i, _ := slices.BinarySearchFunc(f.places, mix(f.hash, w.hash), func(o *place, rank uint64) int {
			return cmp.Compare(mix(f.hash, o.w.hash), rank)
		})
		f.places = slices.Insert(f.places, i, p)
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
		r.recast(p, 1)
	}
}

// recast counts the calls at a copy as at work there, or with -1 as waiting for its load.
func (r *Router) recast(p *place, n int) {
	r.alter(p.w, func(u *use) {
		if u.busy += n * p.inflight; p.inflight > 0 {
			u.loads, r.loads = u.loads-n, r.loads-n
		}
	})
}

// flushed drops the belief in copies that no call sent after t has found: all their homes would load at once.
func (r *Router) flushed(t time.Duration) {
	r.doubt = 0
	for _, f := range r.funcs {
		for _, p := range f.places {
			if p.loaded && p.proven < t {
				p.loaded = false
				r.recast(p, -1)
			}
		}
	}
}

// drop clears the belief about f at w.
func (f *function) drop(w *worker) {
	f.places = slices.DeleteFunc(f.places, func(p *place) bool { return p.w == w })
}

// forget clears every belief about workers.
func (r *Router) forget(of func(w *worker) bool) {
	for _, f := range r.funcs {
		f.places = slices.DeleteFunc(f.places, func(p *place) bool { return of(p.w) })
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
