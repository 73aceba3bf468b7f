package core

import (
	"testing"
	"time"
)

// A step of the system's clock moves no deadline: what passes on the steady clock is what passes on a stopwatch, within a part
// of it, and the clock comes back to the system's in the end. It never goes back.
func TestSteadyClockDoesNotStep(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 300 * time.Millisecond, -2 * time.Second} {
		at := Reading{Unix: 1000 * time.Hour, Steady: time.Minute}
		clock := NewSteadyClock(func() Reading { return at })
		if clock.Now() != at.Unix {
			t.Fatalf("begins at %v", clock.Now())
		}
		at.Unix += step
		before := clock.Now()
		at.Unix, at.Steady = at.Unix+4*time.Second, at.Steady+4*time.Second
		if passed := clock.Now() - before; passed < 4*time.Second*(slewPart-1)/slewPart || passed > 4*time.Second*(slewPart+1)/slewPart {
			t.Errorf("step of %v: 4 s pass as %v", step, passed)
		}
		at.Unix, at.Steady = at.Unix+100*time.Hour, at.Steady+100*time.Hour
		if clock.Now() != at.Unix {
			t.Errorf("step of %v: still %v off after 100 h", step, clock.Now()-at.Unix)
		}
		now := clock.Now()
		at.Steady -= time.Second // as two goroutines that read out of turn
		if clock.Now() < now {
			t.Error("the clock goes back")
		}
	}
}
