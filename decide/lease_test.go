package decide

import (
	"fmt"
	"testing"
	"time"
)

// leaseSettings returns the settings of a deployment whose list reports its age.
func leaseSettings() Settings {
	settings := testSettings()
	settings.MaxListDelay, settings.SendDelay = 7*sec, 250*time.Millisecond
	return settings
}

// newFakeWithFreshList returns a router with n workers whose list has just been confirmed as current.
func newFakeWithFreshList(t *testing.T, settings Settings, n int) *fakeGateway {
	f := newFake(t, settings, n)
	f.handle(Current{AsOf: f.now})
	f.advance(2 * sweepInterval)
	return f
}

// When the list is outdated and no worker may be used, calls are refused at once with that reason. The list's next
// confirmation lets calls be sent again.
func TestOutdatedListRefusesAtOnce(t *testing.T) {
	f := newFakeWithFreshList(t, leaseSettings(), 3)
	f.advance(f.router.leaseTime() + sec)
	id := f.call(0, 0, "a")
	if f.ended[id] != "refuse" || len(f.sent) != 0 || f.lastReason != ListOutdated || f.lastPause <= 0 {
		t.Errorf("ended as %q for reason %v with pause %v, %d sends; want refuse for an outdated list with a pause, no send",
			f.ended[id], f.lastReason, f.lastPause, len(f.sent))
	}
	if !f.router.LeaseExpired("w1") {
		t.Error("the worker's lease is not reported as expired")
	}
	f.handle(Current{AsOf: f.now})
	if f.call(0, 0, "a"); len(f.sent) != 1 || f.router.LeaseExpired("w1") {
		t.Errorf("%d sends once the list was confirmed, want 1", len(f.sent))
	}
}

// A confirmation that arrives late counts by the time as of which the list was complete, not by its arrival.
func TestDelayedListConfirmationCountsByItsAge(t *testing.T) {
	f := newFakeWithFreshList(t, leaseSettings(), 3)
	f.advance(20 * sec)
	f.handle(Current{AsOf: f.now - 15*sec})
	if id := f.call(0, 0, "a"); f.ended[id] != "refuse" {
		t.Errorf("ended as %q, want refuse", f.ended[id])
	}
}

// Workers that report their state themselves can be used without a current list.
func TestSelfReportedWorkerNeedsNoLease(t *testing.T) {
	f := newFakeWithFreshList(t, leaseSettings(), 1)
	f.handle(List{Hosts: []Host{{Name: "own", SelfReported: true}}})
	f.advance(20 * sec)
	if f.call(0, 0, "a"); len(f.sent) != 1 || f.lastSend().host != "own" {
		t.Errorf("sends %v, want one to the worker that reports its own state", f.sent)
	}
}

// While the list is silent, a worker that refused connections may be another process when it accepts them again, and its
// state is unknown. It is not used until the list is confirmed.
func TestStoppedWorkerWaitsForTheList(t *testing.T) {
	f := newFakeWithFreshList(t, leaseSettings(), 1)
	f.call(0, 0, "a")
	s := f.lastSend()
	f.handle(ClientGone{ID: s.id})
	f.handle(Result{ID: s.id, Attempt: s.attemptIndex, Host: s.host, Outcome: NoConn, Note: ConnectionRefused, Final: true, Contention: -1})
	f.advance(listSilentAfter + sec)
	n := len(f.sent)
	if id := f.call(0, 0, "b"); len(f.sent) != n || f.ended[id] != "refuse" {
		t.Errorf("%d sends to the stopped worker, the call ended as %q; want no send and refuse", len(f.sent)-n, f.ended[id])
	}
	f.handle(Current{AsOf: f.now})
	f.advance(2 * sec)
	if f.call(0, 0, "b"); len(f.sent) == n {
		t.Error("the worker is not used again after the list was confirmed")
	}
}

// Where probes are allowed they renew a worker's lease without calls. A worker that reports that it drains is no longer
// used at once. It is used again only when it has been up for as long as the list takes to announce its start.
func TestProbesRenewLeases(t *testing.T) {
	settings := leaseSettings()
	settings.Probing = true
	f := newFakeWithFreshList(t, settings, 1)
	f.warmUp(0, "a")
	outcome, probes := Good, 0
	answerProbes := func(d time.Duration) {
		for end := f.now + d; f.now < end; {
			n := len(f.actions)
			f.advance(probeInterval)
			for _, action := range f.actions[n:] {
				if action == "probe w0" {
					probes++
					f.handle(Probed{Host: "w0", Outcome: outcome})
				}
			}
		}
	}
	answerProbes(30 * sec)
	if f.router.noLeases || probes < 5 || probes > 31 {
		t.Fatalf("without leases %v after 30 s with %d probes, want false and 5 to 31 probes", f.router.noLeases, probes)
	}
	outcome = Bad
	if answerProbes(5 * sec); !f.router.noLeases {
		t.Error("a worker that reports that it drains is used")
	}
	outcome = Good
	if answerProbes(settings.MaxListDelay - sec); !f.router.noLeases {
		t.Error("the worker is used before the list must have announced its return")
	}
	if answerProbes(4 * sec); f.router.noLeases {
		t.Error("the worker is not used again")
	}
}

