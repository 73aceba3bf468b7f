package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestCallGoesToWarmWorker(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	home := f.warmUp(0, "fn")
	for range 5 {
		f.call(0, 0, "fn")
		if s := f.lastSend(); s.host != home {
			t.Fatalf("sent to %s, want the warm worker %s", s.host, home)
		}
		f.reportResult(f.lastSend(), Good, FoundWarm)
	}
}

func TestWarmChoiceNeedsPositiveDeficitCounter(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	f.warmUp(0, "fn")
	fn := f.router.funcs["fn"]
	for _, w := range f.router.ready { // both workers are warm, and w0's counter is spent below
		p := f.router.ensurePlacement(fn, w)
		p.sentAt, p.loaded = f.now, true
	}
	f.router.ready[0].deficit[0], f.router.ready[1].deficit[0] = -1, 1
	for range 2 {
		f.call(0, 0, "fn")
		if s := f.lastSend(); s.host != "w1" {
			t.Fatalf("sent to %s whose counter is spent, want w1 whose counter is positive", s.host)
		}
		f.router.ready[1].deficit[0] = 1
	}
	// w1 has no free lane left: w0 with a free lane is used although its counter is spent, after a top-up by the quantum Qw.
	before := f.router.ready[0].deficit[0]
	f.call(0, 0, "fn")
	if s := f.lastSend(); s.host != "w0" {
		t.Fatalf("sent to %s, want w0 which has a free lane", s.host)
	}
	if got := f.router.ready[0].deficit[0]; got <= before+workerQuantum/2 {
		t.Errorf("counter of w0 went from %v to %v, want a top-up by the quantum of %v", before, got, workerQuantum)
	}
}

func TestCountersChargeLatencyPerTenant(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	w := f.router.ready[0]
	first, second := w.deficit[0], w.deficit[1]
	f.call(0, 0, "fn")
	topUp := w.deficit[0] + f.router.classes[0].mean - first
	f.advance(700 * time.Millisecond)
	f.reportResult(f.lastSend(), Good, BeganLoad)
	if got, want := first+topUp-w.deficit[0], 700.0; got < want-1 || got > want+1 {
		t.Errorf("charged %v ms, want the latency of %v ms", got, want)
	}
	if w.deficit[1] != second {
		t.Errorf("the other tenant's counter changed by %v ms", w.deficit[1]-second)
	}
}

func TestCopyIsForgottenAfterKeepAliveAndOnMiss(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	f.warmUp(0, "fn")
	f.advance(11 * sec)
	if home, _ := f.router.copyStatus(&request{fn: f.router.funcs["fn"]}); home {
		t.Error("the copy still counts as loaded after the keep-alive")
	}
	f.warmUp(0, "g")
	id := f.call(0, 0, "g")
	f.reportResult(f.sendsOf(id)[0], Miss, NoNote)
	if s := f.lastSend(); s.id != id || s.attemptIndex != 1 || s.host == f.sendsOf(id)[0].host {
		t.Errorf("after a miss the last send is %+v, want a second attempt at another worker", s)
	}
}

func TestColdWorkerOnlyWhenWarmOnesAreBusyAndSpent(t *testing.T) {
	settings := testSettings()
	settings.Orders = false // else a copy is ordered first
	f := newFake(t, settings, 3)
	home := f.warmUp(0, "fn")
	w := f.router.workers[home]
	f.call(0, 0, "fn")
	f.call(0, 0, "fn")
	w.deficit[0] = 1
	f.call(0, 0, "fn") // the worker is busy, but the tenant has quantum left there: the call may queue
	if s := f.lastSend(); s.host != home {
		t.Fatalf("sent to %s, want %s where the tenant has quantum left", s.host, home)
	}
	w.deficit[0] = -1
	f.call(0, 0, "fn")
	if s := f.lastSend(); s.host == home {
		t.Error("sent to the warm worker although it is busy and the tenant's quantum is spent")
	}
}

// A tenant that has used ten seconds of latency at the home of its function stays there while the home is busy. With a
// quantum of eight seconds, copies that were hardly used took other workers' memory.
func TestTenantStaysAtBusyHomeForOneQuantum(t *testing.T) {
	settings := testSettings()
	settings.Orders = false // else a copy is ordered first
	f := newFake(t, settings, 3)
	home := f.warmUp(0, "fn")
	for range 12 { // the first call spends the counter's initial value, and the second one tops it up
		id := f.call(0, 0, "fn")
		f.advance(900 * time.Millisecond)
		f.reportResult(f.sendsOf(id)[0], Good, FoundWarm)
		f.router.workers[home].delay = 0
	}
	f.call(0, 0, "fn")
	f.router.funcs["fn"].recentCalls = 1 // too few for another home
	f.call(0, 0, "fn")
	if s := f.lastSend(); s.host != home {
		t.Errorf("sent to %s, want the busy home %s where %v ms of the quantum are left", s.host, home,
			f.router.workers[home].deficit[0])
	}
}

func TestGatewaysLoadNewFunctionAtSameWorker(t *testing.T) {
	for i := range 20 {
		fn := fmt.Sprint("fn", i)
		a, b := newFake(t, testSettings(), 8), newFake(t, testSettings(), 8)
		b.router.rng = rand.New(rand.NewPCG(99, 1))
		a.call(0, 0, fn)
		b.call(0, 1, fn)
		if a.lastSend().host != b.lastSend().host {
			t.Fatalf("%s is sent to %s by one gateway and to %s by the other", fn, a.lastSend().host, b.lastSend().host)
		}
	}
}

// Tenants take turns when held requests are released, even if one tenant has more of them and came first.
func TestHeldRequestsAreReleasedFairlyByTenant(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	home := f.warmUp(0, "fn")
	f.router.workers[home].window = 0
	for range 6 {
		f.call(0, 0, "fn")
	}
	for range 2 {
		f.call(0, 1, "fn")
	}
	n := len(f.sent)
	for len(f.sent) < n+4 && f.now < 110*sec {
		f.router.workers[home].window = 1 // room for one call at a time
		f.advance(sweepInterval)
		s := f.lastSend()
		f.handle(Result{ID: s.id, Attempt: 0, Host: s.host, Outcome: Good, Took: 450 * time.Millisecond, Final: true,
			Note: FoundWarm})
	}
	ofSecondTenant := 0
	for _, s := range f.sent[n : n+4] {
		if s.id > 7 {
			ofSecondTenant++
		}
	}
	if ofSecondTenant != 2 {
		t.Errorf("of the first 4 requests released, %d are the second tenant's, want 2: %v", ofSecondTenant, f.sent[n:])
	}
}

// A tenant whose held calls cannot be sent anywhere does not block the calls of other tenants.
func TestBlockedTenantDoesNotBlockOthers(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	f.warmUp(0, "fn")
	f.router.ready[0].loads = loadsPerWorker // no new function can be loaded
	f.call(0, 0, "other")
	f.router.heldDeficit[0], f.router.heldDeficit[1] = 1000, -1000
	id := f.call(0, 1, "fn")
	if len(f.sendsOf(id)) != 1 {
		t.Error("a call with a warm copy waits behind a tenant that cannot be served")
	}
}
