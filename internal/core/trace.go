package core

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quillrail/decide"
)

// OutcomeCounts counts how attempts ended and why the module gave requests up. The counters start at 0 with the process.
type OutcomeCounts struct {
	Attempts [decide.OutcomeCount]uint64 // by outcome
	GivenUp  [decide.ReasonCount]uint64  // by the module's reason
}

// OutcomeCounts returns the current counters.
func (c *Core) OutcomeCounts() OutcomeCounts { return c.outcomes }

// traceAttempt counts an attempt that has ended and logs it at debug level, with the ID of its request.
func (c *Core) traceAttempt(r *request, a *attempt, result AttemptResult) {
	c.outcomes.Attempts[result.Outcome]++
	if !c.log.Core().Enabled(zapcore.DebugLevel) {
		return
	}
	id := ""
	if r != nil { // nil if the request was answered before
		id = r.call.ID
	}
	c.log.Debug("attempt ended", zap.String("id", id), zap.Int("attempt", a.number), zap.String("worker", a.host),
		zap.Stringer("outcome", result.Outcome), zap.Duration("took", c.loop.Now()-a.startedAt))
}

// traceGivenUp counts a request that the module has given up and logs it at debug level.
func (c *Core) traceGivenUp(r *request, answer string, reason decide.Reason) {
	c.outcomes.GivenUp[reason]++
	if !c.log.Core().Enabled(zapcore.DebugLevel) {
		return
	}
	c.log.Debug("request given up", zap.String("id", r.call.ID), zap.String("answer", answer), zap.Stringer("why", reason),
		zap.Int("attempts", len(r.attempts)), zap.String("last", r.lastHost), zap.Duration("took", c.loop.Now()-r.start))
}

// Log writes the module's notices to operators into the log.
func (g *gateway) Log(notice decide.Notice) {
	workers := []zap.Field{zap.Int("leased", notice.Leased), zap.Int("ready", notice.Ready)}
	switch notice.Kind {
	case decide.ListSilent:
		g.log.Warn("list is silent", append(workers, zap.Duration("age", notice.Age))...)
	case decide.ListResumed:
		g.log.Info("list speaks again", zap.Int("ready", notice.Ready))
	}
}

// ListCurrent reports that the list was complete as of a clock time: all changes up to then have been passed to ApplyList.
func (c *Core) ListCurrent(asOf time.Duration) { c.handle(decide.Current{AsOf: asOf}) }
