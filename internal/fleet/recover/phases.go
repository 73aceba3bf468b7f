package recover

import "time"

// Phase is a phase of a gateway's start.
type Phase int

// The phases, in order.
const (
	Reading   Phase = iota // the gateway reads its state from disk; operators are served already
	Querying               // it queries its peers
	Listing                // it waits for an up-to-date list of workers
	Admitting              // it admits a limited share of the clients' calls
	Full                   // it is in full service
)

func (p Phase) String() string {
	return [...]string{"reading its state", "asking the others", "waiting for the list", "admitting by share", "in full service"}[p]
}

// The time limits of the phases. When one has passed, the gateway goes on without what it waited for.
const (
	ReadLimit  = time.Second
	QueryLimit = 700 * time.Millisecond
	ListLimit  = time.Second
	AdmitLimit = 60 * time.Second
)

// PhaseTracker tracks a gateway's progress through the phases. Its times may be of any monotonic clock.
type PhaseTracker struct {
	phase   Phase
	since   time.Duration
	missing []string
}

// NewPhaseTracker returns a tracker whose first phase begins at now.
func NewPhaseTracker(now time.Duration) *PhaseTracker { return &PhaseTracker{since: now} }

// Phase returns the present phase.
func (t *PhaseTracker) Phase() Phase { return t.phase }

// Since returns when the present phase began.
func (t *PhaseTracker) Since() time.Duration { return t.since }

// Missing returns what the gateway has had to go on without.
func (t *PhaseTracker) Missing() []string { return t.missing }

// Limit returns the time limit of a phase, 0 if it has none.
func (p Phase) Limit() time.Duration {
	return [...]time.Duration{ReadLimit, QueryLimit, ListLimit, AdmitLimit, 0}[p]
}

// Complete ends a phase. without names what the gateway goes on without, "" if nothing is missing. It reports whether the phase
// was the present one: the completion of a phase that is over already changes nothing.
func (t *PhaseTracker) Complete(now time.Duration, phase Phase, without string) bool {
	if phase != t.phase || phase == Full {
		return false
	}
	if without != "" {
		t.missing = append(t.missing, without)
	}
	t.phase, t.since = phase+1, now
	return true
}

// TimedOut reports whether the present phase has reached its time limit.
func (t *PhaseTracker) TimedOut(now time.Duration) bool {
	limit := t.phase.Limit()
	return limit > 0 && now-t.since >= limit
}
