package httpfront

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/lifecycle/settings"
	"quillrail/internal/wire/sock"
)

const (
	idleLimit  = 30 * time.Second // a connection with no open request
	readLimit  = 10 * time.Second // for the rest of a request that has begun
	pipelined  = 4                // requests that may wait on one connection behind the open one
	maxHintMs  = 1e9
	maxWaitMs  = 3600e3
	maxKeySize = 128
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
		if c.open == nil {
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
	call, err := ToCall(r, c.f.set)
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

// ToCall checks a request and makes a call of it. What is unknown here never reaches a worker.
func ToCall(r *Request, set *settings.Site) (call core.Call, err error) {
	name, ok := strings.CutPrefix(r.Path, "/do/")
	if name, ok = strings.CutSuffix(name, "/call"); !ok || !strings.HasPrefix(r.Path, "/do/") {
		return call, bad(404, "no such path")
	}
	if r.Method != "POST" {
		return call, bad(405, "a call is a POST")
	}
	if !settings.Hex16(name) {
		return call, bad(404, "a function is 16 hex digits")
	}
	call.Function, call.ID, call.Body = name, r.Header["req-id"], r.Body
	if !settings.Hex16(call.ID) {
		return call, bad(400, "Req-Id is not 16 hex digits")
	}
	call.ClassName = r.Header["x-class"]
	if call.Class, ok = set.Class(call.ClassName); !ok {
		return call, bad(400, "unknown X-Class")
	}
	if call.Tenant, ok = set.Tenant(r.Header["req-owner"]); !ok {
		return call, bad(400, "unknown Req-Owner")
	}
	wait, err := number(r.Header["req-wait-ms"], maxWaitMs)
	if err != nil || wait <= 0 {
		return call, bad(400, "Req-Wait-Ms")
	}
	call.Wait = milliseconds(wait)
	if call.Key = r.Header["req-token"]; !settings.Word(call.Key, maxKeySize) {
		return call, bad(400, "Req-Token")
	}
	if call.Key == "" && set.Keyed(call.Class) {
		return call, bad(400, "this class needs a Req-Token")
	}
	call.Repeat = r.Header["req-retry"] != ""
	if text := r.Header["req-cost"]; text != "" {
		cost, err := number(text, maxHintMs)
		if err != nil {
			return call, bad(400, "Req-Cost")
		}
		call.Work = milliseconds(cost)
	}
	return call, tags(r.Header["x-tags"], &call)
}

// tags reads name:value pairs; unknown names are left alone.
func tags(text string, call *core.Call) error {
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ";")
		name, value, _ := strings.Cut(strings.TrimSpace(pair), ":")
		switch name {
		case "memory_mb", "lanes", "load_ms":
		default:
			continue
		}
		x, err := number(value, maxHintMs)
		if err != nil {
			return bad(400, "X-Tags")
		}
		switch name {
		case "memory_mb":
			call.MemoryMB = x
		case "lanes":
			call.Lanes = int(min(x, 1024))
		case "load_ms":
			call.LoadTime = milliseconds(x)
		}
	}
	return nil
}

func number(text string, most float64) (float64, error) {
	x, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(x) || x < 0 || x > most) {
		err = strconv.ErrRange
	}
	return x, err
}

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