// While the list is silent, a worker that rejects calls as full may be draining, and is tried at growing intervals.
func TestFullWorkerIsRetriedLessWhileListIsSilent(t *testing.T) {
	f := newFakeWithFreshList(t, leaseSettings(), 1)
	f.warmUp(0, "a")
	f.advance(listSilentAfter + 100*time.Millisecond)
	before := len(f.sent)
	for range 30 {
		handled := len(f.sent)
		f.call(0, 0, "a")
		f.advance(100 * time.Millisecond)
		for _, s := range f.sent[handled:] {
			f.reportResult(s, Full, NoNote)
		}
	}
	if tries := len(f.sent) - before; tries < 2 || tries > 6 {
		t.Errorf("tried %d times in 3 s, want 2 to 6", tries)
	}
}

// Where probes are not allowed, calls also renew the leases of some workers that would be idle, so that these can take over
// when the serving workers drain.
func TestLeasesOfIdleWorkersAreRenewed(t *testing.T) {
	f := newFakeWithFreshList(t, leaseSettings(), 5)
	home := f.warmUp(0, "a")
	drains := false
	for range 400 {
		handled := len(f.sent)
		f.call(0, 0, "a")
		for i := handled; i < len(f.sent); i++ { // rejected calls are sent again within this loop
			if s := f.sent[i]; drains && s.host == home {
				f.reportResult(s, Full, NoNote)
			} else {
				f.reportResult(s, Good, FoundWarm)
			}
		}
		n := len(f.actions)
		f.advance(100 * time.Millisecond)
		for _, action := range f.actions[n:] {
			var text, host, fn string
			if n, _ := fmt.Sscanf(action, "%s order %s %s", &text, &host, &fn); n == 3 {
				f.handle(Loaded{Host: host, Function: fn, Outcome: Good, Copies: 1})
			}
		}
		drains = f.now > 125*sec
	}
	if last := f.lastSend(); f.router.noLeases || f.now-last.at > sec || last.host == home {
		t.Errorf("without leases %v, last call sent to %s %v ago; want false, not %s, at most 1s", f.router.noLeases, last.host,
			f.now-last.at, home)
	}
}

// An order to load needs a lease as a call does.
func TestNoOrderWithoutLease(t *testing.T) {
	f := newFakeWithFreshList(t, leaseSettings(), 1)
	f.warmUp(0, "a")
	if !f.router.order(f.router.funcs["a"], f.router.workers["w0"], 1) {
		t.Error("no load ordered while the list is current")
	}
	f.advance(20 * sec)
	if f.router.order(f.router.funcs["a"], f.router.workers["w0"], 1) {
		t.Error("load ordered without a lease")
	}
}

// A worker that has just been started counts as cold even if its clock was stepped by an hour in either direction.
func TestSteppedClockLeavesStartedWorkersCold(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		f := newFakeWithFreshList(t, leaseSettings(), 1)
		f.now += 2 * time.Hour
		f.handle(Current{AsOf: f.now})
		f.handle(List{Hosts: []Host{{Name: "w0", Since: f.now + step}}})
		w := f.router.workers["w0"]
		if age := f.now - w.startedAt; w.startedAt == 0 || age < 0 || age > sec {
			t.Errorf("step of %v: the worker counts as started %v ago, want at most 1s", step, age)
		}
	}
}

// When the list later corrects a worker's start to a slightly earlier time, its recorded state is retained. A start that is
// an hour earlier, by a clock that was stepped back, is a restart.
func TestRestartIsDetectedAfterClockStep(t *testing.T) {
	for _, c := range []struct {
		earlier time.Duration
		restart bool
	}{{3 * sec, false}, {time.Hour, true}} {
		f := newFakeWithFreshList(t, leaseSettings(), 1)
		f.now += 2 * time.Hour
		f.handle(Current{AsOf: f.now})
		first := f.now
		f.handle(List{Hosts: []Host{{Name: "w0", Since: first}}})
		f.advance(f.router.settings.ColdFor)
		f.handle(Current{AsOf: f.now})
		f.warmUp(0, "a")
		f.handle(List{Hosts: []Host{{Name: "w0", Since: first - c.earlier}}})
		if forgotten := f.router.funcs["a"].placementAt(f.router.workers["w0"]) == nil; forgotten != c.restart {
			t.Errorf("listed start %v earlier: copy forgotten %v, want %v", c.earlier, forgotten, c.restart)
		}
	}
}
