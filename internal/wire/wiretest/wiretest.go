// Package wiretest is shared by the tests of the wire packages: an event loop on a clock that only the test advances, and a
// network in memory that delivers one step at a time, in a fixed order.
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

// World is an event loop with its clock and a network in memory.
type World struct {
	T        testing.TB
	Loop     *core.Loop
	MaxChunk int // bytes that one delivery carries at most; 0 for no limit

	now        time.Duration
	steps      []func() // deliveries and closes that have not happened yet, in order
	listeners  map[string]func(*Conn) sock.Handler
	Unanswered map[string]bool // addresses where a connect gets no answer
	Dials      int             // connects so far

	ConnectDelay time.Duration // time until a connect is answered
}

// New returns a world at a fixed time.
func New(t testing.TB) *World {
	w := &World{T: t, now: 1000 * time.Hour, listeners: map[string]func(*Conn) sock.Handler{}, Unanswered: map[string]bool{}}
	w.Loop = core.NewLoop(func() time.Duration { return w.now })
	return w
}

// Now is the time of the world's clock.
func (w *World) Now() time.Duration { return w.now }

// Stall moves the clock without running the loop, as if one loop iteration took that long.
func (w *World) Stall(d time.Duration) { w.now += d }

// Log returns a logger for the parts under test. It discards everything.
func (w *World) Log() *zap.Logger { return zap.NewNop() }

// Run delivers steps and runs the loop until nothing is left to do at the present time.
func (w *World) Run() {
	w.Loop.RunOnce()
	for n := 0; len(w.steps) > 0; n++ {
		if n > 1e5 {
			w.T.Fatal("more than 100000 deliveries without the clock advancing")
		}
		step := w.steps[0]
		w.steps = w.steps[1:]
		step()
		w.Loop.RunOnce()
	}
}

