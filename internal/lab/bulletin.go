package lab

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// bulletin is the stub of the discovery service for one gateway. It lists the workers at the addresses of that gateway's relays.
type bulletin struct {
	addr    string
	gateway *Gateway
	mu      sync.Mutex
	frames  [][]byte      // encoded events from number 2 on; event 1 is the list in the gateway's configuration
	changed chan struct{} // closed and replaced when frames or muted change
	muted   bool          // new events are held back until it is false again
}

func newBulletin(l *Lab, g *Gateway) (*bulletin, error) {
	ln, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		return nil, err
	}
	l.onClose(func() { ln.Close() })
	b := &bulletin{addr: ln.Addr().String(), gateway: g, changed: make(chan struct{})}
	go l.acceptAll(ln, b.handle)
	return b, nil
}

// handle reads the number of the last event that the gateway has seen, and then sends the later ones as they come. While there
// are none it sends an empty frame every second as a heartbeat.
func (b *bulletin) handle(c net.Conn) {
	defer c.Close()
	var lastSeen [8]byte
	if _, err := io.ReadFull(c, lastSeen[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(lastSeen[:])
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for {
		b.mu.Lock()
		var pending []byte
		for ; !b.muted && last >= 1 && last-1 < uint64(len(b.frames)); last++ {
			pending = append(pending, b.frames[last-1]...)
		}
		changed := b.changed
		b.mu.Unlock()
		if len(pending) == 0 {
			select {
			case <-changed:
				continue
			case <-heartbeat.C:
				pending = frame(last, 0, nil)
			}
		}
		if _, err := c.Write(pending); err != nil {
			return
		}
	}
}

// unixMilli returns a worker's start time as the list has it: Unix milliseconds, 0 if it started long ago.
func unixMilli(started time.Time) int64 {
	if started.IsZero() {
		return 0
	}
	return started.UnixMilli()
}

// frame encodes an event: its length, its number, its kind (0 heartbeat, 2 change of one worker) and its payload.
func frame(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = append(binary.BigEndian.AppendUint64(b, number), kind)
	return append(b, payload...)
}

// add appends the event that one worker has changed. state is 0 for ready, 1 for draining and 2 for gone.
func (b *bulletin) add(w *Worker, state byte, started time.Time) {
	addr := netip.MustParseAddrPort(b.gateway.links[w.index].Addr())
	ip := addr.Addr().As4()
	record := binary.BigEndian.AppendUint32(nil, uint32(w.index+1))
	record = binary.BigEndian.AppendUint16(append(record, ip[:]...), addr.Port())
	record = binary.BigEndian.AppendUint16(append(record, state, byte(w.Hall), 0), 0)
	record = binary.BigEndian.AppendUint32(record, 1000)
	record = binary.BigEndian.AppendUint64(record, uint64(unixMilli(started)))
	b.mu.Lock()
	b.frames = append(b.frames, frame(uint64(len(b.frames))+2, 2, record))
	close(b.changed)
	b.changed = make(chan struct{})
	b.mu.Unlock()
}

// last returns the number of the last event.
func (b *bulletin) last() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.frames) + 1
}

// Mute holds back the events of the gateway's bulletin if muted is true, and sends them again if it is false. Heartbeats go on.
func (g *Gateway) Mute(muted bool) {
	b := g.bulletin
	b.mu.Lock()
	b.muted = muted
	close(b.changed)
	b.changed = make(chan struct{})
	b.mu.Unlock()
}

// publish adds the event that a worker has changed to every gateway's bulletin.
func (l *Lab) publish(w *Worker, state byte, started time.Time) {
	for _, g := range l.Gateways {
		g.bulletin.add(w, state, started)
	}
}
