package workerlink

import (
	"strconv"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
)

// Send queues a call to a worker; connForCall chooses the connection. Without one the attempt ends with NoConn.
func (p *Pool) Send(a core.Attempt) {
	h := p.hosts[a.Host]
	if h == nil {
		p.receiver.Ended(a.Ref, core.AttemptResult{Outcome: decide.NoConn})
		return
	}
	c := p.connForCall(h, a.Call.ID)
	if c == nil {
		p.receiver.Ended(a.Ref, core.AttemptResult{Outcome: decide.NoConn})
		return
	}
	c.scheduleFlush()
	c.outbox.queueCall(a, p.loop.Now())
	c.attempts[a.Call.ID], c.assignedAt[a.Ref] = a.Ref, p.loop.Now()
}

// expired reports whether a message must not be written any more, because its client has left, its time is over, or it was queued too
// long ago. The last case covers a process that was suspended: since the decision, the worker may have started to drain.
func (p *Pool) expired(m message) bool {
	if m.kind == commandMessage {
		return false
	}
	if p.loop.Clock()-m.queuedAt > p.site.ConnectTimeout+blockedTimeout+maxLoopDelay {
		return true
	}
	call := m.call.Call
	return m.kind == callMessage && (call.Reply != nil && call.Reply.ClientGone() || m.call.Budget(p.loop) < time.Millisecond)
}

// withdrawExpired ends the messages that have expired since they were queued. That may take time in which others expire.
func (c *conn) withdrawExpired() {
	for !c.ended {
		expired := c.outbox.removeMatching(c.pool.expired)
		if len(expired) == 0 {
			return
		}
		c.endWithdrawn(expired)
	}
}

// connForCall returns the connection for a call under this id: one with fewer than preferredCallsPerConn calls, else a new one if there
// are fewer than preferredConns, else any with a free stream, else a new one. Of several it takes the one with the most calls. It returns
// nil if there is none and none can be dialled.
func (p *Pool) connForCall(h *host, id string) *conn {
	streams := max(1, p.site.StreamsPerConn)
	connWithRoom := func(limit int) *conn {
		return h.pick(func(c *conn) bool {
			_, inUse := c.attempts[id]
			return len(c.attempts) < limit && !inUse && !c.retired[id] && !c.unresponsive && !c.blocked
		})
	}
	c := connWithRoom(min(preferredCallsPerConn, streams))
	if c == nil && len(h.conns) < preferredConns {
		c = p.dial(h)
	}
	if c == nil {
		c = connWithRoom(streams)
	}
	if c == nil {
		c = p.dial(h)
	}
	return c
}

// Cancel abandons an attempt, whose end is then not reported. A call that has not been written is withdrawn.
func (p *Pool) Cancel(name string, ref core.Ref) {
	if c, id := p.connOfAttempt(name, ref); c != nil {
		c.abandon(id, ref)
	}
}

// WithdrawAttempt withdraws an attempt if it has not been written, and reports whether it did. Its end is then not reported.
func (p *Pool) WithdrawAttempt(name string, ref core.Ref) bool {
	c, id := p.connOfAttempt(name, ref)
	if c == nil || !c.outbox.withdrawCall(ref) {
		return false
	}
	c.dropUnwritten(id, ref)
	return true
}

// connOfAttempt returns the connection on which an attempt is open, and the attempt's id on the wire; nil if there is none.
func (p *Pool) connOfAttempt(name string, ref core.Ref) (*conn, string) {
	h := p.hosts[name]
	if h == nil {
		return nil, ""
	}
	for _, c := range h.conns {
		for id, attempt := range c.attempts {
			if attempt == ref {
				return c, id
			}
		}
	}
	return nil, ""
}

// Load orders a worker to load copies of a function. An order needs a connection but does not occupy one of its streams.
func (p *Pool) Load(ref core.Ref, name, function string, copies int) {
	h := p.hosts[name]
	if h == nil {
		p.receiver.Loaded(ref, decide.NoConn, 0)
		return
	}
	c := h.pick(func(c *conn) bool { return !c.unresponsive && !c.blocked })
	if c == nil {
		if c = p.dial(h); c == nil {
			p.receiver.Loaded(ref, decide.NoConn, 0)
			return
		}
	}
	id := "load-" + strconv.FormatUint(uint64(ref), 16)
	c.scheduleFlush()
	c.outbox.queueLoad(id, ref, function, copies, p.loop.Now())
	c.orders[id] = ref
}

// Probe checks whether a worker answers. If load reports are configured for the site, it also requests the worker's load.
func (p *Pool) Probe(ref core.Ref, name string) {
	h := p.hosts[name]
	if h == nil {
		p.receiver.Probed(ref, decide.NoConn, nil)
		return
	}
	c := h.pick(func(c *conn) bool { return c.ready }) // may be unresponsive: the probe finds out whether it still answers
	if c == nil {
		if c = p.dial(h); c == nil {
			p.receiver.Probed(ref, decide.NotSent, nil)
			return
		}
	}
	id := "probe-" + strconv.FormatUint(uint64(ref), 16)
	command := "PING"
	if len(p.site.ReportFields) > 0 {
		command = "STATS"
	}
	c.scheduleFlush()
	c.outbox.queueCommand(command, id)
	c.probes[id] = ref
}

// Forget drops a load order or a probe whose result is not needed any more. The worker is not notified.
func (p *Pool) Forget(name string, ref core.Ref) {
	if h := p.hosts[name]; h != nil {
		suffix := strconv.FormatUint(uint64(ref), 16)
		for _, c := range h.conns {
			for id, refs := range map[string]map[string]core.Ref{"load-" + suffix: c.orders, "probe-" + suffix: c.probes} {
				if _, ok := refs[id]; ok {
					delete(refs, id)
					c.retire(id)
					c.checkIdle()
				}
			}
		}
	}
}

// Unload sends a worker the command to unload the idle copies of a function. The worker sends no answer.
func (p *Pool) Unload(name, function string) {
	if h := p.hosts[name]; h != nil {
		if c := h.pick(func(*conn) bool { return true }); c != nil {
			c.scheduleFlush()
			c.outbox.queueCommand("UNLOAD", function)
			c.checkIdle()
		}
	}
}
