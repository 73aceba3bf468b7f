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

// The kinds, and for each what Verdicts says of it.
const (
	Incarnations Kind = "incarnation"
	Bans         Kind = "bans"
	List         Kind = "list"
	Drains       Kind = "drains"
	ColdMarks    Kind = "cold marks"
	ColdSends    Kind = "sends to cold workers"
	Ration       Kind = "load ration"
	Health       Kind = "health"
	Rates        Kind = "rates"
	Copies       Kind = "copies"
	Shares       Kind = "tenants' counters"
	Keys         Kind = "keys and answers"
	InHand       Kind = "work in hand"
)

// Trust is how far a kind of state is believed after a start.
type Trust int

// The degrees of trust.
const (
	Kept      Trust = iota // as it is
	Until                  // as it is, until a time that it names itself
	Doubted                // used where a mistake costs little, until it is confirmed
	Discarded              // as if it had never been known
)

func (t Trust) String() string {
	return [...]string{"kept", "kept until its time", "doubted until confirmed", "discarded"}[t]
}

// Verdict is what becomes of a kind of state, and why.
type Verdict struct {
	Kind  Kind
	Trust Trust
	Why   string
}

// Verdicts is the rule: what a gateway believes of its own state, by whether the age of that state is known. Workers that
// lost power as well need no column: the list tells each worker's start, and what was known of a worker before its last
// start is dropped when the list is taken.
func Verdicts(aged bool) []Verdict {
	rule := []struct {
		kind         Kind
		known, other Trust
		why, whyNot  string // the second only where it differs
	}{
		{Incarnations, Kept, Kept, "a number is never used twice", ""},
		{Bans, Kept, Kept, "only an operator ends a ban", ""},
		{List, Doubted, Doubted, "until the bulletin has spoken", ""},
		{Drains, Kept, Kept, "a worker that drained is left alone until the list says otherwise", ""},
		{ColdMarks, Until, Doubted, "cold for as long as the settings say", "counts as started now"},
		{ColdSends, Until, Doubted, "count for as long as the settings say", "count as sent now"},
		{Ration, Until, Doubted, "orders count for their window", "all of it counts as used now"},
		{Health, Until, Discarded, "set aside until its time", "its time can't be known; a try costs one call"},
		{Rates, Doubted, Doubted, "as the measure of what the fleet bears, until there is a newer one", ""},
		{Copies, Until, Doubted, "for as long as an idle copy stands", "a home, but no copy is known to stand"},
		{Shares, Kept, Discarded, "they only share out", ""},
		{Keys, Discarded, Discarded, "not kept on disk; workers drop repeats", ""},
		{InHand, Discarded, Discarded, "not kept on disk; nothing is sent again", ""},
	}
	var out []Verdict
	for _, r := range rule {
		v := Verdict{r.kind, r.known, r.why}
		if !aged {
			v.Trust, v.Why = r.other, cmp.Or(r.whyNot, r.why)
		}
		out = append(out, v)
	}
	return out
}

// Saved is what a gateway keeps on disk, besides its incarnation.
type Saved struct {
	At     Stamp
	Event  uint64        // the last event of the list that was taken
	List   []decide.Host // the workers as the list had them then
	Addrs  []string      // where they listen, in the same order
	Roster roster.Saved
	Marks  Checkpoints      // who was left out by hand, with the order of it
	Module *decide.Snapshot // what the module had learnt; nil if it could not be kept
	Former float64          // calls a second that this gateway served in normal service, 0 if not known
	Alive  int              // gateways of the fleet, this one too
}

const (
	maxList = 4096             // workers that a state may name
	maxRate = 1e6              // calls a second that a state may claim
	rateAge = 10 * time.Minute // what is older says little of how calls are shared out today
)

// Check reports what no saved state can hold.
func (s *Saved) Check() error {
	switch {
	case len(s.List) != len(s.Addrs) || len(s.List) > maxList:
		return fmt.Errorf("recover: %d workers with %d addresses", len(s.List), len(s.Addrs))
	case !(s.Former >= 0 && s.Former <= maxRate):
		return fmt.Errorf("recover: %v calls a second", s.Former)
	case s.Alive < 0 || s.Alive > maxMembers:
		return fmt.Errorf("recover: a fleet of %d", s.Alive)
	}
	for i, h := range s.List {
		if h.Name == "" || s.Addrs[i] == "" || h.State < decide.Ready || h.State > decide.Gone {
			return fmt.Errorf("recover: worker %q at %q", h.Name, s.Addrs[i])
		}
	}
	if err := s.Marks.Check(); err != nil {
		return err
	}
	return s.Roster.Check()
}

// Limits are the settings that trust depends on.
type Limits struct {
	Classes, Tenants int
}

// Trusted makes of a saved state what the gateway begins with at now. The state is changed: each time in it becomes one of
// today's clock, and what is not believed is gone. It returns the verdicts that it followed.
func (s *Saved) Trusted(now Stamp, l Limits) []Verdict {
	age, known := s.At.Age(now)
	if m := s.Module; m != nil {
		if len(m.Classes) != l.Classes || len(m.HeldDeficit) != max(1, l.Tenants) { // of other settings
			s.Module = nil
		} else if known {
			shift(m, now.Wall-age-s.At.Wall, now.Wall)
		} else {
			doubt(m, now.Wall)
		}
	}
	if m := s.Module; m != nil {
		m.Lateness, m.OverdueShare, m.HedgeTokens = 0, 0, 0 // of calls that have long ended
		m.ServedRate, m.ServedAt = s.Former, now.Wall
		if known && age > rateAge {
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

// shift moves every time of a memory by so much, and none past now.
func shift(m *decide.Snapshot, by, now time.Duration) {
	move := func(times ...*time.Duration) {
		for _, t := range times {
			if *t != 0 {
				*t = min(now, max(0, *t+by))
			}
		}
	}
	ahead := func(t *time.Duration) { // may lie in the future, or be a sign as well (below 0)
		switch {
		case *t > 0:
			*t = max(0, *t+by)
		case *t < 0:
			*t = min(0, *t-by)
		}
	}
	all := func(times []time.Duration) {
		for i := range times {
			move(&times[i])
		}
	}
	all(m.RefilledAt)
	all(m.Arrivals)
	all(m.Orders)
	move(&m.ServedAt, &m.CalledAt)
	for i := range m.Workers {
		w := &m.Workers[i]
		all(w.ColdSends)
		move(&w.LossAt, &w.ShrunkAt, &w.FailedAt)
		ahead(&w.FullUntil)
		for k := range w.EjectedUntil {
			ahead(&w.EjectedUntil[k])
		}
	}
	for i := range m.Functions {
		f := &m.Functions[i]
		move(&f.UsedAt)
		for k := range f.Placements {
			p := &f.Placements[k]
			move(&p.SentAt, &p.ConfirmedAt)
			ahead(&p.OrderEnd)
		}
	}
}

// doubt makes of a memory of unknown age one that is safe at any: guards count as spent just now, and no copy is known to
// stand.
func doubt(m *decide.Snapshot, now time.Duration) {
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
