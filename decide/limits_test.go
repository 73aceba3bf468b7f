package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestDrainingWorkerGetsNothing(t *testing.T) {
	f := start(t, site(), 2)
	home := f.warm(0, "fn")
	f.do(List{Hosts: []Host{{Name: home, State: Draining}}})
	n := len(f.sent)
	for range 6 {
		f.call(0, 0, "fn")
	}
	for _, s := range f.sent[n:] {
		if s.host == home {
			t.Fatal("sent to a draining worker")
		}
	}
	if f.r.order(f.r.funcs["fn"], f.r.workers[home], 1) {
		t.Error("ordered at a draining worker")
	}
}

func TestAbsentFromAWholeListIsGone(t *testing.T) {
	f := start(t, site(), 1)
	id := f.call(0, 0, "fn")
	f.do(List{Whole: true})
	f.call(0, 0, "fn")
	if len(f.sent) != 1 {
		t.Error("sent to a worker that left")
	}
	f.result(f.of(id)[0], Reset, NoNote) // its result still counts
	f.do(List{Whole: true})
}

// Many gateways, each with a budget far below one call: what all of them together send to one cold worker stays
// within the rule's budget in every window (floripa at full size: 7 times what it could do, 4 allowed).
func TestManyGatewaysDoNotPushOverAColdWorker(t *testing.T) {
	const gateways, ready, each = 90, 30, 4.0 // calls a second that a gateway has served
	s := site()
	s.Gateways = gateways
	var at []time.Duration
	for i := range gateways {
		s.Self = i
		f := start(t, s, ready-1)
		f.do(List{Hosts: []Host{{Name: "cold", Since: f.now}}})
		w, began := f.r.workers["cold"], f.now
		for f.now < began+3*sec {
			f.r.servedRate, f.r.servedAt = each, f.now
			f.r.now = f.now
			f.r.meanWork, f.r.classes[0].work = 1, 1
			for f.r.withinColdBudget(&request{}, w) { // as many as it would
				w.coldSends = append(w.coldSends, sentWork{f.now, 1})
				at = append(at, f.now-began)
			}
			f.now += 10 * time.Millisecond
		}
	}
	if len(at) == 0 {
		t.Fatal("nobody may send to a cold worker")
	}
	slices.Sort(at)
	capacity := gateways * each / ready / 0.8 // of a warm worker, calls a second; the fleet is at 80% of it
	for i, from := range at {
		share := s.ColdFrom + (1-s.ColdFrom)*from.Seconds()/s.ColdFor.Seconds()
		n, _ := slices.BinarySearch(at, from+s.CollapseAfter)
		if limit := s.CollapseMultiple * share * capacity * s.CollapseAfter.Seconds(); float64(n-i) > limit {
			t.Fatalf("%d sends within the window from %v, %.1f allowed", n-i, from, limit)
		}
	}
}

// A fleet that is cold as a whole, and a gateway that has served nothing: it gets its turn all the same.
func TestNothingServedYetStillGetsATurnAtAColdWorker(t *testing.T) {
	f := start(t, site(), 0)
	f.do(List{Hosts: []Host{{Name: "w0", Since: f.now}}})
	for f.now < 106*sec && len(f.sent) == 0 {
		f.call(0, 0, fmt.Sprint("fn", f.now))
		f.pass(100 * time.Millisecond)
	}
	if n := len(f.sent); n == 0 || n > 1 {
		t.Errorf("%d sends to a worker that has just started, nothing known of its capacity", n)
	}
}

func TestRestartUnderTheSameNameIsColdAgain(t *testing.T) {
	f := start(t, site(), 1)
	f.warm(0, "fn")
	f.do(List{Hosts: []Host{{Name: "w0", Since: f.now}}})
	if home, _ := f.r.copyStatus(&request{fn: f.r.funcs["fn"]}); home {
		t.Error("beliefs outlive the restart")
	}
	n := len(f.sent)
	for range 20 {
		f.call(0, 0, "fn")
	}
	if got := len(f.sent) - n; got > 1 {
		t.Errorf("%d sends at once to a restarted worker", got)
	}
}

// The budget rests on calls served: sends that only bounce must not widen it (floripa overload: 6.2 times).
func TestBouncedSendsDoNotWidenTheColdBudget(t *testing.T) {
	f := start(t, site(), 4)
	for i := range 200 {
		id := f.call(0, 0, fmt.Sprint("fn", i))
		for _, s := range f.of(id) {
			f.result(s, Full, NoNote)
		}
	}
	if f.r.recentRate() != 0 {
		t.Errorf("a served rate of %v from nothing served", f.r.recentRate())
	}
}

func TestOrdersAreRationed(t *testing.T) {
	s := site()
	s.LoadsOnMiss = false
	f := start(t, s, 40)
	for i := range 60 {
		f.call(0, 0, fmt.Sprint("fn", i))
		orders := 0
		for _, a := range f.acts {
			if strings.Contains(a, " order ") {
				orders++
			}
		}
		if float64(orders) > s.FreeOrders+s.OrderShare*float64(i+1) {
			t.Fatalf("%d orders after %d calls", orders, i+1)
		}
	}
}

func TestWhereNothingLoadsTheCallWaitsForItsOrder(t *testing.T) {
	s := site()
	s.LoadsOnMiss = false
	f := start(t, s, 3)
	id := f.call(0, 0, "fn")
	if len(f.of(id)) != 0 || !strings.Contains(strings.Join(f.acts, ";"), "order") {
		t.Fatalf("acts %v", f.acts)
	}
	var at, host, fn string
	var n int
	fmt.Sscanf(f.acts[len(f.acts)-1], "%s order %s %s %d", &at, &host, &fn, &n)
	f.do(Loaded{Host: host, Function: "fn", Outcome: Good, Copies: 1})
	if l := f.of(id); len(l) != 1 || l[0].host != host {
		t.Errorf("sends %+v after the copy stood at %s", l, host)
	}
}
