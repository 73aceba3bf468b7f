// Package bulletin follows the list of workers that the bulletin publishes: the events known from the configuration, and then the stream
// of changes.
package bulletin

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/settings"
)

const (
	recordSize      = 27      // bytes
	frameHeaderSize = 9       // bytes of the event's number and kind, included in the frame's length
	maxFrame        = 4 << 20 // bytes, enough for more than 100,000 workers
)

// Event is one numbered change of the list, or a heartbeat.
type Event struct {
	No       uint64
	Empty    bool // heartbeat without a change
	Complete bool // Members is the whole list and not only the changed members
	Members  []core.Member
}

// Parser splits a stream of bytes into events. After an error it accepts no more bytes.
type Parser struct {
	Site *settings.Site
	buf  []byte
	err  error
}

// Feed takes the next bytes and calls emit for every complete frame.
func (p *Parser) Feed(b []byte, emit func(Event)) error {
	if p.err != nil {
		return p.err
	}
	p.buf = append(p.buf, b...)
	rest := p.buf
	for p.err == nil && len(rest) >= 4 {
		n := binary.BigEndian.Uint32(rest)
		if n < frameHeaderSize || n > maxFrame {
			p.err = fmt.Errorf("frame length is %d bytes, expected %d to %d", n, frameHeaderSize, maxFrame)
			break
		}
		if uint64(len(rest)) < 4+uint64(n) {
			break
		}
		var e Event
		if e, p.err = parseFrame(rest[4:4+n], p.Site); p.err == nil {
			rest = rest[4+n:]
			emit(e)
		}
	}
	if p.err != nil || len(rest) == 0 {
		p.buf = nil
	} else {
		p.buf = append(p.buf[:0], rest...)
	}
	return p.err
}

// parseFrame parses a frame without its length: number, kind (0 heartbeat, 1 complete list, 2 changes) and records.
func parseFrame(b []byte, site *settings.Site) (Event, error) {
	e := Event{No: binary.BigEndian.Uint64(b)}
	kind, payload := b[8], b[frameHeaderSize:]
	switch {
	case kind > 2:
		return e, fmt.Errorf("frame kind is %d, expected 0 to 2", kind)
	case kind == 0 && len(payload) > 0:
		return e, fmt.Errorf("heartbeat frame has %d bytes of records, expected none", len(payload))
	case len(payload)%recordSize != 0:
		return e, fmt.Errorf("frame has %d bytes of records, expected a multiple of %d", len(payload), recordSize)
	}
	e.Empty, e.Complete = kind == 0, kind == 1
	for ; len(payload) > 0; payload = payload[recordSize:] {
		m, err := parseRecord(payload[:recordSize], site)
		if err != nil {
			return e, err
		}
		e.Members = append(e.Members, m)
	}
	return e, nil
}

// parseRecord parses one worker's record, which is recordSize bytes long.
func parseRecord(b []byte, site *settings.Site) (m core.Member, err error) {
	be := binary.BigEndian
	state, zone, kind := b[10], b[11], b[12]
	if state > 2 {
		return m, fmt.Errorf("worker state is %d, expected 0 to 2", state)
	}
	if int(zone) >= len(site.Zones) || int(kind) >= len(site.Kinds) {
		return m, fmt.Errorf("worker has zone %d and kind %d, of which the site has %d and %d", zone, kind, len(site.Zones), len(site.Kinds))
	}
	m.Name = fmt.Sprintf("s-%08x", be.Uint32(b))
	m.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), be.Uint16(b[8:])).String()
	m.State, m.Zone, m.Cell = decide.HostState(state), int(zone), int(be.Uint16(b[13:]))
	m.Weight = float64(be.Uint32(b[15:])) / 1000
	started := be.Uint64(b[19:])
	if started > 1<<43 { // milliseconds since 1970: the year 2248
		return m, fmt.Errorf("worker start time is %d ms since 1970, expected no later than the year 2248", started)
	}
	m.Since = time.Duration(started) * time.Millisecond
	return m, nil
}

// Known is the part of the configuration that holds the events published so far.
type Known struct {
	No    uint64 `json:"no"`
	Items []struct {
		No     uint64 `json:"no"`
		Roster struct {
			Complete bool `json:"complete"`
			Members  []struct {
				ID       string  `json:"id"`
				HostPort string  `json:"host_port"`
				Locality string  `json:"locality"`
				Cell     int     `json:"cell"`
				Phase    string  `json:"phase"`
				Size     float64 `json:"size"`
				Up       float64 `json:"up_since_ms"`
			} `json:"members"`
		} `json:"roster"`
	} `json:"items"`
}

var phases = map[string]decide.HostState{"active": decide.Ready, "leaving": decide.Draining, "left": decide.Gone}

// ParseKnown parses the events in the configuration, and returns the number of the last one and the events.
func ParseKnown(text []byte, site *settings.Site) (uint64, []Event, error) {
	var k Known
	if err := json.Unmarshal(text, &k); err != nil {
		return 0, nil, err
	}
	var events []Event
	for _, item := range k.Items {
		e := Event{No: item.No, Complete: item.Roster.Complete}
		for _, m := range item.Roster.Members {
			state, ok := phases[m.Phase]
			if !ok {
				return 0, nil, fmt.Errorf("event %d: member %q has phase %q, expected active, leaving or left", item.No, m.ID, m.Phase)
			}
			if _, err := netip.ParseAddrPort(m.HostPort); err != nil || m.ID == "" {
				return 0, nil, fmt.Errorf("event %d: member has id %q and host_port %q, expected an id and ADDRESS:PORT",
					item.No, m.ID, m.HostPort)
			}
			zone := -1
			for i, z := range site.Zones {
				if z == m.Locality {
					zone = i
				}
			}
			if zone < 0 {
				return 0, nil, fmt.Errorf("event %d: member %q has locality %q, expected one of %q", item.No, m.ID, m.Locality, site.Zones)
			}
			e.Members = append(e.Members, core.Member{Addr: m.HostPort, Host: decide.Host{Name: m.ID, Zone: zone,
				Cell: m.Cell, State: state, Weight: m.Size, Since: time.Duration(m.Up * float64(time.Millisecond))}})
		}
		events = append(events, e)
	}
	return k.No, events, nil
}
