package decide

import (
	"fmt"
	"testing"
	"time"
)

// A call that is restricted to zones never leaves them, whatever fails there: neither its first attempt or load, nor a
// retry, a hedge, or its release from hold. If no worker is left there it is answered at once, and
// unrestricted calls continue elsewhere.
func TestCallsStayInTheirZones(t *testing.T) {
	f := newFake(t, testSettings(), 6) // workers with odd numbers are in zone 1
	for _, fn := range []string{"f0", "f1", "f2"} {
		f.warmUp(0, fn)
	}
	restricted, inside, handled := map[uint64]bool{}, 0, len(f.sent)
	for n := range 600 {
		f.lastID++
		f.answerBy[f.lastID] = f.now + 4*sec + testSettings().AnswerSlack
		arrival := Arrival{ID: f.lastID, Class: n % 4, Function: fmt.Sprint("f", n%5), TTL: 4 * sec, Lanes: 2}
		if n%2 == 0 {
			arrival.Zones, restricted[f.lastID] = []int{1}, true
		}
		f.handle(arrival)
		f.advance(20 * time.Millisecond)
		for ; handled < len(f.sent); handled++ { // some fail, some are rejected as full, some are never answered
			s := f.sent[handled]
			if s.at == f.now {
				break // every answer takes 20 ms
			}
			if _, ended := f.ended[s.id]; ended || (s.id+uint64(s.attemptIndex))%5 == 0 {
				continue
			}
			f.reportResult(s, []Outcome{Good, Full, Bad, NoConn, Good}[(s.id+uint64(s.attemptIndex))%5], FoundWarm)
		}
	}
	for _, s := range f.sent {
		if odd := (s.host[1]-'0')%2 == 1; restricted[s.id] && !odd {
			t.Fatalf("request %d, which is restricted to zone 1, was sent to %s as its attempt %d", s.id, s.host, s.attemptIndex)
		} else if restricted[s.id] {
			inside++
		}
	}
	if inside < 200 {
		t.Errorf("%d attempts of restricted calls, want at least 200", inside)
	}
	for _, name := range []string{"w1", "w3", "w5"} {
		f.handle(List{Hosts: []Host{{Name: name, Zone: 1, State: Draining}}})
	}
	f.lastID++
	f.handle(Arrival{ID: f.lastID, Function: "f1", TTL: 4 * sec, Lanes: 2, Zones: []int{1}})
	if f.ended[f.lastID] != "refuse" {
		t.Errorf("a call with no worker in its zone ended as %q, want refuse", f.ended[f.lastID])
	}
	f.advance(2 * sec)
	if before := len(f.sent); f.call(0, 0, "f0") > 0 && len(f.sent) == before {
		t.Error("an unrestricted call is not sent")
	}
}

// While calls wait at workers, an unrestricted call leaves room at a worker for calls that are restricted to zones, unless no
// such call has arrived recently.
func TestUnrestrictedCallsYieldToRestrictedOnes(t *testing.T) {
	settings := testSettings()
	settings.Classes = settings.Classes[:1]
	for _, restrictedArrive := range []bool{false, true} {
		f := newFake(t, settings, 2)
		f.warmUp(0, "f0")
		w := f.router.ready[1]
		f.router.delay, f.router.delayedAt, w.warmInflight = busyDelay*2, f.now, int(unreservedShare*w.window)+1
		if restrictedArrive {
			f.router.restrictedAt = f.now - rateFadeTime/2
		}
		unrestricted := &request{fn: f.router.funcs["f0"]}
		restricted := &request{fn: f.router.funcs["f0"], zones: []int{1}}
		if f.router.mustYield(unrestricted, w) != restrictedArrive || f.router.mustYield(restricted, w) {
			t.Errorf("restricted calls arrive: %v; an unrestricted call yields: %v, a restricted one: %v", restrictedArrive,
				f.router.mustYield(unrestricted, w), f.router.mustYield(restricted, w))
		}
	}
}
