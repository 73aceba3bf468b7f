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
	spreadOver = 4                      // connections among which the calls to one worker are spread first,
	spreadWith = 4                      // with so many on each: all that is open on one ends with it
	connsEach  = 8                      // connections to one worker
	writeLag   = 150 * time.Millisecond // of turns, between a decision and its write, besides the waits for a connection
	idleMargin = 3 * time.Second        // we close so long before the worker would, or a call could cross its close
)

// Pool holds the connections to the workers. All of it belongs to the turn.
type Pool struct {
	loop  *core.Loop
	net   sock.Dialer
	set   *settings.Site
	ends  core.ResultHandler
	log   *zap.Logger
	hosts map[string]*host
	at    map[string]*host // by address: the first of those that have it, linked by next
	gone  []*host          // that may be dropped once they have no connection
	conns *core.Table[*conn]
}

// New returns a pool of at most limit connections.
func New(loop *core.Loop, net sock.Dialer, set *settings.Site, limit int, log *zap.Logger) *Pool {
	return &Pool{loop: loop, net: net, set: set, log: log, hosts: map[string]*host{}, at: map[string]*host{}, conns: core.NewTable[*conn](limit)}
}

// Limit changes how many connections are held at most.
func (p *Pool) Limit(n int) { p.conns.SetLimit(n) }

// Serve says who takes the ends.
func (p *Pool) Serve(e core.ResultHandler) { p.ends = e }

// Conns is the number of connections, those still to come up included.
func (p *Pool) Conns() int { return p.conns.Len() }

// host is a worker by its id; a new worker at the same address is another host.
type host struct {
	name, addr string
	since      time.Duration
	gone       bool
	conns      []*conn
	next       *host // with the same address
}

// ApplyList takes the workers' addresses. A worker that restarted or moved, or whose address another one has taken,
// has its connections closed: nothing that is still said on them may count for the new one. The work follows from what is told,
// not from the length of the list.
func (p *Pool) ApplyList(whole bool, members []core.Member) {
	if whole {
		for _, h := range p.hosts {
			p.depart(h)
		}
	}
	for _, m := range members {
		p.listed(m)
	}
	p.gone = slices.DeleteFunc(p.gone, func(h *host) bool {
		if h.gone && len(h.conns) == 0 && p.hosts[h.name] == h {
			delete(p.hosts, h.name)
			p.leave(h)
		}
		return !h.gone || p.hosts[h.name] != h
	})
}

func (p *Pool) listed(m core.Member) {
	h := p.hosts[m.Name]
	if h == nil {
		h = &host{name: m.Name, addr: m.Addr}
		p.hosts[m.Name] = h
		p.settle(h)
	} else if h.addr != m.Addr || m.Since > h.since {
		h.closeAll(errors.New("worker was started anew"))
	}
	if h.addr != m.Addr {
		p.leave(h)
		h.addr = m.Addr
		p.settle(h)
	}
	if m.State == decide.Gone {
		p.depart(h)
	} else {
		h.gone = false
		for o := p.at[m.Addr]; o != nil; o = o.next {
			if o != h {
				o.closeAll(errors.New("address was given to another worker"))
			}
		}
	}
	h.since = m.Since
}

// depart notes that a worker is listed no more.
func (p *Pool) depart(h *host) {
	if !h.gone {
		h.gone, p.gone = true, append(p.gone, h)
	}
}

// settle notes a worker under its address, and leave takes it out there.
func (p *Pool) settle(h *host) { h.next, p.at[h.addr] = p.at[h.addr], h }

func (p *Pool) leave(h *host) {
	before := p.at[h.addr]
	switch {
	case before == h && h.next == nil:
		delete(p.at, h.addr)
	case before == h:
		p.at[h.addr] = h.next
	default:
		for before.next != h {
			before = before.next
		}
		before.next = h.next
	}
	h.next = nil
}

func (h *host) closeAll(why error) {
	for len(h.conns) > 0 {
		h.conns[0].fail(decide.Reset, why)
	}
}

// WithdrawUnwritten takes back the calls and orders that are not written yet to workers that may get nothing new: their connection
// may come up, or take them, when it is too late.
func (p *Pool) WithdrawUnwritten(mayGet func(worker string) bool) {
	p.conns.Each(func(_ core.Ref, c *conn) {
		if !c.out.empty() && !mayGet(c.h.name) {
			c.withdraw()
		}
	})
}

// pick returns the fullest connection that suits: the emptier ones may then lie idle and close.
func (h *host) pick(suits func(*conn) bool) (best *conn) {
	for _, c := range h.conns {
		if suits(c) && (best == nil || c.ready && !best.ready || c.ready == best.ready && len(c.open) > len(best.open)) {
			best = c
		}
	}
	return best
}

func (p *Pool) dial(h *host) *conn {
	if len(h.conns) >= connsEach {
		return nil
	}
	c := &conn{p: p, h: h, open: map[string]core.Ref{}, orders: map[string]core.Ref{}, probes: map[string]core.Ref{},
		used: map[string]bool{}, sent: map[core.Ref]time.Duration{}}
	ref, ok := p.conns.Put(c)
	if !ok && p.closeIdle() {
		ref, ok = p.conns.Put(c)
	}
	if !ok {
		return nil
	}
	c.ref = ref
	h.conns = append(h.conns, c)
	limit := p.set.ConnectTimeout
	c.timer = p.loop.After(limit, func() { c.fail(decide.NoConn, errors.New("connect timed out")) })
	p.net.Dial(h.addr, limit, &reader{c: c}, func(s sock.Conn, err error) {
		p.loop.Post(func() { c.up(s, err) })
	})
	return c
}

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

// Release closes the connections to a worker that carry nothing.
func (p *Pool) Release(name string) {
	if h := p.hosts[name]; h != nil {
		for _, c := range append([]*conn(nil), h.conns...) {
			if c.ready && c.idle() {
				c.fail(decide.Reset, nil)
			}
		}
	}
}
