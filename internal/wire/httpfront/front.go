package httpfront

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/lifecycle/settings"
	"quillrail/internal/wire/form"
	"quillrail/internal/wire/sock"
)

const (
	idleLimit   = 30 * time.Second        // a connection with no open request
	readLimit   = 2500 * time.Millisecond // for a connection's first request, and for the rest of one that has begun
	slowLimit   = 15 * time.Second        // for the client to take an answer
	lingerLimit = 500 * time.Millisecond  // and
	lingerBytes = 4 << 20                 // for what still comes on a connection whose last answer has been given
	pipelined   = 4                       // requests that may wait on one connection behind the open one

	awayIdle  = 500 * time.Millisecond  // sent away, a client's connection may do nothing for so long,
	awayTake  = 1800 * time.Millisecond // and calls are taken for so long after the drain has begun
	awayPause = time.Second             // then clients are told to come back after this
)

var errSpilt = errors.New("more input than is worth discarding")

// Taker is the part of the core that a front needs.
type Taker interface {
	Take(core.Call) core.Ref
	Gone(core.Ref)
	Count(class int, answer string) // of a call that the front has answered
}

// Front answers HTTP clients. Its connections are a table of slots, touched on the turn alone.
type Front struct {
	loop    *core.Loop
	core    Taker
	set     *settings.Site
	log     *zap.Logger
	conns   *core.Table[*conn]
	mayHold int // bytes kept for clients that read slowly, all together,
	held    int // and as many are
	soft    int // connections from which on a new one takes the place of one that does nothing
	ready   bool
	closing bool
	away    bool           // drained: /check says no
	parting bool           // connections are ended with their next answer, or where nothing happens
	shut    bool           // and no call of theirs is taken any more
	turn    *core.Deadline // of the drain's next step
}

// New returns a front that holds at most limit connections, and from two thirds of it on as few idle ones as it can:
// clients that hold theirs for good must not use up what the platform lets clients connect.
// mayHold bounds the bytes that are kept for clients that read slowly, all together.
func New(loop *core.Loop, set *settings.Site, limit, mayHold int, log *zap.Logger) *Front {
	return &Front{loop: loop, set: set, log: log, conns: core.NewTable[*conn](limit), soft: max(1, limit*2/3),
		mayHold: mayHold}
}

// Serve makes the front answer: /check is 200 from now on.
func (f *Front) Serve(c Taker) { f.core, f.ready = c, true }

// Conns is the number of connections that are open.
func (f *Front) Conns() int { return f.conns.Len() }

// Ready reports whether clients are told to come.
func (f *Front) Ready() bool { return f.ready && !f.away && !f.closing }

// Drain sends clients away: /check answers no, answers end their connection, and connections on which nothing
// happens are closed once the platform has stopped sending new ones. Until awayTake calls that still come are taken.
func (f *Front) Drain() {
	if f.away {
		return
	}
	f.away, f.parting = true, true
	f.turn = f.loop.After(awayIdle, func() {
		f.dropIdle()
		f.turn = f.loop.After(awayTake-awayIdle, func() {
			f.shut = true
			f.dropIdle()
		})
	})
}

// Leave ends the clients' connections without sending them away: another process of the gateway has the next ones.
func (f *Front) Leave() {
	f.loop.Cancel(f.turn)
	f.parting = true
	f.turn = f.loop.After(awayIdle, f.dropIdle)
}

// Resume takes clients again, from wherever the drain has got to.
func (f *Front) Resume() {
	f.loop.Cancel(f.turn)
	f.away, f.parting, f.shut = false, false, false
}

// dropIdle closes what has no request open. Half a request gets an answer once no more are taken.
func (f *Front) dropIdle() {
	f.conns.Each(func(_ core.Ref, c *conn) {
		switch {
		case c.open != nil || c.last || c.slow:
		case !c.busy:
			c.drop()
		case f.shut:
			c.spill = true
			c.respond(503, awayFields, nil, true)
		}
	})
}

