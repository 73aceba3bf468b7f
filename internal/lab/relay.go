package lab

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a relay does to what passes in one direction. The zero value lets all pass.
type Fault struct {
	Delay time.Duration // what passes comes so much later
	Drop  bool          // what passes is lost, and the sender sees nothing of it
	Hold  bool          // what passes waits until the fault is over, as TCP has it wait for a link that comes back
	Rate  int           // bytes a second at most, 0 for no limit
	Piece int           // bytes that are passed on at a time at most, 0 for all: reads and writes come short
}

// Relay passes TCP connections on, each direction with faults of its own. One direction dropped alone is a half-open
// connection; both are a cut that nobody is told of; Reset is one that both sides see.
type Relay struct {
	ln      net.Listener
	to      func() string
	mu      sync.Mutex
	over    sync.Cond // a fault has changed
	fault   [2]Fault  // towards the target, and back
	conns   map[net.Conn]bool
	cut     bool // no connection comes up
	refuses bool // new connections are reset at once
	ended   bool
}

// newRelay listens on loopback and passes on to the address that to returns when a connection comes.
func newRelay(l *Lab, at string, to func() string) (*Relay, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, to: to, conns: map[net.Conn]bool{}}
	r.over.L = &r.mu
	l.onClose(func() { ln.Close(); r.end() })
	go l.serve(ln, r.handle)
	return r, nil
}

// end lets go of whatever waits for a fault to be over.
func (r *Relay) end() {
	r.mu.Lock()
	r.ended = true
	r.over.Broadcast()
	r.mu.Unlock()
	r.Reset()
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Set gives the faults of both directions, also to connections that are open.
func (r *Relay) Set(there, back Fault) {
	r.mu.Lock()
	r.fault = [2]Fault{there, back}
	r.over.Broadcast()
	r.mu.Unlock()
}

// set gives the fault of one direction.
func (r *Relay) set(way int, f Fault) {
	r.mu.Lock()
	r.fault[way] = f
	r.over.Broadcast()
	r.mu.Unlock()
}

// Cut has nothing pass either way, as if the cable were drawn: connections stay open and silent, new ones are taken and
// say nothing. Heal has new ones pass again; what was open is reset.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cut, r.fault = true, [2]Fault{{Drop: true}, {Drop: true}}
	r.mu.Unlock()
}

// Refuse breaks every open connection and resets new ones, as a host does on which nothing listens. Heal ends it.
func (r *Relay) Refuse() {
	r.mu.Lock()
	r.refuses = true
	r.mu.Unlock()
	r.Reset()
}

// Heal ends a cut or a refusal.
func (r *Relay) Heal() {
	r.mu.Lock()
	r.cut, r.refuses, r.fault = false, false, [2]Fault{}
	r.over.Broadcast()
	r.mu.Unlock()
	r.Reset()
}

// Reset breaks every open connection.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	clear(r.conns)
}

// await waits until a direction is not held.
func (r *Relay) await(way int) Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.fault[way].Hold && !r.ended {
		r.over.Wait()
	}
	return r.fault[way]
}

func (r *Relay) handle(near net.Conn) {
	r.mu.Lock()
	r.conns[near] = true
	cut, refuses := r.cut, r.refuses
	r.mu.Unlock()
	if refuses {
		near.(*net.TCPConn).SetLinger(0)
		r.drop(near)
		return
	}
	if cut {
		io.Copy(io.Discard, near)
		r.drop(near)
		return
	}
	r.await(0)
	far, err := net.DialTimeout("tcp", r.to(), time.Second)
	if err != nil {
		near.(*net.TCPConn).SetLinger(0)
		r.drop(near)
		return
	}
	r.mu.Lock()
	r.conns[far] = true
	r.mu.Unlock()
	go r.pump(0, near, far)
	r.pump(1, far, near)
}

func (r *Relay) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// pump passes one direction on until it ends, and ends the other with it.
func (r *Relay) pump(way int, from, to net.Conn) {
	defer r.drop(from)
	defer r.drop(to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		f := r.await(way)
		if n > 0 && !f.Drop {
			wait := f.Delay
			if f.Rate > 0 {
				wait += time.Duration(n) * time.Second / time.Duration(f.Rate)
			}
			if wait > 0 {
				time.Sleep(wait) // the relay's fault is to take time
			}
			if err := inPieces(to, buf[:n], f.Piece); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// inPieces writes all, so many bytes at a time at most.
func inPieces(to io.Writer, all []byte, most int) error {
	if most <= 0 {
		most = len(all)
	}
	for len(all) > 0 {
		n := min(most, len(all))
		if _, err := to.Write(all[:n]); err != nil {
			return err
		}
		all = all[n:]
	}
	return nil
}
