package httpfront

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/lifecycle/settings"
	"quillrail/internal/wire/form"
	"quillrail/internal/wire/sock"
)

const (
	idleLimit = 30 * time.Second // a connection with no open request
	readLimit = 10 * time.Second // for the rest of a request that has begun
	pipelined = 4                // requests that may wait on one connection behind the open one
)

// Taker is the part of the core that a front needs.
type Taker interface {
	Take(core.Call) core.Ref
	Gone(core.Ref)
}

// Front answers HTTP clients. Its connections are a table of slots, touched on the turn alone.
type Front struct {
	loop    *core.Loop
	core    Taker
	set     *settings.Site
	log     *zap.Logger
	conns   *core.Table[*conn]
	ready   bool
	closing bool
}

// New returns a front that holds at most limit connections.
func New(loop *core.Loop, set *settings.Site, limit int, log *zap.Logger) *Front {
	return &Front{loop: loop, set: set, log: log, conns: core.NewTable[*conn](limit)}
}

// Serve makes the front answer: /check is 200 from now on.
func (f *Front) Serve(c Taker) { f.core, f.ready = c, true }

// Conns is the number of connections that are open.
func (f *Front) Conns() int { return f.conns.Len() }

// Closing has every connection closed once its open request is answered.
func (f *Front) Closing() {
	f.closing = true
	f.conns.Each(func(_ core.Ref, c *conn) {
		if c.open != nil {
			return
		}
		if c.last = len(c.out) > 0; !c.last { // an answer of this very turn still has to go out
			c.drop()
		}
	})
}

// conn is one client's connection. The parser and bad belong to the I/O goroutine, the rest to the turn.
type conn struct {
	f      *Front
	sock   sock.Conn
	parser Parser
	bad    bool

	ref   core.Ref
	open  *exchange // the request that is being answered
	queue []*Request
	out   []byte
	last  bool // close once out is written
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
	c := &conn{f: f, sock: s}
	f.loop.Post(c.opened)
	return c
}

func (c *conn) Data(b []byte) error {
	if c.bad {
		return nil // the answer that closes the connection is under way
	}
	var got []*Request
	err := c.parser.Feed(b, func(r *Request) { got = append(got, r) })
	busy := !c.parser.Idle()
	c.bad = err != nil
	c.f.loop.Post(func() { c.take(got, busy, err) })
	return nil
}

func (c *conn) Closed(error) { c.f.loop.Post(c.closed) }

func (c *conn) opened() {
	ref, ok := c.f.conns.Put(c)
	if !ok { // the longest idle one makes room, if there is any
		var idlest *conn
		c.f.conns.Each(func(_ core.Ref, o *conn) {
			if o.open == nil && (idlest == nil || o.timer.Before(idlest.timer)) {
				idlest = o
			}
		})
		if idlest != nil {
			idlest.drop()
			ref, ok = c.f.conns.Put(c)
		}
	}
	if !ok {
		c.f.log.Warn("too many client connections", zap.Int("open", c.f.conns.Len()))
		c.gone = true
		c.sock.Close()
		return
	}
	c.ref = ref
	c.rest(idleLimit)
}

// rest sets the time after which a connection without an open request is closed.
func (c *conn) rest(d time.Duration) {
	c.f.loop.Cancel(c.timer)
	c.timer = c.f.loop.After(d, func() {
		if c.open == nil {
			c.drop()
		}
	})
}

func (c *conn) take(got []*Request, busy bool, err error) {
	if c.gone {
		return
	}
	if len(c.queue)+len(got) > pipelined {
		err, got = bad(400, "too many requests at once"), nil
	}
	c.queue = append(c.queue, got...)
	if busy && c.open == nil && len(got) == 0 && err == nil {
		c.rest(readLimit)
	}
	c.next()
	if err != nil {
		c.f.log.Info("bad request", zap.Error(err))
		c.queue = nil
		if c.open != nil { // its client breaks the protocol in the middle of a call
			c.drop()
			return
		}
		b := err.(*BadRequest)
		c.respond(b.Status, "", []byte(b.Text+"\n"), true)
	}
}

// next begins the requests that wait, one at a time.
func (c *conn) next() {
	for c.open == nil && len(c.queue) > 0 && !c.gone && !c.last {
		r := c.queue[0]
		c.queue = c.queue[1:]
		c.begin(r)
	}
}

func (c *conn) begin(r *Request) {
	last := r.Close || c.f.closing
	if r.Method == "GET" && r.Path == "/check" {
		if c.f.ready {
			c.respond(200, "", []byte("ready\n"), last)
		} else {
			c.respond(503, "Srv-Wait-Ms: 100\r\n", nil, last)
		}
		return
	}
	call, err := toCall(r, c.f.set)
	if err != nil {
		b := err.(*BadRequest)
		c.f.log.Info("bad call", zap.String("path", r.Path), zap.Error(err))
		c.respond(b.Status, "", []byte(b.Text+"\n"), last)
		return
	}
	if !c.f.ready {
		c.respond(503, "Srv-Wait-Ms: 100\r\n", nil, last)
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
	411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway",
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
	if err != nil || c.last {
		c.drop()
	}
}

func (x *exchange) end(status int, fields string, body []byte) {
	c := x.c
	if c.open != x { // answered, or its client has gone
		return
	}
	c.open = nil
	c.respond(status, fields, body, x.last || c.f.closing)
	if !c.gone {
		c.rest(idleLimit)
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
	if why == core.TimedOut {
		x.end(504, "", nil)
		return
	}
	x.end(502, "", nil)
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
