package lab

import (
	"os"
	"strconv"
	"time"
)

// StepClocks shifts the wall clock of the whole machine, as a time server or an operator does: the clock of the gateways and the
// one for the start times of workers in the list.
func (l *Lab) StepClocks(by time.Duration) error {
	l.mu.Lock()
	l.clockStep += by
	step := l.clockStep
	l.mu.Unlock()
	l.Logf("wall clocks are stepped by %v", by)
	temporary := l.ClockFile + ".new"
	if err := os.WriteFile(temporary, strconv.AppendInt(nil, int64(step), 10), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, l.ClockFile)
}

// wallTime converts a time to the wall clock with all steps so far.
func (l *Lab) wallTime(at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return at.Add(l.clockStep)
}
