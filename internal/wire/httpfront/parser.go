// Package httpfront serves calls that clients send by HTTP/1.1.
package httpfront

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of a request, in bytes.
const (
	maxHead = 8 << 10
	maxBody = 16 << 10
)

// Request is one HTTP request as read from a connection.
type Request struct {
	Method, Path string
	Header       map[string]string // names in lower case
	Ambiguous    string            // a header that was sent with two different values, if any
	Body         []byte
	ReceivedAt   time.Duration // when its last byte was read, on the event loop's clock
	Close        bool          // close the connection after the answer, as the client asked
}

// BadRequest is a request that can't be read or answered. Text is the body of the answer.
type BadRequest struct {
	Status int
	Text   string
}

func (e *BadRequest) Error() string { return fmt.Sprintf("%d %s", e.Status, e.Text) }

func badRequestf(status int, format string, a ...any) error {
	return &BadRequest{status, fmt.Sprintf(format, a...)}
}

// Parser splits a stream of bytes into requests. After an error it accepts no more input.
type Parser struct {
	buf     []byte
	req     *Request // head read, body still incomplete
	bodyLen int
	err     error
}

// Idle reports whether no part of a next request has arrived.
func (p *Parser) Idle() bool { return p.err == nil && p.req == nil && len(p.buf) == 0 }

// Feed takes the next bytes and calls emit for every whole request. An error of emit ends the stream like a parse error.
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
				p.err = badRequestf(431, "head of more than %d bytes", maxHead)
			} else if end < 0 {
				break
			} else if p.req, p.bodyLen, p.err = parseHead(string(p.buf[:end])); p.err == nil {
				p.buf = p.buf[end+4:]
			}
			continue
		}
		if len(p.buf) < p.bodyLen {
			break
		}
		p.req.Body = append([]byte(nil), p.buf[:p.bodyLen]...)
		p.buf = p.buf[p.bodyLen:]
		req := p.req
		p.req = nil
		p.err = emit(req)
	}
	if p.err != nil || len(p.buf) == 0 {
		p.buf = nil
	}
	return p.err
}

// invalidInName reports whether a character is not allowed in the name of a header.
func invalidInName(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(`"(),/:;<=>?@[\]{}`, c)
}

func parseHead(head string) (*Request, int, error) {
	line, rest, _ := strings.Cut(head, "\r\n")
	method, target, ok := strings.Cut(line, " ")
	path, proto, ok2 := strings.Cut(target, " ")
	if !ok || !ok2 || method == "" || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \t\r\n") {
		return nil, 0, badRequestf(400, "request line")
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, 0, badRequestf(400, "protocol version")
	}
	r := &Request{Method: method, Path: path, Header: map[string]string{}, Close: proto == "HTTP/1.0"}
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsFunc(name, invalidInName) {
			return nil, 0, badRequestf(400, "header line")
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if strings.ContainsAny(value, "\r\n\x00") {
			return nil, 0, badRequestf(400, "header value")
		}
		if old, repeated := r.Header[name]; repeated && old != value { // it is ambiguous which value counts
			if name == "content-length" {
				return nil, 0, badRequestf(400, "two lengths")
			}
			r.Ambiguous = name
		}
		r.Header[name] = value
	}
	if _, chunked := r.Header["transfer-encoding"]; chunked {
		return nil, 0, badRequestf(411, "a body needs a Content-Length")
	}
	for _, option := range strings.Split(strings.ToLower(r.Header["connection"]), ",") {
		switch strings.TrimSpace(option) {
		case "close":
			r.Close = true
		case "keep-alive":
			r.Close = false
		}
	}
	length, present := r.Header["content-length"]
	if !present {
		return r, 0, nil
	}
	n, err := strconv.ParseUint(length, 10, 31)
	if err != nil || strings.HasPrefix(length, "+") {
		return nil, 0, badRequestf(400, "content length")
	}
	if n > maxBody {
		return nil, 0, badRequestf(413, "body of more than %d bytes", maxBody)
	}
	return r, int(n), nil
}
