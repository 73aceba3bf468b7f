package decide

import (
	"fmt"
	"testing"
	"time"
)

// leasing is a site whose list tells its age.
func leasing() Settings {
	s := site()
	s.MaxListDelay, s.SendDelay = 7*sec, 250*time.Millisecond
	return s
}

// listed is a router of n workers whose list has just spoken.
func listed(t *testing.T, s Settings, n int) *fake {
	f := start(t, s, n)
	f.do(Current{AsOf: f.now})
	f.pass(2 * sweepInterval)
	return f
}

// With no worker left that may be used, calls are refused at once, with the reason; the list's next word has them sent again.
func TestOutdatedListRefusesAtOnce(t *testing.T) {
	f := listed(t, leasing(), 3)
	f.pass(f.r.leaseTime() + sec)
	id := f.call(0, 0, "a")
	if f.ended[id] != "refuse" || len(f.sent) != 0 || f.why != ListOutdated || f.pause <= 0 {
		t.Errorf("ended %q for %v, %d sent", f.ended[id], f.why, len(f.sent))
	}
	if !f.r.LeaseExpired("w1") {
		t.Error("a worker is not shown as left alone")
	}
	f.do(Current{AsOf: f.now})
	if f.call(0, 0, "a"); len(f.sent) != 1 || f.r.LeaseExpired("w1") {
		t.Errorf("%d sent once the list has spoken", len(f.sent))
	}
}

// A list that was complete long ago, however lately that was said, counts by its age.
func TestLateWordOfTheListIsOld(t *testing.T) {
	f := listed(t, leasing(), 3)
	f.pass(20 * sec)
	f.do(Current{AsOf: f.now - 15*sec})
	if id := f.call(0, 0, "a"); f.ended[id] != "refuse" {
		t.Errorf("ended %q", f.ended[id])
	}
}

// Workers that tell their state themselves need no list.
func TestSelfReportedWorkerNeedsNoLease(t *testing.T) {
	f := listed(t, leasing(), 1)
	f.do(List{Hosts: []Host{{Name: "own", SelfReported: true}}})
	f.pass(20 * sec)
	if f.call(0, 0, "a"); len(f.sent) != 1 || f.last().host != "own" {
		t.Errorf("sent %v", f.sent)
	}
}

// While the list is silent, a worker that refuses connections may be another process when it comes back, of which nothing
// was told: it stays out until the list speaks.
func TestStoppedWorkerWaitsForTheList(t *testing.T) {
	f := listed(t, leasing(), 1)
	f.call(0, 0, "a")
	s := f.last()
	f.do(ClientGone{ID: s.id})
	f.do(Result{ID: s.id, Attempt: s.shot, Host: s.host, Outcome: NoConn, Note: ConnectionRefused, Final: true, Contention: -1})
	f.pass(listSilentAfter + sec)
	n := len(f.sent)
	if id := f.call(0, 0, "b"); len(f.sent) != n || f.ended[id] != "refuse" {
		t.Errorf("%d sent to it, the call %q", len(f.sent)-n, f.ended[id])
	}
	f.do(Current{AsOf: f.now})
	f.pass(2 * sec)
	if f.call(0, 0, "b"); len(f.sent) == n {
		t.Error("not used again")
	}
}

// Where probes are allowed they keep a worker in use without calls; one that says it drains is left alone at once, and
// comes back only when it has been up for as long as its start takes to count as told.
func TestProbesRenewLeases(t *testing.T) {
	s := leasing()
	s.Probing = true
	f := listed(t, s, 1)
	f.warm(0, "a")
	answers, probes := Good, 0
	answer := func(long time.Duration) {
		for end := f.now + long; f.now < end; {
			n := len(f.acts)
			f.pass(probeInterval)
			for _, act := range f.acts[n:] {
				if act == "probe w0" {
					probes++
					f.do(Probed{Host: "w0", Outcome: answers})
				}
			}
		}
	}
	answer(30 * sec)
	if f.r.noLeases || probes < 5 || probes > 31 {
		t.Fatalf("outdated %v after 30 s with %d probes", f.r.noLeases, probes)
	}
	answers = Bad
	if answer(5 * sec); !f.r.noLeases {
		t.Error("a worker that says it drains is used")
	}
	answers = Good
	if answer(s.MaxListDelay - sec); !f.r.noLeases {
		t.Error("used before its return counts as told")
	}
	if answer(4 * sec); f.r.noLeases {
		t.Error("not used again")
	}
}

