package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// A gateway with a few calls a second sends to each worker only once in many seconds. One overdue call therefore ejects
// the worker for the call's class for about that long, and not for the half second that is enough where calls are many.
func TestOverdueCallEjectsWorkerForOneSendInterval(t *testing.T) {
	f := newFake(t, testSettings(), 40)
	f.router.servedRate, f.router.servedAt = 4, f.now
	w := f.router.workers[f.warmUp(0, "fn")]
	f.call(0, 0, "fn") // never answered
	f.advance(3 * sec)
	if !w.health[0].ejected || w.health[1].ejected {
		t.Errorf("ejected by class: %v %v, want true false", w.health[0].ejected, w.health[1].ejected)
	}
	if left := w.health[0].ejectedUntil - f.now; left < 5*sec {
		t.Errorf("ejected for another %v, want at least 5s, since each worker gets a call every 10 s", left)
	}
}

// In a large fleet one tenant's clients retried at once regardless of the answers, and every worker was full. A gateway
// with a few calls a second could not see the overload in the mean latency of single workers. FULL answers therefore
// count as overload: calls beyond the tenant's share are refused at once, and the other tenant's calls are not.
func TestFullAnswersMarkGatewayOfFewCallsOverloaded(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Share: 0.5, PerSec: 200}, {Share: 0.5, PerSec: 200}}
	settings.Gateways = 100
	f := newFake(t, settings, 60)
	refused := [2]int{}
	for i := range 120 {
		tenant := 0
		if i%12 == 11 { // the other tenant's calls, about as many as its share
			tenant = 1
		}
		id := f.call(0, tenant, fmt.Sprint("fn", tenant, i%7))
		for n := 0; n < len(f.sendsOf(id)); n++ {
			f.reportResult(f.sendsOf(id)[n], Full, NoNote)
		}
		if f.ended[id] == "refuse" && len(f.sendsOf(id)) == 0 {
			refused[tenant]++
		}
		f.advance(50 * time.Millisecond)
	}
	if refused[0] < 50 || refused[1] > 0 {
		t.Errorf("refused without a send: %d of 110 calls of the tenant beyond its share, want at least 50; %d of 10 of the "+
			"other, want 0", refused[0], refused[1])
	}
}

// When a client disconnects early, its attempts in flight are retracted so that they do not occupy lanes.
func TestAttemptsAreRetractedWhenClientIsGone(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	id := f.call(0, 0, "fn")
	f.handle(ClientGone{ID: id})
	if want := fmt.Sprintf("retract %d 0", id); !strings.Contains(strings.Join(f.actions, "\n"), want) {
		t.Errorf("no %q in %v", want, f.actions)
	}
}

// At a few calls a second a gateway's even part of an allowance is one call or less a second. Allowance that is not used
// is saved up; otherwise random arrivals alone would put most calls of a tenant beyond a share that it does not use up.
func TestUnusedAllowanceIsSavedUp(t *testing.T) {
	settings := testSettings()
	settings.Tenants, settings.Gateways = []Tenant{{Share: 1, PerSec: 60}}, 100 // 0.6 calls a second for each gateway
	f := newFake(t, settings, 4)
	over := 0
	for range 20 {
		f.advance(3 * sec)
		if f.router.overAllowance(0) {
			over++
		}
	}
	if over > 0 {
		t.Errorf("at one call in 3 s, %d of 20 calls count as beyond an allowance of 0.6 calls a second, want 0", over)
	}
}

// unansweredCall sends a call that gets no answer, and then later calls to the same copy that are answered. It returns the
// id of the unanswered call and the worker of the copy.
func unansweredCall(t *testing.T, class, later int) (f *fakeGateway, id uint64, home string) {
	t.Helper()
	f = newFake(t, testSettings(), 6)
	home = f.warmUp(class, "fn")
	f.router.classes[class] = classStat{mean: 100, dev: 50}
	id = f.call(class, 0, "fn")
	for range later {
		f.advance(30 * time.Millisecond)
		next := f.call(class, 0, "fn")
		f.advance(30 * time.Millisecond)
		f.reportResult(f.sendsOf(next)[0], Good, FoundWarm)
	}
	return f, id, home
}