var awayFields = fmt.Sprintf("Srv-Wait-Ms: %d\r\n", awayPause.Milliseconds())

// Closing has every connection closed once its open request is answered.
func (f *Front) Closing() {
	f.closing = true
	f.conns.Each(func(_ core.Ref, c *conn) {
		if c.open != nil {
			return
		}
		if c.last = c.last || c.slow || len(c.out) > 0; !c.last { // an answer still has to go out
			c.drop()
		}
	})
}

// Held is how many bytes of answers wait for clients that read slowly, as of when each answer was given.
func (f *Front) Held() int { return f.held }

// conn is one client's connection. The parser and spilt belong to the I/O goroutine, the rest to the turn.
type conn struct {
	f      *Front
	sock   sock.Conn
	parser Parser
	spilt  int         // bytes read and discarded
	shut   atomic.Bool // nothing more is taken: the last answer is under way

	ref   core.Ref
	open  *exchange // the request that is being answered
	queue []*Request
	out   []byte
	fresh bool // no whole request has come yet
	busy  bool // part of a request has come
	last  bool // close once out is written
	slow  bool // the client has not made room for all of the last answer
	held  int  // so much was kept for it when it was last seen
	spill bool // but read and discard for a while before: a close with input unread would take the answer back
	gone  bool
	timer *core.Deadline
}

// exchange is one request and takes its answer, once.
type exchange struct {
	c    *conn
	req  core.Ref
	last bool
}

// Accept takes a new connection; called on an I/O goroutine.
func (f *Front) Accept(s sock.Conn) sock.Handler {
	c := &conn{f: f, sock: s, fresh: true}
	f.loop.Post(c.opened)
	return c
}

func (c *conn) Data(b []byte) error {
	if c.shut.Load() {
		if c.spilt += len(b); c.spilt > lingerBytes {
			return errSpilt
		}
		return nil
	}
	var got []*Request
	err := c.parser.Feed(b, func(r *Request) { got = append(got, r) })
	busy := !c.parser.Idle()
	if err != nil {
		c.shut.Store(true)
	}
	c.f.loop.Post(func() { c.take(got, busy, err) })
	return nil
}

// Flushed says that the client has made room for all that was written.
func (c *conn) Flushed() { c.f.loop.Post(c.flushed) }

func (c *conn) flushed() {
	if c.gone || !c.slow {
		return
	}
	if c.letGo(); len(c.out) > 0 { // something was written meanwhile, and is flushed in this turn
		return
	}
	if c.ended(); !c.gone {
		c.next()
	}
}

func (c *conn) Closed(error) { c.f.loop.Post(c.closed) }

func (c *conn) opened() {
	if c.f.conns.Len() >= c.f.soft {
		c.f.makeRoom()
	}
	ref, ok := c.f.conns.Put(c)
	if !ok {
		c.f.log.Warn("too many client connections", zap.Int("open", c.f.conns.Len()))
		c.gone = true
		c.sock.Close()
		return
	}
	c.ref = ref
	c.rest(c.f.idle(readLimit))
}

// makeRoom closes the oldest of the connections that have asked nothing yet, or the one that is idle longest,
// whichever are more: neither a crowd of silent clients pushes out the usual ones, nor the other way round.
func (f *Front) makeRoom() {
	var oldest [2]*conn
	var count [2]int
	f.conns.Each(func(_ core.Ref, o *conn) {
		if o.open != nil || o.slow || len(o.out) > 0 {
			return
		}
		kind := 0
		if o.fresh || o.last {
			kind = 1
		}
		if count[kind]++; oldest[kind] == nil || o.timer.Before(oldest[kind].timer) {
			oldest[kind] = o
		}
	})
	victim := oldest[0]
	if count[1] > count[0] {
		victim = oldest[1]
	}
	if victim != nil {
		victim.drop()
	}
}

