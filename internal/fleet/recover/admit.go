package recover

import (
	"maps"
	"time"
)

const (
	stepInterval      = 500 * time.Millisecond // the admitted rate is adjusted once per step
	increaseFactor    = 1.5                    // applied to the rate after a step in which most ended calls were served
	decreaseFactor    = 0.8                    // applied to the rate after a step in which too few were served
	increaseThreshold = 0.9                    // served share of ended calls from which the rate is increased
	decreaseThreshold = 0.6                    // served share of ended calls below which the rate is decreased
	initialShare      = 0.5                    // part of the former rate that is admitted at first, even if all workers are cold
	maxRateFactor     = 2.0                    // bound of the rate, relative to the former rate; the rate starts there if all workers are warm
	burstWindow       = 300 * time.Millisecond // a burst may hold as many calls as the rate allows in this time
	firstLoadTimeout  = 3 * time.Second        // a first load without a result no longer counts as in flight after this time
	minCleanSteps     = 2                      // steps in a row without rejections that end the limit, once the rate has reached the former rate
)

// AdmissionConfig holds what a gateway's admission after a start depends on.
type AdmissionConfig struct {
	FormerRate float64 // calls per second served before the start; 0 if not known, and then the rate is not limited
	FirstLoads int     // first loads of functions that the model store can take from the whole fleet at once
	Gateways   int     // gateways of the fleet that are available
}

// Admission limits the calls that are admitted while the gateway recovers, of all classes alike. The admitted rate rises in steps. The
// number of concurrent first loads is limited to this gateway's share of what the model store can take.
type Admission struct {
	config     AdmissionConfig
	rate       float64 // admitted calls per second
	tokens     float64
	refilledAt time.Duration
	stepStart  time.Duration
	served     int                      // admitted calls served in this step
	failed     int                      // admitted calls that the module refused, or that failed, in this step
	rejected   int                      // calls rejected here in this step
	cleanSteps int                      // consecutive steps in which calls were served and none was rejected here
	loaded     map[string]bool          // functions with a loaded copy
	loading    map[string]time.Duration // first loads in flight, by function, with the time they began
	done       bool
}

// NewAdmission returns an admission that begins at now. capacityShare is the share of their full capacity, from 0 to 1, that
// the workers have at present, while some of them may be cold.
func NewAdmission(config AdmissionConfig, capacityShare float64, now time.Duration) *Admission {
	a := &Admission{config: config, refilledAt: now, stepStart: now, loaded: map[string]bool{}, loading: map[string]time.Duration{}}
	a.rate = config.FormerRate * max(initialShare, maxRateFactor*min(1, capacityShare))
	a.tokens = a.maxTokens()
	return a
}

func (a *Admission) maxTokens() float64 { return max(2, a.rate*burstWindow.Seconds()) }

// MaxFirstLoads returns how many first loads this gateway may have in flight at once.
func (a *Admission) MaxFirstLoads() int { return max(1, a.config.FirstLoads/max(1, a.config.Gateways)) }

// SetGateways sets the number of gateways that are available now.
func (a *Admission) SetGateways(n int) { a.config.Gateways = n }

// MarkLoaded notes that this or another gateway has found a loaded copy of a function.
func (a *Admission) MarkLoaded(fn string) {
	a.loaded[fn] = true
	delete(a.loading, fn)
}

// Admit reports whether a call is admitted. If a copy of its function is loaded, the rate decides. If no copy is known, the call needs a place among the first loads; further calls for a function whose first
// load is in flight are admitted too, and wait in the module for as long as it expects to serve them in time.
func (a *Admission) Admit(now time.Duration, fn string) bool {
	if a.Done(now) {
		return true
	}
	if !a.loaded[fn] {
		maps.DeleteFunc(a.loading, func(_ string, at time.Duration) bool { return now-at >= firstLoadTimeout })
		if _, inFlight := a.loading[fn]; inFlight {
			return true
		}
		if len(a.loading) >= a.MaxFirstLoads() {
			a.rejected++
			return false
		}
		a.loading[fn] = now
		return true
	}
	if a.config.FormerRate <= 0 {
		return true
	}
	a.tokens = min(a.maxTokens(), a.tokens+a.rate*(now-a.refilledAt).Seconds())
	a.refilledAt = now
	if a.tokens < 1 {
		a.rejected++
		return false
	}
	a.tokens--
	return true
}

// RecordOutcome records how an admitted call has ended. Only calls for functions that were loaded before are evidence of
// whether the rate is right, since the others waited for their loads.
func (a *Admission) RecordOutcome(fn string, served bool) {
	switch wasLoaded := a.loaded[fn]; {
	case served && wasLoaded:
		a.served++
	case served:
		a.MarkLoaded(fn)
	case wasLoaded:
		a.failed++
	}
}

// Done reports whether all calls are admitted without limit. Once it has returned true it always does.
func (a *Admission) Done(now time.Duration) bool {
	for !a.done && now-a.stepStart >= stepInterval {
		a.stepStart += stepInterval
		if now-a.stepStart > 10*stepInterval { // not called for more than ten steps: skip the steps missed
			a.stepStart = now
		}
		ended := a.served + a.failed
		switch {
		case ended > 0 && float64(a.served) >= increaseThreshold*float64(ended):
			a.rate = min(a.rate*increaseFactor, maxRateFactor*a.config.FormerRate)
		case ended > 0 && float64(a.served) < decreaseThreshold*float64(ended):
			a.rate = max(a.rate*decreaseFactor, initialShare*a.config.FormerRate/4)
		}
		if a.rejected == 0 && a.served > 0 {
			a.cleanSteps++
		} else {
			a.cleanSteps = 0
		}
		a.served, a.failed, a.rejected = 0, 0, 0
		a.done = a.cleanSteps >= minCleanSteps && a.rate >= a.config.FormerRate
	}
	return a.done
}

// Rate returns how many calls per second are admitted at present.
func (a *Admission) Rate() float64 { return a.rate }
