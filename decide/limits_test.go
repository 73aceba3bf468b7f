package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestDrainingWorkerGetsNothing(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	home := f.warmUp(0, "fn")
	f.handle(List{Hosts: []Host{{Name: home, State: Draining}}})
	n := len(f.sent)
	for range 6 {
		f.call(0, 0, "fn")
	}
	for _, s := range f.sent[n:] {
		if s.host == home {
			t.Fatal("sent to a draining worker")
		}
	}
	if f.router.order(f.router.funcs["fn"], f.router.workers[home], 1) {
		t.Error("load ordered at a draining worker")
	}
}

func TestWorkerAbsentFromWholeListIsGone(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	id := f.call(0, 0, "fn")
	f.handle(List{Whole: true})
	f.call(0, 0, "fn")
	if len(f.sent) != 1 {
		t.Error("sent to a worker that the whole list no longer contains")
	}
	f.reportResult(f.sendsOf(id)[0], Reset, NoNote) // results of its attempts are still accepted
	f.handle(List{Whole: true})
}

// Each of many gateways has a budget of far less than one call for a cold worker. What all of them together send to the
// worker stays within the settings' budget in every window. In a large fleet it had been 7 times the worker's capacity,
// where 4 times is allowed.
func TestManyGatewaysDoNotOverloadColdWorker(t *testing.T) {
	const gateways, ready, served = 90, 30, 4.0 // served: calls a second by each gateway
	settings := testSettings()
	settings.Gateways = gateways
	var sendTimes []time.Duration
	for i := range gateways {
		settings.Self = i
		f := newFake(t, settings, ready-1)
		f.handle(List{Hosts: []Host{{Name: "cold", Since: f.now}}})
		worker, began := f.router.workers["cold"], f.now
		for f.now < began+3*sec {
			f.router.servedRate, f.router.servedAt = served, f.now
			f.router.now = f.now
			f.router.meanWork, f.router.classes[0].work = 1, 1
			for f.router.withinColdBudget(&request{}, worker) { // send as many as the router would
				worker.coldSends = append(worker.coldSends, sentWork{f.now, 1})
				sendTimes = append(sendTimes, f.now-began)
			}
			f.now += 10 * time.Millisecond
		}
	}
	if len(sendTimes) == 0 {
		t.Fatal("no gateway may send to a cold worker")
	}
	slices.Sort(sendTimes)
	capacity := gateways * served / ready / 0.8 // calls a second of a warm worker: the fleet runs at 80% of it
	for i, from := range sendTimes {
		share := settings.ColdFrom + (1-settings.ColdFrom)*from.Seconds()/settings.ColdFor.Seconds()
		n, _ := slices.BinarySearch(sendTimes, from+settings.CollapseAfter)
		if limit := settings.CollapseMultiple * share * capacity * settings.CollapseAfter.Seconds(); float64(n-i) > limit {
			t.Fatalf("%d sends in the window from %v, want at most %.1f", n-i, from, limit)
		}
	}
}

// In a fleet whose only worker is cold, a gateway that has not served any call may still send one to it.
func TestGatewayWithoutServedCallsMayUseColdWorker(t *testing.T) {
	f := newFake(t, testSettings(), 0)
	f.handle(List{Hosts: []Host{{Name: "w0", Since: f.now}}})
	for f.now < 106*sec && len(f.sent) == 0 {
		f.call(0, 0, fmt.Sprint("fn", f.now))
		f.advance(100 * time.Millisecond)
	}
	if n := len(f.sent); n == 0 || n > 1 {
		t.Errorf("%d sends to a worker that has just started and whose capacity is unknown, want 1", n)
	}
}

func TestWorkerRestartedUnderSameNameIsCold(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	f.warmUp(0, "fn")
	f.handle(List{Hosts: []Host{{Name: "w0", Since: f.now}}})
	if home, _ := f.router.copyStatus(&request{fn: f.router.funcs["fn"]}); home {
		t.Error("the copy still counts as loaded after the worker's restart")
	}
	before := len(f.sent)
	for range 20 {
		f.call(0, 0, "fn")
	}
	if n := len(f.sent) - before; n > 1 {
		t.Errorf("%d sends at once to a restarted worker, want at most 1", n)
	}
}

// The budget for cold workers derives from the rate of served calls. Sends that are rejected as full must not raise it, as
// they did in an overload, by a factor of 6.2.
func TestRejectedSendsDoNotRaiseColdBudget(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	for i := range 200 {
		id := f.call(0, 0, fmt.Sprint("fn", i))
		for _, s := range f.sendsOf(id) {
			f.reportResult(s, Full, NoNote)
		}
	}
	if f.router.recentRate() != 0 {
		t.Errorf("a rate of %v served calls a second though none was served, want 0", f.router.recentRate())
	}
}

func TestOrdersAreRationed(t *testing.T) {
	settings := testSettings()
	settings.LoadsOnMiss = false
	f := newFake(t, settings, 40)
	for i := range 60 {
		f.call(0, 0, fmt.Sprint("fn", i))
		orders := 0
		for _, action := range f.actions {
			if strings.Contains(action, " order ") {
				orders++
			}
		}
		if float64(orders) > settings.FreeOrders+settings.OrderShare*float64(i+1) {
			t.Fatalf("%d orders after %d calls, which is more than the ration", orders, i+1)
		}
	}
}

func TestCallWaitsForOrderedLoadWithoutLoadOnMiss(t *testing.T) {
	settings := testSettings()
	settings.LoadsOnMiss = false
	f := newFake(t, settings, 3)
	id := f.call(0, 0, "fn")
	if len(f.sendsOf(id)) != 0 || !strings.Contains(strings.Join(f.actions, ";"), "order") {
		t.Fatalf("want the call held and a load ordered, got %v", f.actions)
	}
	var at, host, fn string
	var n int
	fmt.Sscanf(f.actions[len(f.actions)-1], "%s order %s %s %d", &at, &host, &fn, &n)
	f.handle(Loaded{Host: host, Function: "fn", Outcome: Good, Copies: 1})
	if sends := f.sendsOf(id); len(sends) != 1 || sends[0].host != host {
		t.Errorf("sends %+v after the copy was loaded at %s, want one there", sends, host)
	}
}
