package decide

import "slices"

// Avoids reports whether the router has ejected a ready worker from every class, after failures of its own calls there.
func (r *Router) Avoids(host string) bool {
	w := r.workers[host]
	return w != nil && w.host.State == Ready && !slices.ContainsFunc(w.health, func(h health) bool { return !h.ejected })
}
