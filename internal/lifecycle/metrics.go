package lifecycle

import (
	"fmt"
	"strings"

	"quillrail/decide"
	"quillrail/internal/core"
)

// Metrics returns the gateway's metrics as text in the statsd format, a line each.
func (a *operatorAPI) Metrics() string {
	var b strings.Builder
	var metrics core.Metrics
	if a.core != nil {
		metrics = a.core.Metrics()
	}
	count := func(name string, n uint64) { fmt.Fprintf(&b, "svc.%s:%d|c\n", name, n) }
	gauge := func(name string, n int) { fmt.Fprintf(&b, "svc.%s:%d|g\n", name, n) }
	for i, c := range metrics.Classes {
		class := "responses." + a.conf.Site.Classes[i] + "."
		count(class+"ok", c.OK)
		count(class+"shed", c.Shed)
		count(class+"errors", c.Errors)
	}
	count("tries", metrics.Attempts)
	a.writeAttemptMetrics(count)
	gauge("active", metrics.Active)
	gauge("pool_size", metrics.PoolSize)
	gauge("pool_ejected", metrics.PoolEjected)
	count("config_applied", a.applied)
	count("config_rejected", a.rejected)
	if a.node != nil {
		(*Gateway)(a).writeFleetMetrics(gauge)
	}
	return b.String()
}

// writeAttemptMetrics reports how many attempts ended with each outcome, and how many requests were given up for each reason.
func (a *operatorAPI) writeAttemptMetrics(count func(name string, n uint64)) {
	if a.core == nil {
		return
	}
	outcomes := a.core.OutcomeCounts()
	for outcome, n := range outcomes.Attempts {
		count("attempts."+decide.Outcome(outcome).String(), n)
	}
	for why := decide.OverShare; why < decide.ReasonCount; why++ {
		count("given_up."+why.String(), outcomes.GivenUp[why])
	}
}
