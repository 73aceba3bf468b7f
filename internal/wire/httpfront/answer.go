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

// exchange is one request in flight. It takes the answer of the core, once; later answers are dropped.
type exchange struct {
	conn            *conn
	ref             core.Ref
	closeAfterWrite bool // the client wants the connection closed after the answer
}

var statusTexts = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

func (c *conn) writeResponse(status int, fields string, body []byte, last bool) {
	if c.gone {
		return
	}
	if len(c.out) == 0 {
		c.front.loop.DeferFlush(c.flush)
	}
	c.out = append(c.out, "HTTP/1.1 "...)
	c.out = strconv.AppendInt(c.out, int64(status), 10)
	c.out = append(append(c.out, ' '), statusTexts[status]...)
	c.out = append(append(c.out, "\r\n"...), fields...)
	if last {
		c.out = append(c.out, "Connection: close\r\n"...)
		c.closeAfterWrite = true
		c.discarding.Store(true)
		c.front.loop.Cancel(c.timer) // it may be due in this same loop iteration, before the answer is written
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
		c.closeNow(writeFailed)
	case c.sock.Unsent() > 0: // the client reads slowly; closing now would truncate its answer
		c.awaitReader()
	case c.closeAfterWrite:
		c.answerWritten()
	}
}

// awaitReader waits for a client that reads slowly. The bytes that wait for all such clients are limited: above the limit, the
// connections whose clients have been reading for longest are closed.
func (c *conn) awaitReader() {
	f := c.front
	n := c.sock.Unsent()
	f.unsent += n - c.unsent
	c.unsent, c.slowReader = n, true
	c.setTimeout(writeTimeout)
	for f.unsent > f.maxUnsent {
		f.log.Warn("a client that reads slowly was cut off", zap.Int("held", f.unsent), zap.Int("most", f.maxUnsent))
		f.slowestReader(c).closeNow(readTooSlowly)
	}
}

// slowestReader is the connection whose client has been reading its answer for longest, or the given one if there is no other.
func (f *Front) slowestReader(oldest *conn) *conn {
	f.conns.Each(func(_ core.Ref, o *conn) {
		if o.slowReader && (oldest == nil || o.timer.Before(oldest.timer)) {
			oldest = o
		}
	})
	return oldest
}

// releaseUnsent forgets the unsent bytes, once they are written or the connection has ended.
func (c *conn) releaseUnsent() {
	c.front.unsent -= c.unsent
	c.unsent, c.slowReader = 0, false
}

// answerWritten decides what follows when the answers have been sent.
func (c *conn) answerWritten() {
	switch {
	case c.closeAfterWrite && !c.linger: // closed unless there is more input, which is then read for a while: a close would lose the answer
		c.setTimeout(lingerTimeout)
		c.closedFor = lastAnswer
		c.sock.CloseIfNoNewData(c.processed)
	case c.closeAfterWrite:
		c.setTimeout(lingerTimeout)
	case c.current == nil:
		c.awaitRequest()
	default: // the next request was started before the client had read the answer; writeTimeout no longer applies
		c.front.loop.Cancel(c.timer)
	}
}

func (x *exchange) finish(status int, fields string, body []byte) {
	c := x.conn
	if c.current != x { // already answered, or the client has left
		return
	}
	c.current = nil
	c.reply(status, fields, body, x.closeAfterWrite)
	c.startNext()
}

// ClientGone reports whether the client is known to have closed its connection.
func (x *exchange) ClientGone() bool { return x.conn.clientClosed.Load() }

// Served passes on the worker's body unchanged.
func (x *exchange) Served(body []byte) {
	x.finish(200, "Content-Type: application/octet-stream\r\n", body)
}

// ServedAt is Served for a call of a session that is bound to one site: the client is sent that site's epoch.
func (x *exchange) ServedAt(body []byte, epoch uint64) {
	x.finish(200, fmt.Sprintf("Content-Type: application/octet-stream\r\nSrv-Epoch: %d\r\n", epoch), body)
}

// Refused sends the client how long to wait before it tries again, and the reason if there is one.
func (x *exchange) Refused(retryAfter time.Duration, why string) {
	var body []byte
	if why != "" {
		body = []byte(why + "\n")
	}
	x.finish(503, fmt.Sprintf("Srv-Wait-Ms: %d\r\n", retryAfter.Milliseconds()), body)
}

// Failed answers a call without a result. The answer does not state whether the call has run.
func (x *exchange) Failed(why core.Failure) {
	switch why {
	case core.TimedOut:
		x.finish(504, "", nil)
	case core.Duplicate:
		x.finish(409, "", []byte("the request id is open\n"))
	default:
		x.finish(502, "", nil)
	}
}

// toCall reads a call from a request.
func toCall(r *Request, site *settings.Site) (core.Call, error) {
	rest, hasPrefix := strings.CutPrefix(r.Path, "/do/")
	name, hasSuffix := strings.CutSuffix(rest, "/call")
	if !hasPrefix || !hasSuffix {
		return core.Call{}, badRequestf(404, "no such path")
	}
	if r.Method != "POST" {
		return core.Call{}, badRequestf(405, "a call is a POST")
	}
	if r.Ambiguous != "" {
		return core.Call{}, badRequestf(400, "two values of %s", r.Ambiguous)
	}
	h := r.Header
	call, err := form.Raw{Function: name, ID: h["req-id"], Class: h["x-class"], Tenant: h["req-owner"],
		Key: h["req-token"], WaitMs: h["req-wait-ms"], CostMs: h["req-cost"], Tags: h["x-tags"],
		Retry: h["req-retry"]}.Call(site)
	if errors.Is(err, form.ErrFunction) {
		return call, badRequestf(404, "%v", err)
	}
	if err != nil {
		return call, badRequestf(400, "%v", err)
	}
	call.Body, call.Received = r.Body, r.ReceivedAt
	return call, nil
}
