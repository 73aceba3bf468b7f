package httpfront

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

// conn is one client's connection. The parser and spilt belong to the I/O goroutine, the rest to the turn.
type conn struct {
	f      *Front
	sock   sock.Conn
	parser Parser
	spilt  int         // bytes read and discarded
	shut   atomic.Bool // nothing more is taken: the last answer is under way
	left   atomic.Bool // the client has closed or reset it; the turn may not have been told yet

	unanswered atomic.Int32 // requests read whole that have no answer yet

	ref   core.Ref
	taken int       // calls of Data that the turn has come to
	parts bool      // is to be closed, unless more comes: that is answered first
	open  *exchange // the request that is being answered
	queue []*Request
	fault *BadRequest // what came behind the queue, to be answered last
	out   []byte
	fresh bool // no whole request has come yet
	busy  bool // part of a request has come
	last  bool // close once out is written
	slow  bool // the client has not made room for all of the last answer
	held  int  // so much was kept for it when it was last seen
	spill bool // but read and discard for a while before: a close with input unread would take the answer back
	gone  bool
	timer *core.Deadline

	restedAt time.Duration // when timer was set
	why      closeReason   // of a close by this side
}

func (c *conn) Data(b []byte) error {
	if c.shut.Load() {
		if c.spilt += len(b); c.spilt > lingerBytes {
			return errSpilt
		}
		return nil
	}
	var got []*Request
	err := c.parser.Feed(b, func(r *Request) error {
		if c.unanswered.Load() > pipelined {
			return bad(400, "too many requests at once")
		}
		c.unanswered.Add(1)
		r.Came = c.f.loop.Clock()
		got = append(got, r)
		return nil
	})
	busy := !c.parser.Idle()
	if err != nil {
		c.shut.Store(true)
	}
	c.f.loop.Post(func() { c.take(got, busy, err) })
	return nil
}

// Flushed says that the client has made room for all that was written.
func (c *conn) Flushed() { c.f.loop.Post(c.flushed) }

func (c *conn) flushed() {
	if c.gone || !c.slow {
		return
	}
	if c.letGo(); len(c.out) > 0 { // something was written meanwhile, and is flushed in this turn
		return
	}
	if c.ended(); !c.gone {
		c.next()
	}
}

// Closed notes at once that the client has left, for what the turn does before it comes to the message.
func (c *conn) Closed(err error) {
	c.left.Store(true)
	c.f.loop.Post(func() { c.closed(err) })
}

func (c *conn) opened() {
	if c.f.conns.Len() >= c.f.soft {
		c.f.makeRoom(false)
	}
	ref, ok := c.f.conns.Put(c)
	if !ok { // the listener accepts no more than find a place; what it accepted has an answer all the same
		c.f.log.Warn("too many client connections", zap.Int("open", c.f.conns.Len()))
		c.spill = true
		c.respond(503, awayFields, nil, true)
		return
	}
	c.ref = ref
	c.rest(c.f.idle(readLimit))
	c.f.relieve()
}

// rest sets the time after which a connection without an open request is closed. Half a request gets an answer.
func (c *conn) rest(d time.Duration) {
	c.f.loop.Cancel(c.timer)
	c.restedAt = c.f.loop.Now()
	c.timer = c.f.loop.After(d, func() {
		if c.busy && !c.last && !c.slow {
			c.spill = true
			c.respond(408, "", nil, true)
			return
		}
		if c.last || c.slow { // its answer has had its time
			c.drop(answerNotTaken)
			return
		}
		c.part(idleTooLong)
	})
}

// settle is rest after an answer: for the next request, of which a part may be there.
func (c *conn) settle() {
	if c.busy {
		c.rest(readLimit)
	} else {
		c.rest(c.f.idle(idleLimit))
	}
}

func (c *conn) take(got []*Request, busy bool, err error) {
	c.taken++
	if c.gone || c.last {
		return
	}
	c.queue = append(c.queue, got...)
	c.fresh = c.fresh && len(got) == 0
	if busy && !c.busy && !c.fresh && c.open == nil && !c.slow && len(got) == 0 { // from its first byte on, not from each
		c.rest(readLimit)
	}
	c.busy = busy
	if err != nil {
		c.f.log.Info("bad request", zap.Error(err))
		c.fault = err.(*BadRequest)
	}
	c.next()
	if c.parts && err == nil && c.open == nil && !c.last {
		c.stay()
	}
}

// waits reports whether answers are owed to more than the open request.
func (c *conn) waits() bool { return len(c.queue) > 0 || c.fault != nil }

// next begins the requests that wait, one at a time. What came behind them and can't be read is answered last.
func (c *conn) next() {
	for c.free() && len(c.queue) > 0 {
		r := c.queue[0]
		c.queue = c.queue[1:]
		c.begin(r)
	}
	if c.free() && c.fault != nil {
		c.spill = true
		c.respond(c.fault.Status, "", []byte(c.fault.Text+"\n"), true)
	}
}

// free reports whether another answer may be begun: at most one is kept for a client.
func (c *conn) free() bool { return c.open == nil && !c.gone && !c.last && !c.slow }

func (c *conn) begin(r *Request) {
	if r.Method == "GET" && r.Path == "/check" {
		if c.f.ready && !c.f.away {
			c.reply(200, "", []byte("ready\n"), r.Close)
		} else {
			c.reply(503, notReadyFields, nil, r.Close)
		}
		return
	}
	call, err := toCall(r, c.f.set)
	if err != nil {
		b := err.(*BadRequest)
		c.f.log.Info("bad call", zap.String("path", r.Path), zap.Error(err))
		c.reply(b.Status, "", []byte(b.Text+"\n"), r.Close)
		return
	}
	if !c.f.ready {
		c.reply(503, notReadyFields, nil, r.Close)
		return
	}
	if c.f.shut {
		c.f.core.Count(call.Class, "refused")
		c.reply(503, awayFields, nil, r.Close)
		return
	}
	x := &exchange{c: c, last: r.Close}
	call.Reply = x
	c.open = x
	c.f.loop.Cancel(c.timer)
	if ref := c.f.core.Submit(call); c.open == x {
		x.req = ref
	}
}

// reply answers a request. asked says that its client wants the connection closed.
func (c *conn) reply(status int, fields string, body []byte, asked bool) {
	closes := c.parts || c.f.closing || c.f.parting
	c.respond(status, fields, body, asked || closes && !c.waits())
	c.unanswered.Add(-1)
	if !c.gone {
		c.settle()
	}
}
