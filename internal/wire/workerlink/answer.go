package workerlink

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
)

// reader is the part of a connection that belongs to the I/O goroutine.
type reader struct {
	c      *conn
	parser Parser
}

func (r *reader) Data(b []byte) error {
	var got []Answer
	err := r.parser.Feed(b, func(a Answer) { got = append(got, a) })
	begun := !r.parser.Idle()
	c := r.c
	c.p.loop.Post(func() {
		c.heard, c.quiet = c.p.loop.Now(), false
		for _, a := range got {
			c.answer(a)
		}
		if err != nil {
			c.fail(decide.Reset, err)
			return
		}
		c.half(begun, len(got) > 0)
	})
	return err
}

// Flushed says that the worker has taken all that was written.
func (r *reader) Flushed() { r.c.p.loop.Post(r.c.unblocked) }

func (r *reader) Closed(err error) {
	c := r.c
	c.p.loop.Post(func() { c.fail(decide.Reset, err) })
}

// half watches an answer of which a part has come. One that stops there makes the connection useless for all that is
// open on it, since whatever comes next would be read as the rest.
func (c *conn) half(begun, moved bool) {
	if moved || !begun {
		c.p.loop.Cancel(c.stall)
		c.stall = nil
	}
	if begun && c.stall == nil && !c.ended {
		c.stall = c.p.loop.After(stallLimit, func() { c.fail(decide.Reset, errors.New("half an answer")) })
	}
}

var notes = map[string]decide.Note{"": decide.NoNote, "warm": decide.FoundWarm, "cold": decide.BeganLoad,
	"joined": decide.WaitedLoad, "load_failed": decide.LoadFailed}

var words = map[string]decide.Outcome{"OK": decide.Good, "MISS": decide.Miss, "BUSY": decide.Full,
	"ERR": decide.Bad, "VOID": decide.Nop, "UP": decide.Good, "DOWN": decide.Bad}

func (c *conn) answer(a Answer) {
	if c.ended {
		return
	}
	how, known := words[a.Word]
	note, known2 := notes[a.Detail]
	if !known || !known2 {
		c.fail(decide.Reset, fmt.Errorf("answer %q with detail %q", clip(a.Word), clip(a.Detail)))
		return
	}
	if ref, ok := c.open[a.ID]; ok {
		c.forget(a.ID, ref)
		c.retire(a.ID)
		c.rest()
		c.p.ends.Ended(ref, core.AttemptResult{Outcome: how, Note: note, Body: a.Body, Report: c.p.set.Report(a.Use, ";")})
	} else if ref, ok := c.orders[a.ID]; ok {
		delete(c.orders, a.ID)
		c.retire(a.ID)
		c.rest()
		c.p.ends.Loaded(ref, how, a.Pods)
	} else if ref, ok := c.probes[a.ID]; ok {
		delete(c.probes, a.ID)
		c.retire(a.ID)
		c.rest()
		c.p.ends.Probed(ref, how, c.p.set.Report(a.Use, ";"))
	} else if !c.used[a.ID] {
		c.retire(clip(a.ID))
		c.p.log.Warn("answer to nothing that is open", zap.String("worker", c.h.name), zap.String("word", a.Word))
	}
}
