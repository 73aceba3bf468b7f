package decide

import (
	"testing"
	"time"
)

// What a cold worker bears is counted in work, not in calls: one that gets only the calls of a class with much work must not be
// given as many of them as of mean ones, and may be given more of those with little.
func TestColdBudgetCountsWork(t *testing.T) {
	const served = 100.0 // calls a second
	for class, weight := range []float64{0.2, 1.8} {
		f := start(t, site(), 9)
		f.do(List{Hosts: []Host{{Name: "cold", Since: f.now}}})
		f.r.work, f.r.goodRate = 100, served
		f.r.classes[0].work, f.r.classes[1].work = 20, 180
		w, q, calls := f.r.workers["cold"], &request{class: class}, 0
		for f.r.now, f.r.goodAt = f.now, f.now; f.r.coldRoom(q, w); calls++ {
			w.cold = append(w.cold, sentWork{f.now, f.r.weight(q)})
		}
		budget := coldSafety * site().FallMultiple * site().ColdFrom * served / 10 * site().FallFor.Seconds()
		if work := float64(calls) * weight; work > budget+1e-9 || work < budget-weight {
			t.Errorf("class %d: %d calls at once, the work of %.1f mean ones, for a budget of %.1f", class, calls, work, budget)
		}
	}
}

// A repeat has to reach the workers within the window in which they drop it, and may leave as late as its connection comes up.
func TestRepeatLeavesTimeForItsConnection(t *testing.T) {
	for _, delay := range []time.Duration{0, 250 * time.Millisecond} {
		s := site()
		s.SendDelay = delay
		f := start(t, s, 3)
		q := &request{class: 1, attempts: []attempt{{w: f.r.workers["w0"], at: f.now, mayRun: true}}}
		sent := f.now
		for f.r.now = f.now; f.r.mayRepeat(q, f.r.workers["w0"]); f.r.now += time.Millisecond {
		}
		if last, most := f.r.now-sent, s.Classes[1].Window-delay; last > most || last < most-100*time.Millisecond {
			t.Errorf("repeats go out for %v of a window of %v, where a connection may take %v", last, s.Classes[1].Window, delay)
		}
	}
}
