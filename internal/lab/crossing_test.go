package lab

import (
	"testing"
	"time"
)

// A request on a new connection is resent only in a burst, only if the connection was silent for firstByteGrace, and only if it
// failed within crossingWindow after the request was written.
func TestResendOnNewConnectionOnlyInBurst(t *testing.T) {
	ago := func(d time.Duration) *time.Time { at := time.Now().Add(-d); return &at }
	for _, c := range []struct {
		burst   bool
		begun   time.Duration
		written *time.Time
		want    bool
	}{
		{true, 2 * firstByteGrace, ago(0), true},
		{true, 2 * firstByteGrace, nil, true},
		{true, 2 * firstByteGrace, ago(2 * crossingWindow), false},
		{true, 0, ago(0), false},
		{false, 2 * firstByteGrace, ago(0), false},
	} {
		if got := (resendTransport{burst: c.burst}).closedAsSilent(*ago(c.begun), c.written); got != c.want {
			t.Errorf("%+v: closedAsSilent returned %v", c, got)
		}
	}
}
