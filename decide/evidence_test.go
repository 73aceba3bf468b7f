package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// At a few calls a second a worker is met once in many seconds: one overdue call sets it aside for its class for
// about that long, not for the half second that does where calls are many.
func TestOverdueCallSetsAsideForThePaceOfTheGateway(t *testing.T) {
	f := start(t, site(), 40)
	f.r.servedRate, f.r.servedAt = 4, f.now
	w := f.r.workers[f.warm(0, "fn")]
	f.call(0, 0, "fn") // never answered
	f.pass(3 * sec)
	if !w.health[0].ejected || w.health[1].ejected {
		t.Errorf("out by class: %v %v, want true false", w.health[0].ejected, w.health[1].ejected)
	}
	if left := w.health[0].ejectedUntil - f.now; left < 5*sec {
		t.Errorf("set aside for another %v only; each worker is met every 10 s", left)
	}
}

// rough-1 of floripa at full size: one tenant's clients repeat at once whatever they are told; every worker is full, and
// no worker's own mean tells a gateway of a few calls a second. Answers that are FULL press it, so what is beyond the
// tenant's share is refused at once, and the other tenant's calls are not.
func TestFullAnswersPressAGatewayOfFewCalls(t *testing.T) {
	s := site()
	s.Tenants = []Tenant{{Share: 0.5, PerSec: 200}, {Share: 0.5, PerSec: 200}}
	s.Gateways = 100
	f := start(t, s, 60)
	refused := [2]int{}
	for i := range 120 {
		tenant := 0
		if i%12 == 11 { // the other one's pace: about its share
			tenant = 1
		}
		id := f.call(0, tenant, fmt.Sprint("fn", tenant, i%7))
		for n := 0; n < len(f.of(id)); n++ {
			f.result(f.of(id)[n], Full, NoNote)
		}
		if f.ended[id] == "refuse" && len(f.of(id)) == 0 {
			refused[tenant]++
		}
		f.pass(50 * time.Millisecond)
	}
	if refused[0] < 50 || refused[1] > 0 {
		t.Errorf("%d of 110 refused unsent of the tenant far beyond its share, %d of 10 of the other", refused[0], refused[1])
	}
}

// A client that leaves early waits for nothing: what is out for it is withdrawn, not left to take up a lane.
func TestAttemptsOfAClientThatLeftAreWithdrawn(t *testing.T) {
	f := start(t, site(), 2)
	id := f.call(0, 0, "fn")
	f.do(ClientGone{ID: id})
	if want := fmt.Sprintf("retract %d 0", id); !strings.Contains(strings.Join(f.acts, "\n"), want) {
		t.Errorf("no %q in %v", want, f.acts)
	}
}

// At a few calls a second an even part of an allowance is a call or less: what a quiet second leaves is kept for the next,
// or chance alone would put most calls beyond a share that the tenant does not use up.
func TestUnusedAllowanceIsSavedUp(t *testing.T) {
	s := site()
	s.Tenants, s.Gateways = []Tenant{{Share: 1, PerSec: 60}}, 100 // 0.6 a second here
	f := start(t, s, 4)
	over := 0
	for range 20 {
		f.pass(3 * sec)
		if f.r.overAllowance(0) {
			over++
		}
	}
	if over > 0 {
		t.Errorf("%d of 20 calls, one in 3 s, count as beyond an allowance of 0.6 a second", over)
	}
}

// pastIt has a call sent and then so many later ones of the same copy answered; none of the first is heard.
func pastIt(t *testing.T, class, later int) (f *fake, id uint64, home string) {
	t.Helper()
	f = start(t, site(), 6)
	home = f.warm(class, "fn")
	f.r.classes[class] = classStat{mean: 100, dev: 50}
	id = f.call(class, 0, "fn")
	for range later {
		f.pass(30 * time.Millisecond)
		next := f.call(class, 0, "fn")
		f.pass(30 * time.Millisecond)
		f.result(f.of(next)[0], Good, FoundWarm)
	}
	return f, id, home
}

// A lossy link or worker takes single calls and never answers them, while it answers what is sent later. Such a call
// is sent again once it is overdue, as its class allows, and its worker is not set aside; a worker that answers
// nothing is, and its calls are not doubled.
func TestLostCallIsSentAgain(t *testing.T) {
	for _, class := range []int{0, 1, 3, 2} {
		f, id, home := pastIt(t, class, maxOvertaken)
		f.pass(f.r.overdueAfter(f.r.byID[id], &f.r.byID[id].attempts[0]))
		sends := f.of(id)
		if class == 2 { // must never run twice
			if len(sends) != 1 {
				t.Errorf("an unsafe call was sent %d times", len(sends))
			}
			continue
		}
		if len(sends) != 2 || class == 3 && (sends[0].host[1]-sends[1].host[1])%2 != 0 {
			t.Fatalf("class %d: sent %v", class, sends)
		}
		w := f.r.workers[home]
		if w.health[class].ejected {
			t.Errorf("class %d: set aside for a call that it lost", class)
		}
		f.result(sends[1], Good, FoundWarm)
		if !slices.Contains(f.acts, fmt.Sprintf("%v retract %d 0", f.now, id)) || w.losses < 1 {
			t.Errorf("class %d: the lost attempt was not given up, or not counted: %v", class, w.losses)
		}
		f.pass(4 * sec)
	}
	f, id, home := pastIt(t, 0, 0)
	f.pass(2 * sec)
	if n := len(f.of(id)); n != 1 || f.r.workers[home].health[0].ejectedUntil == 0 {
		t.Errorf("a silent worker's call was sent %d times; set aside until %v", n, f.r.workers[home].health[0].ejectedUntil)
	}
}

// Where calls were lost of late a second copy goes out sooner, without waiting for others to pass; second copies are
// bounded by the calls taken, and none goes out while the fleet is pressed.
func TestSecondCopiesAreBounded(t *testing.T) {
	f, id, home := pastIt(t, 0, 0)
	f.r.workers[home].losses, f.r.workers[home].lossAt = minLosses+1, f.now
	f.r.hedgeTokens = 1 - hedgeShare
	other := f.call(0, 0, "fn")
	f.pass(300 * time.Millisecond) // before a call is overdue
	if n := len(f.of(id)) + len(f.of(other)); n != 3 {
		t.Errorf("%d sends of two calls, want one second copy", n)
	}
	g, id, home := pastIt(t, 0, 0)
	g.r.workers[home].losses, g.r.workers[home].lossAt = minLosses+1, g.now
	g.r.lateness = 1
	if g.pass(sec); len(g.of(id)) != 1 {
		t.Error("a second copy went out under pressure")
	}
}

// A call that takes its usual time presses no fleet, also where that time is a large part of the aim.
func TestUndisturbedCallsDoNotPress(t *testing.T) {
	for _, c := range []struct {
		work, took time.Duration
		pressed    bool
	}{{350 * time.Millisecond, 350 * time.Millisecond, false}, {100 * time.Millisecond, 350 * time.Millisecond, true}} {
		f := start(t, site(), 1)
		f.warm(0, "fn")
		for range 40 {
			f.next++
			f.do(Arrival{ID: f.next, Function: "fn", TTL: 4 * sec, Lanes: 2, Work: c.work})
			f.pass(c.took)
			f.result(f.last(), Good, FoundWarm)
		}
		if f.r.overloaded() != c.pressed {
			t.Errorf("work %v, took %v: pressed %v", c.work, c.took, f.r.overloaded())
		}
	}
}
