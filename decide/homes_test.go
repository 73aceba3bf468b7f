package decide

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// A gateway of a few calls a second, one of 100: a function that makes up much of its traffic gets several homes,
// a rare one stays at one; gateways agree on them, and a hot one's calls are spread over them.
func TestHotFunctionHasSeveralAgreedHomes(t *testing.T) {
	homes := func(seed uint64) map[string]int {
		s := site()
		s.Gateways, s.Orders = 100, false // with orders a home is used once its copy stands
		f := start(t, s, 30)
		f.r.rng = rand.New(rand.NewPCG(seed, 1))
		at := map[string]int{}
		for i := range 150 {
			fn := "hot"
			if i%3 == 0 {
				fn = fmt.Sprint("rare", i)
			}
			id := f.call(0, 0, fn)
			f.pass(200 * time.Millisecond) // late enough for the other homes to be thought freer
			f.result(f.of(id)[0], Good, FoundWarm)
			if at[f.of(id)[0].host]++; fn != "hot" {
				at[f.of(id)[0].host]--
				if n := f.r.homeCount(&request{fn: f.r.funcs[fn]}); n > 1 {
					t.Fatalf("%s, called once, has %d homes", fn, n)
				}
			}
		}
		for w, n := range at {
			if n == 0 {
				delete(at, w)
			}
		}
		return at
	}
	a, b := homes(1), homes(2)
	if len(a) < 8 {
		t.Errorf("a function with two thirds of the traffic was sent to %d workers only", len(a))
	}
	for w, n := range a {
		if n > 50 {
			t.Errorf("%d of 100 hot calls went to one worker", n)
		}
		if n > 5 && b[w] == 0 {
			t.Errorf("%s has %d of one gateway's calls and none of the other's", w, n)
		}
	}
}

// Popularity moves on, and idle copies lapse after the keep-alive: a function that was hot must give its homes up about
// as soon, and one that became hot get them. Counted over 30 s, calls went to homes for what was asked a day ago.
func TestHomesFollowPopularityWithinTheKeepAlive(t *testing.T) {
	s := site()
	s.Gateways, s.KeepAlive = 100, 5*sec
	f := start(t, s, 30)
	spell := func(fn string) {
		for range 100 {
			id := f.call(0, 0, fn)
			f.pass(50 * time.Millisecond)
			f.result(f.of(id)[0], Good, FoundWarm)
		}
	}
	spell("old")
	was := f.r.homeCount(&request{fn: f.r.funcs["old"]})
	spell("new")
	f.call(0, 0, "old")
	old, now := f.r.homeCount(&request{fn: f.r.funcs["old"]}), f.r.homeCount(&request{fn: f.r.funcs["new"]})
	if was < 8 || now < was*2/3 || old > was/2 {
		t.Errorf("%d homes while it was hot, %d a keep-alive later; %d for what is hot now", was, old, now)
	}
}

// Calls sent to another home of a hot function waited there for its load though copies stood idle elsewhere. Now the copy
// is ordered, one at a time, and the home is used once it stands; without orders left a call loads as before.
func TestCopiesAtFurtherHomesAreOrderedAhead(t *testing.T) {
	s := site()
	s.FreeOrders, s.OrderShare = 1, 0
	f := start(t, s, 3)
	home := f.warm(0, "fn")
	fn := f.r.funcs["fn"]
	hot := func() { fn.recentCalls, f.r.recentCalls, f.r.calledAt, fn.usedAt = 3000, 3000, f.now, f.now }
	hot()
	f.r.workers[home].latencyRatio = 0.7 // busier than the others
	orders := func() (n int) {
		for _, a := range f.acts {
			if strings.Contains(a, " order ") {
				n++
			}
		}
		return n
	}
	for range 2 {
		if id := f.call(0, 0, "fn"); f.of(id)[0].host != home || orders() != 1 {
			t.Fatalf("sent to %s with %d orders, want %s, where it stands, and one order", f.last().host, orders(), home)
		}
	}
	var next string
	for _, p := range fn.placements {
		if p.worker.host.Name != home {
			next = p.worker.host.Name
		}
	}
	f.do(Loaded{Host: next, Function: "fn", Outcome: Good, Copies: 1})
	if id := f.call(0, 0, "fn"); f.of(id)[0].host != next {
		t.Error("the copy that was ordered is not used")
	}
	f.r.workers[next].latencyRatio, f.r.workers[home].latencyRatio = 0.35, 0.35
	if id := f.call(0, 0, "fn"); f.of(id)[0].host == home || f.of(id)[0].host == next || orders() != 1 {
		t.Error("with no order left the third home should load by the call")
	}
}

