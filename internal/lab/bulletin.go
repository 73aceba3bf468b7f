package lab

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// bulletin tells one gateway of the workers, at the addresses by which that gateway reaches them.
type bulletin struct {
	addr   string
	g      *Gateway
	mu     sync.Mutex
	frames [][]byte // of the events from the second on; the first is in the configuration
	more   chan struct{}
	muted  bool // the list lags: what is new is told once it does no longer
}

func newBulletin(l *Lab, g *Gateway) (*bulletin, error) {
	ln, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		return nil, err
	}
	l.onClose(func() { ln.Close() })
	b := &bulletin{addr: ln.Addr().String(), g: g, more: make(chan struct{})}
	go l.serve(ln, b.handle)
	return b, nil
}

func (b *bulletin) handle(c net.Conn) {
	defer c.Close()
	var last [8]byte
	if _, err := io.ReadFull(c, last[:]); err != nil {
		return
	}
	next := binary.BigEndian.Uint64(last[:])
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	for {
		b.mu.Lock()
		var out []byte
		for ; !b.muted && next >= 1 && next-1 < uint64(len(b.frames)); next++ {
			out = append(out, b.frames[next-1]...)
		}
		more := b.more
		b.mu.Unlock()
		if len(out) == 0 {
			select {
			case <-more:
				continue
			case <-beat.C:
				out = frame(next, 0, nil)
			}
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// unixMilli is a start as the list tells it, 0 for long ago.
func unixMilli(started time.Time) int64 {
	if started.IsZero() {
		return 0
	}
	return started.UnixMilli()
}

func frame(no uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	b = append(binary.BigEndian.AppendUint64(b, no), kind)
	return append(b, payload...)
}

// add appends a change of one worker: state 0 ready, 1 draining, 2 gone.
func (b *bulletin) add(w *Worker, state byte, started time.Time) {
	at := netip.MustParseAddrPort(b.g.links[w.n].Addr())
	ip := at.Addr().As4()
	r := binary.BigEndian.AppendUint32(nil, uint32(w.n+1))
	r = binary.BigEndian.AppendUint16(append(r, ip[:]...), at.Port())
	r = binary.BigEndian.AppendUint16(append(r, state, byte(w.Hall), 0), 0)
	r = binary.BigEndian.AppendUint32(r, 1000)
	r = binary.BigEndian.AppendUint64(r, uint64(unixMilli(started)))
	b.mu.Lock()
	b.frames = append(b.frames, frame(uint64(len(b.frames))+2, 2, r))
	close(b.more)
	b.more = make(chan struct{})
	b.mu.Unlock()
}

// last is the number of the last event.
func (b *bulletin) last() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.frames) + 1
}

// Mute has a gateway hear nothing new of the workers until it is ended.
func (g *Gateway) Mute(on bool) {
	b := g.bulletin
	b.mu.Lock()
	b.muted = on
	close(b.more)
	b.more = make(chan struct{})
	b.mu.Unlock()
}

// tell has every bulletin say what has become of a worker.
func (l *Lab) tell(w *Worker, state byte, started time.Time) {
	for _, g := range l.Gateways {
		g.bulletin.add(w, state, started)
	}
}
