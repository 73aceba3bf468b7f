package core

import (
	"sync"
	"time"
)

// slewPart is the part of the time passed by which a SteadyClock follows a step of the system's clock: a wait of 4 s, the
// longest usual deadline, is then wrong by 63 ms at most.
const slewPart = 64

// Reading is the system's time at one moment.
type Reading struct {
	Unix   time.Duration // of the wall clock, which operators and time servers step
	Steady time.Duration // since some moment in the past; never stepped
}

// SteadyClock is the system's Unix clock without its steps: deadlines and budgets that are counted by it are those of a
// stopwatch. It follows a step by slewPart of the time that passes, so that it tells the list's times in the end.
// It may be read from any goroutine.
type SteadyClock struct {
	read func() Reading

	mu     sync.Mutex
	last   Reading
	offset time.Duration // of this clock against last.Steady
}

// NewSteadyClock returns a clock that agrees with the wall clock of read's next reading.
func NewSteadyClock(read func() Reading) *SteadyClock {
	first := read()
	return &SteadyClock{read: read, last: first, offset: first.Unix - first.Steady}
}

// Now is the clock's time since 1970.
func (c *SteadyClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.read()
	most := max(0, now.Steady-c.last.Steady) / slewPart
	c.offset += min(most, max(-most, now.Unix-now.Steady-c.offset))
	if now.Steady > c.last.Steady {
		c.last = now
	}
	return c.last.Steady + c.offset
}

var processStart = time.Now()

// SystemReading reads the system's clocks, both at the same moment.
func SystemReading() Reading {
	now := time.Now()
	return Reading{Unix: time.Duration(now.UnixNano()), Steady: now.Sub(processStart)}
}
