package recover

import (
	"cmp"
	"fmt"
	"time"

	"quillrail/decide"
	"quillrail/internal/roster"
)

// Kind is a kind of state that outlives a process.
type Kind string

// The kinds of state. Verdicts gives the rule for each.
const (
	Incarnations   Kind = "incarnation"
	Bans           Kind = "bans"
	List           Kind = "list"
	Drains         Kind = "drains"
	ColdMarks      Kind = "cold marks"
	ColdSends      Kind = "sends to cold workers"
	Ration         Kind = "load ration"
	Health         Kind = "health"
	Rates          Kind = "rates"
	Copies         Kind = "copies"
	TenantCounters Kind = "tenants' counters"
	Keys           Kind = "keys and answers"
	InFlight       Kind = "work in hand"
)

// Trust is how far a kind of state is trusted after a start.
type Trust int

// The degrees of trust.
const (
	Kept        Trust = iota // used as it is
	UntilExpiry              // used as it is, until an expiry time that is part of the state
	Doubted                  // used only where a mistake costs little, until it is confirmed
	Discarded                // treated as if it had never been known
)

func (t Trust) String() string {
	return [...]string{"kept", "kept until its time", "doubted until confirmed", "discarded"}[t]
}

// Verdict is the decision on a kind of state, with the reason.
type Verdict struct {
	Kind  Kind
	Trust Trust
	Why   string
}

// Verdicts returns how far a gateway trusts each kind of its own state, which depends on whether the age of the state is known. It makes no
// difference whether the workers have lost power as well: the list gives the start of each worker, and what was known of a worker
// before its last start is dropped when the list is applied.
func Verdicts(ageKnown bool) []Verdict {
	rules := []struct {
		kind              Kind
		known, unknown    Trust  // if the age of the state is known, and if not
		reason, ifUnknown string // ifUnknown is the reason for an unknown age, where it differs
	}{
		{Incarnations, Kept, Kept, "an incarnation number is never used twice", ""},
		{Bans, Kept, Kept, "only an operator ends a ban", ""},
		{List, Doubted, Doubted, "until the bulletin has spoken", ""},
		{Drains, Kept, Kept, "a draining worker is skipped until the list shows another state", ""},
		{ColdMarks, UntilExpiry, Doubted, "a worker is cold for the period in the settings", "counts as started now"},
		{ColdSends, UntilExpiry, Doubted, "sends count for the period in the settings", "sends count as made now"},
		{Ration, UntilExpiry, Doubted, "load orders count for their window", "all of the ration counts as used now"},
		{Health, UntilExpiry, Discarded, "ejected until the stored time", "the time left is not known, and trying a worker costs one call"},
		{Rates, Doubted, Doubted, "the estimate of the fleet's capacity until there is a newer one", ""},
		{Copies, UntilExpiry, Doubted, "for as long as an idle copy stays loaded", "a home, but no copy is known to stand"},
		{TenantCounters, Kept, Discarded, "they only decide how capacity is shared", ""},
		{Keys, Discarded, Discarded, "not stored on disk; workers drop repeats", ""},
		{InFlight, Discarded, Discarded, "not stored on disk; no call is sent again", ""},
	}
	var out []Verdict
	for _, r := range rules {
		v := Verdict{r.kind, r.known, r.reason}
		if !ageKnown {
			v.Trust, v.Why = r.unknown, cmp.Or(r.ifUnknown, r.reason)
		}
		out = append(out, v)
	}
	return out
}

// Saved is the state that a gateway stores on disk, besides its incarnation.
type Saved struct {
	At         Stamp
	Event      uint64        // the last event of the worker list that was applied
	List       []decide.Host // the workers by that list
	Addrs      []string      // their addresses, in the same order
	Roster     roster.Saved
	BanRecords BanRecords       `msgpack:"Marks"` // operators' decisions on workers
	Module     *decide.Snapshot // what the module has learnt; nil if it could not be saved
	FormerRate float64          `msgpack:"Former"` // calls per second that this gateway served in full service, 0 if not known
	Alive      int              // gateways of the fleet, including this one
}

const (
	maxWorkers = 4096             // workers in a saved state or an answer
	maxRate    = 1e6              // calls per second in a saved state or an answer
	maxRateAge = 10 * time.Minute // an older rate says little about how calls are shared among the gateways today
)

