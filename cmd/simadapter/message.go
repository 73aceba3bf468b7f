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

// message is a parsed line: a verb and named values. err is the first error that the methods below found; their results are valid only
// without it.
type message struct {
	verb   string
	names  []string
	values []string
	err    error
}

// textFields are the fields whose values may contain spaces and extend to the end of the line.
var textFields = map[string]bool{"boot-info": true, "reason-text": true}

// parse replaces the message with the contents of a line.
func (m *message) parse(line string) error {
	m.names, m.values, m.err = m.names[:0], m.values[:0], nil
	verb, rest, _ := strings.Cut(line, " ")
	m.verb = verb
	for rest != "" {
		name, after, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.Contains(name, " ") {
			return fmt.Errorf("%q is not name=value", rest)
		}
		value := after
		if textFields[name] {
			rest = ""
		} else {
			value, rest, _ = strings.Cut(after, " ")
		}
		m.names, m.values = append(m.names, name), append(m.values, value)
	}
	return nil
}

// get returns the value of a field and whether the message has it.
func (m *message) get(name string) (string, bool) {
	for i, n := range m.names {
		if n == name {
			return m.values[i], true
		}
	}
	return "", false
}

// fail records an error of a field unless there is an earlier one.
func (m *message) fail(name, fault string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s %s", m.verb, name, fault)
	}
}

// required returns the value of a field that must be present.
func (m *message) required(name string) string {
	text, ok := m.get(name)
	if !ok {
		m.fail(name, "is missing")
	}
	return text
}

// float returns the value of a number field, 0 if it is missing.
func (m *message) float(name string) float64 {
	text, ok := m.get(name)
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		m.fail(name, "is not a number: "+text)
	}
	return number
}

// duration returns the value of a field in seconds, 0 if it is missing.
func (m *message) duration(name string) time.Duration { return fromSeconds(m.float(name)) }

// int returns the value of a whole-number field, 0 if it is missing.
func (m *message) int(name string) int {
	text, ok := m.get(name)
	if !ok {
		return 0
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		m.fail(name, "is not a whole number: "+text)
	}
	return number
}

func (m *message) requiredInt(name string) int {
	m.required(name)
	return m.int(name)
}

func (m *message) requestID() uint64 {
	text := m.required("handle")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		m.fail("handle", "is not a request id: "+text)
	}
	return number
}

// bytes returns the content of a required base64 field; - stands for no content.
func (m *message) bytes(name string) []byte {
	text := m.required(name)
	if text == "-" {
		return nil
	}
	content, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		m.fail(name, "is not base64: "+text)
	}
	return content
}

var outcomes = map[string]decide.Outcome{"GOOD": decide.Good, "BAD": decide.Bad, "FULL": decide.Full,
	"LATE": decide.TimedOut, "NOCONN": decide.NoConn, "RST": decide.Reset, "CXL": decide.Cancelled,
	"NOP": decide.NotSent, "MISS": decide.Miss}

func (m *message) outcome() decide.Outcome {
	text := m.required("disposition")
	outcome, ok := outcomes[text]
	if !ok {
		m.fail("disposition", "is unknown: "+text)
	}
	return outcome
}

// fromSeconds converts seconds to a duration, rounded to microseconds.
func fromSeconds(number float64) time.Duration {
	return time.Duration(math.Round(number*1e6)) * time.Microsecond
}
