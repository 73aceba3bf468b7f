package decide

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// For one of 100 gateways with a few calls a second each: a function that makes up much of the traffic gets several
// homes, and a rarely called one has a single home. Gateways agree on the homes, and the calls of a hot function are
// spread over them.
func TestHotFunctionHasSeveralAgreedHomes(t *testing.T) {
	homes := func(seed uint64) map[string]int {
		settings := testSettings()
		settings.Gateways, settings.Orders = 100, false // with orders a home is used only once its copy is loaded
		f := newFake(t, settings, 30)
		f.router.rng = rand.New(rand.NewPCG(seed, 1))
		for range minLatencySamples { // the usual latency of a call
			f.warmUp(0, "usual")
			id := f.call(0, 0, "usual")
			f.advance(50 * time.Millisecond)
			f.reportResult(f.sendsOf(id)[0], Good, FoundWarm)
		}
		hotCalls := map[string]int{} // by worker
		for i := range 150 {
			fn := "hot"
			if i%3 == 0 {
				fn = fmt.Sprint("rare", i)
			}
			id := f.call(0, 0, fn)
			f.advance(90 * time.Millisecond) // so late that the other homes count as less loaded
			f.reportResult(f.sendsOf(id)[0], Good, FoundWarm)
			if hotCalls[f.sendsOf(id)[0].host]++; fn != "hot" {
				hotCalls[f.sendsOf(id)[0].host]--
				if n := f.router.homeCount(&request{fn: f.router.funcs[fn]}); n > 1 {
					t.Fatalf("%s was called once and has %d homes, want 1", fn, n)
				}
			}
		}
		for name, n := range hotCalls {
			if n == 0 {
				delete(hotCalls, name)
			}
		}
		return hotCalls
	}
	first, second := homes(1), homes(2)
	if len(first) < 8 {
		t.Errorf("a function with two thirds of the traffic was sent to %d workers, want at least 8", len(first))
	}
	for name, n := range first {
		if n > 50 {
			t.Errorf("%d of 100 hot calls went to one worker, want at most 50", n)
		}
		if n > 5 && second[name] == 0 {
			t.Errorf("%s got %d calls from one gateway and none from the other", name, n)
		}
	}
}

// Popularity changes, and idle copies are unloaded after the keep-alive. A function that is no longer hot must lose its
// homes about as soon, and one that became hot must get several. When calls were counted over 30 s, calls went to homes
// of functions that had been popular long before.
func TestHomesFollowPopularityWithinTheKeepAlive(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.KeepAlive = 100, 5*sec
	f := newFake(t, settings, 30)
	call100 := func(fn string) {
		for range 100 {
			id := f.call(0, 0, fn)
			f.advance(50 * time.Millisecond)
			f.reportResult(f.sendsOf(id)[0], Good, FoundWarm)
		}
	}
	call100("old")
	before := f.router.homeCount(&request{fn: f.router.funcs["old"]})
	call100("new")
	f.call(0, 0, "old")
	old, now := f.router.homeCount(&request{fn: f.router.funcs["old"]}), f.router.homeCount(&request{fn: f.router.funcs["new"]})
	if before < 8 || now < before*2/3 || old > before/2 {
		t.Errorf("%d homes while the old function was hot, %d a keep-alive later; %d for the new one", before, old, now)
	}
}

// Calls sent to a further home of a hot function had waited there for the load although other copies were idle. The copy
// is ordered instead, one at a time, and the home is used once it is loaded. When no order is left in the ration, a call
// has the copy loaded.
func TestCopiesAtFurtherHomesAreOrderedAhead(t *testing.T) {
	settings := testSettings()
	settings.FreeOrders, settings.OrderShare = 1, 0
	f := newFake(t, settings, 3)
	home := f.warmUp(0, "fn")
	fn := f.router.funcs["fn"]
	makeHot := func() { fn.recentCalls, f.router.recentCalls, f.router.calledAt, fn.usedAt = 3000, 3000, f.now, f.now }
	makeHot()
	f.router.workers[home].delay = 0.9 // busier than the others
	orders := func() (n int) {
		for _, action := range f.actions {
			if strings.Contains(action, " order ") {
				n++
			}
		}
		return n
	}
	for range 2 {
		if id := f.call(0, 0, "fn"); f.sendsOf(id)[0].host != home || orders() != 1 {
			t.Fatalf("sent to %s with %d orders, want %s, where the copy is loaded, and one order", f.lastSend().host,
				orders(), home)
		}
	}
	var next string
	for _, p := range fn.placements {
		if p.worker.host.Name != home {
			next = p.worker.host.Name
		}
	}
	f.handle(Loaded{Host: next, Function: "fn", Outcome: Good, Copies: 1})
	if id := f.call(0, 0, "fn"); f.sendsOf(id)[0].host != next {
		t.Error("the copy that was ordered is not used")
	}
	f.router.workers[next].delay, f.router.workers[home].delay = 0.9, 0.9
	if id := f.call(0, 0, "fn"); f.sendsOf(id)[0].host == home || f.sendsOf(id)[0].host == next || orders() != 1 {
		t.Errorf("sent to %s with %d orders; want a load by the call at the third home, since no order is left",
			f.sendsOf(id)[0].host, orders())
	}
}

