// Package wiretest is what the tests of the wire share: a loop on a clock that stands still until it is moved,
// and a network in memory that delivers one step at a time, in a fixed order.
package wiretest

import (
	"errors"
	"io"
	"testing"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/sock"
)

// World is a loop, its clock and a network.
type World struct {
	T     testing.TB
	Loop  *core.Loop
	Chunk int // bytes that one delivery carries at most, 0 for all

	now     time.Duration
	steps   []func()
	accepts map[string]func(*Conn) sock.Handler
	Silent  map[string]bool // addresses where a connect is never answered
	Dials   int

	ConnectDelay time.Duration // until a connect is answered
}

// New returns a world at a fixed time.
func New(t testing.TB) *World {
	w := &World{T: t, now: 1000 * time.Hour, accepts: map[string]func(*Conn) sock.Handler{}, Silent: map[string]bool{}}
	w.Loop = core.NewLoop(func() time.Duration { return w.now })
	return w
}

// Now is the time.
func (w *World) Now() time.Duration { return w.now }

// Skip has time pass in which nothing is done, as in a turn that takes long.
func (w *World) Skip(d time.Duration) { w.now += d }

// Log is a logger for the parts under test.
func (w *World) Log() *zap.Logger { return zap.NewNop() }

// Run delivers and takes turns until nothing is left to do at this time.
func (w *World) Run() {
	w.Loop.RunOnce()
	for n := 0; len(w.steps) > 0; n++ {
		if n > 1e5 {
			w.T.Fatal("the world does not come to rest")
		}
		step := w.steps[0]
		w.steps = w.steps[1:]
		step()
		w.Loop.RunOnce()
	}
}

// Pass moves the clock, stopping at each deadline on the way.
func (w *World) Pass(d time.Duration) {
	end := w.now + d
	for w.Run(); ; w.Run() {
		at, ok := w.Loop.Next()
		if !ok || at > end {
			break
		}
		w.now = max(w.now, at)
	}
	w.now = max(w.now, end)
	w.Run()
}

// Listen has connections to addr accepted; nil for a handler refuses all.
func (w *World) Listen(addr string, accept func(*Conn) sock.Handler) { w.accepts[addr] = accept }

// Dial makes the world a dialer.
func (w *World) Dial(addr string, _ time.Duration, h sock.Handler, done func(sock.Conn, error)) {
	w.Dials++
	if w.Silent[addr] {
		return
	}
	answer := func() {
		accept := w.accepts[addr]
		if accept == nil {
			done(nil, errors.New("connection refused"))
			return
		}
		near, far := w.Pair(h, accept)
		_ = far
		done(near, nil)
	}
	if w.ConnectDelay == 0 {
		w.steps = append(w.steps, answer)
		return
	}
	w.Loop.After(w.ConnectDelay, func() { w.steps = append(w.steps, answer) })
}

// Pair connects a handler with what accept returns for the far end.
func (w *World) Pair(h sock.Handler, accept func(*Conn) sock.Handler) (near, far *Conn) {
	near, far = &Conn{w: w, h: h}, &Conn{w: w}
	near.peer, far.peer = far, near
	far.h = accept(far)
	return near, far
}

// Conn is one end of a connection.
type Conn struct {
	w      *World
	h      sock.Handler
	peer   *Conn
	closed bool
	came   int  // deliveries to its handler
	Stuck  bool // swallows what is written to it, as a machine that has vanished does
	Slow   int  // what the other end has not made room for yet; see Flush
}

// Far is the other end.
func (c *Conn) Far() *Conn { return c.peer }

// Unsent is what Slow says.
func (c *Conn) Unsent() int { return c.Slow }

// Flush has the other end make room for everything.
func (c *Conn) Flush() {
	c.Slow = 0
	if f, ok := c.h.(sock.Flusher); ok && !c.closed {
		c.w.steps = append(c.w.steps, f.Flushed)
	}
}

