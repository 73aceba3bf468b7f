package decide

import (
	"fmt"
	"testing"
	"time"
)

// sul big-1: with the store jammed each call tried four workers whose load queues were full.
func TestLoadsOutAreLimited(t *testing.T) {
	f := start(t, site(), 3)
	for i := range 30 {
		f.call(0, 0, fmt.Sprint("fn", i))
	}
	if n := len(f.sent); n > 3 {
		t.Errorf("%d loads begun at three workers", n)
	}
}

// While loads take what their hints say and memory bears the copies, more of them may be under way than there are
// workers: a wide catalogue at a high rate waits for nothing else. Slow ones take it back.
func TestQuickLoadsMayBeMore(t *testing.T) {
	for took, more := range map[time.Duration]bool{500 * time.Millisecond: true, 3 * sec: false} {
		f := start(t, site(), 3)
		begin := func(fn string) {
			f.next++
			f.do(Arrival{ID: f.next, Function: fn, TTL: 4 * sec, Lanes: 2, LoadTime: 500 * time.Millisecond})
		}
		for i := range 40 {
			begin(fmt.Sprint("first", i))
			f.now += took
			f.result(f.last(), Good, BeganLoad)
		}
		before := len(f.sent)
		for i := range 20 {
			begin(fmt.Sprint("more", i))
		}
		if n := len(f.sent) - before; more != (n > 3) {
			t.Errorf("after loads that took %v, %d are under way at three workers", took, n)
		}
	}
}

// In an overload each load in a full fleet pushed out a copy in use, which then was loaded again elsewhere.
func TestLateFleetGetsFewLoads(t *testing.T) {
	for late, most := range map[float64]int{0: 8, reserveLatency + 0.01: 8 / workersPerLoad} {
		f := start(t, site(), 8)
		f.r.lateness = late
		for i := range 30 {
			f.call(0, 0, fmt.Sprint("fn", i))
		}
		if n := len(f.sent); n != most {
			t.Errorf("with answers as late as %v, %d loads begun at eight workers, want %d", late, n, most)
		}
		if late == 0 && !f.r.overloaded() { // the held press, and yet they may load: else they would never end
			t.Error("22 held calls do not press")
		}
	}
}

// Bursts: one load of a function at a time, calls meanwhile wait behind it.
func TestOneLoadOfAFunctionAtATime(t *testing.T) {
	f := start(t, site(), 6)
	for range 8 {
		f.call(0, 0, "fn")
	}
	hosts := map[string]bool{}
	for _, s := range f.sent {
		hosts[s.host] = true
	}
	if len(hosts) != 1 {
		t.Errorf("8 calls of one function began loads at %d workers", len(hosts))
	}
}

// Overload: beyond a tenant's allowance calls are refused, but only while calls wait or answers are late.
func TestOverShareIsRefusedUnderPressureOnly(t *testing.T) {
	s := site()
	s.Tenants[0].PerSec, s.Tenants[1].PerSec, s.Gateways = 20, 20, 4
	for _, pressed := range []bool{false, true} {
		f := start(t, s, 4)
		f.pass(sec)
		for _, w := range f.r.ready {
			if pressed {
				w.latencyRatio = 1
			}
		}
		for i := range 50 { // 10 a second here, twice the even part, saved up for 3
			f.call(0, 0, fmt.Sprint("fn", i%2))
		}
		refused := 0
		for _, how := range f.ended {
			if how == "refuse" {
				refused++
			}
		}
		if pressed && refused != 20 || !pressed && f.ended[11] == "refuse" && f.ended[1] == "refuse" {
			t.Errorf("pressed %v: %d of 50 refused", pressed, refused)
		}
	}
}

// caxias overload, the failed try: a bad spell must not refuse everything on arrival for ever.
func TestBadSpellDoesNotRefuseAllOnArrival(t *testing.T) {
	f := start(t, site(), 2)
	f.r.classes[0].mean = 5000
	if id := f.call(0, 0, "fn"); len(f.of(id)) != 1 {
		t.Error("refused unseen")
	}
}

func TestWindowClosesOnLateAnswersAndOpens(t *testing.T) {
	f := start(t, site(), 1)
	w := f.r.ready[0]
	for range 60 {
		f.now += fullPause + 1
		f.r.resizeWindow(w, 0.9)
	}
	if w.window != minWindow {
		t.Fatalf("window %v after answers near the aim", w.window)
	}
	w.warmInflight = 3
	for range 60 {
		f.r.resizeWindow(w, 0.1)
	}
	if w.window <= minWindow {
		t.Error("the window does not open again")
	}
}