// A lossy link or worker loses single calls while it answers later ones. Such a call is sent again once it is overdue, if
// its class allows this, and its worker is not ejected. A worker that answers nothing is ejected, and its calls are not
// hedged.
func TestLostCallIsSentAgain(t *testing.T) {
	for _, class := range []int{0, 1, 3, 2} {
		f, id, home := unansweredCall(t, class, maxOvertaken)
		f.advance(f.router.overdueAfter(f.router.byID[id], &f.router.byID[id].attempts[0]))
		sends := f.sendsOf(id)
		if class == 2 { // unsafe calls must never run twice
			if len(sends) != 1 {
				t.Errorf("an unsafe call was sent %d times", len(sends))
			}
			continue
		}
		if len(sends) != 2 || class == 3 && (sends[0].host[1]-sends[1].host[1])%2 != 0 {
			t.Fatalf("class %d: sends %v, want two, for class 3 in the same zone", class, sends)
		}
		worker := f.router.workers[home]
		if worker.health[class].ejected {
			t.Errorf("class %d: the worker was ejected for a single lost call", class)
		}
		f.reportResult(sends[1], Good, FoundWarm)
		if !slices.Contains(f.actions, fmt.Sprintf("%v retract %d 0", f.now, id)) || worker.losses < 1 {
			t.Errorf("class %d: the lost attempt was not retracted, or not counted: %v lost", class, worker.losses)
		}
		f.advance(4 * sec)
	}
	f, id, home := unansweredCall(t, 0, 0)
	f.advance(2 * sec)
	if n := len(f.sendsOf(id)); n != 1 || f.router.workers[home].health[0].ejectedUntil == 0 {
		t.Errorf("a silent worker's call was sent %d times, want 1; ejected until %v, want a time", n,
			f.router.workers[home].health[0].ejectedUntil)
	}
}

// At a worker that lost calls recently, an unanswered call is hedged (gets a second attempt in parallel) sooner, without
// later calls having been answered first. Hedges are bounded by the number of arriving calls; none is sent under overload.
func TestParallelSecondAttemptsAreBounded(t *testing.T) {
	f, id, home := unansweredCall(t, 0, 0)
	f.router.workers[home].losses, f.router.workers[home].lossAt = minLosses+1, f.now
	f.router.hedgeTokens = 1 - hedgeShare
	other := f.call(0, 0, "fn")
	f.advance(300 * time.Millisecond) // too short for a call to be overdue
	if n := len(f.sendsOf(id)) + len(f.sendsOf(other)); n != 3 {
		t.Errorf("%d sends of two calls, want 3: one hedge", n)
	}
	overloaded, id, home := unansweredCall(t, 0, 0)
	overloaded.router.workers[home].losses, overloaded.router.workers[home].lossAt = minLosses+1, overloaded.now
	overloaded.router.delay, overloaded.router.delayedAt = fullDelay, overloaded.now+sec
	if overloaded.advance(sec); len(overloaded.sendsOf(id)) != 1 {
		t.Error("a hedge was sent under overload")
	}
}

// Calls that take as long as calls with so much work take without waiting are no overload, however long that is. Calls
// that wait at workers for longer are one.
func TestCallsThatDoNotWaitAreNoOverload(t *testing.T) {
	for _, c := range []struct {
		work, took time.Duration
		overloaded bool
	}{{1750 * time.Millisecond, 1750 * time.Millisecond, false}, {100 * time.Millisecond, 250 * time.Millisecond, true},
		{100 * time.Millisecond, 150 * time.Millisecond, false}} {
		f := newFake(t, testSettings(), 1)
		f.warmUp(0, "fn")
		call := func(work, took time.Duration) {
			f.lastID++
			f.handle(Arrival{ID: f.lastID, Function: "fn", TTL: 4 * sec, Lanes: 2, Work: work})
			f.advance(took)
			f.reportResult(f.lastSend(), Good, FoundWarm)
		}
		for range 40 { // what a call takes without waiting
			call(100*time.Millisecond, 100*time.Millisecond)
		}
		for range 40 {
			call(c.work, c.took)
		}
		if f.router.overloaded() != c.overloaded {
			t.Errorf("work hint %v, took %v: overloaded %v, want %v", c.work, c.took, f.router.overloaded(), c.overloaded)
		}
	}
}
