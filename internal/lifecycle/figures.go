package lifecycle

import (
	"fmt"
	"strings"

	"quillrail/decide"
	"quillrail/internal/core"
)

// Stat words the figures in the form of statsd.
func (d *desk) Stat() string {
	var b strings.Builder
	var f core.Metrics
	if d.core != nil {
		f = d.core.Metrics()
	}
	count := func(name string, n uint64) { fmt.Fprintf(&b, "svc.%s:%d|c\n", name, n) }
	gauge := func(name string, n int) { fmt.Fprintf(&b, "svc.%s:%d|g\n", name, n) }
	for i, c := range f.Classes {
		class := "responses." + d.conf.Site.Classes[i] + "."
		count(class+"ok", c.OK)
		count(class+"shed", c.Shed)
		count(class+"errors", c.Errors)
	}
	count("tries", f.Attempts)
	d.trace(count)
	gauge("active", f.Active)
	gauge("pool_size", f.PoolSize)
	gauge("pool_ejected", f.PoolEjected)
	count("config_applied", d.applied)
	count("config_rejected", d.rejected)
	if d.node != nil {
		(*Gateway)(d).fleetStat(gauge)
	}
	return b.String()
}

// trace words how attempts ended and why requests were given up.
func (d *desk) trace(count func(name string, n uint64)) {
	if d.core == nil {
		return
	}
	trace := d.core.OutcomeCounts()
	for outcome, n := range trace.Attempts {
		count("attempts."+decide.Outcome(outcome).String(), n)
	}
	for why := decide.OverShare; why < decide.ReasonCount; why++ {
		count("given_up."+why.String(), trace.GivenUp[why])
	}
}
