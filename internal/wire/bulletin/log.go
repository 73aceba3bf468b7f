package bulletin

import (
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
)

const (
	lossEvery  = 5 * time.Second // pace at which a loss that goes on is logged
	namesNoted = 16              // workers that a log line names of each state
)

// logLoss notes that a connection to the bulletin has failed: the first time, and then at a pace.
func (f *Feed) logLoss(why error) {
	now := f.loop.Now()
	f.failed++
	if f.lost == 0 {
		f.lost, f.said, f.failed = now, now, 0
		f.log.Warn("bulletin lost", zap.Uint64("last", f.last), zap.Error(why))
	} else if now-f.said >= lossEvery {
		f.said = now
		f.log.Warn("bulletin still lost", zap.Duration("for", now-f.lost), zap.Int("tries", f.failed), zap.Uint64("last", f.last),
			zap.Error(why))
	}
}

// back notes that the bulletin has spoken.
func (f *Feed) back() {
	f.backoff = retryFirst
	if f.lost == 0 {
		return
	}
	f.log.Info("bulletin is back", zap.Duration("after", f.loop.Now()-f.lost), zap.Int("tries", f.failed), zap.Uint64("last", f.last))
	f.lost = 0
}

// logChange notes what an event says of the workers.
func (f *Feed) logChange(e Event) {
	var named [decide.Gone + 1][]string
	var count [decide.Gone + 1]int
	for _, m := range e.Members {
		if count[m.State]++; len(named[m.State]) < namesNoted {
			named[m.State] = append(named[m.State], m.Name)
		}
	}
	fields := []zap.Field{zap.Uint64("event", e.No), zap.Bool("whole", e.Whole)}
	for state, name := range []string{"ready", "draining", "gone"} {
		if count[state] > 0 {
			fields = append(fields, zap.Int(name, count[state]), zap.Strings(name+"_names", named[state]))
		}
	}
	f.log.Info("list changed", fields...)
}
