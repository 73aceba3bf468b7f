package httpfront

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/form"
)

// exchange is one request and takes its answer, once.
type exchange struct {
	c    *conn
	req  core.Ref
	last bool // the client wants the connection closed after it
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large", 502: "Bad Gateway",
	503: "Service Unavailable", 504: "Gateway Timeout"}

func (c *conn) respond(status int, fields string, body []byte, last bool) {
	if c.gone {
		return
	}
	if len(c.out) == 0 {
		c.f.loop.DeferFlush(c.flush)
	}
	c.out = append(c.out, "HTTP/1.1 "...)
	c.out = strconv.AppendInt(c.out, int64(status), 10)
	c.out = append(append(c.out, ' '), reasons[status]...)
	c.out = append(append(c.out, "\r\n"...), fields...)
	if last {
		c.out = append(c.out, "Connection: close\r\n"...)
		c.last = true
		c.shut.Store(true)
		c.f.loop.Cancel(c.timer) // it may be due in this same sweep, ahead of the answer's bytes
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
		c.drop(writeFailed)
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
		f.log.Warn("a client that reads slowly was cut off", zap.Int("held", f.held), zap.Int("most", f.mayHold))
		f.slowest(c).drop(readsSlowly)
	}
}

// slowest is the connection whose client has been taking its answer for longest, or that one where there is no other.
func (f *Front) slowest(oldest *conn) *conn {
	f.conns.Each(func(_ core.Ref, o *conn) {
		if o.slow && (oldest == nil || o.timer.Before(oldest.timer)) {
			oldest = o
		}
	})
	return oldest
}

// letGo says that nothing is kept for the client any more.
func (c *conn) letGo() {
	c.f.held -= c.held
	c.held, c.slow = 0, false
}

// ended does what is due once an answer has left.
func (c *conn) ended() {
	switch {
	case c.last && !c.spill: // more input would have the close take the answer back: then it is read for a while
		c.rest(lingerLimit)
		c.why = lastAnswer
		c.sock.CloseIfNoNewData(c.taken)
	case c.last:
		c.rest(lingerLimit)
	case c.open == nil:
		c.settle()
	default: // the next request was begun before its client had taken the answer; the time for that is over
		c.f.loop.Cancel(c.timer)
	}
}

func (x *exchange) end(status int, fields string, body []byte) {
	c := x.c
	if c.open != x { // answered, or its client has gone
		return
	}
	c.open = nil
	c.reply(status, fields, body, x.last)
	c.next()
}

// ClientGone reports whether the client is known to have closed its connection.
func (x *exchange) ClientGone() bool { return x.c.left.Load() }

// Served passes on the worker's body unchanged.
func (x *exchange) Served(body []byte) {
	x.end(200, "Content-Type: application/octet-stream\r\n", body)
}

// ServedAt is Served for a call of a session that is kept to one site: the client is told the epoch of that.
func (x *exchange) ServedAt(body []byte, epoch uint64) {
	x.end(200, fmt.Sprintf("Content-Type: application/octet-stream\r\nSrv-Epoch: %d\r\n", epoch), body)
}

// Refused tells the client how long to stay away, and the reason where there is one.
func (x *exchange) Refused(pause time.Duration, why string) {
	var body []byte
	if why != "" {
		body = []byte(why + "\n")
	}
	x.end(503, fmt.Sprintf("Srv-Wait-Ms: %d\r\n", pause.Milliseconds()), body)
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
	call.Body, call.Received = r.Body, r.Came
	return call, nil
}
