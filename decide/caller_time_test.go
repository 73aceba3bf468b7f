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

// callWithTTL reports a call whose caller waits for ttl, and returns its id.
func (f *fakeGateway) callWithTTL(class int, fn string, ttl time.Duration) uint64 {
	f.lastID++
	f.answerBy[f.lastID] = f.now + ttl + testSettings().AnswerSlack
	f.handle(Arrival{ID: f.lastID, Class: class, Function: fn, TTL: ttl, Lanes: 2})
	return f.lastID
}

// No class gives way to another while calls wait at workers: calls of every class fill a worker's window.
func TestNoClassYieldsToAnother(t *testing.T) {
	for class := range testSettings().Classes {
		f := newFake(t, testSettings(), 1)
		f.warmUp(class, "fn")
		f.router.delay, f.router.delayedAt, f.router.ready[0].window = fullDelay, f.now, 10
		for range 4 {
			if id := f.call(class, 0, "fn"); len(f.sendsOf(id)) != 1 {
				t.Errorf("class %d: a call is held though its worker's window has room", class)
			}
		}
	}
}

// Held requests leave in the order in which they have to begin to be in time, whatever their class, and also if one has
// been sent before and was turned away.
func TestHeldRequestsLeaveByTheTimeThatIsLeft(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	f.warmUp(0, "fn")
	w := f.router.ready[0]
	w.window = 1
	turnedAway := f.callWithTTL(2, "fn", 3500*time.Millisecond)
	w.window = 0
	patient, second, first := f.callWithTTL(2, "fn", 4*sec), f.callWithTTL(0, "fn", 3*sec), f.callWithTTL(0, "fn", 2*sec)
	w.window = 1
	f.reportResult(f.sendsOf(turnedAway)[0], Full, NoNote)
	f.advance(fullPause)
	for _, next := range []uint64{first, second, turnedAway, patient} {
		w.window = 1
		f.advance(sweepInterval)
		if s := f.lastSend(); s.id != next {
			t.Fatalf("request %d was sent, want %d, which has to begin first", s.id, next)
		}
		f.reportResult(f.lastSend(), Good, FoundWarm)
	}
}

// The queue of held requests stays as short as its callers' time: a call that would wait for its whole time behind the
// others is refused on arrival, before it has waited in vain.
func TestCallIsRefusedAtOnceIfItsTurnComesTooLate(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	f.warmUp(0, "fn")
	f.router.ready[0].window = 2
	for class := range f.router.classes {
		f.knownLatency(class, 1000, 0)
	}
	held := 0
	for range 100 { // two at a time, each for a second: six or so can be served in four seconds
		if id := f.call(0, 0, "fn"); f.ended[id] == "" && len(f.sendsOf(id)) == 0 {
			held++
		} else if f.ended[id] == "refuse" && f.lastReason != TooLate {
			t.Fatalf("refused for %v, want %v", f.lastReason, TooLate)
		}
	}
	if held < 4 || held > 8 {
		t.Errorf("%d calls wait for a worker that serves 2 a second, want 4 to 8 in the 4 s that callers wait", held)
	}
	if id := f.callWithTTL(0, "fn", 1500*time.Millisecond); f.ended[id] != "" {
		t.Error("a call that has to begin before the held ones was refused")
	}
}

// While no more requests may be held, the one whose caller has the most time left is refused, since that caller can come
// again, be it the one that has just arrived or one that waits.
func TestFullQueueRefusesTheCallerWithMostTimeLeft(t *testing.T) {
	settings := testSettings()
	settings.MaxHeld = 3
	f := newFake(t, settings, 1)
	f.warmUp(0, "fn")
	f.router.ready[0].window = 0
	var ids []uint64
	for _, ttl := range []time.Duration{2 * sec, 4 * sec, 3 * sec, 3500 * time.Millisecond, sec} {
		ids = append(ids, f.callWithTTL(0, "fn", ttl))
	}
	for i, want := range []string{"", "refuse", "", "refuse", ""} {
		if f.ended[ids[i]] != want {
			t.Errorf("request %d ended as %q, want %q", i, f.ended[ids[i]], want)
		}
	}
}

// A tenant that fills the queue, even with calls that have to begin first, neither crowds out the calls of others nor has
// them refused for the length of its queue: tenants take turns.
func TestLongQueueOfOneTenantLeavesRoomForOthers(t *testing.T) {
	for _, maxHeld := range []int{0, 5} {
		settings := testSettings()
		settings.MaxHeld = maxHeld
		f := newFake(t, settings, 1)
		f.warmUp(0, "fn")
		f.router.ready[0].window = 2
		for class := range f.router.classes {
			f.knownLatency(class, 1000, 0)
		}
		for range 20 {
			f.call(0, 0, "fn")
		}
		f.lastID++
		f.handle(Arrival{ID: f.lastID, Tenant: 1, Function: "fn", TTL: 4 * sec, Lanes: 2})
		other := f.lastID
		for range 20 {
			f.callWithTTL(0, "fn", 3*sec)
		}
		if f.ended[other] != "" {
			t.Errorf("at most %d held: the only call of its tenant ended as %q behind the queue of another tenant", maxHeld, f.ended[other])
		}
	}
}

// A refused client is asked to stay away until what waits ahead of it has left, and no longer: without a queue, or where
// its own time is too short in any case, it may come again at once.
func TestRefusedClientIsToldWhenItMayBeServed(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	f.warmUp(0, "fn")
	for class := range f.router.classes {
		f.knownLatency(class, 1000, 0)
	}
	if f.callWithTTL(0, "fn", 500*time.Millisecond); f.lastReason != NoTime || f.lastPause != 0 {
		t.Errorf("refused for %v with a pause of %v, want %v and none, since nothing waits", f.lastReason, f.lastPause, NoTime)
	}
	f.router.ready[0].window = 2
	for range 20 {
		f.call(0, 0, "fn")
	}
	held := len(f.router.held)
	if want := time.Duration(held) * 500 * time.Millisecond; f.lastReason != TooLate || f.lastPause < want-sec || f.lastPause > want+sec {
		t.Errorf("refused for %v with a pause of %v, want %v and about the %v that %d calls need", f.lastReason, f.lastPause, TooLate,
			want, held)
	}
}

// A client of a tenant beyond its allowance is asked to stay away until the tenant's next call is due.
func TestClientBeyondItsShareIsToldWhenItsNextCallIsDue(t *testing.T) {
	settings := testSettings()
	settings.Tenants[0].PerSec, settings.Gateways = 4, 2
	f := newFake(t, settings, 1)
	f.warmUp(0, "fn")
	f.router.delay, f.router.delayedAt = fullDelay, f.now
	for range 20 {
		if id := f.call(0, 0, "fn"); f.ended[id] == "refuse" && f.lastReason == OverShare {
			break
		}
	}
	if f.lastReason != OverShare || f.lastPause <= 0 || f.lastPause > 250*time.Millisecond {
		t.Errorf("refused for %v with a pause of %v, want %v and at most the 250ms between two calls of the tenant", f.lastReason,
			f.lastPause, OverShare)
	}
}
