// Package workerlink speaks the lines of the workers: calls, cancels and orders out, answers in.
package workerlink

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of an answer.
const (
	maxLine   = 1 << 10
	maxAnswer = 256 << 10
)

// Answer is one answer of a worker.
type Answer struct {
	ID, Word string
	Detail   string // how the call found its function
	Pods     int    // loaded copies, after an order
	Use      string // load report, as it came
	Body     []byte
}

// Parser cuts a stream of bytes into answers. After an error it takes nothing more.
type Parser struct {
	buf  []byte
	head *Answer // line read, body awaited
	need int
	err  error
}

var errBody = errors.New("an answer's body does not end in CR LF")

// Idle reports whether nothing of an answer has come yet.
func (p *Parser) Idle() bool { return p.err == nil && p.head == nil && len(p.buf) == 0 }

// Feed takes the next bytes and calls emit for every answer that is whole.
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
				p.err = fmt.Errorf("a line of more than %d bytes", maxLine)
			} else if end < 0 {
				break
			} else if p.head, p.need, p.err = parseLine(string(rest[:end])); p.err == nil {
				rest = rest[end+2:]
			}
			continue
		}
		if len(rest) < p.need+2 { // the body and its CR LF
			break
		}
		if rest[p.need] != '\r' || rest[p.need+1] != '\n' {
			p.err = errBody
			break
		}
		p.head.Body = append([]byte(nil), rest[:p.need]...)
		rest = rest[p.need+2:]
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

// parseLine reads ID WORD FIELDS LENGTH. A line cut short is no answer: an OK without a length would pass for an
// empty body.
func parseLine(line string) (*Answer, int, error) {
	words := strings.Split(line, " ")
	if len(words) != 4 || words[0] == "" || words[1] == "" {
		return nil, 0, fmt.Errorf("%q is not an answer", clip(line))
	}
	a := &Answer{ID: words[0], Word: words[1]}
	if words[2] != "-" {
		for _, pair := range strings.Split(words[2], ",") {
			name, value, ok := strings.Cut(pair, "=")
			if !ok {
				return nil, 0, fmt.Errorf("%q is not name=value", clip(pair))
			}
			switch name {
			case "detail":
				a.Detail = value
			case "use":
				a.Use = value
			case "pods":
				n, err := strconv.ParseUint(value, 10, 16)
				if err != nil {
					return nil, 0, fmt.Errorf("pods is %q", clip(value))
				}
				a.Pods = int(n)
			}
		}
	}
	n, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || n > maxAnswer {
		return nil, 0, fmt.Errorf("%q is not a length up to %d", clip(words[3]), maxAnswer)
	}
	return a, int(n), nil
}

func clip(s string) string { return s[:min(len(s), 60)] }
