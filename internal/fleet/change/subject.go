// Package change decides how many gateways and workers may be unavailable at the same time, whose request for a permit is
// granted next, and how a release is rolled out over a fleet and rolled back. The package does no I/O and reads no clock. Only
// the entries of a replicated log change State, so every gateway that applies the same entries reaches the same state. Driver
// reads the state and the gateways' reports and proposes new entries.
package change

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Subject is a gateway or a worker, by its kind and name.
type Subject string

// The kinds of subjects.
const (
	Gateway = "gateway"
	Worker  = "worker"
)

// NewSubject returns the subject with the given kind (Gateway or Worker) and name.
func NewSubject(kind, name string) Subject { return Subject(kind + ":" + name) }

// Kind returns the part before the colon, Gateway or Worker if the subject is valid.
func (s Subject) Kind() string { kind, _, _ := strings.Cut(string(s), ":"); return kind }

// Name returns the name without the kind.
func (s Subject) Name() string { _, name, _ := strings.Cut(string(s), ":"); return name }

// Check returns an error unless the kind is known and the name has 1 to 256 bytes.
func (s Subject) Check() error {
	if k, n := s.Kind(), s.Name(); k != Gateway && k != Worker || n == "" || len(n) > 256 {
		return fmt.Errorf("%q is neither a gateway nor a worker", s)
	}
	return nil
}

// Health is the condition of a subject as other gateways observe it.
type Health uint8

// The degrees of health.
const (
	Unavailable Health = iota // silent, crashed, drained or banned
	Cold                      // serving again, but not warm yet
	Healthy
)

func (h Health) String() string { return [...]string{"out", "cold", "well"}[min(h, Healthy)] }

// SubjectStatus is the agreed status of a subject.
type SubjectStatus struct {
	Hall            string
	Health          Health
	Incarnation     uint64 `json:"Life" msgpack:"Life"` // of a worker: its start time in Unix ms
	Version, Config string // of a gateway, empty for a worker
	Index           uint64 // log index of the entry that set this status
	At              int64  // log time of that entry, Unix ms
	UnplannedStart  int64  `json:"Sudden" msgpack:"Sudden"` // last start of a new incarnation without a permit, Unix ms; 0: none
}

// Limit bounds how many of a number of subjects may be unavailable: N as a count, or Part as a fraction of them. If both are 0
// there is no limit.
type Limit struct {
	N    int
	Part float64
}

// ParseLimit parses a limit written as "2", "20%" or "none".
func ParseLimit(text string) (Limit, error) {
	if text == "none" {
		return Limit{}, nil
	}
	if part, ok := strings.CutSuffix(text, "%"); ok {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil || !(x > 0 && x <= 100) {
			return Limit{}, fmt.Errorf("%q is no part: 1%% to 100%%", text)
		}
		return Limit{Part: x / 100}, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return Limit{}, fmt.Errorf("%q is no limit: a number from 1 on, a part as 20%%, or none", text)
	}
	return Limit{N: n}, nil
}

func (l Limit) String() string {
	switch {
	case l.N > 0:
		return strconv.Itoa(l.N)
	case l.Part > 0:
		return strconv.FormatFloat(100*l.Part, 'g', -1, 64) + "%"
	}
	return "none"
}

// MarshalText returns the form that is used in settings files and in the log.
func (l Limit) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText parses the form that MarshalText returns.
func (l *Limit) UnmarshalText(b []byte) (err error) {
	*l, err = ParseLimit(string(b))
	return err
}

// Allowed returns how many of total subjects may be unavailable. It is at least 1 for a fraction, since otherwise a small fleet
// could never be changed.
func (l Limit) Allowed(total int) int {
	switch {
	case l.N > 0:
		return l.N
	case l.Part > 0:
		return max(1, int(l.Part*float64(total)))
	}
	return total
}

// Limits are the limits of a fleet. Those of gateways and workers count every subject that is unavailable, for whatever reason.
type Limits struct {
	Gateways     Limit `toml:"gateways"`      // unavailable at the same time in the fleet
	GatewaysHall Limit `toml:"gateways_hall"` // the same in one hall
	Workers      Limit `toml:"workers"`
	WorkersHall  Limit `toml:"workers_hall"`
	// OnlyCopies limits the workers that are taken out by permits and held the only copies of a function.
	OnlyCopies   Limit   `toml:"only_copies" json:"Only" msgpack:"Only"`
	Margin       float64 `toml:"margin"`        // the remaining subjects must be able to serve the present load times this factor
	GatewayCalls float64 `toml:"gateway_calls"` // calls per second that one gateway can serve; 0: Margin is not checked for gateways
	WorkerCalls  float64 `toml:"worker_calls"`  // calls per second that one warm worker can serve; 0: Margin is not checked for workers
}

// DefaultLimits allow one gateway and one worker to be unavailable at the same time.
var DefaultLimits = Limits{Gateways: Limit{N: 1}, Workers: Limit{N: 1}, OnlyCopies: Limit{N: 1}, Margin: 1.2}

// Check returns an error if the margin or a capacity is out of its range.
func (l Limits) Check() error {
	if !(l.Margin >= 1 && l.Margin <= 10) || !(l.GatewayCalls >= 0 && l.GatewayCalls < 1e9) || !(l.WorkerCalls >= 0 && l.WorkerCalls < 1e9) {
		return fmt.Errorf("limits: margin %v (1 to 10), gateway_calls %v, worker_calls %v", l.Margin, l.GatewayCalls, l.WorkerCalls)
	}
	return nil
}

// forKind returns the limits of a kind of subjects in the fleet and in one hall, and the calls per second that one of them can serve.
func (l Limits) forKind(kind string) (fleet, hall Limit, calls float64) {
	if kind == Gateway {
		return l.Gateways, l.GatewaysHall, l.GatewayCalls
	}
	return l.Workers, l.WorkersHall, l.WorkerCalls
}

// joinNames returns the sorted names of subjects, separated by spaces, for messages to operators.
func joinNames(subjects []Subject) string {
	var out []string
	for _, subject := range subjects {
		out = append(out, subject.Name())
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
