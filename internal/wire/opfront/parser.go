// Package opfront is the operators' door: one call on a line, one reply, then the connection is closed.
package opfront

import (
	"bytes"
	"errors"
	"strings"
)

// maxLine bounds a call; ids of workers are short words.
const maxLine = 256

// Call is one call of an operator.
type Call struct {
	Name string
	ID   string // of a worker, for the calls that take one
}

// takesID says of each call whether a worker's id follows it.
var takesID = map[string]bool{"ready": false, "show-stat": false, "disable-server": true, "enable-server": true,
	"drain": false, "resume": false}

// The faults of a call.
var (
	errLong    = errors.New("line too long")
	errBytes   = errors.New("not a line of text")
	errCall    = errors.New("unknown call")
	errMissing = errors.New("an id is needed")
	errSurplus = errors.New("too many words")
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
	withID, known := takesID[words[0]]
	switch {
	case !known:
		return Call{}, errCall
	case withID && len(words) < 2:
		return Call{}, errMissing
	case withID && len(words) == 2:
		return Call{words[0], words[1]}, nil
	case len(words) > 1:
		return Call{}, errSurplus
	}
	return Call{Name: words[0]}, nil
}
