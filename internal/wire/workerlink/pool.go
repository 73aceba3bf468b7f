package workerlink

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/sock"
)

const (
	// Calls to a worker are first spread over preferredConns connections with preferredCallsPerConn calls on each, because a connection
	// that fails ends every call on it. Only then are the remaining streams and further connections used.
	preferredConns        = 4
	preferredCallsPerConn = 4

	maxConnsPerWorker = 8

	// maxLoopDelay is how long the event loop may take between a decision and its write, in addition to the time spent waiting for a
	// connection.
	maxLoopDelay = 150 * time.Millisecond

	// idleMargin is how long before the worker's idle timeout the gateway closes an idle connection. Without it a call could be sent
	// while the worker closes the connection.
	idleMargin = 3 * time.Second
)

// Pool holds the connections to the workers. It is used on the event loop only.
type Pool struct {
	loop     *core.Loop
	dialer   sock.Dialer
	site     *settings.Site
	receiver core.ResultHandler
	log      *zap.Logger
	hosts    map[string]*host // by id
	byAddr   map[string]*host // first host at each address, linked to the others by nextAtAddr
	departed []*host          // hosts no longer listed, dropped once they have no connection
	conns    *core.Table[*conn]
}

// New returns a pool of at most limit connections.
func New(loop *core.Loop, dialer sock.Dialer, site *settings.Site, limit int, log *zap.Logger) *Pool {
	return &Pool{loop: loop, dialer: dialer, site: site, log: log, hosts: map[string]*host{}, byAddr: map[string]*host{},
		conns: core.NewTable[*conn](limit)}
}

// SetLimit changes the maximum number of connections.
func (p *Pool) SetLimit(n int) { p.conns.SetLimit(n) }

// SetReceiver sets what receives the outcomes of attempts, load orders and probes.
func (p *Pool) SetReceiver(receiver core.ResultHandler) { p.receiver = receiver }

// Conns returns the number of connections, including those being dialled.
func (p *Pool) Conns() int { return p.conns.Len() }

// host is a worker, identified by its id: another worker that takes over the same address is another host.
type host struct {
	name, addr string
	since      time.Duration // when the worker's process started
	gone       bool          // no longer listed
	conns      []*conn
	nextAtAddr *host // next host with the same address
}

// ApplyList updates the workers' addresses; members holds the whole list if complete is set, else only its changes. The connections of a
// worker that restarted or moved, or whose address another worker has taken, are closed: an answer that still arrives on them must
// not count for the new process. The cost of an update depends on the number of changes, not on the length of the list.
func (p *Pool) ApplyList(complete bool, members []core.Member) {
	if complete {
		for _, h := range p.hosts {
			p.markGone(h)
		}
	}
	for _, m := range members {
		p.updateWorker(m)
	}
	p.departed = slices.DeleteFunc(p.departed, func(h *host) bool {
		if h.gone && len(h.conns) == 0 && p.hosts[h.name] == h {
			delete(p.hosts, h.name)
			p.unlinkAddr(h)
		}
		return !h.gone || p.hosts[h.name] != h
	})
}

// updateWorker applies one entry of the list.
func (p *Pool) updateWorker(m core.Member) {
	h := p.hosts[m.Name]
	if h == nil {
		h = &host{name: m.Name, addr: m.Addr}
		p.hosts[m.Name] = h
		p.linkAddr(h)
	} else if h.addr != m.Addr || m.Since > h.since {
		h.closeAll(errors.New("worker restarted or moved to another address"))
	}
	if h.addr != m.Addr {
		p.unlinkAddr(h)
		h.addr = m.Addr
		p.linkAddr(h)
	}
	if m.State == decide.Gone {
		p.markGone(h)
	} else {
		h.gone = false
		for other := p.byAddr[m.Addr]; other != nil; other = other.nextAtAddr {
			if other != h {
				other.closeAll(errors.New("another worker has taken over the address"))
			}
		}
	}
	h.since = m.Since
}

// markGone records that a worker is no longer listed.
func (p *Pool) markGone(h *host) {
	if !h.gone {
		h.gone, p.departed = true, append(p.departed, h)
	}
}

// linkAddr adds a worker to the index by address.
func (p *Pool) linkAddr(h *host) { h.nextAtAddr, p.byAddr[h.addr] = p.byAddr[h.addr], h }

// unlinkAddr removes a worker from the index by address.
func (p *Pool) unlinkAddr(h *host) {
	previous := p.byAddr[h.addr]
	switch {
	case previous == h && h.nextAtAddr == nil:
		delete(p.byAddr, h.addr)
	case previous == h:
		p.byAddr[h.addr] = h.nextAtAddr
	default:
		for previous.nextAtAddr != h {
			previous = previous.nextAtAddr
		}
		previous.nextAtAddr = h.nextAtAddr
	}
	h.nextAtAddr = nil
}

func (h *host) closeAll(err error) {
	for len(h.conns) > 0 {
		h.conns[0].fail(decide.Reset, err)
	}
}

// WithdrawUnwritten withdraws the unwritten calls and orders for workers that may get nothing new. Otherwise they could still be written later,
// when the connection is established or no longer blocked.
func (p *Pool) WithdrawUnwritten(mayGet func(worker string) bool) {
	p.conns.Each(func(_ core.Ref, c *conn) {
		if !c.outbox.empty() && !mayGet(c.host.name) {
			c.withdraw()
		}
	})
}

// pick returns the matching connection with the most open attempts, so that the others can become idle and close. Connections that are
// ready come before those being dialled.
func (h *host) pick(match func(*conn) bool) (best *conn) {
	for _, c := range h.conns {
		if match(c) && (best == nil || c.ready && !best.ready || c.ready == best.ready && len(c.attempts) > len(best.attempts)) {
			best = c
		}
	}
	return best
}

// dial opens another connection to a worker. At the pool's limit it closes an idle connection to make room. It returns nil if the worker
// has the maximum number of connections or there is no room.
func (p *Pool) dial(h *host) *conn {
	if len(h.conns) >= maxConnsPerWorker {
		return nil
	}
	c := &conn{pool: p, host: h, attempts: map[string]core.Ref{}, orders: map[string]core.Ref{}, probes: map[string]core.Ref{},
		retired: map[string]bool{}, assignedAt: map[core.Ref]time.Duration{}}
	ref, ok := p.conns.Put(c)
	if !ok && p.closeIdle() {
		ref, ok = p.conns.Put(c)
	}
	if !ok {
		return nil
	}
	c.ref = ref
	h.conns = append(h.conns, c)
	limit := p.site.ConnectTimeout
	c.timer = p.loop.After(limit, func() { c.fail(decide.NoConn, errors.New("connect timed out")) })
	p.dialer.Dial(h.addr, limit, &reader{conn: c}, func(socket sock.Conn, err error) {
		p.loop.Post(func() { c.connected(socket, err) })
	})
	return c
}

// closeIdle closes the connection that has been idle for the longest time, and reports whether there was one.
func (p *Pool) closeIdle() bool {
	var idle *conn
	p.conns.Each(func(_ core.Ref, c *conn) {
		if c.ready && c.idle() && (idle == nil || c.timer.Before(idle.timer)) {
			idle = c
		}
	})
	if idle != nil {
		idle.fail(decide.Reset, nil)
	}
	return idle != nil
}

// Release closes the idle connections to a worker.
func (p *Pool) Release(name string) {
	if h := p.hosts[name]; h != nil {
		for _, c := range append([]*conn(nil), h.conns...) {
			if c.ready && c.idle() {
				c.fail(decide.Reset, nil)
			}
		}
	}
}
