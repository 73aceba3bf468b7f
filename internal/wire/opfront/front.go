package opfront

import (
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

const (
	// Callers is the number of connections that the door holds. One more takes the place of the oldest that is silent.
	Callers = 24
	// Sockets is what the door may take of the descriptors: its callers and its engine.
	Sockets = Callers + 4

	callLimit   = 6 * time.Second        // for the line to come
	lingerLimit = 300 * time.Millisecond // for the caller to close after the reply
)

// Desk does what operators ask for. It is called on the turn, and calls done there once, within a second: with the lines that
// follow SUCCESS, each ending in a line feed, or with the reason why not.
type Desk interface {
	Do(c Call, done func(text string, err error))
}

// Front answers operators. It belongs to the turn.
type Front struct {
	loop  *core.Loop
	desk  Desk
	log   *zap.Logger
	conns *core.Table[*conn]
}

// New returns a door in front of desk.
func New(loop *core.Loop, desk Desk, log *zap.Logger) *Front {
	return &Front{loop: loop, desk: desk, log: log, conns: core.NewTable[*conn](Callers)}
}

// Conns is the number of connections that are open.
func (f *Front) Conns() int { return f.conns.Len() }

// conn is one caller. The parser belongs to the I/O goroutine, the rest to the turn.
type conn struct {
	f        *Front
	sock     sock.Conn
	parser   Parser
	ref      core.Ref
	timer    *core.Deadline
	answered bool
	gone     bool
}

// Accept takes a new connection; called on an I/O goroutine.
func (f *Front) Accept(s sock.Conn) sock.Handler {
	c := &conn{f: f, sock: s}
	f.loop.PostUrgent(c.opened)
	return c
}

func (c *conn) Data(b []byte) error {
	call, done, err := c.parser.Feed(b)
	if done {
		exact := c.parser.Exact()
		c.f.loop.PostUrgent(func() { c.take(call, exact, err) })
	}
	return nil
}

func (c *conn) Closed(error) { c.f.loop.PostUrgent(c.closed) }

func (c *conn) opened() {
	if c.gone {
		return
	}
	if c.f.conns.Len() == Callers { // never in the way of a good caller: the oldest has had its time
		var oldest *conn
		c.f.conns.Each(func(_ core.Ref, o *conn) {
			if oldest == nil || o.timer.Before(oldest.timer) {
				oldest = o
			}
		})
		oldest.drop()
	}
	c.ref, _ = c.f.conns.Put(c)
	c.timer = c.f.loop.After(callLimit, func() {
		if !c.answered {
			c.reply("FAILURE no call came\n", true)
		}
	})
}

func (c *conn) take(call Call, exact bool, err error) {
	if c.gone || c.answered {
		return
	}
	if err != nil {
		c.reply("FAILURE "+err.Error()+"\n", exact)
		return
	}
	c.answered = true
	c.f.desk.Do(call, func(text string, err error) {
		if !forms[call.Name].asks { // these may come every second
			c.f.log.Info("operator's call", zap.String("call", call.Name), zap.String("id", call.ID), zap.Error(err))
		}
		if err != nil {
			text = "FAILURE " + err.Error() + "\n"
		} else {
			text = "SUCCESS\n" + text
		}
		if !c.gone {
			c.reply(text, exact)
		}
	})
}

// reply writes the one reply and closes. Where more than a line came, what follows is disregarded for a moment first:
// a close with input unread would take the reply back.
func (c *conn) reply(text string, exact bool) {
	c.answered = true
	if _, err := c.sock.Write([]byte(text)); err != nil || exact && c.sock.Unsent() == 0 {
		c.drop()
		return
	}
	c.f.loop.Cancel(c.timer)
	c.timer = c.f.loop.After(lingerLimit, c.drop)
}

func (c *conn) closed() {
	if !c.gone {
		c.gone = true
		c.f.loop.Cancel(c.timer)
		c.f.conns.Free(c.ref)
	}
}

func (c *conn) drop() {
	c.sock.Close()
	c.closed()
}
