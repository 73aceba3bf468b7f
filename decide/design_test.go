package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestWarmWorkerTakesTheCall(t *testing.T) {
	f := start(t, site(), 4)
	home := f.warm(0, "fn")
	for range 5 {
		f.call(0, 0, "fn")
		if s := f.last(); s.host != home {
			t.Fatalf("sent to %s, warm is %s", s.host, home)
		}
		f.result(f.last(), Good, FoundWarm)
	}
}

func TestPositiveCounterGatesTheWarmChoice(t *testing.T) {
	f := start(t, site(), 2)
	f.warm(0, "fn")
	fn := f.r.funcs["fn"]
	for _, w := range f.r.ready { // both warm, w0 spent
		p := f.r.ensurePlacement(fn, w)
		p.sentAt, p.loaded = f.now, true
	}
	f.r.ready[0].deficit[0], f.r.ready[1].deficit[0] = -1, 1
	for range 2 {
		f.call(0, 0, "fn")
		if s := f.last(); s.host != "w1" {
			t.Fatalf("sent to %s though its counter is spent and w1's is positive", s.host)
		}
		f.r.ready[1].deficit[0] = 1
	}
	// w1 has no lane left: the spent worker with a free lane serves, after a top-up of Qw
	before := f.r.ready[0].deficit[0]
	f.call(0, 0, "fn")
	if s := f.last(); s.host != "w0" {
		t.Fatalf("sent to %s, w0 has a free lane", s.host)
	}
	if got := f.r.ready[0].deficit[0]; got <= before+workerQuantum/2 {
		t.Errorf("counter of w0 is %v, no top-up seen", got)
	}
}

func TestCountersChargeLatencyPerTenant(t *testing.T) {
	f := start(t, site(), 1)
	w := f.r.ready[0]
	a, b := w.deficit[0], w.deficit[1]
	f.call(0, 0, "fn")
	topUp := w.deficit[0] + f.r.classes[0].mean - a
	f.pass(700 * time.Millisecond)
	f.result(f.last(), Good, BeganLoad)
	if got, want := a+topUp-w.deficit[0], 700.0; got < want-1 || got > want+1 {
		t.Errorf("charged %v ms, latency was %v", got, want)
	}
	if w.deficit[1] != b {
		t.Errorf("the other tenant's counter moved by %v", w.deficit[1]-b)
	}
}

func TestBeliefLapsesAndClears(t *testing.T) {
	f := start(t, site(), 4)
	f.warm(0, "fn")
	f.pass(11 * sec)
	if home, _ := f.r.copyStatus(&request{fn: f.r.funcs["fn"]}); home {
		t.Error("the belief outlives the keep-alive")
	}
	f.warm(0, "g")
	id := f.call(0, 0, "g")
	f.result(f.of(id)[0], Miss, NoNote)
	if s := f.last(); s.id != id || s.shot != 1 || s.host == f.of(id)[0].host {
		t.Errorf("after a miss the call went to %+v", s)
	}
}

func TestColdOnlyWhenEveryWarmOneIsBusyAndSpent(t *testing.T) {
	s := site()
	s.Orders = false // else a copy is ordered first
	f := start(t, s, 3)
	home := f.warm(0, "fn")
	w := f.r.workers[home]
	f.call(0, 0, "fn")
	f.call(0, 0, "fn")
	w.deficit[0] = 1
	f.call(0, 0, "fn") // busy, but there is quantum left: it may queue
	if s := f.last(); s.host != home {
		t.Fatalf("sent to %s with quantum left at %s", s.host, home)
	}
	w.deficit[0] = -1
	f.call(0, 0, "fn")
	if s := f.last(); s.host == home {
		t.Error("busy and spent, yet no other worker was taken")
	}
}

// A tenant that has taken ten seconds of latency from the home of its function stays there while the home is busy: with
// a quantum of eight it took other workers' memory for copies that were hardly used.
func TestBusyTenantStaysAtTheHomeForAQuantum(t *testing.T) {
	s := site()
	s.Orders = false // else a copy is ordered first
	f := start(t, s, 3)
	home := f.warm(0, "fn")
	for range 12 { // the first spends what the counter starts with, and the next has it topped up
		id := f.call(0, 0, "fn")
		f.pass(900 * time.Millisecond)
		f.result(f.of(id)[0], Good, FoundWarm)
		f.r.workers[home].latencyRatio = 0
	}
	f.call(0, 0, "fn")
	f.r.funcs["fn"].recentCalls = 1 // too few for another home
	f.call(0, 0, "fn")
	if s := f.last(); s.host != home {
		t.Errorf("busy, with %v ms left, and %s was taken", f.r.workers[home].deficit[0], s.host)
	}
}

func TestGatewaysAgreeOnTheNewLoadWorker(t *testing.T) {
	for i := range 20 {
		fn := fmt.Sprint("fn", i)
		a, b := start(t, site(), 8), start(t, site(), 8)
		b.r.rng = rand.New(rand.NewPCG(99, 1))
		a.call(0, 0, fn)
		b.call(0, 1, fn)
		if a.last().host != b.last().host {
			t.Fatalf("%s goes to %s and to %s", fn, a.last().host, b.last().host)
		}
	}
}

// Held requests leave by tenants' turns, though one tenant waits with many and came first.
func TestHeldRequestsTakeTurnsByTenant(t *testing.T) {
	f := start(t, site(), 1)
	home := f.warm(0, "fn")
	f.r.workers[home].window = 0
	for range 6 {
		f.call(0, 0, "fn")
	}
	for range 2 {
		f.call(0, 1, "fn")
	}
	n := len(f.sent)
	for len(f.sent) < n+4 && f.now < 110*sec {
		f.r.workers[home].window = 1 // room for one at a time
		f.pass(sweepInterval)
		s := f.last()
		f.do(Result{ID: s.id, Attempt: 0, Host: s.host, Outcome: Good, Took: 450 * time.Millisecond, Final: true,
			Note: FoundWarm})
	}
	second := 0
	for _, s := range f.sent[n : n+4] {
		if s.id > 7 {
			second++
		}
	}
	if second != 2 {
		t.Errorf("of the first 4 released, %d are the second tenant's, want 2: %v", second, f.sent[n:])
	}
}

// A tenant whose held calls cannot be placed does not keep another from its turn.
func TestBlockedTenantDoesNotKeepTheTurn(t *testing.T) {
	f := start(t, site(), 1)
	f.warm(0, "fn")
	f.r.ready[0].loads = loadsPerWorker // new functions have no place
	f.call(0, 0, "other")
	f.r.heldDeficit[0], f.r.heldDeficit[1] = 1000, -1000
	id := f.call(0, 1, "fn")
	if len(f.of(id)) != 1 {
		t.Error("a warm call waits behind a tenant that cannot be served")
	}
}
