package lifecycle

import (
	"slices"

	"quillrail/decide"
	"quillrail/internal/core"
)

// confined is the workers of a gateway whose fleet agrees on where calls may run: a call that has waited since before a restriction
// was tightened does not leave for where it may not be any more.
type confined struct {
	core.Workers
	g *Gateway
}

// Send looks once more where the call may run. One that may not is as if it had never left, and another worker is looked for.
func (k *confined) Send(a core.Attempt) {
	if zones, _, why, _ := k.g.agreement.Place(a.Call); why != "" || zones != nil && !slices.Contains(zones, k.g.agreement.ZoneOf(a.Host)) {
		k.g.core.Ended(a.Ref, core.AttemptResult{Outcome: decide.NotSent})
		return
	}
	k.Workers.Send(a)
}
