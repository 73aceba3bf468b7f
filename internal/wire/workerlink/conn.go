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
	maxRetiredIDs  = 256                    // retired ids that a connection remembers
	stallTimeout   = 100 * time.Millisecond // for the rest of a partial answer, and for the first bytes after a call was sent
	blockedTimeout = 100 * time.Millisecond // for a worker to accept written bytes, so that no call reaches it later than that
	maxIdleBuffer  = 64 << 10               // bytes of the write buffer that an outbox retains between writes
)

// conn is one connection to a worker. It carries attempts, load orders and probes from when it is ready until it ends.
type conn struct {
	pool         *Pool
	ref          core.Ref
	host         *host
	sock         sock.Conn
	ready        bool
	ended        bool
	timer        *core.Deadline // connect timeout, and idle timeout once ready
	outbox       outbox
	blocked      bool                       // the kernel has not accepted all that was written
	blockedTimer *core.Deadline             // runs while blocked
	attempts     map[string]core.Ref        // open attempts by their id on the wire
	orders       map[string]core.Ref        // open load orders by their id on the wire
	probes       map[string]core.Ref        // open probes by their id on the wire
	partialTimer *core.Deadline             // runs while an answer is incomplete
	lastReceived time.Duration              // when bytes were last received
	assignedAt   map[core.Ref]time.Duration // when each open attempt was assigned to the connection
	unresponsive bool                       // an attempt was abandoned with nothing received since it was sent: no new calls until bytes arrive
	// retired holds ids that were answered or abandoned on this connection, or answered before they were used. A late answer under
	// such an id must not be taken for the answer to a later attempt. retiredOrder lists them from oldest to newest.
	retired      map[string]bool
	retiredOrder []string
}

// retire prevents an id from being used again on the connection. Only the latest maxRetiredIDs ids are remembered.
func (c *conn) retire(id string) {
	if c.retired[id] {
		return
	}
	if len(c.retiredOrder) >= maxRetiredIDs {
		delete(c.retired, c.retiredOrder[0])
		c.retiredOrder = append(c.retiredOrder[:0], c.retiredOrder[1:]...)
	}
	c.retired[id], c.retiredOrder = true, append(c.retiredOrder, id)
}

// connected handles the result of the dial.
func (c *conn) connected(socket sock.Conn, err error) {
	if c.ended { // failed before the dial finished, for instance by the connect timeout
		if socket != nil {
			socket.Close()
		}
		return
	}
	if err != nil {
		c.fail(decide.NoConn, err)
		return
	}
	c.sock, c.ready = socket, true
	c.flush()
	c.checkIdle()
}

// scheduleFlush has the outbox written at the end of the loop iteration, and stops the idle timeout. It is called before a message
// is queued: an outbox that is not empty is scheduled already.
func (c *conn) scheduleFlush() {
	if c.ready {
		c.pool.loop.Cancel(c.timer)
		if c.outbox.empty() {
			c.pool.loop.DeferFlush(c.flush)
		}
	}
}

// idle reports whether the connection has no open attempts, orders or probes.
func (c *conn) idle() bool { return len(c.attempts)+len(c.orders)+len(c.probes) == 0 }

// checkIdle starts the idle timeout if nothing is open on the connection. An unresponsive connection is closed instead.
func (c *conn) checkIdle() {
	if c.ended || !c.ready {
		return
	}
	c.pool.loop.Cancel(c.timer)
	if c.idle() {
		if c.unresponsive { // closing loses nothing, and the worker may never answer again
			c.pool.loop.DeferFlush(func() { // at the end of the iteration, after the CANCEL has been written
				if c.unresponsive && c.idle() {
					c.fail(decide.Reset, errors.New("silent"))
				}
			})
			return
		}
		c.timer = c.pool.loop.After(max(time.Second, c.pool.site.ConnIdle-idleMargin), func() { c.fail(decide.Reset, nil) })
	}
}

// flush writes the outbox. While the kernel has not accepted the previous write, messages stay in the outbox, where they can still be
// withdrawn. Messages that have expired since they were queued are not written.
func (c *conn) flush() {
	if c.ended || !c.ready || c.blocked {
		return
	}
	c.withdrawExpired()
	if c.ended || c.outbox.empty() {
		return
	}
	bytes, calls := c.outbox.render(c.pool.loop)
	if _, err := c.sock.Write(bytes); err != nil {
		c.fail(decide.Reset, err)
		return
	}
	c.pool.receiver.Wrote(calls)
	if c.sock.Unsent() > 0 {
		c.blocked = true
		c.blockedTimer = c.pool.loop.After(blockedTimeout, func() { c.fail(decide.Reset, errors.New("worker takes no bytes")) })
	}
}

