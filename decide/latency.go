package decide

// Latency, overload: how long a call takes at a worker, how much of that time it waits there, and whether the
// fleet has more work than it can take.

import (
	"cmp"
	"math"
	"time"
)

const (
	// A worker is busy while calls wait there for longer than they are served: it never idles between them,
	// and a call that waits at the gateway instead can still go to another worker or be refused.
	busyDelay    = 1.0
	fullDelay    = 2 * busyDelay // a FULL answer counts as this delay
	longestDelay = 4 * busyDelay // no answer counts for more

	minLatencySamples = 20               // answers of a class from which its latency without waiting is known
	unloadedGain      = 0.01             // weight of an answer in the mean whose lowest level that is
	unloadedMemory    = 10 * time.Minute // time over which the lowest level is forgotten
	giveUpDevs        = 3                // in an overload a call needs time for mean + this many deviations

	// Until a class has minLatencySamples answers, a call is not overdue before 1 s, the time-out of RFC 6298
	// before any measurement.
	initialMean, initialDev = 250, 150 // ms; with overdueDevs

	initialLoadTime = 1000 // ms that a load is taken to last before any was seen, where calls do not tell it
)

// classStat is what answers have shown about the warm calls of a class. Latencies are in ms.
type classStat struct {
	mean, dev  float64       // running mean of the latency, and of its deviation
	work       float64       // running mean of the work hint, in ms; 0 before any call
	answeredAt time.Duration // when the last answer came
	samples    int           // answers so far
	perWork    float64       // running mean of the latency for each ms of hinted work
	unloaded   float64       // the lowest level of perWork: that of a call that does not wait
}

// record takes in the latency of a warm call with the given work, both in ms, and returns its delay: the time
// that it waited, in multiples of the time that it takes without waiting. known is false while that is not
// known. Hints are rough, so single delays may be below 0; only their mean says something.
func (c *classStat) record(took, work float64, now time.Duration) (delay float64, known bool) {
	if c.samples == 0 {
		c.mean, c.dev = took, took/2 // as in RFC 6298
	}
	c.dev += meanGain / 2 * (math.Abs(took-c.mean) - c.dev)
	c.mean += meanGain / 2 * (took - c.mean)
	c.samples++
	elapsed := now - c.answeredAt
	c.answeredAt = now
	perWork := took / work
	c.perWork += max(unloadedGain, 1/float64(c.samples)) * (perWork - c.perWork)
	if c.samples < minLatencySamples {
		return 0, false
	}
	if c.unloaded == 0 || c.perWork < c.unloaded {
		c.unloaded = c.perWork
	} else {
		c.unloaded = c.perWork - fade(c.perWork-c.unloaded, elapsed, unloadedMemory)
	}
	return min(longestDelay, perWork/c.unloaded-1), true
}

// service returns the latency of a call of mean work that does not wait at the worker, in ms.
func (c *classStat) service() float64 {
	if c.unloaded == 0 {
		return c.mean
	}
	return min(c.mean, c.unloaded*c.work)
}

// expectedLatency returns how long a call takes at a worker with a loaded copy, in ms: the mean of its class
// and devs deviations, by its own work. An estimate that no answer confirms fades. Otherwise the calls that
// are refused by it would keep it from ever being corrected.
func (r *Router) expectedLatency(req *request, devs float64) float64 {
	c, relative := &r.classes[req.class], 1.0
	if c.work > 0 && req.workHint > 0 {
		relative = req.workHint / c.work
	}
	return fade((c.mean+devs*c.dev)*relative, r.now-c.answeredAt, rateFadeTime)
}

// timeNeeded returns the time that a call needs from now on to be answered in time, in ms. In an overload
// workers' time goes to calls that are nearly certain to be in time, since it is lost where a call is late.
func (r *Router) timeNeeded(req *request) float64 {
	devs := 0.0
	if r.overloaded() {
		devs = giveUpDevs
	}
	return max(r.expectedLatency(req, devs), ms(2*sweepInterval))
}

// recordDelay takes in the delay of an answer.
func (r *Router) recordDelay(delay float64) {
	r.delay += meanGain / 3 * (delay - r.delay)
	r.delayedAt = r.now
}

// callsWait reports whether the calls answered of late waited at workers for longer than they were served.
// What no answer confirms fades, so that it does not keep calls from being sent for good.
func (r *Router) callsWait() bool {
	return fade(r.delay, r.now-r.delayedAt, rateFadeTime) > busyDelay
}

// overloaded reports whether more requests are held than there are ready workers, or the workers are busy.
func (r *Router) overloaded() bool { return len(r.held) > len(r.ready) || r.workersBusy() }

// workersBusy reports whether calls wait at workers for longer than they are served, in the mean of the
// workers or of the recent answers. The latter shows it also at low rates, when most have not answered yet.
func (r *Router) workersBusy() bool {
	return r.delaySum > busyDelay*float64(len(r.ready)) || r.callsWait()
}

// mayAddCopies reports whether a function may get further copies. In an overload they would take memory and
// cores from the calls that wait, unless a worker is idle while requests are held.
func (r *Router) mayAddCopies() bool {
	return !r.overloaded() || r.unusedReady+r.idle > 0 && !r.workersBusy()
}

// overdueAfter returns the latency from which on an attempt is overdue. One that may be waiting for a load
// has the time of a slow load besides, or half of its caller's time: a crowded store takes far longer than
// the hint tells, and another worker would only crowd it more.
func (r *Router) overdueAfter(req *request, a *attempt) time.Duration {
	c := r.classes[req.class]
	wait := c.mean + overdueDevs*c.dev
	if c.samples < minLatencySamples {
		wait = max(wait, initialMean+overdueDevs*initialDev)
	}
	if !a.warm {
		slowLoad := slowLoadFactor * cmp.Or(req.loadHint, r.loadTime)
		wait += max(slowLoad, ms(req.deadline-req.arrived)/2)
	}
	return time.Duration(wait * float64(time.Millisecond))
}
