// Package opfront is the operators' door: one call on a line, one reply, then the connection is closed.
package opfront

import (
	"bytes"
	"errors"
	"strings"
)

// maxLine bounds a call: what is declared takes some words.
const maxLine = 2048

// Call is one call of an operator.
type Call struct {
	Name      string
	ID        string            // of a worker or gateway, or the kind of what is declared
	Emergency bool              // it asks nobody
	Options   map[string]string // name=value; the value of why is all that follows it
}

// form is what may follow a call's name.
type form struct {
	id, optional bool // a word, which may be missing
	options      bool
	asks         bool // it changes nothing
}

var forms = map[string]form{"ready": {asks: true}, "show-stat": {asks: true}, "disable-server": {id: true, options: true}, "enable-server": {id: true, options: true},
	"drain": {options: true}, "resume": {options: true}, "agreed": {asks: true},
	"wanted": {id: true, optional: true, asks: true}, "declare": {id: true, options: true}}

// The faults of a call.
var (
	errLong    = errors.New("line too long")
	errBytes   = errors.New("not a line of text")
	errCall    = errors.New("unknown call")
	errMissing = errors.New("an id is needed")
	errSurplus = errors.New("too many words")
	errTwice   = errors.New("a name without a value, or one with two")
)

// Parser gathers the one line of a connection.
type Parser struct {
	buf   []byte
	done  bool
	exact bool
}

// Exact reports whether the line was all that came with it.
func (p *Parser) Exact() bool { return p.exact }

// Feed takes the next bytes. It reports the line's call once it is whole, or what is wrong with it; what comes after
// that is disregarded.
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
		return Call{}, true, errLong
	}
	p.exact = end == size-1
	call, err = parse(strings.TrimSuffix(string(p.buf[:end]), "\r"))
	return call, true, err
}

func parse(line string) (Call, error) {
	if strings.ContainsFunc(line, func(c rune) bool { return c < ' ' && c != '\t' || c >= 0x7f }) {
		return Call{}, errBytes
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, errCall
	}
	f, known := forms[words[0]]
	c := Call{Name: words[0]}
	rest := words[1:]
	if !known {
		return Call{}, errCall
	}
	if f.id && len(rest) > 0 {
		c.ID, rest = rest[0], rest[1:]
	} else if f.id && !f.optional {
		return Call{}, errMissing
	}
	for len(rest) > 0 {
		name, value, pair := strings.Cut(rest[0], "=")
		switch {
		case !f.options || !pair && rest[0] != "emergency":
			return Call{}, errSurplus
		case !pair:
			c.Emergency = true
		default:
			if _, twice := c.Options[name]; twice || name == "" {
				return Call{}, errTwice
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
