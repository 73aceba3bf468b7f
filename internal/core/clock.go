package core

import (
	"sync"
	"time"
)

// slewDivisor limits how fast a SteadyClock follows a step of the system's clock: by 1/slewDivisor of the elapsed time. A wait of
// 4 s, the longest usual deadline, is then wrong by at most 63 ms.
const slewDivisor = 64

// Reading holds the system's wall clock and monotonic clock, both read at the same moment.
type Reading struct {
	Unix      time.Duration // the wall clock, which operators and time servers may step
	Monotonic time.Duration // time since a fixed moment in the past; never stepped
}

// SteadyClock is the system's Unix clock without its steps, so that deadlines and budgets don't jump with the wall clock. It slews
// towards a stepped wall clock by 1/slewDivisor of the elapsed time, so that it agrees again in the end with the times in the
// worker list. It may be read from any goroutine.
type SteadyClock struct {
	read func() Reading

	mu     sync.Mutex
	last   Reading
	offset time.Duration // added to last.Monotonic to get this clock's time
}

// NewSteadyClock returns a clock that starts at the wall-clock time that read returns now.
func NewSteadyClock(read func() Reading) *SteadyClock {
	first := read()
	return &SteadyClock{read: read, last: first, offset: first.Unix - first.Monotonic}
}

// Now returns the clock's time since the Unix epoch.
func (c *SteadyClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.read()
	maxSlew := max(0, now.Monotonic-c.last.Monotonic) / slewDivisor
	c.offset += min(maxSlew, max(-maxSlew, now.Unix-now.Monotonic-c.offset))
	if now.Monotonic > c.last.Monotonic {
		c.last = now
	}
	return c.last.Monotonic + c.offset
}

var processStart = time.Now()

// SystemReading reads the system's wall clock and monotonic clock at the same moment.
func SystemReading() Reading {
	now := time.Now()
	return Reading{Unix: time.Duration(now.UnixNano()), Monotonic: now.Sub(processStart)}
}
