package httpfront

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

// conn is the connection of one client. parser and discarded belong to the I/O goroutine, all other fields to the event loop.
type conn struct {
	front        *Front
	sock         sock.Conn
	parser       Parser
	discarded    int         // bytes of input read and discarded
	discarding   atomic.Bool // all further input is discarded: the last answer is being sent
	clientClosed atomic.Bool // the client has closed or reset the connection; the event loop may not have handled that yet

	unanswered atomic.Int32 // requests read whole but not answered yet

	ref             core.Ref
	processed       int         // calls of Data that the event loop has handled
	closePending    bool        // the connection is to be closed unless input arrives first, which is then answered
	current         *exchange   // the request in flight
	queue           []*Request  // whole requests that follow it
	badRequest      *BadRequest // unreadable input behind the queue, which gets the last answer
	out             []byte
	noRequestYet    bool // no whole request has arrived yet
	partial         bool // part of a request has arrived
	closeAfterWrite bool // close the connection once out is written
	slowReader      bool // the client has not read all of the last answer
	unsent          int  // bytes of that answer that are counted in Front.unsent
	linger          bool // before the close, discard input for lingerTimeout: a close with unread input would reset the connection
	gone            bool // the connection has ended
	timer           *core.Deadline

	timerSetAt time.Duration // when timer was last set
	closedFor  closeReason   // why this side closes the connection
}

func (c *conn) Data(b []byte) error {
	if c.discarding.Load() {
		if c.discarded += len(b); c.discarded > maxLingerBytes {
			return errTooMuchInput
		}
		return nil
	}
	var requests []*Request
	err := c.parser.Feed(b, func(r *Request) error {
		if c.unanswered.Load() > maxPipelined {
			return badRequestf(400, "too many requests at once")
		}
		c.unanswered.Add(1)
		r.ReceivedAt = c.front.loop.Clock()
		requests = append(requests, r)
		return nil
	})
	partial := !c.parser.Idle()
	if err != nil {
		c.discarding.Store(true)
	}
	c.front.loop.Post(func() { c.received(requests, partial, err) })
	return nil
}

// Flushed is called when the client has made room for all that was written.
func (c *conn) Flushed() { c.front.loop.Post(c.flushed) }

func (c *conn) flushed() {
	if c.gone || !c.slowReader {
		return
	}
	if c.releaseUnsent(); len(c.out) > 0 { // something was written meanwhile; it is flushed in this loop iteration
		return
	}
	if c.answerWritten(); !c.gone {
		c.startNext()
	}
}

// Closed records at once that the client has left, for code on the event loop that runs before the posted message.
func (c *conn) Closed(err error) {
	c.clientClosed.Store(true)
	c.front.loop.Post(func() { c.closed(err) })
}

func (c *conn) opened() {
	if c.front.conns.Len() >= c.front.softMaxConns {
		c.front.makeRoom(false)
	}
	ref, ok := c.front.conns.Put(c)
	if !ok { // the listener accepts no more than maxConns, but a connection that it did accept gets an answer
		c.front.log.Warn("too many client connections", zap.Int("open", c.front.conns.Len()))
		c.linger = true
		c.writeResponse(503, drainHeader, nil, true)
		return
	}
	c.ref = ref
	c.setTimeout(c.front.idleTime(readTimeout))
	c.front.scheduleMakeRoom()
}

// setTimeout sets the time after which a connection without a request in flight is closed. A partial request is answered with 408.
func (c *conn) setTimeout(d time.Duration) {
	c.front.loop.Cancel(c.timer)
	c.timerSetAt = c.front.loop.Now()
	c.timer = c.front.loop.After(d, func() {
		if c.partial && !c.closeAfterWrite && !c.slowReader {
			c.linger = true
			c.writeResponse(408, "", nil, true)
			return
		}
		if c.closeAfterWrite || c.slowReader { // the time for its answer is over
			c.closeNow(answerTimeout)
			return
		}
		c.closeIfIdle(idleTooLong)
	})
}

// awaitRequest sets the timeout for the next request after an answer; part of that request may have arrived.
func (c *conn) awaitRequest() {
	if c.partial {
		c.setTimeout(readTimeout)
	} else {
		c.setTimeout(c.front.idleTime(idleTimeout))
	}
}

func (c *conn) received(requests []*Request, partial bool, err error) {
	c.processed++
	if c.gone || c.closeAfterWrite {
		return
	}
	c.queue = append(c.queue, requests...)
	c.noRequestYet = c.noRequestYet && len(requests) == 0
	// The timeout runs from the first byte of a request; further bytes do not restart it.
	if partial && !c.partial && !c.noRequestYet && c.current == nil && !c.slowReader && len(requests) == 0 {
		c.setTimeout(readTimeout)
	}
	c.partial = partial
	if err != nil {
		c.front.log.Info("bad request", zap.Error(err))
		c.badRequest = err.(*BadRequest)
	}
	c.startNext()
	if c.closePending && err == nil && c.current == nil && !c.closeAfterWrite {
		c.keepOpen()
	}
}

// hasPending reports whether there is something to answer besides the request in flight.
func (c *conn) hasPending() bool { return len(c.queue) > 0 || c.badRequest != nil }

// startNext handles the queued requests, one at a time. Unreadable input behind them is answered last.
func (c *conn) startNext() {
	for c.free() && len(c.queue) > 0 {
		r := c.queue[0]
		c.queue = c.queue[1:]
		c.handle(r)
	}
	if c.free() && c.badRequest != nil {
		c.linger = true
		c.writeResponse(c.badRequest.Status, "", []byte(c.badRequest.Text+"\n"), true)
	}
}

// free reports whether another answer may be started: at most one waits for a client to read it.
func (c *conn) free() bool { return c.current == nil && !c.gone && !c.closeAfterWrite && !c.slowReader }

func (c *conn) handle(r *Request) {
	if r.Method == "GET" && r.Path == "/check" {
		if c.front.serving && !c.front.unready {
			c.reply(200, "", []byte("ready\n"), r.Close)
		} else {
			c.reply(503, notReadyHeader, nil, r.Close)
		}
		return
	}
	call, err := toCall(r, c.front.site)
	if err != nil {
		b := err.(*BadRequest)
		c.front.log.Info("bad call", zap.String("path", r.Path), zap.Error(err))
		c.reply(b.Status, "", []byte(b.Text+"\n"), r.Close)
		return
	}
	if !c.front.serving {
		c.reply(503, notReadyHeader, nil, r.Close)
		return
	}
	if c.front.refusing {
		c.front.core.Count(call.Class, "refused")
		c.reply(503, drainHeader, nil, r.Close)
		return
	}
	x := &exchange{conn: c, closeAfterWrite: r.Close}
	call.Reply = x
	c.current = x
	c.front.loop.Cancel(c.timer)
	if ref := c.front.core.Submit(call); c.current == x {
		x.ref = ref
	}
}

// reply answers a request. clientCloses states whether its client requested that the connection be closed.
func (c *conn) reply(status int, fields string, body []byte, clientCloses bool) {
	closing := c.closePending || c.front.shuttingDown || c.front.endingConns
	c.writeResponse(status, fields, body, clientCloses || closing && !c.hasPending())
	c.unanswered.Add(-1)
	if !c.gone {
		c.awaitRequest()
	}
}
