package recover

import (
	"fmt"
	"maps"
	"time"
)

// Answer is what a gateway tells another that asks. Times are ages, so that no two clocks are compared.
type Answer struct {
	Event    uint64            // the last event of the list that it has taken
	Draining []string          // workers that this list has draining
	Marks    Checkpoints       // operators' words
	Started  map[string]int64  // ms since the start of workers that are cold, or were of late
	Stands   map[string][]Copy // copies that have been found, by function
	Rate     float64           // calls a second that it serves
	Full     bool              // it is in full service
}

// Copy is a copy at a worker, found so many ms ago.
type Copy struct {
	Worker string
	Age    int64
}

const (
	maxFunctions = 20000 // functions that a word may name
	maxStands    = 64    // and copies of each
	maxAge       = int64(24 * time.Hour / time.Millisecond)
)

// Check reports what no word can hold.
func (w *Answer) Check() error {
	if len(w.Draining) > maxList || len(w.Started) > maxList || len(w.Stands) > maxFunctions || !(w.Rate >= 0 && w.Rate <= maxRate) {
		return fmt.Errorf("recover: word of %d draining, %d cold, %d functions, %v calls a second", len(w.Draining), len(w.Started),
			len(w.Stands), w.Rate)
	}
	for id, age := range w.Started {
		if id == "" || age < 0 || age > maxAge {
			return fmt.Errorf("recover: worker %q started %d ms ago", id, age)
		}
	}
	for fn, at := range w.Stands {
		if fn == "" || len(at) > maxStands {
			return fmt.Errorf("recover: %d copies of %q", len(at), fn)
		}
		for _, s := range at {
			if s.Worker == "" || s.Age < 0 || s.Age > maxAge {
				return fmt.Errorf("recover: copy of %q at %q found %d ms ago", fn, s.Worker, s.Age)
			}
		}
	}
	return w.Marks.Check()
}

// Agreed is what the words of others come to. Each is put together so that a mistake is the safe one.
type Agreed struct {
	Marks    Checkpoints
	Event    uint64                   // the newest list that anybody has
	Draining map[string]uint64        // draining for somebody, by the newest list that says so
	Started  map[string]time.Duration // the latest start of a worker, as a time of our clock
	Stands   map[string]map[string]time.Duration
	Words    int     // gateways that have answered
	Full     int     // of these, in full service
	Rate     float64 // what they serve together
}

// NewAgreed returns what is known before anybody has answered.
func NewAgreed() *Agreed {
	return &Agreed{Marks: Checkpoints{}, Draining: map[string]uint64{}, Started: map[string]time.Duration{},
		Stands: map[string]map[string]time.Duration{}}
}

// Add puts in the word of one more gateway, heard at now. The order of words is of no account.
func (a *Agreed) Add(w *Answer, now time.Duration) {
	a.Words++
	if w.Full {
		a.Full++
	}
	a.Rate += w.Rate
	a.Marks.Join(w.Marks)
	a.Event = max(a.Event, w.Event)
	for _, id := range w.Draining {
		a.Draining[id] = max(a.Draining[id], w.Event)
	}
	for id, age := range w.Started {
		a.Started[id] = max(a.Started[id], now-time.Duration(age)*time.Millisecond)
	}
	for fn, at := range w.Stands {
		if a.Stands[fn] == nil {
			if len(a.Stands) >= maxFunctions {
				continue
			}
			a.Stands[fn] = map[string]time.Duration{}
		}
		for _, s := range at {
			a.Stands[fn][s.Worker] = max(a.Stands[fn][s.Worker], now-time.Duration(s.Age)*time.Millisecond)
		}
	}
}

// Held returns the workers that must be left alone until this gateway's own list has come to an event: somebody whose
// list is newer than ours has them draining. What our own list has come to is forgotten.
func (a *Agreed) Held(own uint64) map[string]uint64 {
	maps.DeleteFunc(a.Draining, func(_ string, event uint64) bool { return event <= own })
	return maps.Clone(a.Draining)
}