// In a fleet whose calls wait for longer than they are served, copies for a hot function's further homes took cores,
// memory and function store capacity from calls. No such copy is ordered or loaded until calls wait less again.
func TestBusyFleetGetsNoFurtherCopies(t *testing.T) {
	for delay, ordered := range map[float64]bool{1.1 * busyDelay: false, 0.8 * busyDelay: true} {
		f := newFake(t, testSettings(), 3)
		home := f.warmUp(0, "fn")
		fn := f.router.funcs["fn"]
		fn.recentCalls, f.router.recentCalls, f.router.calledAt, fn.usedAt = 3000, 3000, f.now, f.now
		for _, w := range f.router.ready {
			w.delay = delay
		}
		f.router.workers[home].delay += 0.3 // the other homes count as less loaded
		f.router.workers[home].deficit[0] = -1
		n := len(f.actions)
		id := f.call(0, 0, "fn")
		if f.sendsOf(id)[0].host != home || strings.Contains(strings.Join(f.actions[n:], " "), "order") != ordered {
			t.Errorf("calls wait for %v times as long as they are served: want a call to %s and an order for another copy: %v; got %v", delay, home,
				ordered, f.actions[n:])
		}
	}
}

// A worker that rejects orders, because it is reached by MQTT or has no room, still gets calls that load the function.
func TestWorkerThatTakesNoOrdersGetsCalls(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	home := f.warmUp(0, "fn")
	fn := f.router.funcs["fn"]
	fn.recentCalls, f.router.recentCalls, f.router.calledAt, fn.usedAt = 3000, 3000, f.now, f.now
	f.router.workers[home].delay = 0.9
	f.call(0, 0, "fn")
	other := map[string]string{"w0": "w1", "w1": "w0"}[home]
	f.handle(Loaded{Host: other, Function: "fn", Outcome: Full})
	n := len(f.actions)
	if id := f.call(0, 0, "fn"); f.sendsOf(id)[0].host != other {
		t.Errorf("sent to %s, want %s which loads the function by a call: %v", f.sendsOf(id)[0].host, other, f.actions[n:])
	}
}

// When calls to homes find no copy, memory holds fewer copies than thought. The number of homes shrinks, and grows back
// when calls find copies again.
func TestHomesShrinkWhenCopiesAreEvicted(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 100
	f := newFake(t, settings, 30)
	for range 60 {
		f.call(0, 0, "fn")
		f.advance(50 * time.Millisecond)
		f.reportResult(f.lastSend(), Good, FoundWarm)
	}
	req := &request{fn: f.router.funcs["fn"]}
	before := f.router.homeCount(req)
	warmAttempt := &attempt{worker: f.router.ready[0], placement: f.router.ensurePlacement(req.fn, f.router.ready[0]), warm: true}
	for range 10 {
		f.router.learn(req, warmAttempt, Result{Outcome: Good, Note: BeganLoad})
	}
	if after := f.router.homeCount(req); after >= before {
		t.Errorf("%d homes before ten evicted copies and %d after, want fewer", before, after)
	}
	for range 500 {
		f.router.learn(req, warmAttempt, Result{Outcome: Good, Note: FoundWarm, Took: 250 * time.Millisecond})
	}
	if again := f.router.homeCount(req); again < before {
		t.Errorf("%d homes before and %d after all calls found copies again, want no fewer", before, again)
	}
}

// A gateway that has just started has seen few calls. If a function happens to be called repeatedly among these, its loads
// are not scattered over many workers.
func TestNewGatewayDoesNotScatterLoads(t *testing.T) {
	settings := testSettings()
	settings.Gateways = 100
	f := newFake(t, settings, 30)
	workers := map[string]bool{}
	for range 3 {
		id := f.call(0, 0, "fn")
		f.advance(200 * time.Millisecond)
		workers[f.sendsOf(id)[0].host] = true
		f.reportResult(f.sendsOf(id)[0], Good, FoundWarm)
	}
	if len(workers) > 2 {
		t.Errorf("three calls of one function went to %d workers, want at most 2", len(workers))
	}
}

// A gateway with few calls mostly has none in flight, so its own counts do not show the load that others put on a worker.
// The latency of a worker's last answers stands for these calls: a home that answers late is used only when no prompt
// one is free.
func TestLateHomesAreUsedLess(t *testing.T) {
	f := newFake(t, testSettings(), 3)
	f.warmUp(0, "fn")
	fn := f.router.funcs["fn"]
	for _, w := range f.router.ready {
		p := f.router.ensurePlacement(fn, w)
		p.sentAt, p.loaded = f.now, true
		w.deficit[0] = 1e6
	}
	for range minLatencySamples { // the usual latency of a call
		id := f.call(0, 0, "fn")
		f.advance(50 * time.Millisecond)
		f.reportResult(f.sendsOf(id)[0], Good, FoundWarm)
	}
	late := f.router.ready[1]
	f.router.now = f.now
	f.router.learn(&request{fn: fn}, &attempt{worker: late, placement: fn.placementAt(late)}, Result{Outcome: Good, Note: FoundWarm, Took: 2 * sec})
	for range 12 {
		id := f.call(0, 0, "fn")
		if s := f.sendsOf(id)[0]; s.host == late.host.Name {
			t.Fatal("sent to the home that answers late though others have as few calls of this gateway in flight")
		}
		f.reportResult(f.sendsOf(id)[0], Good, FoundWarm)
	}
}
