// Package bulletin follows the list of workers: what is known at the start, and the stream of changes.
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
	recordSize = 27
	frameHead  = 9       // number and kind, counted by the length
	maxFrame   = 4 << 20 // more than 100,000 workers
)

// Event is one numbered change of the list. One that brings nothing new has Nothing set.
type Event struct {
	No      uint64
	Nothing bool
	Whole   bool
	Members []core.Member
}

// Parser cuts a stream of bytes into events. After an error it takes nothing more.
type Parser struct {
	Site *settings.Site
	buf  []byte
	err  error
}

// Feed takes the next bytes and calls emit for every frame that is whole.
func (p *Parser) Feed(b []byte, emit func(Event)) error {
	if p.err != nil {
		return p.err
	}
	p.buf = append(p.buf, b...)
	rest := p.buf
	for p.err == nil && len(rest) >= 4 {
		n := binary.BigEndian.Uint32(rest)
		if n < frameHead || n > maxFrame {
			p.err = fmt.Errorf("a frame of %d bytes", n)
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

func parseFrame(b []byte, site *settings.Site) (Event, error) {
	e := Event{No: binary.BigEndian.Uint64(b)}
	kind, payload := b[8], b[frameHead:]
	switch {
	case kind > 2:
		return e, fmt.Errorf("a frame of kind %d", kind)
	case kind == 0 && len(payload) > 0:
		return e, fmt.Errorf("an empty frame of %d bytes", len(payload))
	case len(payload)%recordSize != 0:
		return e, fmt.Errorf("records of %d bytes in all", len(payload))
	}
	e.Nothing, e.Whole = kind == 0, kind == 1
	for ; len(payload) > 0; payload = payload[recordSize:] {
		m, err := parseRecord(payload[:recordSize], site)
		if err != nil {
			return e, err
		}
		e.Members = append(e.Members, m)
	}
	return e, nil
}

func parseRecord(b []byte, site *settings.Site) (m core.Member, err error) {
	be := binary.BigEndian
	state, zone, kind := b[10], b[11], b[12]
	if state > 2 {
		return m, fmt.Errorf("state %d", state)
	}
	if int(zone) >= len(site.Zones) || int(kind) >= len(site.Kinds) {
		return m, fmt.Errorf("zone %d, kind %d", zone, kind)
	}
	m.Name = fmt.Sprintf("s-%08x", be.Uint32(b))
	m.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), be.Uint16(b[8:])).String()
	m.State, m.Zone, m.Cell = decide.HostState(state), int(zone), int(be.Uint16(b[13:]))
	m.Weight = float64(be.Uint32(b[15:])) / 1000
	started := be.Uint64(b[19:])
	if started > 1<<43 { // the year 2248, in milliseconds
		return m, fmt.Errorf("started at %d", started)
	}
	m.Since = time.Duration(started) * time.Millisecond
	return m, nil
}

// Known is the part of the configuration that holds the events so far.
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

// ParseKnown reads the events of the start.
func ParseKnown(text []byte, site *settings.Site) (uint64, []Event, error) {
	var k Known
	if err := json.Unmarshal(text, &k); err != nil {
		return 0, nil, err
	}
	var events []Event
	for _, item := range k.Items {
		e := Event{No: item.No, Whole: item.Roster.Complete}
		for _, m := range item.Roster.Members {
			state, ok := phases[m.Phase]
			if !ok {
				return 0, nil, fmt.Errorf("event %d: phase %q", item.No, m.Phase)
			}
			if _, err := netip.ParseAddrPort(m.HostPort); err != nil || m.ID == "" {
				return 0, nil, fmt.Errorf("event %d: member %q at %q", item.No, m.ID, m.HostPort)
			}
			zone := -1
			for i, z := range site.Zones {
				if z == m.Locality {
					zone = i
				}
			}
			if zone < 0 {
				return 0, nil, fmt.Errorf("event %d: locality %q", item.No, m.Locality)
			}
			e.Members = append(e.Members, core.Member{Addr: m.HostPort, Host: decide.Host{Name: m.ID, Zone: zone,
				Cell: m.Cell, State: state, Weight: m.Size, Since: time.Duration(m.Up * float64(time.Millisecond))}})
		}
		events = append(events, e)
	}
	return k.No, events, nil
}
