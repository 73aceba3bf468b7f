// Package change decides how many gateways and workers may be out at once, who is next, and how a release goes over a fleet
// and back. It is pure: State is changed by entries of an agreed log alone, so that all who apply the same entries come to
// the same; Driver looks at it and at what gateways report, and proposes entries.
package change

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Thing is a gateway or a worker, by its kind and name.
type Thing string

// The kinds of thing.
const (
	Gateway = "gateway"
	Worker  = "worker"
)

// Of names a thing.
func Of(kind, name string) Thing { return Thing(kind + ":" + name) }

// Kind and Name are the parts of a thing's name.
func (t Thing) Kind() string { k, _, _ := strings.Cut(string(t), ":"); return k }

// Name is the name without the kind.
func (t Thing) Name() string { _, n, _ := strings.Cut(string(t), ":"); return n }

// Check reports what names no thing.
func (t Thing) Check() error {
	if k, n := t.Kind(), t.Name(); k != Gateway && k != Worker || n == "" || len(n) > 256 {
		return fmt.Errorf("%q is neither a gateway nor a worker", t)
	}
	return nil
}

// Health is how a thing is, as far as others have seen.
type Health uint8

// The degrees of health.
const (
	Out  Health = iota // silent, crashed, drained, banned
	Cold               // back, and not warm
	Well
)

func (h Health) String() string { return [...]string{"out", "cold", "well"}[min(h, Well)] }

// Known is what is agreed of a thing.
type Known struct {
	Hall            string
	Health          Health
	Life            uint64 // of a gateway: its incarnation; of a worker: its start in Unix ms
	Version, Config string // of a gateway
	Index           uint64 // of the entry that said so
	At              int64  // and its time, Unix ms
	Sudden          int64  // when it last began a new life without a permit, Unix ms
}

// Limit is how many of a number of things may be out: a count, or a part of them; none of both is no limit.
type Limit struct {
	N    int
	Part float64
}

// ParseLimit reads "2", "20%" or "none".
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

// MarshalText and UnmarshalText are the form in files of settings and in the log.
func (l Limit) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText reads a limit.
func (l *Limit) UnmarshalText(b []byte) (err error) {
	*l, err = ParseLimit(string(b))
	return err
}

// Of is the limit for a number of things, at least 1: nothing could ever be changed else.
func (l Limit) Of(total int) int {
	switch {
	case l.N > 0:
		return l.N
	case l.Part > 0:
		return max(1, int(l.Part*float64(total)))
	}
	return total
}

// Limits are those of a fleet.
type Limits struct {
	Gateways     Limit   `toml:"gateways"`      // out at once in the fleet, whatever the reason
	GatewaysHall Limit   `toml:"gateways_hall"` // and in one hall
	Workers      Limit   `toml:"workers"`
	WorkersHall  Limit   `toml:"workers_hall"`
	Only         Limit   `toml:"only_copies"`   // workers out on purpose that held the only copies of a function
	Margin       float64 `toml:"margin"`        // what stays bears so many times the load of now,
	GatewayCalls float64 `toml:"gateway_calls"` // by what a gateway bears in calls a second, 0: not asked
	WorkerCalls  float64 `toml:"worker_calls"`  // and a warm worker
}

// Defaults let one of each be out at once.
var Defaults = Limits{Gateways: Limit{N: 1}, Workers: Limit{N: 1}, Only: Limit{N: 1}, Margin: 1.2}

// Check reports what no limits can be.
func (l Limits) Check() error {
	if !(l.Margin >= 1 && l.Margin <= 10) || !(l.GatewayCalls >= 0 && l.GatewayCalls < 1e9) || !(l.WorkerCalls >= 0 && l.WorkerCalls < 1e9) {
		return fmt.Errorf("limits: margin %v (1 to 10), gateway_calls %v, worker_calls %v", l.Margin, l.GatewayCalls, l.WorkerCalls)
	}
	return nil
}

// of are the limits of a kind in the fleet and in a hall, and what one bears.
func (l Limits) of(kind string) (fleet, hall Limit, calls float64) {
	if kind == Gateway {
		return l.Gateways, l.GatewaysHall, l.GatewayCalls
	}
	return l.Workers, l.WorkersHall, l.WorkerCalls
}

// names are things as operators read them.
func names(things []Thing) string {
	var out []string
	for _, t := range things {
		out = append(out, t.Name())
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
