package bulletin

import (
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
)

const (
	lossLogInterval = 5 * time.Second // interval at which a loss that continues is logged again
	maxNamesLogged  = 16              // workers of each state that a log line names
)

// logLoss logs that a connection to the bulletin has failed, at first and then once in lossLogInterval.
func (f *Feed) logLoss(err error) {
	now := f.loop.Now()
	f.failedDials++
	if f.lostSince == 0 {
		f.lostSince, f.lossLoggedAt, f.failedDials = now, now, 0
		f.log.Warn("bulletin lost", zap.Uint64("last", f.lastEvent), zap.Error(err))
	} else if now-f.lossLoggedAt >= lossLogInterval {
		f.lossLoggedAt = now
		f.log.Warn("bulletin still lost", zap.Duration("for", now-f.lostSince), zap.Int("tries", f.failedDials), zap.Uint64("last", f.lastEvent),
			zap.Error(err))
	}
}

// noteReceived resets the backoff after a frame was received, and logs the end of a loss.
func (f *Feed) noteReceived() {
	f.backoff = firstBackoff
	if f.lostSince == 0 {
		return
	}
	f.log.Info("bulletin is back", zap.Duration("after", f.loop.Now()-f.lostSince), zap.Int("tries", f.failedDials),
		zap.Uint64("last", f.lastEvent))
	f.lostSince = 0
}

// logChange logs how many workers of each state an event contains, and the first of their names.
func (f *Feed) logChange(e Event) {
	var named [decide.Gone + 1][]string
	var count [decide.Gone + 1]int
	for _, m := range e.Members {
		if count[m.State]++; len(named[m.State]) < maxNamesLogged {
			named[m.State] = append(named[m.State], m.Name)
		}
	}
	fields := []zap.Field{zap.Uint64("event", e.No), zap.Bool("whole", e.Complete)}
	for state, name := range []string{"ready", "draining", "gone"} {
		if count[state] > 0 {
			fields = append(fields, zap.Int(name, count[state]), zap.Strings(name+"_names", named[state]))
		}
	}
	f.log.Info("list changed", fields...)
}
