package agreement

import (
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet/change"
)

// observations collects what this gateway observes of workers and calls.
type observations struct {
	members    core.MemberList          // the worker list
	answeredAt map[string]time.Duration // by worker, when it last answered
	tallies    []change.Tally           // by class
	callCounts []float64                // calls since measuredAt, by tenant * classes + class
	calls      float64                  // all calls since measuredAt
	load       float64                  // calls/s, averaged over loadWindow
	callRates  []float64                // calls/s, averaged over loadWindow, indexed like callCounts
	measuredAt time.Duration
}

func newObservations() observations {
	return observations{members: core.MemberList{}, answeredAt: map[string]time.Duration{}}
}

func (s *observations) updateMembers(whole bool, members []core.Member) {
	s.members.Update(whole, members)
	for _, m := range members {
		if m.State == decide.Gone {
			delete(s.answeredAt, m.Name)
		}
	}
}

func (s *observations) observe(a *Agent, record core.Record) {
	tally := s.count(a, record.Call.Class, record.Answer)
	if tally == nil {
		return
	}
	if i := record.Call.Tenant*len(a.options.Classes) + record.Call.Class; i >= 0 && i < len(s.callCounts) {
		s.callCounts[i]++
	}
	if record.Answer == "served" {
		tally.Latency[change.Bucket(float64(record.End-record.Start)/float64(time.Millisecond))]++
		s.answeredAt[record.Host] = record.End
	}
}

// count counts how a call was answered, and returns the tally of its class, nil for an unknown class.
func (s *observations) count(a *Agent, class int, answer string) *change.Tally {
	if s.tallies == nil {
		s.tallies = make([]change.Tally, len(a.options.Classes))
		s.callCounts = make([]float64, len(a.options.Classes)*max(1, len(a.options.Tenants)))
	}
	if class < 0 || class >= len(s.tallies) {
		return nil
	}
	tally := &s.tallies[class]
	s.calls++
	switch answer {
	case "served":
		tally.Served++
	case "refused":
		tally.Shed++
	case "failed":
		tally.Failed++
	}
	return tally
}

// measure updates the load and the call rates.
func (s *observations) measure(now time.Duration) {
	elapsed := (now - s.measuredAt).Seconds()
	if s.measuredAt == 0 || elapsed <= 0 {
		s.measuredAt = now
		return
	}
	weight := min(1, elapsed/loadWindow.Seconds())
	s.load += weight * (s.calls/elapsed - s.load)
	if s.callRates == nil {
		s.callRates = make([]float64, len(s.callCounts))
	}
	for i := range s.callRates {
		s.callRates[i] += weight * (s.callCounts[i]/elapsed - s.callRates[i])
		s.callCounts[i] = 0
	}
	s.calls, s.measuredAt = 0, now
}
