package recover

import (
	"fmt"
	"maps"
	"time"
)

// Answer is a gateway's answer to a query of a peer. It holds ages instead of times, so that the clocks of two machines
// are never compared.
type Answer struct {
	Event        uint64            // the last event of the worker list that the gateway has applied
	Draining     []string          // workers that are draining according to this list
	BanRecords   BanRecords        `msgpack:"Marks"` // operators' decisions on workers
	Started      map[string]int64  // milliseconds since the start of each worker that is cold or was recently
	LoadedCopies map[string][]Copy `msgpack:"Stands"` // copies found to be loaded, by function
	Rate         float64           // calls per second that the gateway serves
	Full         bool              // the gateway is in full service
}

// Copy is a loaded copy of a function.
type Copy struct {
	Worker string
	Age    int64 // milliseconds since the copy was last found to be loaded
}

const (
	maxFunctions = 20000 // functions in one answer
	maxCopies    = 64    // copies of one function
	maxAgeMs     = int64(24 * time.Hour / time.Millisecond)
)

// Check returns an error if the answer exceeds its bounds.
func (a *Answer) Check() error {
	if len(a.Draining) > maxWorkers || len(a.Started) > maxWorkers || len(a.LoadedCopies) > maxFunctions ||
		!(a.Rate >= 0 && a.Rate <= maxRate) {
		return fmt.Errorf("recover: answer out of bounds: %d draining workers, %d started workers, %d functions, %v calls per second",
			len(a.Draining), len(a.Started), len(a.LoadedCopies), a.Rate)
	}
	for id, age := range a.Started {
		if id == "" || age < 0 || age > maxAgeMs {
			return fmt.Errorf("recover: worker %q started %d ms ago, want a name and 0 to %d ms", id, age, maxAgeMs)
		}
	}
	for fn, copies := range a.LoadedCopies {
		if fn == "" || len(copies) > maxCopies {
			return fmt.Errorf("recover: %d copies of function %q, want a name and at most %d", len(copies), fn, maxCopies)
		}
		for _, c := range copies {
			if c.Worker == "" || c.Age < 0 || c.Age > maxAgeMs {
				return fmt.Errorf("recover: copy of %q at worker %q found %d ms ago, want a name and 0 to %d ms", fn, c.Worker, c.Age, maxAgeMs)
			}
		}
	}
	return a.BanRecords.Check()
}

// PeerState is the merged content of the peers' answers. Where answers differ, the merge errs on the safe side.
type PeerState struct {
	BanRecords    BanRecords
	Event         uint64                              // the newest event of the worker list that a peer has applied
	Draining      map[string]uint64                   // workers that a peer's list shows as draining, with the newest event of such a list
	Started       map[string]time.Duration            // the latest start of each worker, by this gateway's clock
	LoadedCopies  map[string]map[string]time.Duration // when a copy was last found to be loaded, by function and worker
	Answers       int                                 // gateways that have answered
	InFullService int                                 // of these, gateways in full service
	TotalRate     float64                             // calls per second that the answering gateways serve together
}

// NewPeerState returns the state before any peer has answered.
func NewPeerState() *PeerState {
	return &PeerState{BanRecords: BanRecords{}, Draining: map[string]uint64{}, Started: map[string]time.Duration{},
		LoadedCopies: map[string]map[string]time.Duration{}}
}

// Add merges the answer of one more gateway, received at now. The order of the answers does not matter.
func (p *PeerState) Add(answer *Answer, now time.Duration) {
	p.Answers++
	if answer.Full {
		p.InFullService++
	}
	p.TotalRate += answer.Rate
	p.BanRecords.Merge(answer.BanRecords)
	p.Event = max(p.Event, answer.Event)
	for _, id := range answer.Draining {
		p.Draining[id] = max(p.Draining[id], answer.Event)
	}
	for id, age := range answer.Started {
		p.Started[id] = max(p.Started[id], now-time.Duration(age)*time.Millisecond)
	}
	for fn, copies := range answer.LoadedCopies {
		if p.LoadedCopies[fn] == nil {
			if len(p.LoadedCopies) >= maxFunctions {
				continue
			}
			p.LoadedCopies[fn] = map[string]time.Duration{}
		}
		for _, c := range copies {
			p.LoadedCopies[fn][c.Worker] = max(p.LoadedCopies[fn][c.Worker], now-time.Duration(c.Age)*time.Millisecond)
		}
	}
}

// NewerDrains returns the workers that are draining according to a peer's list newer than this gateway's own, each with the event
// of that list. ownEvent is the last event of the own list. The workers must not be used until the own list has reached that event.
// Workers whose event has been reached are forgotten.
func (p *PeerState) NewerDrains(ownEvent uint64) map[string]uint64 {
	maps.DeleteFunc(p.Draining, func(_ string, event uint64) bool { return event <= ownEvent })
	return maps.Clone(p.Draining)
}
