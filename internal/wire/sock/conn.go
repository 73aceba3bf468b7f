package sock

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
)

// session is the state of a connection that nbio carries. It passes from the goroutine that accepts or dials to the poller goroutine
// through the kernel, where the race detector sees no order between them; the lock makes the order visible.
type session struct {
	mu          sync.Mutex
	handler     Handler
	unsent      atomic.Int64
	flushWanted atomic.Bool  // a Flusher is to be notified when unsent becomes 0
	delivered   atomic.Int64 // calls of Data
	accepted    bool         // not dialled
	closedHere  bool         // this side has closed the connection; used on the poller goroutine only
}

// noteWritten subtracts what the kernel has accepted from the unsent bytes. It runs under nbio's lock on the connection, for which the
// event loop may be waiting. Flushed may in turn wait for the event loop, so it is called on a goroutine of its own.
func (s *session) noteWritten(n int) {
	if s.unsent.Add(int64(-n)) == 0 && s.flushWanted.Swap(false) {
		if f, ok := s.getHandler().(Flusher); ok {
			go f.Flushed()
		}
	}
}

// conn is an nbio connection that counts the bytes that the kernel has not accepted yet.
type conn struct {
	*nbio.Conn
	session *session
	net     *Net
}

// Close requests that the poller goroutine close the connection. Bytes that the kernel has accepted are still sent.
func (c *conn) Close() error {
	c.net.queue.close(closeRequest{conn: c.Conn, session: c.session})
	return nil
}

// CloseIfNoNewData leaves the decision to the poller goroutine, since only there it is certain what has been delivered and what is still
// unread in the socket.
func (c *conn) CloseIfNoNewData(delivered int) {
	c.net.queue.close(closeRequest{conn: c.Conn, session: c.session, ifNoNewData: true, delivered: int64(delivered)})
}

// Write writes through nbio. If the write fails, nbio closes the descriptor on the caller's goroutine instead of the poller goroutine.
// closedInWrite counts this under the lock, and so before a new connection with the same descriptor number is used: see awaitStaleEvents.
func (c *conn) Write(b []byte) (int, error) {
	c.session.unsent.Add(int64(len(b)))
	c.net.writing.Lock()
	n, err := c.Conn.Write(b)
	if err != nil && !errors.Is(err, net.ErrClosed) { // after ErrClosed, the poller has already closed the descriptor
		c.net.closedInWrite++
	}
	c.net.writing.Unlock()
	if err != nil {
		c.session.unsent.Store(0) // the connection has ended and its unsent bytes are lost
	}
	return n, err
}

// Unsent returns the bytes that the kernel has not accepted. If there are any, the Flusher will be notified.
func (c *conn) Unsent() int {
	if c.session.unsent.Load() <= 0 {
		return 0
	}
	c.session.flushWanted.Store(true)
	if n := c.session.unsent.Load(); n > 0 || !c.session.flushWanted.Swap(false) {
		return max(1, int(n)) // at least 1 even if the last bytes have just been accepted, since then the Flusher is notified
	}
	return 0
}

func (s *session) setHandler(h Handler, accepted bool) {
	s.mu.Lock()
	s.handler, s.accepted = h, accepted
	s.mu.Unlock()
}

func (s *session) getHandler() Handler {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handler
}
