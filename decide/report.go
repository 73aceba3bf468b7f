package decide

import "slices"

// Avoids reports whether the router keeps a worker that is ready out of every class at present, by its own judgement.
func (r *Router) Avoids(host string) bool {
	w := r.workers[host]
	return w != nil && w.host.State == Ready && !slices.ContainsFunc(w.health, func(h health) bool { return !h.out })
}
