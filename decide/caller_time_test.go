package decide

import (
	"testing"
	"time"
)

// knownLatency has the router know the latency of a class from answers of just now.
func (f *fakeGateway) knownLatency(class int, mean, dev float64) {
	f.router.classes[class] = classStat{mean: mean, dev: dev, answeredAt: f.now}
}

// A request waits for as long as its caller has time for it to be served, and is then refused at once. A request that a
// worker turned away waits as long as one that was never sent.
func TestRequestWaitsForAsLongAsItsCallerHasTime(t *testing.T) {
	for _, turnedAway := range []bool{false, true} {
		f := newFake(t, testSettings(), 1)
		f.warmUp(0, "fn")
		w := f.router.ready[0]
		if w.window = 0; turnedAway {
			w.window = 1
		}
		id := f.call(0, 0, "fn")
		arrived := f.now
		if w.window = 0; turnedAway {
			f.reportResult(f.sendsOf(id)[0], Full, NoNote)
		}
		for f.ended[id] == "" && f.now < arrived+4*sec {
			f.knownLatency(0, 100, 50)
			f.advance(sweepInterval)
		}
		left := arrived + 4*sec - f.now
		if f.ended[id] != "refuse" || left > 100*time.Millisecond || left < 80*time.Millisecond {
			t.Errorf("turned away: %v: ended as %q with %v of the caller's time left, want refuse with as much as a call takes: 100ms",
				turnedAway, f.ended[id], left)
		}
	}
}

// Many clients whose time-out was shorter than a call takes kept workers busy with calls for which no client was waiting
// any more, and retried at once. Such calls are refused on arrival.
func TestCallWithTooShortTTLIsRefusedAtOnce(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	f.warmUp(0, "fn")
	f.knownLatency(0, 100, 50)
	before := len(f.sent)
	for id, want := range map[uint64]string{901: "refuse", 902: ""} {
		ttl := map[uint64]time.Duration{901: 67 * time.Millisecond, 902: 150 * time.Millisecond}[id]
		f.handle(Arrival{ID: id, Function: "fn", TTL: ttl, Lanes: 2})
		if f.ended[id] != want {
			t.Errorf("TTL %v: ended as %q, want %q", ttl, f.ended[id], want)
		}
	}
	if len(f.sent) != before+1 {
		t.Errorf("%d calls sent, want only the one with time enough", len(f.sent)-before)
	}
}

// A call needs time by its own work: in a time in which the mean call of its class cannot be served, one of little work
// can, and in a time that is enough for the mean call, one of much work cannot.
func TestTimeNeededFollowsTheWorkOfTheCall(t *testing.T) {
	for _, c := range []struct {
		work, ttl time.Duration
		want      string
	}{{20 * time.Millisecond, 80 * time.Millisecond, ""}, {300 * time.Millisecond, 150 * time.Millisecond, "refuse"}} {
		f := newFake(t, testSettings(), 1)
		f.warmUp(0, "fn")
		f.knownLatency(0, 100, 50)
		f.router.classes[0].work = 100
		f.handle(Arrival{ID: 900, Function: "fn", TTL: c.ttl, Lanes: 2, Work: c.work})
		if f.ended[900] != c.want {
			t.Errorf("work %v, TTL %v: ended as %q, want %q", c.work, c.ttl, f.ended[900], c.want)
		}
	}
}
