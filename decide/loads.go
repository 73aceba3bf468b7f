package decide

// Loads: which workers are assumed to hold a copy of which function.

import (
	"cmp"
	"slices"
	"time"
)

// ensurePlacement returns the placement of f at w. It adds one if there is none, and resets an expired one.
func (r *Router) ensurePlacement(f *function, w *worker) *placement {
	p := f.placementAt(w)
	if p == nil {
		p = &placement{worker: w}
		i, _ := slices.BinarySearchFunc(f.placements, mix(f.hash, w.hash),
			func(p *placement, rank uint64) int { return cmp.Compare(mix(f.hash, p.worker.hash), rank) })
		f.placements = slices.Insert(f.placements, i, p)
	} else if !r.believedWarm(p) {
		p.loaded, p.orderEnd = false, min(0, p.orderEnd)
	}
	return p
}

func (f *function) placementAt(w *worker) *placement {
	if i := slices.IndexFunc(f.placements, func(p *placement) bool { return p.worker == w }); i >= 0 {
		return f.placements[i]
	}
	return nil
}

// believedWarm reports whether a copy may still be assumed: until KeepAlive after this gateway's last send.
func (r *Router) believedWarm(p *placement) bool {
	return p != nil && (p.inflight > 0 || r.settings.KeepAlive == 0 || r.now-p.sentAt < r.settings.KeepAlive)
}

// copyStatus reports whether a usable copy is assumed, and whether one is being loaded: one load is enough.
func (r *Router) copyStatus(req *request) (warm, loading bool) {
	for _, p := range req.fn.placements {
		if r.usable(p.worker) && req.permits(p.worker) && !p.worker.health[req.class].ejected &&
			r.believedWarm(p) {
			warm, loading = true, loading || !p.loaded && p.inflight > 0
		}
	}
	return warm, loading
}

// markLoaded records that a copy is loaded: calls that waited for it are in execution from now on.
func (r *Router) markLoaded(p *placement) {
	if !p.loaded {
		p.loaded = true
		r.moveInflight(p, 1)
	}
}

// moveInflight counts the calls in flight at a copy as warm with sign 1, and as waiting for its load with -1.
func (r *Router) moveInflight(p *placement, sign int) {
	r.update(p.worker, func(u *usage) {
		if u.warmInflight += sign * p.inflight; p.inflight > 0 {
			u.loads, r.loads = u.loads-sign, r.loads-sign
		}
	})
}

// dropUnconfirmed stops assuming copies that no call sent at cutoff or later has found. Otherwise calls would
// go to all their homes, which would all load at once.
func (r *Router) dropUnconfirmed(cutoff time.Duration) {
	r.overdueShare = 0
	for _, f := range r.funcs {
		for _, p := range f.placements {
			if p.loaded && p.confirmedAt < cutoff {
				p.loaded = false
				r.moveInflight(p, -1)
			}
		}
	}
}

// drop removes the placement of f at w.
func (f *function) drop(w *worker) {
	f.placements = slices.DeleteFunc(f.placements, func(p *placement) bool { return p.worker == w })
}

// dropPlacements removes all placements at the workers that match.
func (r *Router) dropPlacements(match func(w *worker) bool) {
	for _, f := range r.funcs {
		f.placements = slices.DeleteFunc(f.placements, func(p *placement) bool { return match(p.worker) })
	}
}

func (r *Router) onLoaded(e Loaded) {
	f, w := r.funcs[e.Function], r.workers[e.Host]
	if f == nil || w == nil || w.host.State != Ready {
		return
	}
	f.drop(w) // reset it, since the order renewed the idle time of the copy
	p := r.ensurePlacement(f, w)
	p.orderEnd = -r.now - r.settings.OrderTimeout // no new order until then; calls may load it
	if p.loaded = e.Copies > 0; p.loaded {
		p.sentAt = r.now
	}
}