// rest sets the time after which a connection without an open request is closed. Half a request gets an answer.
func (c *conn) rest(d time.Duration) {
	c.f.loop.Cancel(c.timer)
	c.timer = c.f.loop.After(d, func() {
		if c.busy && !c.last && !c.slow {
			c.spill = true
			c.respond(408, "", nil, true)
			return
		}
		c.drop()
	})
}

// settle is rest after an answer: for the next request, of which a part may be there.
func (c *conn) settle() {
	if c.busy {
		c.rest(readLimit)
	} else {
		c.rest(c.f.idle(idleLimit))
	}
}

// idle is how long a connection on which nothing happens is kept.
func (f *Front) idle(usual time.Duration) time.Duration {
	if f.parting {
		return awayIdle
	}
	return usual
}

func (c *conn) take(got []*Request, busy bool, err error) {
	if c.gone || c.last {
		return
	}
	if len(c.queue)+len(got) > pipelined {
		err, got = bad(400, "too many requests at once"), nil
	}
	c.queue = append(c.queue, got...)
	c.fresh = c.fresh && len(got) == 0
	if busy && !c.busy && !c.fresh && c.open == nil && !c.slow && len(got) == 0 { // from its first byte on, not from each
		c.rest(readLimit)
	}
	c.busy = busy
	c.next()
	if err != nil {
		c.f.log.Info("bad request", zap.Error(err))
		c.queue, c.spill = nil, true
		b, x := err.(*BadRequest), c.open
		c.open = nil
		c.respond(b.Status, "", []byte(b.Text+"\n"), true)
		if x != nil { // its client breaks the protocol in the middle of a call, and has its answer
			c.f.core.Gone(x.req)
		}
	}
}

// next begins the requests that wait, one at a time.
func (c *conn) next() {
	for c.open == nil && len(c.queue) > 0 && !c.gone && !c.last && !c.slow { // at most one answer is kept for a client
		r := c.queue[0]
		c.queue = c.queue[1:]
		c.begin(r)
	}
}

func (c *conn) begin(r *Request) {
	last := r.Close || c.f.closing || c.f.parting
	if r.Method == "GET" && r.Path == "/check" {
		if c.f.ready && !c.f.away {
			c.respond(200, "", []byte("ready\n"), last)
		} else {
			c.respond(503, "Srv-Wait-Ms: 100\r\n", nil, last)
		}
		c.settle()
		return
	}
	call, err := toCall(r, c.f.set)
	if err != nil {
		b := err.(*BadRequest)
		c.f.log.Info("bad call", zap.String("path", r.Path), zap.Error(err))
		c.respond(b.Status, "", []byte(b.Text+"\n"), last)
		c.settle()
		return
	}
	if !c.f.ready {
		c.respond(503, "Srv-Wait-Ms: 100\r\n", nil, last)
		c.settle()
		return
	}
	if c.f.shut {
		c.f.core.Count(call.Class, "refused")
		c.respond(503, awayFields, nil, last)
		c.settle()
		return
	}
	x := &exchange{c: c, last: last}
	call.Reply = x
	c.open = x
	c.f.loop.Cancel(c.timer)
	if ref := c.f.core.Take(call); c.open == x {
		x.req = ref
	}
}

func (c *conn) closed() {
	if c.gone {
		return
	}
	c.gone = true
	c.letGo()
	c.f.loop.Cancel(c.timer)
	c.f.conns.Free(c.ref)
	if x := c.open; x != nil {
		c.open = nil
		c.f.core.Gone(x.req)
	}
}

