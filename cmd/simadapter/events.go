package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"quillrail/decide"
	"quillrail/internal/settings"
)

// instance is one gateway of the simulation.
type instance struct {
	id     int
	s      *session
	router *decide.Router
	site   *settings.Site
}

// report reads a load report. What can't be read counts as not told, and the rest of the line still holds.
func (in *instance) report(m *message) *decide.Report {
	v, _ := m.get("report")
	return in.site.Report(v, ",")
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
		ev := decide.Result{ID: m.handle(), Attempt: m.needInt("shot"), Host: m.need("host"), Outcome: m.outcome(),
			Took: m.dur("time-taken-s"), Final: m.int("final") == 1, Note: decide.Note(note % 8), Contention: note / 8,
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
		return decide.PeerMessage{From: m.needInt("neighbour"), Content: m.bytes("content")}, nil
	case "head_received":
		return decide.FirstByte{ID: m.handle(), Attempt: m.needInt("shot")}, nil
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
