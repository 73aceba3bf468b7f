package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// runRandomEvents sends a router random events, valid and invalid ones, for some seconds of simulated time. It checks from the
// router's actions that no worker gets a call after its drain and grace, that each request gets one final answer and no send
// after it, that calls are repeated only as their class allows, and that orders stay within their ration. It returns the
// actions of the router, one a line.
func runRandomEvents(t *testing.T, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 2))
	settings := testSettings()
	settings.Parallel, settings.LoadsOnMiss = rng.IntN(2) == 0, rng.IntN(3) > 0
	f := newFakeWithoutRecount(t, settings, 6)
	type trackedSend struct {
		sendRecord
		mayRun, done bool // it may have run, by its outcome; it has ended
	}
	type call struct {
		class    int
		deadline time.Duration
	}
	calls, tracked, checkedSends, checkedActions := map[uint64]call{}, []*trackedSend{}, 0, 0
	drainSince, arrivals, orders := map[string]time.Duration{}, []time.Duration{}, []time.Duration{}
	check := func() {
		for ; checkedSends < len(f.sent); checkedSends++ {
			send := f.sent[checkedSends]
			if at, drains := drainSince[send.host]; drains && send.at > at+settings.DrainGrace {
				t.Errorf("seed %d: sent to %s %v after it was listed as draining", seed, send.host, send.at-at)
			}
			if how, ended := f.ended[send.id]; ended {
				t.Errorf("seed %d: request %d was sent after its final answer (%s)", seed, send.id, how)
			}
			for _, earlier := range tracked {
				class := settings.Classes[calls[send.id].class]
				switch {
				case earlier.id != send.id || !earlier.mayRun:
				case !settings.Parallel && !earlier.done:
					t.Errorf("seed %d: attempts of request %d overlap", seed, send.id)
				case class.Effect == Unsafe, class.Effect == Keyed && send.at-earlier.at > class.Window,
					class.Effect == Keyed && class.KeyScope == SameZone && (earlier.host[1]-send.host[1])%2 != 0:
					t.Errorf("seed %d: call of class %d that may have run at %s was sent again to %s %v later", seed,
						calls[send.id].class, earlier.host, send.host, send.at-earlier.at)
				}
			}
			tracked = append(tracked, &trackedSend{sendRecord: send, mayRun: true})
		}
		for ; checkedActions < len(f.actions); checkedActions++ {
			if strings.Contains(f.actions[checkedActions], " order ") {
				within := func(at time.Duration) bool { return at > f.now-settings.OrderWindow }
				orders = append(orders, f.now)
				inWindow := func(times []time.Duration) (n int) {
					for _, at := range times {
						if within(at) {
							n++
						}
					}
					return n
				}
				if float64(inWindow(orders)) > settings.FreeOrders+settings.OrderShare*float64(inWindow(arrivals)) {
					t.Errorf("seed %d: more orders than the ration allows", seed)
				}
			}
		}
	}
	tick := func() { // also reports a time-out for attempts in flight at their deadlines
		f.advance(sweepInterval)
		for _, send := range tracked {
			if _, ended := f.ended[send.id]; !send.done && f.now >= calls[send.id].deadline {
				send.done = true
				f.handle(Result{ID: send.id, Attempt: send.attemptIndex, Host: send.host, Outcome: TimedOut, Took: f.now - send.at,
					Final: ended})
			}
		}
	}
	for step := 0; step < 1500; step++ {
		switch event := rng.IntN(20); {
		case event < 7:
			arrivals = append(arrivals, f.now)
			class := rng.IntN(len(settings.Classes))
			calls[f.lastID+1] = call{class, f.now + 4*sec}
			f.call(class, rng.IntN(3), fmt.Sprint("fn", rng.IntN(12)))
		case event < 13:
			var inFlight []*trackedSend
			for _, send := range tracked {
				if !send.done {
					inFlight = append(inFlight, send)
				}
			}
			if len(inFlight) == 0 {
				break
			}
			send := inFlight[rng.IntN(len(inFlight))]
			outcome := []Outcome{Good, Good, Good, Good, Bad, Full, TimedOut, NoConn, Reset, Cancelled, NotSent, Miss}[rng.IntN(12)]
			send.done, send.mayRun = true, !slices.Contains([]Outcome{Full, NoConn, NotSent, Miss}, outcome)
			_, ended := f.ended[send.id]
			if outcome == Good && !ended {
				f.recordAnswer(send.id, "served")
			}
			f.handle(Result{ID: send.id, Attempt: send.attemptIndex, Host: send.host, Outcome: outcome, Took: f.now - send.at,
				Final: ended || outcome == Good, Note: Note(rng.IntN(5)), Contention: -1})
		case event == 13:
			n := rng.IntN(6)
			host := Host{Name: fmt.Sprint("w", n), Zone: n % 2, State: HostState(rng.IntN(3))}
			if delete(drainSince, host.Name); host.State != Ready {
				drainSince[host.Name] = f.now
			}
			f.handle(List{Hosts: []Host{host, host}})
		case event == 14:
			f.handle(Loaded{Host: fmt.Sprint("w", rng.IntN(9)), Function: fmt.Sprint("fn", rng.IntN(15)), Copies: rng.IntN(3)})
		case event == 15:
			f.handle([]Event{Result{ID: 1 << 40}, ClientGone{ID: 1 << 40}, Wake{Token: "?"}, List{Failed: true},
				PeerMessage{From: -1}, FirstByte{ID: 1 << 40}}[rng.IntN(6)])
		default:
			for range 1 + rng.IntN(5) {
				tick()
			}
		}
		check()
		f.checkListing()
	}
	for end := f.now + 6*sec; f.now < end; check() {
		tick()
	}
	for id := range calls {
		if _, ok := f.ended[id]; !ok {
			t.Errorf("seed %d: request %d has no final answer", seed, id)
		}
	}
	for _, w := range f.router.workers {
		if w.inflight != 0 || w.warmInflight != 0 || w.loads != 0 {
			t.Errorf("seed %d: %s has %d calls in flight, %d busy and %d loads after all attempts ended, want 0", seed, w.host.Name,
				w.inflight, w.warmInflight, w.loads)
		}
	}
	return strings.Join(f.actions, "\n")
}

func TestRandomEventsKeepRulesAndAreReproducible(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		first, again := runRandomEvents(t, seed), runRandomEvents(t, seed)
		if first != again {
			t.Errorf("seed %d: the same events led to different actions", seed)
		}
	}
}

// The choice of a worker must stay cheap: gateways have a few tens of milliseconds of CPU time a second.
func TestChoiceAllocatesNothing(t *testing.T) {
	f := newFake(t, testSettings(), 16)
	f.warmUp(0, "fn")
	req := &request{fn: f.router.funcs["fn"], deadline: f.now + sec}
	if n := testing.AllocsPerRun(100, func() { f.router.choose(req) }); n > 0 {
		t.Errorf("a warm choice allocates %v times", n)
	}
	req = &request{fn: &function{name: "new", hash: 5, lanes: 1}, deadline: f.now + sec}
	f.router.choose(req)
	if n := testing.AllocsPerRun(100, func() { f.router.choose(req) }); n > 0 {
		t.Errorf("a cold choice allocates %v times", n)
	}
}
