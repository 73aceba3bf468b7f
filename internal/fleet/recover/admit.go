package recover

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	stepEvery   = 500 * time.Millisecond // pace of the steps in which admission rises
	stepUp      = 1.5                    // and by how much, where what was admitted is served
	stepDown    = 0.8                    // or is not
	wellPart    = 0.9                    // of what ended in a step was served: up
	illPart     = 0.6                    // less than this: down
	beginPart   = 0.5                    // of the former rate is admitted at first,
	donePart    = 2.0                    // or so many times it where all workers are warm: nothing is held back then
	burst       = 300 * time.Millisecond // of the rate that may come at once
	reservePart = 0.5                    // of the burst is kept for the classes worth most
	loadLimit   = 3 * time.Second        // a load that has shown nothing by then holds its place no longer
	leastSteps  = 2                      // in which nothing was refused, and all is admitted
)

// Share is what a gateway admits after a start.
type Share struct {
	Worth    []float64 // of the classes
	Former   float64   // calls a second that it served before; 0: it can't be known, and no rate is kept
	Loads    int       // first loads of functions that the store of models bears from the whole fleet at once
	Gateways int       // of the fleet that are there
}

// Admission admits requests while the gateway comes back: at a rate that rises in steps, those worth least being refused
// first, and with so many first loads at once as are this gateway's part of what the store of models bears.
type Admission struct {
	o       Share
	keep    []float64 // tokens that a class leaves to those worth more
	rate    float64
	tokens  float64
	at      time.Duration
	step    time.Duration
	good    int // served in this step
	bad     int // refused by the module, or failed
	turned  int // refused here
	quiet   int // steps without that
	stands  map[string]bool
	loading map[string]time.Duration
	done    bool
}

// NewAdmission begins at now. bear is what part of their capacity the workers have, cold as they are, 0 to 1.
func NewAdmission(o Share, bear float64, now time.Duration) *Admission {
	a := &Admission{o: o, at: now, step: now, stands: map[string]bool{}, loading: map[string]time.Duration{}}
	a.rate = o.Former * max(beginPart, donePart*min(1, bear))
	order := slices.Clone(o.Worth)
	slices.SortFunc(order, func(x, y float64) int { return cmp.Compare(y, x) })
	for _, w := range o.Worth {
		rank := slices.Index(order, w)
		a.keep = append(a.keep, reservePart*float64(rank)/float64(max(1, len(order)-1)))
	}
	a.tokens = a.most()
	return a
}

func (a *Admission) most() float64 { return max(2, a.rate*burst.Seconds()) }

// Slots is how many first loads this gateway may have begun at once.
func (a *Admission) Slots() int { return max(1, a.o.Loads/max(1, a.o.Gateways)) }

// Fleet says how many gateways are there now.
func (a *Admission) Fleet(n int) { a.o.Gateways = n }

// Stands says that a copy of a function has been found, here or by another gateway.
func (a *Admission) Stands(fn string) {
	a.stands[fn] = true
	delete(a.loading, fn)
}

// Admit reports whether a request is taken. One of a function that stands is taken as the rate and its class allow; one of
// a function of which no copy is known needs a place among the first loads, and those that come for it meanwhile wait with
// it, for as long as the module sees hope for them.
func (a *Admission) Admit(now time.Duration, class int, fn string) bool {
	if a.Done(now) {
		return true
	}
	if !a.stands[fn] {
		maps.DeleteFunc(a.loading, func(_ string, at time.Duration) bool { return now-at >= loadLimit })
		if _, under := a.loading[fn]; under {
			return true
		}
		if len(a.loading) >= a.Slots() {
			a.turned++
			return false
		}
		a.loading[fn] = now
		return true
	}
	if a.o.Former <= 0 {
		return true
	}
	a.tokens = min(a.most(), a.tokens+a.rate*(now-a.at).Seconds())
	a.at = now
	keep := 0.0
	if class >= 0 && class < len(a.keep) {
		keep = a.keep[class] * a.most()
	}
	if a.tokens < 1+keep {
		a.turned++
		return false
	}
	a.tokens--
	return true
}

// Ended says how a request that was admitted has ended. Only those of functions that stood say whether the rate is right:
// the others waited for their loads.
func (a *Admission) Ended(fn string, served bool) {
	switch stood := a.stands[fn]; {
	case served && stood:
		a.good++
	case served:
		a.Stands(fn)
	case stood:
		a.bad++
	}
}

// Done reports whether nothing is held back any more; from then on it stays so.
func (a *Admission) Done(now time.Duration) bool {
	for !a.done && now-a.step >= stepEvery {
		a.step += stepEvery
		if now-a.step > 10*stepEvery { // nobody has asked for long
			a.step = now
		}
		ended := a.good + a.bad
		switch {
		case ended > 0 && float64(a.good) >= wellPart*float64(ended):
			a.rate = min(a.rate*stepUp, donePart*a.o.Former)
		case ended > 0 && float64(a.good) < illPart*float64(ended):
			a.rate = max(a.rate*stepDown, beginPart*a.o.Former/4)
		}
		if a.turned == 0 && a.good > 0 {
			a.quiet++
		} else {
			a.quiet = 0
		}
		a.good, a.bad, a.turned = 0, 0, 0
		a.done = a.quiet >= leastSteps && a.rate >= a.o.Former
	}
	return a.done
}

// Rate is how many calls a second are admitted at present.
func (a *Admission) Rate() float64 { return a.rate }
