package lab

import (
	"testing"
	"time"
)

// A request on a new connection counts as having crossed its close only in a crowd, where the connection had said nothing for as
// long as a gateway leaves it, and only for a moment after it was written.
func TestCrossingOfNewConnections(t *testing.T) {
	ago := func(d time.Duration) *time.Time { at := time.Now().Add(-d); return &at }
	for _, c := range []struct {
		crowd   bool
		begun   time.Duration
		written *time.Time
		want    bool
	}{
		{true, 2 * leftToSpeak, ago(0), true},
		{true, 2 * leftToSpeak, nil, true},
		{true, 2 * leftToSpeak, ago(2 * crossLimit), false},
		{true, 0, ago(0), false},
		{false, 2 * leftToSpeak, ago(0), false},
	} {
		if got := (crossing{crowd: c.crowd}).slow(*ago(c.begun), c.written); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
