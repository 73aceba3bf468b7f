package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"quillrail/decide"
	"quillrail/internal/settings"
)

// instance is one simulated gateway.
type instance struct {
	id      int
	session *session
	router  *decide.Router
	site    *settings.Site
}

// loadReport parses the load report of a message. Values that can't be parsed count as missing; they are not an error of the message.
func (in *instance) loadReport(m *message) *decide.Report {
	text, _ := m.get("report")
	return in.site.Report(text, ",")
}

// decode converts a message to an event of package decide.
func (in *instance) decode(m *message) (decide.Event, error) {
	switch m.verb {
	case "ingress":
		flags := m.int("flags") // bit 0: work-s is set; bit 1: the client repeats the request
		ev := decide.Arrival{ID: m.requestID(), Class: m.requiredInt("kind"), Tenant: m.int("realm"), Function: m.required("model"),
			TTL: m.duration("ttl-s"), MemoryMB: m.float("mem-mb"), Lanes: m.int("at-once"),
			LoadTime: time.Duration(m.float("warm-ms") * float64(time.Millisecond)), Repeat: flags&2 != 0}
		if flags&1 != 0 {
			ev.Work = m.duration("work-s")
		}
		return ev, nil
	case "verdict":
		note := m.int("note") // the low three bits are the Note, the others the Contention
		ev := decide.Result{ID: m.requestID(), Attempt: m.requiredInt("shot"), Host: m.required("host"), Outcome: m.outcome(),
			Took: m.duration("time-taken-s"), Final: m.int("final") == 1, Note: decide.Note(note % 8), Contention: note / 8,
			Report: in.loadReport(m)}
		return ev, nil
	case "wake":
		return decide.Wake{Token: m.required("token")}, nil
	case "announce":
		return in.decodeList(m)
	case "cancelled_by_client":
		return decide.ClientGone{ID: m.requestID()}, nil
	case "resident":
		return decide.Loaded{Host: m.required("host"), Function: m.required("model"), Outcome: m.outcome(),
			Took: m.duration("time-taken-s"), Copies: m.int("copies")}, nil
	case "ping_result":
		return decide.Probed{Host: m.required("host"), Outcome: m.outcome(), Took: m.duration("time-taken-s"),
			Report: in.loadReport(m)}, nil
	case "heard":
		return decide.PeerMessage{From: m.requiredInt("neighbour"), Content: m.bytes("content")}, nil
	case "head_received":
		return decide.FirstByte{ID: m.requestID(), Attempt: m.requiredInt("shot")}, nil
	}
	return nil, fmt.Errorf("unknown message %q", m.verb)
}

var hostStates = map[string]decide.HostState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// decodeList converts an announce message and the item lines that follow it to a list.
func (in *instance) decodeList(m *message) (decide.Event, error) {
	var list decide.List
	switch scope := m.required("scope"); scope {
	case "diff":
	case "snapshot", "disk":
		list.Whole = true
	case "error":
		list.Failed = true
	default:
		return nil, fmt.Errorf("announce: scope is unknown: %s", scope)
	}
	hosts := m.int("hosts")
	if m.err != nil {
		return nil, m.err
	}
	if hosts < 0 {
		return nil, errors.New("announce: hosts is negative")
	}
	for range hosts {
		line, err := in.session.readLine()
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		var item message
		if err := item.parse(line); err != nil {
			return nil, err
		}
		if item.verb != "item" {
			return nil, fmt.Errorf("announce: item expected, not %q", item.verb)
		}
		condition := item.required("condition")
		state, ok := hostStates[condition]
		if !ok {
			item.fail("condition", "is unknown: "+condition)
		}
		list.Hosts = append(list.Hosts, decide.Host{Name: item.required("host"), Zone: item.int("dc"), Cell: item.int("bay"),
			State: state, Weight: item.float("capacity-hint"), Since: item.duration("since-s")})
		if item.err != nil {
			return nil, item.err
		}
	}
	return list, nil
}
