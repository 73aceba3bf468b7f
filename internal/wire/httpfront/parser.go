// Package httpfront is the platform's front: HTTP/1.1 calls from clients.
package httpfront

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of a request.
const (
	maxHead = 8 << 10
	maxBody = 16 << 10
)

// Request is one HTTP request as read from a connection.
type Request struct {
	Method, Path string
	Header       map[string]string // names in lower case
	Twice        string            // a name that stands there with two values
	Body         []byte
	Came         time.Duration // when its last byte was read
	Close        bool          // the client asked for the connection to be closed after the answer
}

// BadRequest is a request that can't be read. The connection is of no more use.
type BadRequest struct {
	Status int
	Text   string
}

func (e *BadRequest) Error() string { return fmt.Sprintf("%d %s", e.Status, e.Text) }

func bad(status int, format string, a ...any) error {
	return &BadRequest{status, fmt.Sprintf(format, a...)}
}

// Parser cuts a stream of bytes into requests. After an error it takes nothing more.
type Parser struct {
	buf  []byte
	req  *Request // head read, body awaited
	need int
	err  error
}

// Idle reports whether nothing of a request has come yet.
func (p *Parser) Idle() bool { return p.err == nil && p.req == nil && len(p.buf) == 0 }

// Feed takes the next bytes and calls emit for every request that is whole. An error of emit is an error of the stream.
func (p *Parser) Feed(b []byte, emit func(*Request) error) error {
	if p.err != nil {
		return p.err
	}
	p.buf = append(p.buf, b...)
	for p.err == nil {
		if p.req == nil {
			for len(p.buf) >= 2 && p.buf[0] == '\r' && p.buf[1] == '\n' { // an empty line before a request is allowed
				p.buf = p.buf[2:]
			}
			end := bytes.Index(p.buf, []byte("\r\n\r\n"))
			if end > maxHead || end < 0 && len(p.buf) > maxHead {
				p.err = bad(431, "head of more than %d bytes", maxHead)
			} else if end < 0 {
				break
			} else if p.req, p.need, p.err = parseHead(string(p.buf[:end])); p.err == nil {
				p.buf = p.buf[end+4:]
			}
			continue
		}
		if len(p.buf) < p.need {
			break
		}
		p.req.Body = append([]byte(nil), p.buf[:p.need]...)
		p.buf = p.buf[p.need:]
		req := p.req
		p.req = nil
		p.err = emit(req)
	}
	if p.err != nil || len(p.buf) == 0 {
		p.buf = nil
	}
	return p.err
}

// notInName reports whether a character may not stand in a header's name.
func notInName(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
}

func parseHead(head string) (*Request, int, error) {
	line, rest, _ := strings.Cut(head, "\r\n")
	method, target, ok := strings.Cut(line, " ")
	path, proto, ok2 := strings.Cut(target, " ")
	if !ok || !ok2 || method == "" || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \t\r\n") {
		return nil, 0, bad(400, "request line")
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, 0, bad(400, "protocol version")
	}
	r := &Request{Method: method, Path: path, Header: map[string]string{}, Close: proto == "HTTP/1.0"}
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsFunc(name, notInName) {
			return nil, 0, bad(400, "header line")
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\n\x00") {
			return nil, 0, bad(400, "header value")
		}
		if old, again := r.Header[name]; again && old != value { // which one counts would be anybody's guess
			if name == "content-length" {
				return nil, 0, bad(400, "two lengths")
			}
			r.Twice = name
		}
		r.Header[name] = value
	}
	if _, chunked := r.Header["transfer-encoding"]; chunked {
		return nil, 0, bad(411, "a body needs a Content-Length")
	}
	for _, word := range strings.Split(strings.ToLower(r.Header["connection"]), ",") {
		switch strings.TrimSpace(word) {
		case "close":
			r.Close = true
		case "keep-alive":
			r.Close = false
		}
	}
	length, told := r.Header["content-length"]
	if !told {
		return r, 0, nil
	}
	n, err := strconv.ParseUint(length, 10, 31)
	if err != nil || strings.HasPrefix(length, "+") {
		return nil, 0, bad(400, "content length")
	}
	if n > maxBody {
		return nil, 0, bad(413, "body of more than %d bytes", maxBody)
	}
	return r, int(n), nil
}
