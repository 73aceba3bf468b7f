// Package link carries messages addressed to a single gateway. All parts share one connection for each direction of a pair
// of gateways. Messages arrive in order as long as the connection lasts, and senders never block. A message may be lost when
// the connection fails or the queue is full, and is not retransmitted: the sender repeats it as long as it matters.
//
// A connection begins with Magic and a Hello, followed by frames: a length of four bytes (big-endian) and a message in
// MessagePack. The receiver stops reading until its event loop has handled earlier messages, so that a slow receiver slows
// the sender down.
package link

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Magic is the first byte of a connection. It differs from the first byte of memberlist's connections.
const Magic = 'Q'

const (
	maxFrame         = 4 << 20 // bytes
	maxQueueBytes    = 8 << 20 // bytes queued for one gateway
	maxQueueMessages = 4096    // messages queued for one gateway
	maxPeers         = 1024    // connections in each direction
	maxHello         = 4096    // bytes
	credit           = 64      // messages per connection that have been read but not handled yet
	dialTimeout      = time.Second
	ioTimeout        = 3 * time.Second // for a write, and for the Hello to arrive; then the connection is closed
	idleTimeout      = 60 * time.Second
)

// Hello identifies the sending gateway at the start of a connection.
type Hello struct {
	Fleet        string
	Name         string
	Incarnation  uint64 `msgpack:"Life"`
	Major, Minor uint8
}

// Message is one message of a part, addressed to the same part at another gateway.
type Message struct {
	Part string
	Body []byte
}

// Handler receives each incoming message on the connection's goroutine. It must have done called, from any goroutine, once
// the message has been handled.
type Handler func(from Hello, m Message, done func())

// Stats counts the messages sent by this gateway.
type Stats struct {
	Sent, Lost uint64 // messages written to a connection; messages dropped or not written
	Bytes      uint64 // bytes written
	Peers      int    // outgoing connections, open or being opened
}

// Manager owns this gateway's links to all others. Its methods may be called from any goroutine.
type Manager struct {
	self   Hello
	dial   func(addr string, limit time.Duration) (net.Conn, error)
	handle Handler

	mu       sync.Mutex
	outgoing map[string]*outgoing // by address
	incoming map[net.Conn]bool
	stats    Stats
	closed   bool
	wg       sync.WaitGroup
}

// New returns a Manager that opens connections with dial.
func New(self Hello, dial func(addr string, limit time.Duration) (net.Conn, error), handle Handler) *Manager {
	return &Manager{self: self, dial: dial, handle: handle, outgoing: map[string]*outgoing{}, incoming: map[net.Conn]bool{}}
}

// Send queues a message for the gateway at an address. It does not block, and reports whether the queue had room.
func (n *Manager) Send(addr string, m Message) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.outgoing[addr]
	if n.closed || len(m.Body) > maxFrame-1024 || out == nil && len(n.outgoing) >= maxPeers {
		n.stats.Lost++
		return false
	}
	if out == nil {
		out = &outgoing{manager: n, addr: addr, wake: make(chan struct{}, 1)}
		n.outgoing[addr] = out
		n.wg.Add(1)
		go out.run()
	}
	if out.bytes+len(m.Body) > maxQueueBytes || len(out.queue) >= maxQueueMessages {
		n.stats.Lost++
		return false
	}
	out.queue, out.bytes = append(out.queue, m), out.bytes+len(m.Body)
	select {
	case out.wake <- struct{}{}:
	default:
	}
	return true
}

// Renumber changes this gateway's incarnation number. Outgoing connections are closed, since their Hello carried the former
// number: the next message to each gateway opens a new one.
func (n *Manager) Renumber(incarnation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Incarnation = incarnation
	for _, out := range n.outgoing {
		if out.superseded = true; out.conn != nil {
			out.conn.Close()
		}
		close(out.wake)
	}
	clear(n.outgoing)
}

// Stats returns the counters so far.
func (n *Manager) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Peers = len(n.outgoing)
	return s
}

// Close ends every connection.
func (n *Manager) Close() {
	n.mu.Lock()
	n.closed = true
	for _, out := range n.outgoing {
		if out.conn != nil {
			out.conn.Close()
		}
		close(out.wake)
	}
	n.outgoing = map[string]*outgoing{}
	for c := range n.incoming {
		c.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Accept serves an incoming connection, of which nothing has been read yet, until it ends.
func (n *Manager) Accept(c net.Conn) error {
	n.mu.Lock()
	if n.closed || len(n.incoming) >= maxPeers {
		n.mu.Unlock()
		c.Close()
		return net.ErrClosed
	}
	n.incoming[c] = true
	n.mu.Unlock()
	err := n.serve(c)
	c.Close()
	n.mu.Lock()
	delete(n.incoming, c)
	n.mu.Unlock()
	return err
}

func (n *Manager) serve(c net.Conn) error {
	r := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(ioTimeout))
	first, err := r.ReadByte()
	if err != nil {
		return fmt.Errorf("link: connection without a first byte: %w", err)
	}
	if first != Magic {
		return fmt.Errorf("link: connection begins with byte %#02x, not with the magic byte", first)
	}
	var from Hello
	if err := readFrame(r, maxHello, &from); err != nil {
		return err
	}
	if from.Fleet != n.self.Fleet || from.Major != n.self.Major || from.Name == "" || from.Incarnation == 0 {
		return fmt.Errorf("link: %q of fleet %q with version %d.%d is not accepted", from.Name, from.Fleet, from.Major, from.Minor)
	}
	room := make(chan struct{}, credit)
	for {
		c.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		var m Message
		if err := readFrame(r, maxFrame, &m); err != nil {
			return err
		}
		room <- struct{}{}
		n.handle(from, m, func() { <-room })
	}
}

// readFrame reads one frame of at most limit bytes and decodes it into v.
func readFrame(r io.Reader, limit uint32, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > limit {
		return fmt.Errorf("link: frame of %d bytes exceeds the limit", size)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}
