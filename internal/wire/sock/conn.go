package sock

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// session holds a connection's handler. The goroutine that accepts or dials hands it to the poller's through the
// kernel, which the race detector does not see; the lock lets it.
type session struct {
	mu        sync.Mutex
	h         Handler
	unsent    atomic.Int64
	asked     atomic.Bool  // somebody waits for unsent to become 0
	delivered atomic.Int64 // calls of Data
	accepted  bool         // not dialled
	shut      bool         // this side has ended the connection; of the poller's goroutine
}

// took counts down what the kernel has taken. It runs under nbio's lock on the connection, so the Flusher, which may have to
// wait for the turn, is told on a goroutine of its own: the turn may wait for that lock.
func (s *session) took(n int) {
	if s.unsent.Add(int64(-n)) == 0 && s.asked.Swap(false) {
		if f, ok := s.get().(Flusher); ok {
			go f.Flushed()
		}
	}
}

// conn is an nbio connection that counts what it holds for a slow peer.
type conn struct {
	*nbio.Conn
	s *session
	n *Net
}

// Close has the connection closed soon, on the poller's goroutine; what was written before still goes out.
func (c *conn) Close() error {
	c.n.reaper.close(closing{c: c.Conn, s: c.s})
	return nil
}

// CloseUnlessMore asks the poller's goroutine, which alone knows what it has delivered and what is still in the socket.
func (c *conn) CloseUnlessMore(taken int) {
	c.n.reaper.close(closing{c: c.Conn, s: c.s, unless: true, taken: int64(taken)})
}

// Write has nbio write. A write that fails closes the descriptor here and not on the poller's goroutine, so that it is noted
// before anybody takes a connection into use that may have got the same number: see Net.settle.
func (c *conn) Write(b []byte) (int, error) {
	c.s.unsent.Add(int64(len(b)))
	c.n.writing.Lock()
	n, err := c.Conn.Write(b)
	if err != nil && !errors.Is(err, net.ErrClosed) { // else the poller has closed it
		c.n.closedInWrite++
	}
	c.n.writing.Unlock()
	if err != nil {
		c.s.unsent.Store(0) // the connection has ended, and with it what it held
	}
	return n, err
}

func (c *conn) Unsent() int {
	if c.s.unsent.Load() <= 0 {
		return 0
	}
	c.s.asked.Store(true)
	if n := c.s.unsent.Load(); n > 0 || !c.s.asked.Swap(false) {
		return max(1, int(n)) // the Flusher will be told
	}
	return 0
}

func (s *session) set(h Handler, accepted bool) {
	s.mu.Lock()
	s.h, s.accepted = h, accepted
	s.mu.Unlock()
}

func (s *session) get() Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h
}
