package recover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillrail/decide"
)

// Phases follow each other in order, each ends once, and completing a phase that is over changes nothing.
func TestPhaseTrackerAdvancesInOrderAndIgnoresLateCompletion(t *testing.T) {
	tracker := NewPhaseTracker(testTime)
	for now, p := testTime, Reading; p < Full; p++ {
		if tracker.TimedOut(now) || !tracker.TimedOut(now+p.Limit()) {
			t.Errorf("%v does not time out exactly at its limit", p)
		}
		now += p.Limit()
		if !tracker.Complete(now, p, "something") || tracker.Complete(now, p, "") || tracker.Phase() != p+1 {
			t.Errorf("%v was not completed exactly once: the phase is now %v", p, tracker.Phase())
		}
	}
	if tracker.Complete(testTime, Full, "") || tracker.TimedOut(testTime+time.Hour) || len(tracker.Missing()) != 4 {
		t.Errorf("at the end: phase %v, missing %v", tracker.Phase(), tracker.Missing())
	}
}

// Checks for any sequence of calls and outcomes that first loads in flight never exceed their limit, that no call for a loaded
// function is rejected while the rate allows one, whatever its class, and that an admission that is done stays done.
func TestAdmissionBoundsFirstLoadsAndTreatsClassesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, gateways := testTime, rapid.IntRange(1, 5).Draw(t, "gateways")
		a := NewAdmission(AdmissionConfig{FormerRate: float64(rapid.IntRange(0, 50).Draw(t, "former")),
			FirstLoads: 6, Gateways: gateways}, rapid.Float64Range(0, 1).Draw(t, "bear"), now)
		loading := map[string]time.Duration{}
		done := false
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			fn := string(rune('a' + rapid.IntRange(0, 12).Draw(t, "fn")))
			if done && !a.Done(now) {
				t.Fatal("the admission was done and is limited again")
			}
			done = a.Done(now)
			wasLoaded, tokens := a.loaded[fn], a.tokens
			admitted := a.Admit(now, fn)
			if !admitted && wasLoaded && tokens >= 1 {
				t.Fatal("a call is rejected although a token is left")
			}
			if admitted && !wasLoaded && !done {
				if _, known := loading[fn]; !known {
					loading[fn] = now
				}
			}
			for other, at := range loading {
				if a.loaded[other] || now-at >= firstLoadTimeout {
					delete(loading, other)
				}
			}
			if !done && len(loading) > a.MaxFirstLoads() {
				t.Fatalf("%d first loads in flight, want at most %d", len(loading), a.MaxFirstLoads())
			}
			if admitted && rapid.Bool().Draw(t, "ends") {
				a.RecordOutcome(fn, rapid.IntRange(0, 3).Draw(t, "served") > 0)
				if a.loaded[fn] {
					delete(loading, fn)
				}
			}
		}
	})
}

func TestSavedCheckRejectsInvalidState(t *testing.T) {
	good := Saved{List: []decide.Host{{Name: "w"}}, Addrs: []string{"a:1"}, FormerRate: 1, Alive: 3}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for i, change := range []func(*Saved){func(s *Saved) { s.Addrs = nil }, func(s *Saved) { s.FormerRate = -1 },
		func(s *Saved) { s.Alive = -1 }, func(s *Saved) { s.List = []decide.Host{{}} },
		func(s *Saved) { s.List = []decide.Host{{Name: "w", State: 9}} },
		func(s *Saved) { s.BanRecords = BanRecords{"": {}} }} {
		s := good
		if change(&s); s.Check() == nil {
			t.Errorf("Check accepts invalid change %d", i)
		}
	}
}
