package workerlink

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
)

// reader parses what a connection receives. It belongs to the I/O goroutine and posts complete answers to the event loop.
type reader struct {
	conn   *conn
	parser Parser
}

func (r *reader) Data(b []byte) error {
	var answers []Answer
	err := r.parser.Feed(b, func(a Answer) { answers = append(answers, a) })
	partial := !r.parser.Idle()
	c := r.conn
	c.pool.loop.Post(func() {
		c.lastReceived, c.unresponsive = c.pool.loop.Now(), false
		for _, a := range answers {
			c.handleAnswer(a)
		}
		if err != nil {
			c.fail(decide.Reset, err)
			return
		}
		c.watchPartialAnswer(partial, len(answers) > 0)
	})
	return err
}

// Flushed is called once the kernel has accepted everything that was written to the worker.
func (r *reader) Flushed() { r.conn.pool.loop.Post(r.conn.unblocked) }

func (r *reader) Closed(err error) {
	c := r.conn
	c.pool.loop.Post(func() { c.fail(decide.Reset, err) })
}

// watchPartialAnswer starts or stops the timeout of an answer that has been received only in part. If the rest never arrives, the
// connection is useless for every open call on it, since the bytes of the next answer would be read as that rest.
func (c *conn) watchPartialAnswer(partial, completed bool) {
	if completed || !partial {
		c.pool.loop.Cancel(c.partialTimer)
		c.partialTimer = nil
	}
	if partial && c.partialTimer == nil && !c.ended {
		c.partialTimer = c.pool.loop.After(stallTimeout, func() { c.fail(decide.Reset, errors.New("half an answer")) })
	}
}

var noteByDetail = map[string]decide.Note{"": decide.NoNote, "warm": decide.FoundWarm, "cold": decide.BeganLoad,
	"joined": decide.WaitedLoad, "load_failed": decide.LoadFailed}

var outcomeByStatus = map[string]decide.Outcome{"OK": decide.Good, "MISS": decide.Miss, "BUSY": decide.Full,
	"ERR": decide.Bad, "VOID": decide.NotSent, "UP": decide.Good, "DOWN": decide.Bad}

func (c *conn) handleAnswer(a Answer) {
	if c.ended {
		return
	}
	outcome, knownStatus := outcomeByStatus[a.Status]
	note, knownDetail := noteByDetail[a.Detail]
	if !knownStatus || !knownDetail {
		c.fail(decide.Reset, fmt.Errorf("answer has unknown status %q or unknown detail %q", clip(a.Status), clip(a.Detail)))
		return
	}
	if ref, ok := c.attempts[a.ID]; ok {
		c.removeAttempt(a.ID, ref)
		c.retire(a.ID)
		c.checkIdle()
		c.pool.receiver.Ended(ref, core.AttemptResult{Outcome: outcome, Note: note, Body: a.Body, Report: c.pool.site.Report(a.LoadReport, ";")})
	} else if ref, ok := c.orders[a.ID]; ok {
		delete(c.orders, a.ID)
		c.retire(a.ID)
		c.checkIdle()
		c.pool.receiver.Loaded(ref, outcome, a.Copies)
	} else if ref, ok := c.probes[a.ID]; ok {
		delete(c.probes, a.ID)
		c.retire(a.ID)
		c.checkIdle()
		c.pool.receiver.Probed(ref, outcome, c.pool.site.Report(a.LoadReport, ";"))
	} else if !c.retired[a.ID] {
		c.retire(clip(a.ID))
		c.pool.log.Warn("answer to nothing that is open", zap.String("worker", c.host.name), zap.String("word", a.Status))
	}
}
