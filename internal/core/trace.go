package core

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quillrail/decide"
)

// Trace counts how attempts ended and why requests were given up. The counters start at 0 with the process.
type Trace struct {
	Attempts [decide.OutcomesNumber]uint64 // by how they ended
	GivenUp  [decide.ReasonsNumber]uint64  // by the module's reason
}

// Trace returns the counters as they stand.
func (c *Core) Trace() Trace { return c.trace }

// attempted counts an attempt that has ended and notes it at the level debug, with its request's id.
func (c *Core) attempted(r *request, a *attempt, e End) {
	c.trace.Attempts[e.How]++
	if !c.log.Core().Enabled(zapcore.DebugLevel) {
		return
	}
	id := ""
	if r != nil { // else it had its answer before
		id = r.call.ID
	}
	c.log.Debug("attempt ended", zap.String("id", id), zap.Int("attempt", a.shot), zap.String("worker", a.host),
		zap.Stringer("outcome", e.How), zap.Duration("took", c.loop.Now()-a.at))
}

// gaveUp counts a request that the module has given up and notes it at the level debug.
func (c *Core) gaveUp(r *request, answer string, why decide.Reason) {
	c.trace.GivenUp[why]++
	if !c.log.Core().Enabled(zapcore.DebugLevel) {
		return
	}
	c.log.Debug("request given up", zap.String("id", r.call.ID), zap.String("answer", answer), zap.Stringer("why", why),
		zap.Int("attempts", len(r.shots)), zap.String("last", r.last), zap.Duration("took", c.loop.Now()-r.start))
}

// Log words what the module has to say to operators.
func (g *gateway) Log(n decide.Notice) {
	workers := []zap.Field{zap.Int("leased", n.Leased), zap.Int("ready", n.Ready)}
	switch n.Kind {
	case decide.ListSilent:
		g.log.Warn("list is silent", append(workers, zap.Duration("age", n.Age))...)
	case decide.ListSpeaks:
		g.log.Info("list speaks again", zap.Int("ready", n.Ready))
	}
}

// ListCurrent says that the list was complete at a clock time: what it had to tell by then has come to List.
func (c *Core) ListCurrent(asOf time.Duration) { c.handle(decide.Current{AsOf: asOf}) }