func (c *conn) drop() {
	c.sock.Close()
	c.closed()
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout"}

func (c *conn) respond(status int, fields string, body []byte, last bool) {
	if c.gone {
		return
	}
	if len(c.out) == 0 {
		c.f.loop.Dirty(c.flush)
	}
	c.out = append(c.out, "HTTP/1.1 "...)
	c.out = strconv.AppendInt(c.out, int64(status), 10)
	c.out = append(append(c.out, ' '), reasons[status]...)
	c.out = append(append(c.out, "\r\n"...), fields...)
	if last {
		c.out = append(c.out, "Connection: close\r\n"...)
		c.last = true
		c.shut.Store(true)
	}
	c.out = append(c.out, "Content-Length: "...)
	c.out = strconv.AppendInt(c.out, int64(len(body)), 10)
	c.out = append(append(c.out, "\r\n\r\n"...), body...)
}

func (c *conn) flush() {
	if c.gone || len(c.out) == 0 {
		return
	}
	_, err := c.sock.Write(c.out)
	if c.out = c.out[:0]; cap(c.out) > maxBody {
		c.out = nil
	}
	switch {
	case err != nil:
		c.drop()
	case c.sock.Unsent() > 0: // the client reads slowly; a close now would cut its answer
		c.hold()
	case c.last:
		c.ended()
	}
}

// hold waits for a client that reads slowly. What is kept for all of them is bounded: past it the one that has been at
// it longest is cut off.
func (c *conn) hold() {
	f := c.f
	n := c.sock.Unsent()
	f.held += n - c.held
	c.held, c.slow = n, true
	c.rest(slowLimit)
	for f.held > f.mayHold {
		var oldest *conn
		f.conns.Each(func(_ core.Ref, o *conn) {
			if o.slow && (oldest == nil || o.timer.Before(oldest.timer)) {
				oldest = o
			}
		})
		f.log.Warn("a client that reads slowly was cut off", zap.Int("held", f.held), zap.Int("most", f.mayHold))
		oldest.drop()
	}
}

// letGo says that nothing is kept for the client any more.
func (c *conn) letGo() {
	c.f.held -= c.held
	c.held, c.slow = 0, false
}

// ended does what is due once an answer has left.
func (c *conn) ended() {
	switch {
	case c.last && !c.spill:
		c.drop()
	case c.last:
		c.rest(lingerLimit)
	case c.open == nil:
		c.settle()
	}
}

func (x *exchange) end(status int, fields string, body []byte) {
	c := x.c
	if c.open != x { // answered, or its client has gone
		return
	}
	c.open = nil
	c.respond(status, fields, body, x.last || c.f.closing || c.f.parting)
	if !c.gone {
		c.settle()
		c.next()
	}
}

// Served passes on the worker's body unchanged.
func (x *exchange) Served(body []byte) {
	x.end(200, "Content-Type: application/octet-stream\r\n", body)
}

// Refused tells the client how long to stay away.
func (x *exchange) Refused(pause time.Duration) {
	x.end(503, fmt.Sprintf("Srv-Wait-Ms: %d\r\n", pause.Milliseconds()), nil)
}

// Failed promises nothing.
func (x *exchange) Failed(why core.Failure) {
	switch why {
	case core.TimedOut:
		x.end(504, "", nil)
	case core.Duplicate:
		x.end(409, "", []byte("the request id is open\n"))
	default:
		x.end(502, "", nil)
	}
}

// toCall reads a call from a request.
func toCall(r *Request, set *settings.Site) (core.Call, error) {
	rest, inside := strings.CutPrefix(r.Path, "/do/")
	name, whole := strings.CutSuffix(rest, "/call")
	if !inside || !whole {
		return core.Call{}, bad(404, "no such path")
	}
	if r.Method != "POST" {
		return core.Call{}, bad(405, "a call is a POST")
	}
	if r.Twice != "" {
		return core.Call{}, bad(400, "two values of %s", r.Twice)
	}
	h := r.Header
	call, err := form.Raw{Function: name, ID: h["req-id"], Class: h["x-class"], Tenant: h["req-owner"],
		Key: h["req-token"], WaitMs: h["req-wait-ms"], CostMs: h["req-cost"], Tags: h["x-tags"],
		Retry: h["req-retry"]}.Call(set)
	if errors.Is(err, form.ErrFunction) {
		return call, bad(404, "%v", err)
	}
	if err != nil {
		return call, bad(400, "%v", err)
	}
	call.Body = r.Body
	return call, nil
}
