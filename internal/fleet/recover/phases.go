package recover

import "time"

// Phase is how far a gateway that starts has come.
type Phase int

// The phases, in order.
const (
	Reading   Phase = iota // operators are heard, the state is read
	Asking                 // the others are asked
	Listing                // the list of workers is brought up to date
	Admitting              // clients are admitted by share
	Full                   // full service
)

func (p Phase) String() string {
	return [...]string{"reading its state", "asking the others", "waiting for the list", "admitting by share", "in full service"}[p]
}

// The longest that a phase may last; then the gateway goes on without what it waited for.
const (
	ReadLimit  = time.Second
	AskLimit   = 700 * time.Millisecond
	ListLimit  = time.Second
	AdmitLimit = 60 * time.Second
)

// Phases is a gateway's way through the phases. Its times are of any clock that does not go back.
type Phases struct {
	phase  Phase
	since  time.Duration
	poorer []string
}

// NewPhases begins at now.
func NewPhases(now time.Duration) *Phases { return &Phases{since: now} }

// Phase is the present phase.
func (c *Phases) Phase() Phase { return c.phase }

// Since is when the present phase began.
func (c *Phases) Since() time.Duration { return c.since }

// Poorer is what the gateway has had to go on without.
func (c *Phases) Poorer() []string { return c.poorer }

// Limit is the longest that a phase may last.
func (p Phase) Limit() time.Duration {
	return [...]time.Duration{ReadLimit, AskLimit, ListLimit, AdmitLimit, 0}[p]
}

// Pass ends a phase; without names what was missed, "" if nothing was. It reports whether the phase was the present one:
// what comes later than its limit is late, and changes nothing.
func (c *Phases) Pass(now time.Duration, p Phase, without string) bool {
	if p != c.phase || p == Full {
		return false
	}
	if without != "" {
		c.poorer = append(c.poorer, without)
	}
	c.phase, c.since = p+1, now
	return true
}

// Due reports whether the present phase has lasted too long.
func (c *Phases) Due(now time.Duration) bool {
	limit := c.phase.Limit()
	return limit > 0 && now-c.since >= limit
}