// unblocked resumes writing once the kernel has accepted all that was written.
func (c *conn) unblocked() {
	if c.ended || !c.blocked {
		return
	}
	c.pool.loop.Cancel(c.blockedTimer)
	c.blocked = false
	c.flush()
}

// withdraw withdraws all calls and orders that have not been written.
func (c *conn) withdraw() {
	c.endWithdrawn(c.outbox.removeMatching(func(m message) bool { return m.kind != commandMessage }))
}

// endWithdrawn reports calls and orders that were removed from the outbox as not executed, since they were never sent.
func (c *conn) endWithdrawn(removed []message) {
	for _, m := range removed {
		if m.kind == loadMessage {
			delete(c.orders, m.id)
			c.pool.receiver.Loaded(m.ref, decide.NotSent, 0)
			continue
		}
		c.removeAttempt(m.id, m.ref)
		c.pool.receiver.Ended(m.ref, core.AttemptResult{Outcome: decide.NotSent})
	}
	if len(removed) > 0 {
		c.checkIdle()
	}
}

// removeAttempt removes an attempt from the open ones.
func (c *conn) removeAttempt(id string, ref core.Ref) {
	delete(c.attempts, id)
	delete(c.assignedAt, ref)
}

// dropUnwritten removes an attempt that was never written. Its id stays usable.
func (c *conn) dropUnwritten(id string, ref core.Ref) {
	c.removeAttempt(id, ref)
	c.checkIdle()
}

// abandon ends an attempt whose result is not needed any more: it is withdrawn if unwritten, else a CANCEL is sent for it. If the
// attempt was sent at least stallTimeout ago and nothing was received since, the connection counts as unresponsive.
func (c *conn) abandon(id string, ref core.Ref) {
	if c.outbox.withdrawCall(ref) {
		c.dropUnwritten(id, ref)
		return
	}
	assigned := c.assignedAt[ref]
	c.removeAttempt(id, ref)
	c.retire(id)
	c.unresponsive = c.unresponsive || c.lastReceived < assigned && c.pool.loop.Now()-assigned >= stallTimeout
	c.scheduleFlush()
	c.outbox.queueCommand("CANCEL", id)
	c.checkIdle()
}

// lossLevel returns the level at which the end of the connection is logged: debug if no attempt or order is open on it.
func (c *conn) lossLevel() zapcore.Level {
	if len(c.attempts)+len(c.orders) > 0 {
		return zapcore.InfoLevel
	}
	return zapcore.DebugLevel
}

// noteFor classifies a connection error: nobody listens at the worker's address, the fault is on this machine, or neither.
func noteFor(err error) decide.Note {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return decide.ConnectionRefused
	case sock.LocalFault(err):
		return decide.LocalFault
	}
	return decide.NoNote
}

// fail ends the connection and everything open on it. Calls that were not written end with NoConn, since they have not run.
func (c *conn) fail(outcome decide.Outcome, err error) {
	if c.ended {
		return
	}
	c.ended = true
	if !c.ready {
		outcome = decide.NoConn
	}
	c.pool.loop.Cancel(c.timer)
	c.pool.loop.Cancel(c.partialTimer)
	c.pool.loop.Cancel(c.blockedTimer)
	c.pool.conns.Free(c.ref)
	c.host.conns = slices.DeleteFunc(c.host.conns, func(other *conn) bool { return other == c })
	if c.sock != nil {
		c.sock.Close()
	}
	c.pool.log.Log(c.lossLevel(), "worker connection lost", zap.String("worker", c.host.name), zap.Bool("connected", c.ready),
		zap.Int("attempts", len(c.attempts)), zap.Int("orders", len(c.orders)), zap.Error(err))
	unwritten := map[core.Ref]bool{}
	for _, m := range c.outbox.messages {
		if m.kind == callMessage { // refs of orders are numbered separately and may equal those of attempts
			unwritten[m.ref] = true
		}
	}
	for _, ref := range slices.Sorted(maps.Values(c.attempts)) {
		end := core.AttemptResult{Outcome: outcome, Note: noteFor(err)}
		if unwritten[ref] {
			end.Outcome = decide.NoConn
		}
		c.pool.receiver.Ended(ref, end)
	}
	for _, ref := range slices.Sorted(maps.Values(c.orders)) {
		c.pool.receiver.Loaded(ref, outcome, 0)
	}
	for _, ref := range slices.Sorted(maps.Values(c.probes)) {
		c.pool.receiver.Probed(ref, outcome, nil)
	}
}
