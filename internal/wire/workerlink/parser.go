// Package workerlink connects a gateway to its workers by their line protocol: it sends calls, cancels, load orders and probes, and
// receives their answers.
package workerlink

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of an answer in bytes.
const (
	maxLine   = 1 << 10   // of its first line
	maxAnswer = 256 << 10 // of its body
)

// Answer is one answer of a worker.
type Answer struct {
	ID, Status string
	Detail     string // whether the function was loaded when the call arrived: warm, cold, joined, load_failed or empty
	Copies     int    // loaded copies of the function, in the answer to a load order
	LoadReport string // the worker's load, not parsed yet; empty if it was not sent
	Body       []byte
}

// Parser splits a stream of bytes into answers. After an error it accepts no more bytes.
type Parser struct {
	buf      []byte
	head     *Answer // its line has been read, its body is incomplete
	bodySize int     // of head, without the final CR LF
	err      error
}

var errBodyEnd = errors.New("answer body is not followed by CR LF")

// Idle reports whether no part of an answer is buffered.
func (p *Parser) Idle() bool { return p.err == nil && p.head == nil && len(p.buf) == 0 }

// Feed takes the next bytes and calls emit for every complete answer.
func (p *Parser) Feed(b []byte, emit func(Answer)) error {
	if p.err != nil {
		return p.err
	}
	p.buf = append(p.buf, b...)
	rest := p.buf
	for p.err == nil {
		if p.head == nil {
			end := bytes.Index(rest, []byte("\r\n"))
			if end > maxLine || end < 0 && len(rest) > maxLine {
				p.err = fmt.Errorf("answer line is longer than %d bytes", maxLine)
			} else if end < 0 {
				break
			} else if p.head, p.bodySize, p.err = parseLine(string(rest[:end])); p.err == nil {
				rest = rest[end+2:]
			}
			continue
		}
		if len(rest) < p.bodySize+2 { // the body and its CR LF
			break
		}
		if rest[p.bodySize] != '\r' || rest[p.bodySize+1] != '\n' {
			p.err = errBodyEnd
			break
		}
		p.head.Body = append([]byte(nil), rest[:p.bodySize]...)
		rest = rest[p.bodySize+2:]
		a := *p.head
		p.head = nil
		emit(a)
	}
	if p.err != nil || len(rest) == 0 {
		p.buf = nil
	} else {
		p.buf = append(p.buf[:0], rest...)
	}
	return p.err
}

// parseLine parses the first line of an answer, "ID STATUS FIELDS LENGTH", and returns the answer and the length of its body. All four
// parts are required: a truncated OK line without a length would otherwise pass for an answer with an empty body.
func parseLine(line string) (*Answer, int, error) {
	words := strings.Split(line, " ")
	if len(words) != 4 || words[0] == "" || words[1] == "" {
		return nil, 0, fmt.Errorf("answer line is %q, expected ID STATUS FIELDS LENGTH", clip(line))
	}
	a := &Answer{ID: words[0], Status: words[1]}
	if words[2] != "-" {
		for _, pair := range strings.Split(words[2], ",") {
			name, value, ok := strings.Cut(pair, "=")
			if !ok {
				return nil, 0, fmt.Errorf("answer field is %q, expected name=value", clip(pair))
			}
			switch name {
			case "detail":
				a.Detail = value
			case "use":
				a.LoadReport = value
			case "pods":
				n, err := strconv.ParseUint(value, 10, 16)
				if err != nil {
					return nil, 0, fmt.Errorf("answer field pods is %q, expected a number from 0 to 65535", clip(value))
				}
				a.Copies = int(n)
			}
		}
	}
	n, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || n > maxAnswer {
		return nil, 0, fmt.Errorf("answer length is %q, expected a number of bytes up to %d", clip(words[3]), maxAnswer)
	}
	return a, int(n), nil
}

// clip shortens text received from a worker for error messages and for the memory of retired ids.
func clip(s string) string { return s[:min(len(s), 60)] }
