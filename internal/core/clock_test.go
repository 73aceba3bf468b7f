package core

import (
	"testing"
	"time"
)

// A step of the system's clock must not move deadlines: 4 s on the monotonic clock are 4 s on the steady clock, within
// 1/slewDivisor. The steady clock agrees with the wall clock again in the end and never runs backwards.
func TestSteadyClockDoesNotStep(t *testing.T) {
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 300 * time.Millisecond, -2 * time.Second} {
		at := Reading{Unix: 1000 * time.Hour, Monotonic: time.Minute}
		clock := NewSteadyClock(func() Reading { return at })
		if clock.Now() != at.Unix {
			t.Fatalf("the clock starts at %v", clock.Now())
		}
		at.Unix += step
		before := clock.Now()
		at.Unix, at.Monotonic = at.Unix+4*time.Second, at.Monotonic+4*time.Second
		if passed := clock.Now() - before; passed < 4*time.Second*(slewDivisor-1)/slewDivisor ||
			passed > 4*time.Second*(slewDivisor+1)/slewDivisor {
			t.Errorf("step of %v: 4 s are measured as %v", step, passed)
		}
		at.Unix, at.Monotonic = at.Unix+100*time.Hour, at.Monotonic+100*time.Hour
		if clock.Now() != at.Unix {
			t.Errorf("step of %v: %v off the wall clock after 100 h", step, clock.Now()-at.Unix)
		}
		now := clock.Now()
		at.Monotonic -= time.Second // as when two goroutines read out of order
		if clock.Now() < now {
			t.Error("the clock ran backwards")
		}
	}
}
