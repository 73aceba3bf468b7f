package workerlink

import (
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

const (
	maxUsed    = 256                    // ids that a connection remembers, so as not to use them again
	stallLimit = 100 * time.Millisecond // an answer that has begun is whole by then, or never
	blockLimit = 100 * time.Millisecond // a worker that takes no bytes for so long is not waited for: what it still gets is no older
	keepBuffer = 64 << 10               // bytes of an empty outbox that are kept for the next messages
)

// conn is one connection. It is connecting until ready, then carries attempts and orders until it ends.
type conn struct {
	p       *Pool
	ref     core.Ref
	h       *host
	sock    sock.Conn
	ready   bool
	ended   bool
	timer   *core.Deadline // connect, later idle
	out     outbox
	blocked bool                       // the worker has not taken all that was written
	block   *core.Deadline             // of that
	open    map[string]core.Ref        // attempts by the id spoken on the wire
	orders  map[string]core.Ref        // likewise
	probes  map[string]core.Ref        // likewise
	stall   *core.Deadline             // of an answer that has begun
	heard   time.Duration              // when something last came
	sent    map[core.Ref]time.Duration // when the open attempts were given to it
	quiet   bool                       // has let an attempt end without an answer: gets no other until it speaks
	// used are ids answered or given up here, or answered before they were asked: what may still come under one
	// must not be taken for the answer to a later attempt. ring has them in order.
	used map[string]bool
	ring []string
}

// retire has an id not used again on the connection, as far as it remembers.
func (c *conn) retire(id string) {
	if c.used[id] {
		return
	}
	if len(c.ring) >= maxUsed {
		delete(c.used, c.ring[0])
		c.ring = append(c.ring[:0], c.ring[1:]...)
	}
	c.used[id], c.ring = true, append(c.ring, id)
}

func (c *conn) up(s sock.Conn, err error) {
	if c.ended { // given up meanwhile
		if s != nil {
			s.Close()
		}
		return
	}
	if err != nil {
		c.fail(decide.NoConn, err)
		return
	}
	c.sock, c.ready = s, true
	c.flush()
	c.rest()
}

// busy marks the connection for writing at the end of the turn, and stops its idle time.
func (c *conn) busy() {
	if c.ready {
		c.p.loop.Cancel(c.timer)
		if c.out.empty() {
			c.p.loop.DeferFlush(c.flush)
		}
	}
}

// idle reports whether nothing is open on the connection.
func (c *conn) idle() bool { return len(c.open)+len(c.orders)+len(c.probes) == 0 }

func (c *conn) rest() {
	if c.ended || !c.ready {
		return
	}
	c.p.loop.Cancel(c.timer)
	if c.idle() {
		if c.quiet { // nothing is lost with it, and it may never speak again
			c.p.loop.DeferFlush(func() { // once the CANCEL is written
				if c.quiet && c.idle() {
					c.fail(decide.Reset, errors.New("silent"))
				}
			})
			return
		}
		c.timer = c.p.loop.After(max(time.Second, c.p.set.ConnIdle-idleMargin), func() { c.fail(decide.Reset, nil) })
	}
}

// flush writes the outbox, unless the worker still has to take what was written before: what waits here can be taken back.
// What has lapsed since it was queued is not written.
func (c *conn) flush() {
	if c.ended || !c.ready || c.blocked {
		return
	}
	c.withdrawn(c.out.takeAll(c.p.lapsed))
	if c.ended || c.out.empty() {
		return
	}
	bytes, calls := c.out.render(c.p.loop)
	if _, err := c.sock.Write(bytes); err != nil {
		c.fail(decide.Reset, err)
		return
	}
	c.p.ends.Wrote(calls)
	if c.sock.Unsent() > 0 {
		c.blocked = true
		c.block = c.p.loop.After(blockLimit, func() { c.fail(decide.Reset, errors.New("worker takes no bytes")) })
	}
}

// unblocked goes on once the worker has taken all that was written.
func (c *conn) unblocked() {
	if c.ended || !c.blocked {
		return
	}
	c.p.loop.Cancel(c.block)
	c.blocked = false
	c.flush()
}

// withdraw takes back all calls and orders that are not written yet.
func (c *conn) withdraw() {
	c.withdrawn(c.out.takeAll(func(m message) bool { return m.kind != commandMessage }))
}

// withdrawn ends what was taken out of the outbox: it was never sent.
func (c *conn) withdrawn(taken []message) {
	for _, m := range taken {
		if m.kind == loadMessage {
			delete(c.orders, m.id)
			c.p.ends.Loaded(m.ref, decide.Nop, 0)
			continue
		}
		c.forget(m.id, m.ref)
		c.p.ends.Ended(m.ref, core.AttemptResult{Outcome: decide.Nop})
	}
	if len(taken) > 0 {
		c.rest()
	}
}

// forget drops an attempt from what is open.
func (c *conn) forget(id string, ref core.Ref) {
	delete(c.open, id)
	delete(c.sent, ref)
}

// drop forgets an attempt that was never written.
func (c *conn) drop(id string, ref core.Ref) {
	c.forget(id, ref)
	c.rest()
}

// abandon ends an attempt that nobody waits for.
func (c *conn) giveUp(id string, ref core.Ref) {
	if c.out.takeBack(ref) {
		c.drop(id, ref)
		return
	}
	at := c.sent[ref]
	c.forget(id, ref)
	c.retire(id)
	c.quiet = c.quiet || c.heard < at && c.p.loop.Now()-at >= stallLimit
	c.busy()
	c.out.queueCommand("CANCEL", id)
	c.rest()
}

// lossLevel is the level at which the end of the connection is logged: debug where nothing is lost with it.
func (c *conn) lossLevel() zapcore.Level {
	if len(c.open)+len(c.orders) > 0 {
		return zapcore.InfoLevel
	}
	return zapcore.DebugLevel
}

// cause notes what an error says of a worker: that nobody listens at its address, or nothing.
func cause(why error) decide.Note {
	switch {
	case errors.Is(why, syscall.ECONNREFUSED):
		return decide.NobodyListens
	case sock.LocalFault(why):
		return decide.LocalFault
	}
	return decide.NoNote
}

// fail ends the connection and all that is open on it: what was never written has not run.
func (c *conn) fail(how decide.Outcome, why error) {
	if c.ended {
		return
	}
	c.ended = true
	if !c.ready {
		how = decide.NoConn
	}
	c.p.loop.Cancel(c.timer)
	c.p.loop.Cancel(c.stall)
	c.p.loop.Cancel(c.block)
	c.p.conns.Free(c.ref)
	c.h.conns = slices.DeleteFunc(c.h.conns, func(o *conn) bool { return o == c })
	if c.sock != nil {
		c.sock.Close()
	}
	c.p.log.Log(c.lossLevel(), "worker connection lost", zap.String("worker", c.h.name), zap.Bool("connected", c.ready),
		zap.Int("attempts", len(c.open)), zap.Int("orders", len(c.orders)), zap.Error(why))
	unwritten := map[core.Ref]bool{}
	for _, m := range c.out.messages {
		if m.kind == callMessage { // orders have refs of their own, which may be the same numbers
			unwritten[m.ref] = true
		}
	}
	for _, ref := range slices.Sorted(maps.Values(c.open)) {
		end := core.AttemptResult{Outcome: how, Note: cause(why)}
		if unwritten[ref] {
			end.Outcome = decide.NoConn
		}
		c.p.ends.Ended(ref, end)
	}
	for _, ref := range slices.Sorted(maps.Values(c.orders)) {
		c.p.ends.Loaded(ref, how, 0)
	}
	for _, ref := range slices.Sorted(maps.Values(c.probes)) {
		c.p.ends.Probed(ref, how, nil)
	}
}
