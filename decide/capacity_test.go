package decide

import (
	"fmt"
	"testing"
	"time"
)

// Without a limit, when the function store was overloaded, each call tried four workers whose load queues were full.
func TestLoadsInFlightAreLimited(t *testing.T) {
	f := newFake(t, testSettings(), 3)
	for i := range 30 {
		f.call(0, 0, fmt.Sprint("fn", i))
	}
	if n := len(f.sent); n > 3 {
		t.Errorf("%d loads begun at three workers, want at most 3", n)
	}
}

// While loads take no longer than their hints and memory holds the copies, more of them may be in flight than there are
// workers: else calls at a high rate for many different functions would wait only because of the load limit. Slow loads lower
// the limit again.
func TestQuickLoadsRaiseLoadLimit(t *testing.T) {
	for took, raised := range map[time.Duration]bool{500 * time.Millisecond: true, 3 * sec: false} {
		f := newFake(t, testSettings(), 3)
		callWithLoadHint := func(fn string) {
			f.lastID++
			f.handle(Arrival{ID: f.lastID, Function: fn, TTL: 4 * sec, Lanes: 2, LoadTime: 500 * time.Millisecond})
		}
		for i := range 40 {
			callWithLoadHint(fmt.Sprint("first", i))
			f.now += took
			f.reportResult(f.lastSend(), Good, BeganLoad)
		}
		before := len(f.sent)
		for i := range 20 {
			callWithLoadHint(fmt.Sprint("more", i))
		}
		if n := len(f.sent) - before; raised != (n > 3) {
			t.Errorf("after loads that took %v, %d are in flight at three workers, want more than 3: %v", took, n, raised)
		}
	}
}

// When a fleet whose memory was full was overloaded, each load evicted a copy in use, which was then loaded again
// elsewhere. The load limit is therefore lower while calls wait at workers for long.
func TestLateAnswersLowerLoadLimit(t *testing.T) {
	for delay, most := range map[float64]int{0: 8, busyDelay + 0.01: 8 / workersPerLoad} {
		f := newFake(t, testSettings(), 8)
		f.router.delay, f.router.delayedAt = delay, f.now
		for i := range 30 {
			f.call(0, 0, fmt.Sprint("fn", i))
		}
		if n := len(f.sent); n != most {
			t.Errorf("calls wait for %v times as long as they are served: %d loads begun at eight workers, want %d", delay, n, most)
		}
		// Held calls count as overload and yet may load their functions: else they would be held for good.
		if delay == 0 && !f.router.overloaded() {
			t.Error("22 held calls do not count as overload")
		}
	}
}

// In a burst of calls of one function only one load begins, and the other calls wait for it.
func TestOneLoadOfAFunctionAtATime(t *testing.T) {
	f := newFake(t, testSettings(), 6)
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

// Calls beyond a tenant's allowance are refused, but only while calls wait or answers are late.
func TestCallsOverShareAreRefusedOnlyUnderOverload(t *testing.T) {
	settings := testSettings()
	settings.Tenants[0].PerSec, settings.Tenants[1].PerSec, settings.Gateways = 20, 20, 4
	for _, overloaded := range []bool{false, true} {
		f := newFake(t, settings, 4)
		f.advance(sec)
		for _, w := range f.router.ready {
			if overloaded {
				w.delay = fullDelay
			}
		}
		for i := range 50 { // the allowance here is 10/s, twice this gateway's even part, and 3 s of it are saved up
			f.call(0, 0, fmt.Sprint("fn", i%2))
		}
		refused := 0
		for _, how := range f.ended {
			if how == "refuse" {
				refused++
			}
		}
		if overloaded && refused != 20 || !overloaded && f.ended[11] == "refuse" && f.ended[1] == "refuse" {
			t.Errorf("overloaded %v: %d of 50 refused", overloaded, refused)
		}
	}
}

// After an overload the mean latency may exceed the time that callers have. Calls must not be refused for that for good:
// with no call sent, the mean would never be corrected.
func TestHighMeanLatencyRefusesCallsOnlyForATime(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	f.router.classes[0].mean, f.router.classes[0].answeredAt = 5000, f.now
	if id := f.call(0, 0, "fn"); f.ended[id] != "refuse" {
		t.Error("a call was sent although answers of just now took longer than its caller waits")
	}
	f.advance(sec)
	if id := f.call(0, 0, "fn"); len(f.sendsOf(id)) != 1 {
		t.Error("a call is still refused for the mean latency of calls that were answered a second ago")
	}
}

func TestWindowShrinksWhileCallsWaitAndGrowsBack(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	worker := f.router.ready[0]
	for range 60 {
		f.now += fullPause + 1
		f.router.resizeWindow(worker, 1.1*busyDelay)
	}
	if worker.window != minWindow {
		t.Fatalf("window %v while calls wait for longer than they are served, want %v", worker.window, minWindow)
	}
	worker.warmInflight = 3
	for range 60 {
		f.router.resizeWindow(worker, 0.9*busyDelay)
	}
	if worker.window <= minWindow {
		t.Error("the window does not grow back after prompt answers")
	}
}

// Calls of one class differ tenfold in work, so a long call in flight counts for more than two short ones.
func TestWorkInFlightCountsByWorkHints(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	f.warmUp(2, "fn")
	for _, w := range f.router.ready {
		p := f.router.ensurePlacement(f.router.funcs["fn"], w)
		p.sentAt, p.loaded = f.now, true
		w.deficit[0], w.delay = 1e6, 0
	}
	// So many calls give the function several homes.
	f.router.funcs["fn"].recentCalls, f.router.recentCalls, f.router.calledAt, f.router.funcs["fn"].usedAt = 3000, 3000, f.now, f.now
	call := func(ms int) string {
		f.lastID++
		f.handle(Arrival{ID: f.lastID, Class: 2, Function: "fn", TTL: 4 * sec, Lanes: 4, Work: time.Duration(ms) * time.Millisecond})
		return f.lastSend().host
	}
	long := call(400)
	for range 4 {
		if call(40) == long {
			t.Error("a short call was sent to the worker of the long call")
		}
	}
}
