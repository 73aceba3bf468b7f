package lab

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what a relay does to the bytes in one direction. The zero value lets all of them pass.
type Fault struct {
	Delay          time.Duration // added to each read that is forwarded
	Drop           bool          // bytes are lost, and the sender doesn't notice
	Hold           bool          // bytes wait until the fault is over, as those do that TCP retransmits once a link has recovered
	BytesPerSecond int           // 0 for no limit
	MaxChunk       int           // most bytes in one write to the receiver, so that it may get short reads; 0 for no limit
}

// Relay forwards TCP connections to a target, each direction with faults of its own. Drop in one direction makes a connection that
// works only in the other, and Drop in both a partition that neither side notices. The close of one end is passed on to the other even
// while its bytes are dropped; while they are held, it waits with them. After Reset both sides notice.
type Relay struct {
	ln      net.Listener
	target  func() string
	mu      sync.Mutex // guards the fields below
	changed sync.Cond  // broadcast when closed is set and when faults change
	faults  [2]Fault   // 0: to the target, 1: from the target
	conns   map[net.Conn]bool
	cut     bool // new connections are accepted, but not forwarded
	refuses bool // new connections are reset at once
	closed  bool
}

// newRelay listens on listenAddr and forwards each accepted connection to the address that target returns when the relay dials it.
func newRelay(l *Lab, listenAddr string, target func() string) (*Relay, error) {
	ln, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return nil, err
	}
	r := &Relay{ln: ln, target: target, conns: map[net.Conn]bool{}}
	r.changed.L = &r.mu
	l.onClose(func() { ln.Close(); r.close() })
	go l.acceptAll(ln, r.handle)
	return r, nil
}

// close resets all connections and wakes the goroutines that wait for a fault to be over.
func (r *Relay) close() {
	r.mu.Lock()
	r.closed = true
	r.changed.Broadcast()
	r.mu.Unlock()
	r.Reset()
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Set sets the faults of both directions, also for open connections. After Cut, new connections stay silent nevertheless until Heal.
func (r *Relay) Set(toTarget, fromTarget Fault) {
	r.mu.Lock()
	r.faults = [2]Fault{toTarget, fromTarget}
	r.changed.Broadcast()
	r.mu.Unlock()
}

// set sets the fault of one direction: 0 to the target, 1 from the target.
func (r *Relay) set(direction int, fault Fault) {
	r.mu.Lock()
	r.faults[direction] = fault
	r.changed.Broadcast()
	r.mu.Unlock()
}

// Cut drops all bytes in both directions: connections stay open and silent, and new ones are accepted but stay silent. Unlike with
// a pulled cable, the close of one end is passed on to the other. Heal ends the cut; it resets connections that are still open.
func (r *Relay) Cut() {
	r.mu.Lock()
	r.cut, r.faults = true, [2]Fault{{Drop: true}, {Drop: true}}
	r.changed.Broadcast()
	r.mu.Unlock()
}

// Refuse resets open and new connections, as a host does on which nothing listens. Heal ends it.
func (r *Relay) Refuse() {
	r.mu.Lock()
	r.refuses = true
	r.mu.Unlock()
	r.Reset()
}

// Heal ends Cut, Refuse and all faults, and resets open connections.
func (r *Relay) Heal() {
	r.mu.Lock()
	r.cut, r.refuses, r.faults = false, false, [2]Fault{}
	r.changed.Broadcast()
	r.mu.Unlock()
	r.Reset()
}

// Reset resets all open connections.
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

// waitWhileHeld waits until a direction is not held, or the relay is closed, and returns the direction's fault.
func (r *Relay) waitWhileHeld(direction int) Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.faults[direction].Hold && !r.closed {
		r.changed.Wait()
	}
	return r.faults[direction]
}

// handle forwards an accepted connection until one of its ends is closed. After Refuse, or if the target cannot be dialled, it resets
// the connection instead; after Cut it discards what the client sends until the connection is closed.
func (r *Relay) handle(client net.Conn) {
	r.mu.Lock()
	r.conns[client] = true
	cut, refuses := r.cut, r.refuses
	r.mu.Unlock()
	if refuses {
		client.(*net.TCPConn).SetLinger(0)
		r.closeConn(client)
		return
	}
	if cut {
		io.Copy(io.Discard, client)
		r.closeConn(client)
		return
	}
	r.waitWhileHeld(0)
	server, err := net.DialTimeout("tcp", r.target(), time.Second)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		r.closeConn(client)
		return
	}
	r.mu.Lock()
	r.conns[server] = true
	r.mu.Unlock()
	go r.pump(0, client, server)
	r.pump(1, server, client)
}

func (r *Relay) closeConn(c net.Conn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// pump forwards one direction until it ends, and then closes both connections.
func (r *Relay) pump(direction int, from, to net.Conn) {
	defer r.closeConn(from)
	defer r.closeConn(to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		fault := r.waitWhileHeld(direction)
		if n > 0 && !fault.Drop {
			wait := fault.Delay
			if fault.BytesPerSecond > 0 {
				wait += time.Duration(n) * time.Second / time.Duration(fault.BytesPerSecond)
			}
			if wait > 0 {
				time.Sleep(wait) // the fault's delay, plus the transmission time at its rate
			}
			if err := writeInChunks(to, buf[:n], fault.MaxChunk); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// writeInChunks writes all data, with at most maxChunk bytes in each write; 0 for no limit.
func writeInChunks(to io.Writer, data []byte, maxChunk int) error {
	if maxChunk <= 0 {
		maxChunk = len(data)
	}
	for len(data) > 0 {
		n := min(maxChunk, len(data))
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}
