package opfront

import (
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

const (
	// MaxConns is the maximum number of open connections. A further one closes the oldest, which has had the most time to send its call.
	MaxConns = 24
	// Descriptors is the number of file descriptors that the listener may use: its connections and those of its I/O engine.
	Descriptors = MaxConns + 4

	callTimeout   = 6 * time.Second        // for the line to arrive
	lingerTimeout = 300 * time.Millisecond // for the caller to close after the reply
)

// Executor executes the calls of operators. Do is called on the event loop. Within a second, done is called there once, with the lines
// that follow SUCCESS, each ending in a line feed, or with the reason for a failure.
type Executor interface {
	Do(c Call, done func(text string, err error))
}

// Front answers operators. It is used on the event loop only.
type Front struct {
	loop     *core.Loop
	executor Executor
	log      *zap.Logger
	conns    *core.Table[*conn]
}

// New returns a front that passes calls to executor.
func New(loop *core.Loop, executor Executor, log *zap.Logger) *Front {
	return &Front{loop: loop, executor: executor, log: log, conns: core.NewTable[*conn](MaxConns)}
}

// Conns is the number of open connections.
func (f *Front) Conns() int { return f.conns.Len() }

// conn is the connection of one operator. parser belongs to the I/O goroutine, all other fields to the event loop.
type conn struct {
	front    *Front
	sock     sock.Conn
	parser   Parser
	ref      core.Ref
	timer    *core.Deadline
	answered bool
	gone     bool
}

// Accept takes a new connection. It is called on an I/O goroutine.
func (f *Front) Accept(s sock.Conn) sock.Handler {
	c := &conn{front: f, sock: s}
	f.loop.PostUrgent(c.opened)
	return c
}

func (c *conn) Data(b []byte) error {
	call, done, err := c.parser.Feed(b)
	if done {
		nothingFollows := c.parser.NothingFollows()
		c.front.loop.PostUrgent(func() { c.received(call, nothingFollows, err) })
	}
	return nil
}

func (c *conn) Closed(error) { c.front.loop.PostUrgent(c.closed) }

func (c *conn) opened() {
	if c.gone {
		return
	}
	if c.front.conns.Len() == MaxConns { // a new caller is never refused: the oldest connection has had the most time
		var oldest *conn
		c.front.conns.Each(func(_ core.Ref, o *conn) {
			if oldest == nil || o.timer.Before(oldest.timer) {
				oldest = o
			}
		})
		oldest.closeNow()
	}
	c.ref, _ = c.front.conns.Put(c)
	c.timer = c.front.loop.After(callTimeout, func() {
		if !c.answered {
			c.reply("FAILURE no call came\n", true)
		}
	})
}

func (c *conn) received(call Call, nothingFollows bool, err error) {
	if c.gone || c.answered {
		return
	}
	if err != nil {
		c.reply("FAILURE "+err.Error()+"\n", nothingFollows)
		return
	}
	c.answered = true
	c.front.executor.Do(call, func(text string, err error) {
		if !callSpecs[call.Name].readOnly { // read-only calls may come every second and are not logged
			c.front.log.Info("operator's call", zap.String("call", call.Name), zap.String("id", call.ID), zap.Error(err))
		}
		if err != nil {
			text = "FAILURE " + err.Error() + "\n"
		} else {
			text = "SUCCESS\n" + text
		}
		if !c.gone {
			c.reply(text, nothingFollows)
		}
	})
}

// reply writes the reply and closes the connection. If input follows the line, or the reply is not sent yet, the close comes after
// lingerTimeout: a close with unread input would reset the connection, and the reply could be lost.
func (c *conn) reply(text string, nothingFollows bool) {
	c.answered = true
	if _, err := c.sock.Write([]byte(text)); err != nil || nothingFollows && c.sock.Unsent() == 0 {
		c.closeNow()
		return
	}
	c.front.loop.Cancel(c.timer)
	c.timer = c.front.loop.After(lingerTimeout, c.closeNow)
}

func (c *conn) closed() {
	if !c.gone {
		c.gone = true
		c.front.loop.Cancel(c.timer)
		c.front.conns.Free(c.ref)
	}
}

func (c *conn) closeNow() {
	c.sock.Close()
	c.closed()
}
