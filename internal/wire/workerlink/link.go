package workerlink

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
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
	idleMargin = 3 * time.Second        // we close so long before the worker would, or a call could cross its close
	maxUsed    = 256                    // ids that a connection remembers, so as not to use them again
	stallLimit = 100 * time.Millisecond // an answer that has begun is whole by then, or never
)

// Pool holds the connections to the workers. All of it belongs to the turn.
type Pool struct {
	loop  *core.Loop
	net   sock.Dialer
	set   *settings.Site
	ends  core.Ends
	log   *zap.Logger
	hosts map[string]*host
	conns *core.Table[*conn]
}

// New returns a pool of at most limit connections.
func New(loop *core.Loop, net sock.Dialer, set *settings.Site, limit int, log *zap.Logger) *Pool {
	return &Pool{loop: loop, net: net, set: set, log: log, hosts: map[string]*host{}, conns: core.NewTable[*conn](limit)}
}

// Limit changes how many connections are held at most.
func (p *Pool) Limit(n int) { p.conns.Limit(n) }

// Serve says who takes the ends.
func (p *Pool) Serve(e core.Ends) { p.ends = e }

// host is a worker by its id; a new worker at the same address is another host.
type host struct {
	name, addr string
	since      time.Duration
	gone       bool
	conns      []*conn
}

