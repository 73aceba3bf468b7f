package main

import (
	"bufio"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"quillrail/decide"
	"quillrail/internal/settings"
)

// session is one conversation with the simulator.
type session struct {
	in      *bufio.Reader
	out     *bufio.Writer
	line    int
	now     time.Duration
	routers map[int]*instance
}

// instance is one gateway of the simulation.
type instance struct {
	id     int
	s      *session
	router *decide.Router
	site   *settings.Site
}

// message is a line cut into its parts. The first fault is kept.
type message struct {
	verb  string
	names []string
	vals  []string
	err   error
}

// textFields run to the end of their line.
var textFields = map[string]bool{"boot-info": true, "reason-text": true}

func (s *session) read() (string, error) {
	text, err := s.in.ReadString('\n')
	if err == io.EOF && text == "" {
		return "", io.EOF
	}
	if err != nil && err != io.EOF {
		return "", err
	}
	s.line++
	return strings.TrimRight(text, "\r\n"), nil
}

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
	"LATE": decide.Late, "NOCONN": decide.NoConn, "RST": decide.Reset, "CXL": decide.Cancelled,
	"NOP": decide.Nop, "MISS": decide.Miss}

func (m *message) outcome() decide.Outcome {
	v := m.need("disposition")
	o, ok := outcomes[v]
	if !ok {
		m.fail("disposition", "is unknown: "+v)
	}
	return o
}

// report reads a load report. What can't be read counts as not told, and the rest of the line still holds.
func (in *instance) report(m *message) *decide.Report {
	v, _ := m.get("report")
	return in.site.Report(v, ",")
}

// batch answers one batch: everything from a tick to its over_to_you.
func (s *session) batch() error {
	line, err := s.read()
	for err == nil && line == "" {
		line, err = s.read()
	}
	if err != nil {
		return err
	}
	var m message
	if err := m.parse(line); err != nil {
		return err
	}
	if m.verb != "tick" {
		return fmt.Errorf("a batch begins with tick, not %q", m.verb)
	}
	m.need("sim-time-s")
	if s.now = m.dur("sim-time-s"); m.err != nil {
		return m.err
	}
	for {
		line, err := s.read()
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if line == "over_to_you" {
			s.out.WriteString("done\n")
			return nil
		}
		if line == "" {
			continue
		}
		if err := m.parse(line); err != nil {
			return err
		}
		if err := s.event(&m); err != nil {
			return err
		}
	}
}

func (s *session) event(m *message) (err error) {
	id := m.needInt("i")
	if m.err != nil {
		return m.err
	}
	defer func() { // a panic in the module is a fault of the day, told on the wire
		if p := recover(); p != nil {
			fmt.Fprintf(s.out, "internal_error i=%d reason-text=%s\n", id, strings.ReplaceAll(fmt.Sprint(p), "\n", " "))
		}
	}()
	if m.verb == "open_instance" {
		return s.open(id, m)
	}
	in := s.routers[id]
	if in == nil {
		return fmt.Errorf("%s for instance %d, which is not open", m.verb, id)
	}
	if m.verb == "shutdown" {
		delete(s.routers, id)
		return nil
	}
	ev, err := in.decode(m)
	if err == nil {
		err = m.err
	}
	if err != nil {
		return err
	}
	in.router.Handle(s.now, ev)
	return nil
}

func (s *session) open(id int, m *message) error {
	seedText := m.need("prng")
	info := m.need("boot-info")
	if m.err != nil {
		return m.err
	}
	seed, err := strconv.ParseUint(seedText, 10, 64)
	if err != nil {
		return fmt.Errorf("open_instance: prng is not a seed: %s", seedText)
	}
	site, err := settings.Parse([]byte(info))
	if err != nil {
		return fmt.Errorf("open_instance: boot-info: %w", err)
	}
	in := &instance{id: id, s: s, site: site}
	if in.router, err = decide.New(site.Decide, seed, in); err != nil {
		return err
	}
	s.routers[id] = in
	return nil
}

// decode turns a line into the module's event.
func (in *instance) decode(m *message) (decide.Event, error) {
	switch m.verb {
	case "ingress":
		flags := m.int("flags")
		ev := decide.Arrival{ID: m.handle(), Class: m.needInt("kind"), Tenant: m.int("realm"), Function: m.need("model"),
			TTL: m.dur("ttl-s"), MemoryMB: m.float("mem-mb"), Lanes: m.int("at-once"),
			LoadTime: time.Duration(m.float("warm-ms") * float64(time.Millisecond)), Repeat: flags&2 != 0}
		if flags&1 != 0 {
			ev.Work = m.dur("work-s")
		}
		return ev, nil
	case "verdict":
		note := m.int("note")
		ev := decide.Result{ID: m.handle(), Shot: m.needInt("shot"), Host: m.need("host"), Outcome: m.outcome(),
			Took: m.dur("time-taken-s"), Final: m.int("final") == 1, Note: decide.Note(note % 8), Crowd: note / 8,
			Report: in.report(m)}
		return ev, nil
	case "wake":
		return decide.Wake{Token: m.need("token")}, nil
	case "announce":
		return in.list(m)
	case "cancelled_by_client":
		return decide.ClientGone{ID: m.handle()}, nil
	case "resident":
		return decide.Loaded{Host: m.need("host"), Function: m.need("model"), Outcome: m.outcome(),
			Took: m.dur("time-taken-s"), Copies: m.int("copies")}, nil
	case "ping_result":
		return decide.Probed{Host: m.need("host"), Outcome: m.outcome(), Took: m.dur("time-taken-s"),
			Report: in.report(m)}, nil
	case "heard":
		return decide.Peer{From: m.needInt("neighbour"), Content: m.bytes("content")}, nil
	case "head_received":
		return decide.FirstByte{ID: m.handle(), Shot: m.needInt("shot")}, nil
	}
	return nil, fmt.Errorf("unknown message %q", m.verb)
}

var states = map[string]decide.HostState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

func (in *instance) list(m *message) (decide.Event, error) {
	var ev decide.List
	switch scope := m.need("scope"); scope {
	case "diff":
	case "snapshot", "disk":
		ev.Whole = true
	case "error":
		ev.Failed = true
	default:
		return nil, fmt.Errorf("announce: scope is unknown: %s", scope)
	}
	n := m.int("hosts")
	if m.err != nil {
		return nil, m.err
	}
	if n < 0 {
		return nil, errors.New("announce: hosts is negative")
	}
	for range n {
		line, err := in.s.read()
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		var e message
		if err := e.parse(line); err != nil {
			return nil, err
		}
		if e.verb != "item" {
			return nil, fmt.Errorf("announce: item expected, not %q", e.verb)
		}
		condition := e.need("condition")
		state, ok := states[condition]
		if !ok {
			e.fail("condition", "is unknown: "+condition)
		}
		ev.Hosts = append(ev.Hosts, decide.Host{Name: e.need("host"), Zone: e.int("dc"), Cell: e.int("bay"),
			State: state, Weight: e.float("capacity-hint"), Since: e.dur("since-s")})
		if e.err != nil {
			return nil, e.err
		}
	}
	return ev, nil
}

func seconds(x float64) time.Duration { return time.Duration(math.Round(x*1e6)) * time.Microsecond }
