package main

import (
	"bufio"
	"fmt"
	"io"
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