// Advance moves the clock by d and runs the loop at each deadline on the way.
func (w *World) Advance(d time.Duration) {
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

// Listen makes connects to addr succeed, with accept as the handler of the listening end. A nil accept refuses them.
func (w *World) Listen(addr string, accept func(*Conn) sock.Handler) { w.listeners[addr] = accept }

// Dial connects to addr, so that a World is a sock.Dialer.
func (w *World) Dial(addr string, _ time.Duration, h sock.Handler, done func(sock.Conn, error)) {
	w.Dials++
	if w.Unanswered[addr] {
		return
	}
	answer := func() {
		accept := w.listeners[addr]
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

// Pair connects two ends: near is handled by h, and far by what accept returns.
func (w *World) Pair(h sock.Handler, accept func(*Conn) sock.Handler) (near, far *Conn) {
	near, far = &Conn{world: w, handler: h}, &Conn{world: w}
	near.peer, far.peer = far, near
	far.handler = accept(far)
	return near, far
}

// Conn is one end of a connection in memory.
type Conn struct {
	world       *World
	handler     sock.Handler
	peer        *Conn
	closed      bool
	delivered   int  // deliveries to its handler so far
	Blackholed  bool // nothing written to it or by it arrives, as with a machine that has vanished
	UnsentBytes int  // bytes that the other end has not made room for yet, as set by the test; see Flush
}

// Far returns the other end.
func (c *Conn) Far() *Conn { return c.peer }

// Unsent returns UnsentBytes.
func (c *Conn) Unsent() int { return c.UnsentBytes }

// Flush sets UnsentBytes to 0 and notifies the handler that the other end has made room.
func (c *Conn) Flush() {
	c.UnsentBytes = 0
	if f, ok := c.handler.(sock.Flusher); ok && !c.closed {
		c.world.steps = append(c.world.steps, f.Flushed)
	}
}

func (c *Conn) Write(b []byte) (int, error) {
	if c.closed {
		return 0, errors.New("closed")
	}
	for rest := append([]byte(nil), b...); len(rest) > 0; {
		n := len(rest)
		if c.world.MaxChunk > 0 {
			n = min(n, c.world.MaxChunk)
		}
		part := rest[:n]
		rest = rest[n:]
		c.world.steps = append(c.world.steps, func() {
			if p := c.peer; !p.closed && !p.Blackholed && !c.Blackholed {
				p.delivered++
				if err := p.handler.Data(part); err != nil {
					p.end(err)
				}
			}
		})
	}
	return len(b), nil
}

// Close ends the connection. Both handlers are notified, the far one after it has got what was written before.
func (c *Conn) Close() error {
	c.end(nil)
	return nil
}

// CloseIfNoNewData ends the connection in a step of its own, unless its handler has had more than the given number of deliveries by then.
func (c *Conn) CloseIfNoNewData(delivered int) {
	c.world.steps = append(c.world.steps, func() {
		if c.delivered == delivered {
			c.end(nil)
		}
	})
}

func (c *Conn) end(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.world.steps = append(c.world.steps, func() { c.handler.Closed(err) })
	if !c.Blackholed {
		c.world.steps = append(c.world.steps, func() { c.peer.end(io.EOF) })
	}
}

// Closed reports whether this end is closed.
func (c *Conn) Closed() bool { return c.closed }

// Peer is a handler that stores what it receives, for tests that write the other side of a protocol by hand.
type Peer struct {
	*Conn
	Received []byte
	Ended    bool
}

// Data stores what has arrived.
func (p *Peer) Data(b []byte) error { p.Received = append(p.Received, b...); return nil }

// Closed records the end of the connection.
func (p *Peer) Closed(error) { p.Ended = true }

// Take returns what has arrived since the last Take.
func (p *Peer) Take() string {
	s := string(p.Received)
	p.Received = nil
	return s
}

// Site returns settings of a small site: a safe and a keyed class, and two tenants.
func Site() *settings.Site {
	return &settings.Site{Classes: []string{"read", "command"}, Tenants: []string{"a", "b"}, Zones: []string{"x", "y"},
		Kinds: []string{"std"}, ConnIdle: 30 * time.Second, ConnectTimeout: 250 * time.Millisecond, StreamsPerConn: 2,
		Decide: decide.Settings{
			Classes: []decide.Class{
				{Deadline: 4 * time.Second, Effect: decide.Safe, Window: 5 * time.Second},
				{Deadline: 4 * time.Second, Effect: decide.Keyed, KeyScope: decide.SameZone,
					Window: 8 * time.Second},
			},
			Tenants: []decide.Tenant{{Share: 0.5}, {Share: 0.5}}, Gateways: 2, MaxAttempts: 3, Parallel: true,
			Cancelling: true, MaxRetryAfter: 2 * time.Second, DrainGrace: 2 * time.Second, ColdFrom: 0.2,
			ColdFor: 10 * time.Second, CollapseMultiple: 2.5, CollapseAfter: 3 * time.Second, KeepAlive: 10 * time.Second,
			Orders: true, LoadsOnMiss: true, MarksCold: true, FreeOrders: 2, OrderShare: 0.3,
			OrderWindow: 10 * time.Second, OrderTimeout: 10 * time.Second,
		}}
}

// Replies is a core.Reply that records the answers of calls.
type Replies struct {
	Answers []string
	Bodies  []string
	HasLeft bool // the caller has left, though the core has not been notified
}

// ClientGone returns HasLeft.
func (r *Replies) ClientGone() bool { return r.HasLeft }

// Served records the answer and its body.
func (r *Replies) Served(body []byte) {
	r.Answers, r.Bodies = append(r.Answers, "served"), append(r.Bodies, string(body))
}

// Refused records the answer.
func (r *Replies) Refused(time.Duration, string) { r.Answers = append(r.Answers, "refused") }

// Failed records the answer.
func (r *Replies) Failed(core.Failure) { r.Answers = append(r.Answers, "failed") }
