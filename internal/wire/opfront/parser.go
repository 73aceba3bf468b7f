// Package opfront is the operator listener. An operator sends one call on a line and gets one reply, after which the connection is
// closed.
package opfront

import (
	"bytes"
	"errors"
	"strings"
)

// maxLine is the longest line of a call, in bytes. It leaves room for the words of a declare call.
const maxLine = 2048

// Call is a call of an operator.
type Call struct {
	Name      string
	ID        string            // name of a worker or gateway, or the kind of what is declared
	Emergency bool              // "emergency" was given: the call needs no permit
	Options   map[string]string // name=value options; the value of why is the rest of the line
}

// callSpec states what may follow the name of a call.
type callSpec struct {
	id, optional bool // an id follows; with optional set, it may be missing
	options      bool
	readOnly     bool // the call changes nothing
}

var callSpecs = map[string]callSpec{"ready": {readOnly: true}, "show-stat": {readOnly: true},
	"disable-server": {id: true, options: true}, "enable-server": {id: true, options: true},
	"drain": {options: true}, "resume": {options: true}, "agreed": {readOnly: true},
	"wanted": {id: true, optional: true, readOnly: true}, "declare": {id: true, options: true}}

// What can be wrong with a call. The operator gets these texts in the reply.
var (
	errLineTooLong  = errors.New("line too long")
	errNotText      = errors.New("not a line of text")
	errUnknownCall  = errors.New("unknown call")
	errMissingID    = errors.New("an id is needed")
	errTooManyWords = errors.New("too many words")
	errBadOption    = errors.New("a name without a value, or one with two")
)

// Parser collects the line of one connection.
type Parser struct {
	buf            []byte
	done           bool
	nothingFollows bool
}

// NothingFollows reports whether no input followed the line in the bytes that completed it.
func (p *Parser) NothingFollows() bool { return p.nothingFollows }

// Feed takes the next bytes. When the line is complete, done is true and the call or the error is returned. Later input is ignored.
func (p *Parser) Feed(b []byte) (call Call, done bool, err error) {
	if p.done {
		return Call{}, false, nil
	}
	size := len(p.buf) + len(b)
	p.buf = append(p.buf, b[:min(len(b), maxLine+2-len(p.buf))]...)
	end := bytes.IndexByte(p.buf, '\n')
	if end < 0 && len(p.buf) <= maxLine {
		return Call{}, false, nil
	}
	p.done = true
	if end < 0 {
		return Call{}, true, errLineTooLong
	}
	p.nothingFollows = end == size-1
	call, err = parse(strings.TrimSuffix(string(p.buf[:end]), "\r"))
	return call, true, err
}

func parse(line string) (Call, error) {
	if strings.ContainsFunc(line, func(c rune) bool { return c < ' ' && c != '\t' || c >= 0x7f }) {
		return Call{}, errNotText
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, errUnknownCall
	}
	spec, known := callSpecs[words[0]]
	c := Call{Name: words[0]}
	rest := words[1:]
	if !known {
		return Call{}, errUnknownCall
	}
	if spec.id && len(rest) > 0 {
		c.ID, rest = rest[0], rest[1:]
	} else if spec.id && !spec.optional {
		return Call{}, errMissingID
	}
	for len(rest) > 0 {
		name, value, hasValue := strings.Cut(rest[0], "=")
		switch {
		case !spec.options || !hasValue && rest[0] != "emergency":
			return Call{}, errTooManyWords
		case !hasValue:
			c.Emergency = true
		default:
			if _, given := c.Options[name]; given || name == "" {
				return Call{}, errBadOption
			}
			if c.Options == nil {
				c.Options = map[string]string{}
			}
			if c.Options[name] = value; name == "why" {
				c.Options[name], rest = strings.TrimPrefix(strings.Join(rest, " "), "why="), rest[len(rest)-1:]
			}
		}
		rest = rest[1:]
	}
	return c, nil
}