// A worker that turns calls away while the list is silent is tried less and less.
func TestSilentListMakesFullWorkersDoubtful(t *testing.T) {
	f := listed(t, leasing(), 1)
	f.warm(0, "a")
	f.pass(listSilentAfter + 100*time.Millisecond)
	n := len(f.sent)
	for range 30 {
		seen := len(f.sent)
		f.call(0, 0, "a")
		f.pass(100 * time.Millisecond)
		for _, s := range f.sent[seen:] {
			f.result(s, Full, NoNote)
		}
	}
	if tries := len(f.sent) - n; tries < 2 || tries > 6 {
		t.Errorf("tried %d times in 3 s", tries)
	}
}

// Where probes are not allowed, some workers beside those that serve are kept in use: when these drain, others can follow.
func TestIdleWorkersAreKeptInUse(t *testing.T) {
	f := listed(t, leasing(), 5)
	home := f.warm(0, "a")
	drains := false
	for range 400 {
		seen := len(f.sent)
		f.call(0, 0, "a")
		for i := seen; i < len(f.sent); i++ { // what is turned away is sent again meanwhile
			if s := f.sent[i]; drains && s.host == home {
				f.result(s, Full, NoNote)
			} else {
				f.result(s, Good, FoundWarm)
			}
		}
		n := len(f.acts)
		f.pass(100 * time.Millisecond)
		for _, act := range f.acts[n:] {
			var text, host, fn string
			if n, _ := fmt.Sscanf(act, "%s order %s %s", &text, &host, &fn); n == 3 {
				f.do(Loaded{Host: host, Function: fn, Outcome: Good, Copies: 1})
			}
		}
		drains = f.now > 125*sec
	}
	if last := f.last(); f.r.noLeases || f.now-last.at > sec || last.host == home {
		t.Errorf("last sent to %s, %v ago", last.host, f.now-last.at)
	}
}

// An order to load needs a lease as a call does.
func TestNoOrderWithoutLease(t *testing.T) {
	f := listed(t, leasing(), 1)
	f.warm(0, "a")
	if !f.r.order(f.r.funcs["a"], f.r.workers["w0"], 1) {
		t.Error("not ordered while the list is fresh")
	}
	f.pass(20 * sec)
	if f.r.order(f.r.funcs["a"], f.r.workers["w0"], 1) {
		t.Error("ordered without a lease")
	}
}

// A step of a clock by an hour, either way, makes no worker warm that has just been started.
func TestSteppedClockLeavesStartedWorkersCold(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, 0, time.Hour} {
		f := listed(t, leasing(), 1)
		f.now += 2 * time.Hour
		f.do(Current{AsOf: f.now})
		f.do(List{Hosts: []Host{{Name: "w0", Since: f.now + step}}})
		w := f.r.workers["w0"]
		if age := f.now - w.startedAt; w.startedAt == 0 || age < 0 || age > sec {
			t.Errorf("step of %v: counts as started %v ago", step, age)
		}
	}
}

// A start that the list tells later and a little earlier than was thought leaves what is known of the worker; one that is an
// hour earlier by a clock that was stepped back is another start.
func TestRestartByASteppedClock(t *testing.T) {
	for _, c := range []struct {
		earlier time.Duration
		forgets bool
	}{{3 * sec, false}, {time.Hour, true}} {
		f := listed(t, leasing(), 1)
		f.now += 2 * time.Hour
		f.do(Current{AsOf: f.now})
		first := f.now
		f.do(List{Hosts: []Host{{Name: "w0", Since: first}}})
		f.pass(f.r.settings.ColdFor)
		f.do(Current{AsOf: f.now})
		f.warm(0, "a")
		f.do(List{Hosts: []Host{{Name: "w0", Since: first - c.earlier}}})
		if forgot := f.r.funcs["a"].placementAt(f.r.workers["w0"]) == nil; forgot != c.forgets {
			t.Errorf("%v earlier: forgotten %v", c.earlier, forgot)
		}
	}
}
