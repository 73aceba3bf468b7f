package decide

import (
	"fmt"
	"testing"
	"time"
)

// A call that may run in stated zones alone never leaves them, whatever fails there: not its first attempt or load, nor its
// repeat, its second copy, its release from hold. With nobody there it is answered at once, and free calls go on elsewhere.
func TestCallsStayInTheirZones(t *testing.T) {
	f := start(t, site(), 6) // odd ones are in zone 1
	for _, fn := range []string{"f0", "f1", "f2"} {
		f.warm(0, fn)
	}
	kept, inside, handled := map[uint64]bool{}, 0, len(f.sent)
	for n := range 600 {
		f.next++
		f.due[f.next] = f.now + 4*sec + site().AnswerSlack
		a := Arrival{ID: f.next, Class: n % 4, Function: fmt.Sprint("f", n%5), TTL: 4 * sec, Lanes: 2}
		if n%2 == 0 {
			a.Zones, kept[f.next] = []int{1}, true
		}
		f.do(a)
		f.pass(20 * time.Millisecond)
		for ; handled < len(f.sent); handled++ { // some fail, some are full, some are lost
			s := f.sent[handled]
			if _, over := f.ended[s.id]; over || (s.id+uint64(s.shot))%5 == 0 {
				continue
			}
			f.result(s, []Outcome{Good, Full, Bad, NoConn, Good}[(s.id+uint64(s.shot))%5], FoundWarm)
		}
	}
	for _, s := range f.sent {
		if odd := (s.host[1]-'0')%2 == 1; kept[s.id] && !odd {
			t.Fatalf("request %d was sent to %s as its attempt %d", s.id, s.host, s.shot)
		} else if kept[s.id] {
			inside++
		}
	}
	if inside < 200 {
		t.Errorf("only %d attempts of those that are kept to a zone", inside)
	}
	for _, w := range []string{"w1", "w3", "w5"} {
		f.do(List{Hosts: []Host{{Name: w, Zone: 1, State: Draining}}})
	}
	f.next++
	f.do(Arrival{ID: f.next, Function: "f1", TTL: 4 * sec, Lanes: 2, Zones: []int{1}})
	if f.ended[f.next] != "refuse" {
		t.Errorf("a call that may run nowhere: %q", f.ended[f.next])
	}
	f.pass(2 * sec)
	if before := len(f.sent); f.call(0, 0, "f0") > 0 && len(f.sent) == before {
		t.Error("a free call is not sent")
	}
}

// While answers are slow a free call leaves room for those that may not go elsewhere, and does not where none comes.
func TestFreeCallsYieldToPinnedOnes(t *testing.T) {
	s := site()
	s.Classes = s.Classes[:1]
	for _, pinned := range []bool{false, true} {
		f := start(t, s, 2)
		f.warm(0, "f0")
		w := f.r.ready[1]
		f.r.lateness, w.warmInflight = reserveLatency*2, int(unreservedShare*w.window)+1
		if pinned {
			f.r.restrictedAt = f.now - rateFadeTime/2
		}
		free := &request{fn: f.r.funcs["f0"], worth: 1}
		kept := &request{fn: f.r.funcs["f0"], worth: 1 + restrictedWorth, zones: []int{1}}
		if f.r.mustYield(free, w) != pinned || f.r.mustYield(kept, w) {
			t.Errorf("pinned calls come: %v; a free call yields: %v, a pinned one: %v", pinned, f.r.mustYield(free, w), f.r.mustYield(kept, w))
		}
	}
}
