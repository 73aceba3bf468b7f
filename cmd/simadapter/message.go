package main

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"quillrail/decide"
)

// message is a line cut into its parts. The first fault is kept.
type message struct {
	verb  string
	names []string
	vals  []string
	err   error
}

// textFields run to the end of their line.
var textFields = map[string]bool{"boot-info": true, "reason-text": true}

func (m *message) parse(line string) error {
	m.names, m.vals, m.err = m.names[:0], m.vals[:0], nil
	verb, rest, _ := strings.Cut(line, " ")
	m.verb = verb
	for rest != "" {
		name, after, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.Contains(name, " ") {
			return fmt.Errorf("%q is not name=value", rest)
		}
		val := after
		if textFields[name] {
			rest = ""
		} else {
			val, rest, _ = strings.Cut(after, " ")
		}
		m.names, m.vals = append(m.names, name), append(m.vals, val)
	}
	return nil
}

func (m *message) get(name string) (string, bool) {
	for i, n := range m.names {
		if n == name {
			return m.vals[i], true
		}
	}
	return "", false
}

func (m *message) fail(name, what string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s %s", m.verb, name, what)
	}
}

func (m *message) need(name string) string {
	v, ok := m.get(name)
	if !ok {
		m.fail(name, "is missing")
	}
	return v
}

func (m *message) float(name string) float64 {
	v, ok := m.get(name)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		m.fail(name, "is not a number: "+v)
	}
	return x
}

func (m *message) dur(name string) time.Duration { return seconds(m.float(name)) }

func (m *message) int(name string) int {
	v, ok := m.get(name)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		m.fail(name, "is not a whole number: "+v)
	}
	return n
}

func (m *message) needInt(name string) int {
	m.need(name)
	return m.int(name)
}

func (m *message) handle() uint64 {
	v := m.need("handle")
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		m.fail("handle", "is not a request id: "+v)
	}
	return n
}

func (m *message) bytes(name string) []byte {
	v := m.need(name)
	if v == "-" {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(v)
	if err != nil {
		m.fail(name, "is not base64: "+v)
	}
	return b
}

var outcomes = map[string]decide.Outcome{"GOOD": decide.Good, "BAD": decide.Bad, "FULL": decide.Full,
	"LATE": decide.TimedOut, "NOCONN": decide.NoConn, "RST": decide.Reset, "CXL": decide.Cancelled,
	"NOP": decide.NotSent, "MISS": decide.Miss}

func (m *message) outcome() decide.Outcome {
	v := m.need("disposition")
	o, ok := outcomes[v]
	if !ok {
		m.fail("disposition", "is unknown: "+v)
	}
	return o
}

func seconds(x float64) time.Duration { return time.Duration(math.Round(x*1e6)) * time.Microsecond }
