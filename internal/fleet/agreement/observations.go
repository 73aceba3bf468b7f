package agreement

import (
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet/change"
)

// observations is what this gateway sees.
type observations struct {
	members  map[string]core.Member
	answered map[string]time.Duration
	tallies  []change.Tally
	uses     []float64
	calls    float64
	load     float64
	use      []float64
	at       time.Duration
}

func newObservations() observations {
	return observations{members: map[string]core.Member{}, answered: map[string]time.Duration{}}
}

func (s *observations) updateMembers(whole bool, members []core.Member) {
	if whole {
		clear(s.members)
	}
	for _, m := range members {
		if m.State == decide.Gone {
			delete(s.members, m.Name)
			delete(s.answered, m.Name)
		} else {
			s.members[m.Name] = m
		}
	}
}

func (s *observations) observe(a *Agent, r core.Record) {
	t := s.count(a, r.Call.Class, r.Answer)
	if t == nil {
		return
	}
	if i := r.Call.Tenant*len(a.o.Classes) + r.Call.Class; i >= 0 && i < len(s.uses) {
		s.uses[i]++
	}
	if r.Answer == "served" {
		t.Took[change.Bucket(float64(r.End-r.Start)/float64(time.Millisecond))]++
		s.answered[r.Host] = r.End
	}
}

// count notes how a call was answered, and returns the tally of its class, nil if it has none.
func (s *observations) count(a *Agent, class int, answer string) *change.Tally {
	if s.tallies == nil {
		s.tallies = make([]change.Tally, len(a.o.Classes))
		s.uses = make([]float64, len(a.o.Classes)*max(1, len(a.o.Tenants)))
	}
	if class < 0 || class >= len(s.tallies) {
		return nil
	}
	t := &s.tallies[class]
	s.calls++
	switch answer {
	case "served":
		t.Served++
	case "refused":
		t.Shed++
	case "failed":
		t.Failed++
	}
	return t
}

// measure brings the load up to date.
func (s *observations) measure(now time.Duration) {
	d := (now - s.at).Seconds()
	if s.at == 0 || d <= 0 {
		s.at = now
		return
	}
	part := min(1, d/loadFor.Seconds())
	s.load += part * (s.calls/d - s.load)
	if s.use == nil {
		s.use = make([]float64, len(s.uses))
	}
	for i := range s.use {
		s.use[i] += part * (s.uses[i]/d - s.use[i])
		s.uses[i] = 0
	}
	s.calls, s.at = 0, now
}
