package workerlink

import (
	"strconv"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
)

// Send writes a call to a worker: on the fullest connection with few calls, then a new one, then any with a stream left.
func (p *Pool) Send(a core.Attempt) {
	h := p.hosts[a.Host]
	if h == nil {
		p.ends.Ended(a.Ref, core.AttemptResult{Outcome: decide.NoConn})
		return
	}
	c := p.forCall(h, a.Call.ID)
	if c == nil {
		p.ends.Ended(a.Ref, core.AttemptResult{Outcome: decide.NoConn})
		return
	}
	c.busy()
	c.out.queueCall(a, p.loop.Now())
	c.open[a.Call.ID], c.sent[a.Ref] = a.Ref, p.loop.Now()
}

// lapsed reports whether a message must not be written any more: its client has left, its time is over, or it was decided
// too long ago. A process that was stopped goes on with what it had decided before, and much may have been told meanwhile.
func (p *Pool) lapsed(m message) bool {
	if m.kind == commandMessage {
		return false
	}
	if p.loop.Clock()-m.at > p.set.ConnectTimeout+blockLimit+writeLag {
		return true
	}
	call := m.call.Call
	return m.kind == callMessage && (call.Reply != nil && call.Reply.ClientGone() || m.call.Budget(p.loop) < time.Millisecond)
}

// forCall returns the connection that a call under this id goes out on, nil if there can be none.
func (p *Pool) forCall(h *host, id string) *conn {
	streams := max(1, p.set.StreamsPerConn)
	with := func(most int) *conn {
		return h.pick(func(c *conn) bool {
			_, twice := c.open[id]
			return len(c.open) < most && !twice && !c.used[id] && !c.quiet && !c.blocked
		})
	}
	c := with(min(spreadWith, streams))
	if c == nil && len(h.conns) < spreadOver {
		c = p.dial(h)
	}
	if c == nil {
		c = with(streams)
	}
	if c == nil {
		c = p.dial(h)
	}
	return c
}

// Cancel gives an attempt up. One that has not been written yet is taken back.
func (p *Pool) Cancel(name string, ref core.Ref) {
	if c, id := p.carrier(name, ref); c != nil {
		c.giveUp(id, ref)
	}
}

// WithdrawAttempt takes an attempt back if it has not been written yet, and reports whether it could.
func (p *Pool) WithdrawAttempt(name string, ref core.Ref) bool {
	c, id := p.carrier(name, ref)
	if c == nil || !c.out.takeBack(ref) {
		return false
	}
	c.drop(id, ref)
	return true
}

// carrier is the connection that an attempt is open on, and its id there.
func (p *Pool) carrier(name string, ref core.Ref) (*conn, string) {
	h := p.hosts[name]
	if h == nil {
		return nil, ""
	}
	for _, c := range h.conns {
		for id, open := range c.open {
			if open == ref {
				return c, id
			}
		}
	}
	return nil, ""
}

// Load orders copies. An order needs a connection, but no stream of it.
func (p *Pool) Load(ref core.Ref, name, function string, copies int) {
	h := p.hosts[name]
	if h == nil {
		p.ends.Loaded(ref, decide.NoConn, 0)
		return
	}
	c := h.pick(func(c *conn) bool { return !c.quiet && !c.blocked })
	if c == nil {
		if c = p.dial(h); c == nil {
			p.ends.Loaded(ref, decide.NoConn, 0)
			return
		}
	}
	tag := "load-" + strconv.FormatUint(uint64(ref), 16)
	c.busy()
	c.out.queueLoad(tag, ref, function, copies, p.loop.Now())
	c.orders[tag] = ref
}

// Probe asks whether a worker answers, and for its load where the site's answers tell one.
func (p *Pool) Probe(ref core.Ref, name string) {
	h := p.hosts[name]
	if h == nil {
		p.ends.Probed(ref, decide.NoConn, nil)
		return
	}
	c := h.pick(func(c *conn) bool { return c.ready }) // also one that is quiet: that is what is asked
	if c == nil {
		if c = p.dial(h); c == nil {
			p.ends.Probed(ref, decide.Nop, nil)
			return
		}
	}
	tag := "probe-" + strconv.FormatUint(uint64(ref), 16)
	word := "PING"
	if len(p.set.ReportFields) > 0 {
		word = "STATS"
	}
	c.busy()
	c.out.queueCommand(word, tag)
	c.probes[tag] = ref
}

// Forget drops an order or a probe that nobody waits for.
func (p *Pool) Forget(name string, ref core.Ref) {
	if h := p.hosts[name]; h != nil {
		id := strconv.FormatUint(uint64(ref), 16)
		for _, c := range h.conns {
			for tag, open := range map[string]map[string]core.Ref{"load-" + id: c.orders, "probe-" + id: c.probes} {
				if _, ok := open[tag]; ok {
					delete(open, tag)
					c.retire(tag)
					c.rest()
				}
			}
		}
	}
}

// Unload has the idle copies of a function unloaded; there is no answer.
func (p *Pool) Unload(name, function string) {
	if h := p.hosts[name]; h != nil {
		if c := h.pick(func(*conn) bool { return true }); c != nil {
			c.busy()
			c.out.queueCommand("UNLOAD", function)
			c.rest()
		}
	}
}
