// Package link is the one channel between gateways for what is said to one of them: messages of many parts over one
// connection for each direction of a pair, in order while it stands, never waited for. What is sent may be lost, with the
// connection or for want of room, and is not sent again: those who send say it again as long as it matters.
//
// A connection begins with Magic and a Hello; then come frames of four bytes of length (big-endian) and a message in
// msgpack. The receiver reads on only once its turn has taken what came, so that a slow one is felt by who sends.
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

// Magic is the first byte of a connection; memberlist's connections begin with another one.
const Magic = 'Q'

const (
	maxFrame  = 4 << 20 // bytes of a message
	maxQueue  = 8 << 20 // bytes that wait for one gateway
	maxCount  = 4096    // and messages
	maxPeers  = 1024
	maxHello  = 4096
	credit    = 64 // messages that are read and not taken yet, for each connection
	dialLimit = time.Second
	stuck     = 3 * time.Second // a write that takes so long ends the connection
	idle      = 60 * time.Second
)

// Hello is what a gateway says of itself first.
type Hello struct {
	Fleet        string
	Name         string
	Life         uint64
	Major, Minor uint8
}

// Message is a piece of a part's talk.
type Message struct {
	Part string
	Body []byte
}

// Handler takes what comes in, on the connection's goroutine; taken has to be called once the message has been dealt with,
// from any goroutine.
type Handler func(from Hello, m Message, taken func())

// Stats are what has become of messages.
type Stats struct {
	Sent, Lost uint64 // written to a connection; dropped
	Bytes      uint64 // written
	Peers      int
}

// Net is this gateway's end of all links. Its methods may be called from any goroutine.
type Net struct {
	self   Hello
	dial   func(addr string, limit time.Duration) (net.Conn, error)
	handle Handler

	mu     sync.Mutex
	out    map[string]*way // by address
	in     map[net.Conn]bool
	stat   Stats
	closed bool
	wg     sync.WaitGroup
}

// New returns a Net that reaches others by dial.
func New(self Hello, dial func(addr string, limit time.Duration) (net.Conn, error), handle Handler) *Net {
	return &Net{self: self, dial: dial, handle: handle, out: map[string]*way{}, in: map[net.Conn]bool{}}
}

// Send has a message sent to the gateway at an address. It does not wait, and reports whether there was room.
func (n *Net) Send(addr string, m Message) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.out[addr]
	if n.closed || len(m.Body) > maxFrame-1024 || w == nil && len(n.out) >= maxPeers {
		n.stat.Lost++
		return false
	}
	if w == nil {
		w = &way{n: n, addr: addr, wake: make(chan struct{}, 1)}
		n.out[addr] = w
		n.wg.Add(1)
		go w.run()
	}
	if w.bytes+len(m.Body) > maxQueue || len(w.queue) >= maxCount {
		n.stat.Lost++
		return false
	}
	w.queue, w.bytes = append(w.queue, m), w.bytes+len(m.Body)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// Renumber changes the number of this gateway's life. Open connections end, since they were begun under the former one: the next
// message to each gateway begins another.
func (n *Net) Renumber(life uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Life = life
	for _, w := range n.out {
		if w.over = true; w.conn != nil {
			w.conn.Close()
		}
		close(w.wake)
	}
	clear(n.out)
}

// Stats returns what has been sent.
func (n *Net) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stat
	s.Peers = len(n.out)
	return s
}

// Close ends every connection.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	for _, w := range n.out {
		if w.conn != nil {
			w.conn.Close()
		}
		close(w.wake)
	}
	n.out = map[string]*way{}
	for c := range n.in {
		c.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Accept serves a connection that has come in, from its first byte on, and returns when it has ended.
func (n *Net) Accept(c net.Conn) error {
	n.mu.Lock()
	if n.closed || len(n.in) >= maxPeers {
		n.mu.Unlock()
		c.Close()
		return net.ErrClosed
	}
	n.in[c] = true
	n.mu.Unlock()
	err := n.serve(c)
	c.Close()
	n.mu.Lock()
	delete(n.in, c)
	n.mu.Unlock()
	return err
}

func (n *Net) serve(c net.Conn) error {
	r := bufio.NewReader(c)
	c.SetReadDeadline(time.Now().Add(stuck))
	if b, err := r.ReadByte(); err != nil || b != Magic {
		return fmt.Errorf("link: not begun as it should: %w", err)
	}
	var from Hello
	if err := next(r, maxHello, &from); err != nil {
		return err
	}
	if from.Fleet != n.self.Fleet || from.Major != n.self.Major || from.Name == "" || from.Life == 0 {
		return fmt.Errorf("link: %q of fleet %q speaks version %d.%d", from.Name, from.Fleet, from.Major, from.Minor)
	}
	room := make(chan struct{}, credit)
	for {
		c.SetReadDeadline(time.Now().Add(2 * idle))
		var m Message
		if err := next(r, maxFrame, &m); err != nil {
			return err
		}
		room <- struct{}{}
		n.handle(from, m, func() { <-room })
	}
}

// next reads a frame.
func next(r io.Reader, limit uint32, v any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > limit {
		return fmt.Errorf("link: a message of %d bytes", size)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}