// Twice the usual traffic made every call late alike. Calls of less worth now leave most of a window to the others,
// and do not keep those waiting that come after them.
func TestCheapCallsLeaveRoomForDearOnes(t *testing.T) {
	f := start(t, site(), 1)
	f.warm(0, "fn")
	f.warm(2, "dear")
	f.r.ready[0].window = 10
	for range 3 { // while answers are prompt, none of them waits
		if id := f.call(0, 0, "fn"); len(f.of(id)) != 1 {
			t.Fatal("a call of less worth waits though answers are prompt")
		}
	}
	for id := f.next; id > f.next-3; id-- {
		f.result(f.of(id)[0], Good, FoundWarm)
	}
	f.r.lateness, f.r.ready[0].window = 0.5, 10
	var cheap []uint64
	for range 4 {
		cheap = append(cheap, f.call(0, 0, "fn"))
	}
	if len(f.of(cheap[1])) != 1 || len(f.of(cheap[2])) != 0 || len(f.of(cheap[3])) != 0 {
		t.Fatal("of a window of 10, calls of less worth take 2")
	}
	if id := f.call(2, 0, "dear"); len(f.of(id)) != 1 {
		t.Error("a call of the most worth waits behind cheaper ones")
	}
	f.result(f.of(cheap[0])[0], Good, FoundWarm)
	f.result(f.of(cheap[1])[0], Good, FoundWarm)
	if len(f.of(cheap[2])) != 1 {
		t.Error("held though its part of the window is free again")
	}
	f = start(t, site(), 1)
	f.warm(0, "fn")
	f.warm(2, "dear")
	f.r.ready[0].window = 0
	first, dear := f.call(0, 0, "fn"), f.call(2, 0, "dear")
	f.r.ready[0].window = 1
	f.pass(sweepInterval)
	if len(f.of(dear)) != 1 || len(f.of(first)) != 0 {
		t.Error("the room of one goes to a cheap call before a dear one")
	}
}

// Held until a mean call would end at the aim, the calls of an overload all ended about there, half of them late.
func TestHeldCallIsGivenUpWhileMostWouldBeInTime(t *testing.T) {
	f := start(t, site(), 1)
	f.warm(0, "fn")
	f.r.classes[0] = classStat{mean: 100, dev: 50}
	f.r.ready[0].window = 0
	id := f.call(0, 0, "fn")
	f.pass(sec - 300*time.Millisecond)
	if f.ended[id] != "" {
		t.Fatal("given up with time enough")
	}
	f.pass(100 * time.Millisecond)
	if f.ended[id] != "refuse" {
		t.Errorf("ended as %q, want a refusal while a warm call may take 250 ms", f.ended[id])
	}
}

// A crowd of clients that waited for less than a call takes kept workers busy with calls that nobody awaited any more,
// and asked again at once.
func TestCallNobodyWaitsLongEnoughForIsRefusedAtOnce(t *testing.T) {
	f := start(t, site(), 1)
	f.warm(0, "fn")
	f.r.classes[0] = classStat{mean: 100, dev: 50}
	n := len(f.sent)
	for id, want := range map[uint64]string{901: "refuse", 902: ""} {
		ttl := map[uint64]time.Duration{901: 67 * time.Millisecond, 902: 150 * time.Millisecond}[id]
		f.do(Arrival{ID: id, Function: "fn", TTL: ttl, Lanes: 2})
		if f.ended[id] != want {
			t.Errorf("a client that waits %v: ended as %q, want %q", ttl, f.ended[id], want)
		}
	}
	if len(f.sent) != n+1 {
		t.Errorf("%d calls sent, want the one in time", len(f.sent)-n)
	}
}

// Calls of one class differ tenfold in work: one long call in flight is more than two short ones.
func TestWorkInFlightCountsByItsHints(t *testing.T) {
	f := start(t, site(), 2)
	f.warm(2, "fn")
	for _, w := range f.r.ready {
		p := f.r.ensurePlacement(f.r.funcs["fn"], w)
		p.sentAt, p.loaded = f.now, true
		w.deficit[0], w.latencyRatio = 1e6, 0
	}
	f.r.funcs["fn"].recentCalls, f.r.recentCalls, f.r.calledAt, f.r.funcs["fn"].usedAt = 3000, 3000, f.now, f.now // several homes
	call := func(ms int) string {
		f.next++
		f.do(Arrival{ID: f.next, Class: 2, Function: "fn", TTL: 4 * sec, Lanes: 4, Work: time.Duration(ms) * time.Millisecond})
		return f.last().host
	}
	long := call(400)
	for range 4 {
		if call(40) == long {
			t.Error("sent beside the long call")
		}
	}
}