func (c *Conn) Write(b []byte) (int, error) {
	if c.closed {
		return 0, errors.New("closed")
	}
	for rest := append([]byte(nil), b...); len(rest) > 0; {
		n := len(rest)
		if c.w.Chunk > 0 {
			n = min(n, c.w.Chunk)
		}
		part := rest[:n]
		rest = rest[n:]
		c.w.steps = append(c.w.steps, func() {
			if p := c.peer; !p.closed && !p.Stuck && !c.Stuck {
				p.came++
				if err := p.h.Data(part); err != nil {
					p.end(err)
				}
			}
		})
	}
	return len(b), nil
}

// Close ends the connection. Both handlers are told, the far one after what was written before.
func (c *Conn) Close() error {
	c.end(nil)
	return nil
}

// CloseIfNoNewData ends the connection once it is this step's turn, unless more has been delivered than was taken.
func (c *Conn) CloseIfNoNewData(taken int) {
	c.w.steps = append(c.w.steps, func() {
		if c.came == taken {
			c.end(nil)
		}
	})
}

func (c *Conn) end(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.w.steps = append(c.w.steps, func() { c.h.Closed(err) })
	if !c.Stuck {
		c.w.steps = append(c.w.steps, func() { c.peer.end(io.EOF) })
	}
}

// Closed reports whether this end is closed.
func (c *Conn) Closed() bool { return c.closed }

// Peer is a handler that collects what comes, for tests that speak the other side by hand.
type Peer struct {
	*Conn
	In   []byte
	Over bool
}

// Data collects what comes.
func (p *Peer) Data(b []byte) error { p.In = append(p.In, b...); return nil }

// Closed notes the end.
func (p *Peer) Closed(error) { p.Over = true }

// Take returns what has come since the last Take.
func (p *Peer) Take() string {
	s := string(p.In)
	p.In = nil
	return s
}

// Site is a small site: a safe and a keyed class, two tenants.
func Site() *settings.Site {
	return &settings.Site{Classes: []string{"read", "command"}, Tenants: []string{"a", "b"}, Zones: []string{"x", "y"},
		Kinds: []string{"std"}, ConnIdle: 30 * time.Second, ConnectTimeout: 250 * time.Millisecond, StreamsPerConn: 2,
		Decide: decide.Settings{
			Classes: []decide.Class{
				{Aim: time.Second, Deadline: 4 * time.Second, Worth: 1, Effect: decide.Safe, Window: 5 * time.Second},
				{Aim: time.Second, Deadline: 4 * time.Second, Worth: 5, Effect: decide.Keyed, Group: decide.SameZone,
					Window: 8 * time.Second},
			},
			Tenants: []decide.Tenant{{Share: 0.5}, {Share: 0.5}}, Gateways: 2, MaxAttempts: 3, Parallel: true,
			Cancelling: true, MaxRetryAfter: 2 * time.Second, DrainGrace: 2 * time.Second, ColdFrom: 0.2,
			ColdFor: 10 * time.Second, FallMultiple: 2.5, FallFor: 3 * time.Second, KeepAlive: 10 * time.Second,
			Orders: true, LoadsOnMiss: true, MarksCold: true, FreeOrders: 2, OrderShare: 0.3,
			OrderWindow: 10 * time.Second, OrderTimeout: 10 * time.Second,
		}}
}

// Replies counts the answers of calls.
type Replies struct {
	Answers []string
	Bodies  []string
	HasLeft bool // the caller waits no longer, though the core has not been told
}

// ClientGone says what the test has set.
func (r *Replies) ClientGone() bool { return r.HasLeft }

// Served notes the answer and its body.
func (r *Replies) Served(body []byte) {
	r.Answers, r.Bodies = append(r.Answers, "served"), append(r.Bodies, string(body))
}

// Refused notes the answer.
func (r *Replies) Refused(time.Duration, string) { r.Answers = append(r.Answers, "refused") }

// Failed notes the answer.
func (r *Replies) Failed(core.Failure) { r.Answers = append(r.Answers, "failed") }
