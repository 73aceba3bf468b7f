package main

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// The states of a worker in the list.
const (
	active = iota
	leaving
	left
)

var phases = []string{"active", "leaving", "left"}

// entry is a worker's entry in the list.
type entry struct {
	worker  *worker
	state   int
	started time.Time // zero for long ago
}

// bulletin is a stand-in of the bulletin of one gateway. Event 1 is the list of the start.
type bulletin struct {
	record  *record
	addr    string
	ln      net.Listener
	mu      sync.Mutex
	entries []entry
	frames  [][]byte      // of the events from 2 on
	changed chan struct{} // closed and replaced with every event
}

func newBulletin(rec *record, workers []*worker) (*bulletin, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &bulletin{record: rec, addr: ln.Addr().String(), ln: ln, changed: make(chan struct{})}
	for _, w := range workers {
		b.entries = append(b.entries, entry{worker: w})
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

func (b *bulletin) close() { b.ln.Close() }

// serve reads the number of the last event that a gateway has, and sends every later one, and an empty frame each second.
func (b *bulletin) serve(c net.Conn) {
	defer c.Close()
	var last [8]byte
	if _, err := io.ReadFull(c, last[:]); err != nil {
		return
	}
	next := binary.BigEndian.Uint64(last[:])
	b.record.logf("bulletin: a gateway asks for the events after %d", next)
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		b.mu.Lock()
		var out []byte
		for ; next >= 1 && next-1 < uint64(len(b.frames)); next++ {
			out = append(out, b.frames[next-1]...)
		}
		changed := b.changed
		b.mu.Unlock()
		if len(out) == 0 {
			select {
			case <-changed:
				continue
			case <-heartbeat.C:
				out = frame(next, 0, nil)
			}
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

func frame(number uint64, kind byte, payload []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(out, number), kind), payload...)
}

// publish adds the event that one worker has changed.
func (b *bulletin) publish(w *worker, state int, started time.Time) {
	at := netip.MustParseAddrPort(w.addr)
	ip := at.Addr().As4()
	p := binary.BigEndian.AppendUint32(nil, w.number)
	p = binary.BigEndian.AppendUint16(append(p, ip[:]...), at.Port())
	p = binary.BigEndian.AppendUint16(append(p, byte(state), byte(w.zone), 0), 0)
	p = binary.BigEndian.AppendUint32(p, 1000)
	p = binary.BigEndian.AppendUint64(p, uint64(unixMilli(started)))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.logf("bulletin: event %d, %s is %s", len(b.frames)+2, w.id, phases[state])
	b.frames = append(b.frames, frame(uint64(len(b.frames)+2), 2, p))
	known := false
	for i := range b.entries {
		if b.entries[i].worker == w {
			b.entries[i], known = entry{w, state, started}, true
		}
	}
	if !known {
		b.entries = append(b.entries, entry{w, state, started})
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

func unixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// known returns the list of this moment in the form of the configuration.
func (b *bulletin) known(zones []string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var members []any
	for _, e := range b.entries {
		if e.state != left {
			members = append(members, map[string]any{"id": e.worker.id, "host_port": e.worker.addr, "locality": zones[e.worker.zone],
				"flavor": "std-2c", "cell": 0, "phase": phases[e.state], "size": 1, "up_since_ms": unixMilli(e.started)})
		}
	}
	last := len(b.frames) + 1
	return map[string]any{"no": last, "items": []any{map[string]any{"no": last, "roster": map[string]any{"revision": last, "complete": true,
		"members": members}}}}
}