// conn is one connection. It is connecting until ready, then carries attempts and orders until it ends.
type conn struct {
	p      *Pool
	ref    core.Ref
	h      *host
	sock   sock.Conn
	ready  bool
	ended  bool
	timer  *core.Deadline // connect, later idle
	out    []byte
	calls  []span              // the calls in out, while it waits for the connection
	tries  int                 // the number of calls in out
	open   map[string]core.Ref // attempts by the id spoken on the wire
	orders map[string]core.Ref
	probes map[string]core.Ref
	stall  *core.Deadline             // of an answer that has begun
	heard  time.Duration              // when something last came
	sent   map[core.Ref]time.Duration // when the open attempts were given to it
	quiet  bool                       // has let an attempt end without a word: gets no other until it speaks
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

// span is where a call stands in out.
type span struct {
	ref        core.Ref
	start, end int
}

// reader is the part of a connection that belongs to the I/O goroutine.
type reader struct {
	c      *conn
	parser Parser
}

func (r *reader) Data(b []byte) error {
	var got []Answer
	err := r.parser.Feed(b, func(a Answer) { got = append(got, a) })
	begun := !r.parser.Idle()
	c := r.c
	c.p.loop.Post(func() {
		c.heard, c.quiet = c.p.loop.Now(), false
		for _, a := range got {
			c.answer(a)
		}
		if err != nil {
			c.fail(decide.Reset, err)
			return
		}
		c.half(begun, len(got) > 0)
	})
	return err
}

func (r *reader) Closed(err error) {
	c := r.c
	c.p.loop.Post(func() { c.fail(decide.Reset, err) })
}

// half watches an answer of which a part has come. One that stops there makes the connection useless for all that is
// open on it, since whatever comes next would be read as the rest.
func (c *conn) half(begun, moved bool) {
	if moved || !begun {
		c.p.loop.Cancel(c.stall)
		c.stall = nil
	}
	if begun && c.stall == nil && !c.ended {
		c.stall = c.p.loop.After(stallLimit, func() { c.fail(decide.Reset, errors.New("half an answer")) })
	}
}

// List takes the workers' addresses. A worker that restarted or moved, or whose address another one has taken,
// has its connections closed: nothing that is still said on them may count for the new one.
func (p *Pool) List(whole bool, members []core.Member) {
	if whole {
		for _, h := range p.hosts {
			h.gone = true
		}
	}
	for _, m := range members {
		h := p.hosts[m.Name]
		if h == nil {
			h = &host{name: m.Name}
			p.hosts[m.Name] = h
		} else if h.addr != m.Addr || m.Since > h.since {
			h.closeAll(errors.New("worker was started anew"))
		}
		if h.gone = m.State == decide.Gone; !h.gone {
			for _, o := range p.hosts {
				if o != h && o.addr == m.Addr {
					o.closeAll(errors.New("address was given to another worker"))
				}
			}
		}
		h.addr, h.since = m.Addr, m.Since
	}
	for name, h := range p.hosts {
		if h.gone && len(h.conns) == 0 {
			delete(p.hosts, name)
		}
	}
}

func (h *host) closeAll(why error) {
	for len(h.conns) > 0 {
		h.conns[0].fail(decide.Reset, why)
	}
}

// Send writes a call to a worker: on the fullest connection with few calls, then a new one, then any with a stream left.
func (p *Pool) Send(a core.Attempt) {
	h := p.hosts[a.Host]
	if h == nil {
		p.later(a.Ref, decide.NoConn)
		return
	}
	id := a.Call.ID
	streams := max(1, p.set.Streams)
	with := func(most int) *conn {
		return h.pick(func(c *conn) bool {
			_, twice := c.open[id]
			return len(c.open) < most && !twice && !c.used[id] && !c.quiet
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
		if c = p.dial(h); c == nil {
			p.later(a.Ref, decide.NoConn)
			return
		}
	}
	c.busy()
	start := len(c.out)
	c.out = append(append(append(c.out, "CALL "...), id...), " queue="...)
	c.out = append(append(c.out, a.Call.ClassName...), ",path="...)
	c.out = append(append(c.out, a.Call.Function...), ",budget="...)
	c.out = strconv.AppendInt(c.out, max(1, a.Budget.Milliseconds()), 10)
	if a.Call.Key != "" {
		c.out = append(append(c.out, ",uniq="...), a.Call.Key...)
	}
	c.out = strconv.AppendInt(append(c.out, ' '), int64(len(a.Call.Body)), 10)
	c.out = append(append(append(c.out, "\r\n"...), a.Call.Body...), "\r\n"...)
	c.open[id], c.sent[a.Ref] = a.Ref, p.loop.Now()
	c.tries++
	if !c.ready {
		c.calls = append(c.calls, span{a.Ref, start, len(c.out)})
	}
}

// later ends an attempt that could not be sent, once the module has returned.
func (p *Pool) later(ref core.Ref, how decide.Outcome) { p.ends.Ended(ref, core.End{How: how}) }

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
	c.sock, c.ready, c.calls = s, true, nil
	c.flush()
	c.rest()
}

// busy marks the connection for writing at the end of the turn, and stops its idle time.
func (c *conn) busy() {
	if c.ready {
		c.p.loop.Cancel(c.timer)
		if len(c.out) == 0 {
			c.p.loop.Dirty(c.flush)
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
			c.p.loop.Dirty(func() { // once the CANCEL is written
				if c.quiet && c.idle() {
					c.fail(decide.Reset, errors.New("silent"))
				}
			})
			return
		}
		c.timer = c.p.loop.After(max(time.Second, c.p.set.ConnIdle-idleMargin), func() { c.fail(decide.Reset, nil) })
	}
}

func (c *conn) flush() {
	if c.ended || !c.ready || len(c.out) == 0 {
		return
	}
	_, err := c.sock.Write(c.out)
	if c.out = c.out[:0]; cap(c.out) > 64<<10 {
		c.out = nil
	}
	if err != nil {
		c.fail(decide.Reset, err)
		return
	}
	c.p.ends.Wrote(c.tries)
	c.tries = 0
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
	c.p.conns.Free(c.ref)
	for i, o := range c.h.conns {
		if o == c {
			c.h.conns = append(c.h.conns[:i], c.h.conns[i+1:]...)
			break
		}
	}
	if c.sock != nil {
		c.sock.Close()
	}
	if len(c.open)+len(c.orders) > 0 {
		c.p.log.Info("worker connection lost", zap.String("worker", c.h.name), zap.Bool("connected", c.ready),
			zap.Int("attempts", len(c.open)), zap.Int("orders", len(c.orders)), zap.Error(why))
	}
	for _, ref := range slices.Sorted(maps.Values(c.open)) {
		c.p.ends.Ended(ref, core.End{How: how})
	}
	for _, ref := range slices.Sorted(maps.Values(c.orders)) {
		c.p.ends.Loaded(ref, how, 0)
	}
	for _, ref := range slices.Sorted(maps.Values(c.probes)) {
		c.p.ends.Probed(ref, how, nil)
	}
}

var notes = map[string]decide.Note{"": decide.NoNote, "warm": decide.FoundWarm, "cold": decide.BeganLoad,
	"joined": decide.WaitedLoad, "load_failed": decide.LoadFailed}

var words = map[string]decide.Outcome{"OK": decide.Good, "MISS": decide.Miss, "BUSY": decide.Full,
	"ERR": decide.Bad, "VOID": decide.Nop, "UP": decide.Good, "DOWN": decide.Bad}

func (c *conn) answer(a Answer) {
	if c.ended {
		return
	}
	how, known := words[a.Word]
	note, known2 := notes[a.Detail]
	if !known || !known2 {
		c.fail(decide.Reset, fmt.Errorf("answer %q with detail %q", clip(a.Word), clip(a.Detail)))
		return
	}
	if ref, ok := c.open[a.ID]; ok {
		delete(c.open, a.ID)
		delete(c.sent, ref)
		c.retire(a.ID)
		c.rest()
		c.p.ends.Ended(ref, core.End{How: how, Note: note, Body: a.Body, Report: c.p.set.Report(a.Use, ";")})
	} else if ref, ok := c.orders[a.ID]; ok {
		delete(c.orders, a.ID)
		c.retire(a.ID)
		c.rest()
		c.p.ends.Loaded(ref, how, a.Pods)
	} else if ref, ok := c.probes[a.ID]; ok {
		delete(c.probes, a.ID)
		c.retire(a.ID)
		c.rest()
		c.p.ends.Probed(ref, how, c.p.set.Report(a.Use, ";"))
	} else if !c.used[a.ID] {
		c.retire(clip(a.ID))
		c.p.log.Warn("answer to nothing that is open", zap.String("worker", c.h.name), zap.String("word", a.Word))
	}
}

// Cancel gives an attempt up. One that has not been written yet is taken back.
func (p *Pool) Cancel(name string, ref core.Ref) {
	h := p.hosts[name]
	if h == nil {
		return
	}
	for _, c := range h.conns {
		for id, open := range c.open {
			if open != ref {
				continue
			}
			delete(c.open, id)
			at := c.sent[ref]
			delete(c.sent, ref)
			if c.takeBack(ref) {
				return
			}
			c.retire(id)
			c.quiet = c.quiet || c.ready && c.heard < at && p.loop.Now()-at >= stallLimit
			c.busy()
			c.out = append(append(append(c.out, "CANCEL "...), id...), "\r\n"...)
			c.rest()
			return
		}
	}
}

// takeBack removes a call that waits for its connection.
func (c *conn) takeBack(ref core.Ref) bool {
	i := slices.IndexFunc(c.calls, func(s span) bool { return s.ref == ref })
	if i < 0 {
		return false
	}
	s := c.calls[i]
	c.out = slices.Delete(c.out, s.start, s.end)
	c.calls = slices.Delete(c.calls, i, i+1)
	c.tries--
	for j := range c.calls[i:] {
		c.calls[i+j].start -= s.end - s.start
		c.calls[i+j].end -= s.end - s.start
	}
	return true
}

// Load orders copies. An order needs a connection, but no stream of it.
func (p *Pool) Load(ref core.Ref, name, function string, copies int) {
	h := p.hosts[name]
	if h == nil {
		p.ends.Loaded(ref, decide.NoConn, 0)
		return
	}
	c := h.pick(func(c *conn) bool { return !c.quiet })
	if c == nil {
		if c = p.dial(h); c == nil {
			p.ends.Loaded(ref, decide.NoConn, 0)
			return
		}
	}
	tag := "load-" + strconv.FormatUint(uint64(ref), 16)
	c.busy()
	c.out = fmt.Appendf(c.out, "LOAD %s path=%s,pods=%d\r\n", tag, function, copies)
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
	word := "PING "
	if len(p.set.Reports) > 0 {
		word = "STATS "
	}
	c.busy()
	c.out = append(append(append(c.out, word...), tag...), "\r\n"...)
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
			c.out = append(append(append(c.out, "UNLOAD "...), function...), "\r\n"...)
			c.rest()
		}
	}
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

// Conns is the number of connections, those still to come up included.
func (p *Pool) Conns() int { return p.conns.Len() }
