package lab

import (
	"os"
	"strconv"
	"time"
)

// StepClocks steps the wall clock of the whole machine by so much, as a time server or an operator does: that of the gateways,
// and that by which the list tells when workers were started.
func (l *Lab) StepClocks(by time.Duration) error {
	l.mu.Lock()
	l.step += by
	step := l.step
	l.mu.Unlock()
	l.Logf("the clocks are stepped by %v", by)
	temporary := l.ClockFile + ".new"
	if err := os.WriteFile(temporary, strconv.AppendInt(nil, int64(step), 10), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, l.ClockFile)
}

// wall is a moment by the wall clock as it has been stepped.
func (l *Lab) wall(at time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return at.Add(l.step)
}