// In a fleet that answers in a third of the aim, copies for a hot function's further homes took cores, memory and the
// store from calls: no order and no load for one, until answers are prompt again.
func TestBusyFleetGetsNoFurtherCopies(t *testing.T) {
	for part, further := range map[float64]bool{0.32: false, 0.18: true} {
		f := start(t, site(), 3)
		home := f.warm(0, "fn")
		fn := f.r.funcs["fn"]
		fn.recentCalls, f.r.recentCalls, f.r.calledAt, fn.usedAt = 3000, 3000, f.now, f.now
		for _, w := range f.r.ready {
			w.latencyRatio = part
		}
		f.r.workers[home].latencyRatio += 0.05 // the other homes are thought freer
		f.r.workers[home].deficit[0] = -1
		n := len(f.acts)
		id := f.call(0, 0, "fn")
		if f.of(id)[0].host != home || strings.Contains(strings.Join(f.acts[n:], " "), "order") != further {
			t.Errorf("at %v of the aim: another copy wanted: %v; %v", part, further, f.acts[n:])
		}
	}
}

// A worker that takes no orders (one reached by MQTT, or one without room) still gets calls that load there.
func TestWorkerThatTakesNoOrdersGetsCalls(t *testing.T) {
	f := start(t, site(), 2)
	home := f.warm(0, "fn")
	fn := f.r.funcs["fn"]
	fn.recentCalls, f.r.recentCalls, f.r.calledAt, fn.usedAt = 3000, 3000, f.now, f.now
	f.r.workers[home].latencyRatio = 0.45
	f.call(0, 0, "fn")
	other := map[string]string{"w0": "w1", "w1": "w0"}[home]
	f.do(Loaded{Host: other, Function: "fn", Outcome: Full})
	n := len(f.acts)
	if id := f.call(0, 0, "fn"); f.of(id)[0].host != other {
		t.Errorf("sent to %s, want %s to load it by a call: %v", f.of(id)[0].host, other, f.acts[n:])
	}
}

// Where homes turn out cold, memory bears fewer copies: the homes shrink, and grow back when calls find them.
func TestHomesShrinkWhereMemoryBearsFewer(t *testing.T) {
	s := site()
	s.Gateways = 100
	f := start(t, s, 30)
	for range 60 {
		f.call(0, 0, "fn")
		f.pass(50 * time.Millisecond)
		f.result(f.last(), Good, FoundWarm)
	}
	q := &request{fn: f.r.funcs["fn"]}
	before := f.r.homeCount(q)
	a := &attempt{worker: f.r.ready[0], placement: f.r.ensurePlacement(q.fn, f.r.ready[0]), warm: true}
	for range 10 {
		f.r.learn(q, a, Result{Outcome: Good, Note: BeganLoad})
	}
	if after := f.r.homeCount(q); after >= before {
		t.Errorf("%d homes before ten pushed-out copies, %d after", before, after)
	}
	for range 500 {
		f.r.learn(q, a, Result{Outcome: Good, Note: FoundWarm, Took: 250 * time.Millisecond})
	}
	if again := f.r.homeCount(q); again < before {
		t.Errorf("%d homes before, %d when all is found again", before, again)
	}
}

// A gateway that has just started has seen few calls: chance repeats do not scatter loads.
func TestStartedGatewayDoesNotScatterLoads(t *testing.T) {
	s := site()
	s.Gateways = 100
	f := start(t, s, 30)
	at := map[string]bool{}
	for range 3 {
		id := f.call(0, 0, "fn")
		f.pass(200 * time.Millisecond)
		at[f.of(id)[0].host] = true
		f.result(f.of(id)[0], Good, FoundWarm)
	}
	if len(at) > 2 {
		t.Errorf("three calls of one function went to %d workers", len(at))
	}
}

// A gateway of few calls has none of its own in flight anywhere: what an answer told of a worker's lateness stands for
// the calls of the others there, and the home that answers late is taken only where no prompt one is free.
func TestLateHomesAreUsedLess(t *testing.T) {
	f := start(t, site(), 3)
	f.warm(0, "fn")
	fn := f.r.funcs["fn"]
	for _, w := range f.r.ready {
		p := f.r.ensurePlacement(fn, w)
		p.sentAt, p.loaded = f.now, true
		w.deficit[0] = 1e6
	}
	late := f.r.ready[1]
	f.r.learn(&request{fn: fn}, &attempt{worker: late, placement: fn.placementAt(late)}, Result{Outcome: Good, Note: FoundWarm, Took: 2 * sec})
	for range 12 {
		id := f.call(0, 0, "fn")
		if s := f.of(id)[0]; s.host == late.host.Name {
			t.Fatal("sent to the home that answers late though others are as free by our count")
		}
		f.result(f.of(id)[0], Good, FoundWarm)
	}
}
