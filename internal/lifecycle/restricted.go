package lifecycle

import (
	"slices"

	"quillrail/decide"
	"quillrail/internal/core"
)

// restrictedWorkers checks at each send that the call may still run at the worker's site, for gateways with the agreement part. A
// restriction may have been tightened while the call was waiting.
type restrictedWorkers struct {
	core.Workers
	gateway *Gateway
}

// Send passes an attempt on if the call may run at the worker's site now. Otherwise it ends the attempt as never sent, and the core
// looks for another worker.
func (w *restrictedWorkers) Send(a core.Attempt) {
	if zones, _, why, _ := w.gateway.agreement.Place(a.Call); why != "" ||
		zones != nil && !slices.Contains(zones, w.gateway.agreement.ZoneOf(a.Host)) {
		w.gateway.core.Ended(a.Ref, core.AttemptResult{Outcome: decide.NotSent})
		return
	}
	w.Workers.Send(a)
}