// Check returns an error if the saved state exceeds its bounds.
func (s *Saved) Check() error {
	switch {
	case len(s.List) != len(s.Addrs) || len(s.List) > maxWorkers:
		return fmt.Errorf("recover: %d workers with %d addresses, want as many of each and at most %d", len(s.List), len(s.Addrs), maxWorkers)
	case !(s.FormerRate >= 0 && s.FormerRate <= maxRate):
		return fmt.Errorf("recover: saved rate of %v calls per second, want 0 to %v", s.FormerRate, maxRate)
	case s.Alive < 0 || s.Alive > maxGateways:
		return fmt.Errorf("recover: fleet of %d gateways, want 0 to %d", s.Alive, maxGateways)
	}
	for i, h := range s.List {
		if h.Name == "" || s.Addrs[i] == "" || h.State < decide.Ready || h.State > decide.Gone {
			return fmt.Errorf("recover: worker %q at address %q has no name, no address or an invalid state %d", h.Name, s.Addrs[i], h.State)
		}
	}
	if err := s.BanRecords.Check(); err != nil {
		return err
	}
	return s.Roster.Check()
}

// Dimensions are the numbers of classes and tenants in the settings. A module's memory that was made with other numbers is not used.
type Dimensions struct {
	Classes, Tenants int
}

// Restore changes a saved state to what the gateway begins with at now: its times are moved to the present clock, and what is
// not trusted is removed. It returns the verdicts that it applied.
func (s *Saved) Restore(now Stamp, settings Dimensions) []Verdict {
	age, known := s.At.Age(now)
	if m := s.Module; m != nil {
		if len(m.Classes) != settings.Classes || len(m.HeldDeficit) != max(1, settings.Tenants) { // made with other settings
			s.Module = nil
		} else if known {
			shiftTimes(m, now.Wall-age-s.At.Wall, now.Wall)
		} else {
			resetToSafe(m, now.Wall)
		}
	}
	if m := s.Module; m != nil {
		m.Lateness, m.OverdueShare, m.HedgeTokens = 0, 0, 0 // the calls that these describe ended long ago
		m.ServedRate, m.ServedAt = s.FormerRate, now.Wall
		if known && age > maxRateAge {
			m.ServedRate = 0
		}
	}
	for i := range s.Roster.Cold {
		if c := &s.Roster.Cold[i]; !known {
			c.Since = now.Wall
		} else {
			c.Since = min(now.Wall, c.Since+now.Wall-age-s.At.Wall)
		}
	}
	return Verdicts(known)
}

// shiftTimes adds the duration by to every time in a module's memory. Zero means no time and stays. Times that can only be in the
// past are limited to now.
func shiftTimes(m *decide.Snapshot, by, now time.Duration) {
	shiftPast := func(times ...*time.Duration) {
		for _, t := range times {
			if *t != 0 {
				*t = min(now, max(0, *t+by))
			}
		}
	}
	shiftAny := func(t *time.Duration) { // the time may be in the future, and may be negated as a flag
		switch {
		case *t > 0:
			*t = max(0, *t+by)
		case *t < 0:
			*t = min(0, *t-by)
		}
	}
	shiftAllPast := func(times []time.Duration) {
		for i := range times {
			shiftPast(&times[i])
		}
	}
	shiftAllPast(m.RefilledAt)
	shiftAllPast(m.Arrivals)
	shiftAllPast(m.Orders)
	shiftPast(&m.ServedAt, &m.CalledAt)
	for i := range m.Workers {
		w := &m.Workers[i]
		shiftAllPast(w.ColdSends)
		shiftPast(&w.LossAt, &w.ShrunkAt, &w.FailedAt)
		shiftAny(&w.FullUntil)
		for k := range w.EjectedUntil {
			shiftAny(&w.EjectedUntil[k])
		}
	}
	for i := range m.Functions {
		f := &m.Functions[i]
		shiftPast(&f.UsedAt)
		for k := range f.Placements {
			p := &f.Placements[k]
			shiftPast(&p.SentAt, &p.ConfirmedAt)
			shiftAny(&p.OrderEnd)
		}
	}
}

// resetToSafe changes a memory of unknown age to one that is safe at any age: load orders, sends and other limited uses count as
// made just now, and no copy is known to be loaded.
func resetToSafe(m *decide.Snapshot, now time.Duration) {
	for i := range m.Orders {
		m.Orders[i] = now
	}
	m.Arrivals = nil
	for i := range m.RefilledAt {
		m.RefilledAt[i], m.Tokens[i], m.HeldDeficit[i] = now, 0, 0
	}
	m.CalledAt = now
	for i := range m.Workers {
		w := &m.Workers[i]
		for k := range w.ColdSends {
			w.ColdSends[k] = now
		}
		w.LossAt, w.ShrunkAt, w.FailedAt, w.FullUntil, w.Losses, w.LatencyRatio = 0, 0, 0, 0, 0, 0
		clear(w.EjectedUntil)
		clear(w.EjectedFor)
		clear(w.Deficit)
	}
	for i := range m.Functions {
		f := &m.Functions[i]
		f.UsedAt = now
		for k := range f.Placements {
			p := &f.Placements[k]
			p.SentAt, p.ConfirmedAt, p.Loaded, p.OrderEnd = now, 0, false, 0
		}
	}
}
