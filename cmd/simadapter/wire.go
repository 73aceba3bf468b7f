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

// session is the state of the exchange with the simulator.
type session struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int               // number of the last line that was read
	now       time.Duration     // time of the simulation
	instances map[int]*instance // by number on the wire
}

// readLine returns the next line without its line end, or io.EOF if there is none.
func (s *session) readLine() (string, error) {
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

// answerBatch reads one batch, the lines from tick to over_to_you, and writes the actions and done. It doesn't flush the output.
func (s *session) answerBatch() error {
	line, err := s.readLine()
	for err == nil && line == "" {
		line, err = s.readLine()
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
	m.required("sim-time-s")
	if s.now = m.duration("sim-time-s"); m.err != nil {
		return m.err
	}
	for {
		line, err := s.readLine()
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
		if err := s.handleEvent(&m); err != nil {
			return err
		}
	}
}

// handleEvent handles one message of a batch: it opens or shuts down an instance, or passes an event to one.
func (s *session) handleEvent(m *message) (err error) {
	id := m.requiredInt("i")
	if m.err != nil {
		return m.err
	}
	defer func() { // a panic in package decide is reported to the simulator and doesn't end the adapter
		if p := recover(); p != nil {
			fmt.Fprintf(s.out, "internal_error i=%d reason-text=%s\n", id, strings.ReplaceAll(fmt.Sprint(p), "\n", " "))
		}
	}()
	if m.verb == "open_instance" {
		return s.openInstance(id, m)
	}
	in := s.instances[id]
	if in == nil {
		return fmt.Errorf("%s for instance %d, which is not open", m.verb, id)
	}
	if m.verb == "shutdown" {
		delete(s.instances, id)
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

// openInstance creates the router of an instance.
func (s *session) openInstance(id int, m *message) error {
	seedText := m.required("prng")
	info := m.required("boot-info")
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
	in := &instance{id: id, session: s, site: site}
	if in.router, err = decide.New(site.Decide, seed, in); err != nil {
		return err
	}
	s.instances[id] = in
	return nil
}
