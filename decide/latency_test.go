package decide

import (
	"math"
	"testing"
	"time"
)

// A call that loads its function is not overdue while a load as long as the call tells may still go on: its worker is
// well, and others would only load the same function again.
func TestCallIsNotOverdueWhileItsLoadMayGoOn(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	f.lastID++
	f.handle(Arrival{ID: f.lastID, Function: "fn", TTL: 8 * sec, Lanes: 2, LoadTime: 3 * sec})
	f.advance(4 * sec)
	if w := f.router.workers[f.lastSend().host]; w.health[0].ejectedUntil != 0 || len(f.sent) != 1 {
		t.Errorf("ejected until %v after %d sends, want one send to a worker that is not ejected", w.health[0].ejectedUntil, len(f.sent))
	}
	f.advance(3500 * time.Millisecond)
	if w := f.router.workers[f.sent[0].host]; w.health[0].ejectedUntil == 0 {
		t.Error("the worker is not ejected though no load takes so long")
	}
}

// The next process of a gateway knows from the first answer on how long calls wait, also where the process before it was
// an earlier version, whose snapshot has shares of a wanted latency: a busy fleet stays busy, an idle one idle.
func TestDelaysPassToTheNextProcess(t *testing.T) {
	for _, busy := range []bool{false, true} {
		old := newFake(t, testSettings(), 2)
		old.warmUp(0, "fn")
		answer := func(f *fakeGateway, took time.Duration) {
			f.lastID++
			f.handle(Arrival{ID: f.lastID, Function: "fn", TTL: 4 * sec, Lanes: 2, Work: 100 * time.Millisecond})
			f.advance(took)
			f.reportResult(f.lastSend(), Good, FoundWarm)
		}
		took := 100 * time.Millisecond
		for i := range 100 {
			if busy && i > 30 {
				took = 300 * time.Millisecond
			}
			answer(old, took)
		}
		next := newFake(t, testSettings(), 0)
		next.now = old.now
		if err := next.router.Restore(old.router.Snapshot(), next.now); err != nil {
			t.Fatal(err)
		}
		next.handle(List{Whole: true, Hosts: []Host{{Name: "w0"}, {Name: "w1", Zone: 1}}})
		for range 5 {
			answer(next, took)
		}
		if next.router.overloaded() != busy || old.router.overloaded() != busy {
			t.Errorf("busy %v: old process overloaded: %v, next one: %v", busy, old.router.overloaded(), next.router.overloaded())
		}
	}
	for _, share := range []float64{0, 0.25, 0.5, 1, 2} { // as versions up to eaea51e1 hand over
		if delay := delayOf(share); math.IsNaN(delay) || delay < 0 || delay > longestDelay+1e-9 || delayShare(delay) > share+1e-6 {
			t.Errorf("a share of %v is a delay of %v, want 0 to %v", share, delay, longestDelay)
		}
	}
}

// Answers within one reading of the clock leave the delays finite, so that the router goes on comparing them.
func TestAnswersInNoTimeLeaveDelaysFinite(t *testing.T) {
	f := newFake(t, testSettings(), 1)
	f.warmUp(0, "fn")
	for range 2 * minLatencySamples {
		f.call(0, 0, "fn")
		f.reportResult(f.lastSend(), Good, FoundWarm)
	}
	if d := f.router.delay; math.IsNaN(d) || math.IsInf(d, 0) || math.IsNaN(f.router.ready[0].delay) {
		t.Errorf("delays %v and %v after answers in no time, want finite ones", d, f.router.ready[0].delay)
	}
}

// After a first answer to a call of little work, one of much work is not overdue for taking longer: its worker is well.
func TestFirstAnswersMakeNoCallOverdue(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	f.warmUp(0, "fn")
	for _, c := range []struct{ work, took time.Duration }{{10 * time.Millisecond, 10 * time.Millisecond}, {300 * time.Millisecond, 600 * time.Millisecond}} {
		f.lastID++
		f.handle(Arrival{ID: f.lastID, Function: "fn", TTL: 4 * sec, Lanes: 2, Work: c.work})
		f.advance(c.took)
		if w := f.router.workers[f.lastSend().host]; w.health[0].ejectedUntil != 0 {
			t.Errorf("ejected until %v for a call that took %v", w.health[0].ejectedUntil, c.took)
		}
		f.reportResult(f.lastSend(), Good, FoundWarm)
	}
}

// While a crowded store takes far longer for loads than calls tell, workers that load are not ejected for the first half
// of their callers' time: their calls would only begin the same loads elsewhere.
func TestCrowdedStoreMakesNoLoadOverdueForHalfOfTheTime(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	f.lastID++
	f.handle(Arrival{ID: f.lastID, Function: "fn", TTL: 4 * sec, Lanes: 2, LoadTime: 150 * time.Millisecond})
	f.advance(2500 * time.Millisecond)
	if w := f.router.workers[f.lastSend().host]; w.health[0].ejectedUntil != 0 || len(f.sent) != 1 {
		t.Errorf("ejected until %v after %d sends, want one send to a worker that is not ejected", w.health[0].ejectedUntil, len(f.sent))
	}
}
