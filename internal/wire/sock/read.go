package sock

import (
	"errors"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"quillrail/internal/transient"
)

const (
	readBuffer = 32 << 10

	// readsPerEvent is how many reads are made of a connection before nbio looks at whether the peer has hung up. What is unread
	// then is lost, so these buffers have to hold more than the kernel does for one connection (6 MB by default).
	readsPerEvent = 256
)

// read takes what a connection has. nbio calls it on the poller's goroutine, and closes the connection behind it if the peer has hung
// up. A read that gives less than the buffer holds is not the last one: it may end at the mark of an urgent byte, or be cut short
// by the system, with an answer behind it. A client that has hung up is owed nothing, so that its connection is spared the further read.
func (n *Net) read(c *nbio.Conn) {
	s, ok := c.Session().(*session)
	if !ok {
		return
	}
	h := s.get()
	for range readsPerEvent {
		length, err := c.Read(n.buffer)
		switch {
		case length > 0:
			if err := s.deliver(h, n.buffer[:length]); err != nil {
				c.CloseWithError(err)
				return
			}
			if length < len(n.buffer) && s.accepted {
				return
			}
		case errors.Is(err, unix.EINTR):
		case err != nil && !transient.Is(err):
			c.CloseWithError(err)
			return
		default: // nothing more now, or for good: nbio sees the end by itself
			return
		}
	}
}

// deliver hands what was read to the connection's handler. What comes once this side has ended the connection is read and dropped: an
// answer could reach nobody, and unread bytes would have the kernel take back what was written before.
func (s *session) deliver(h Handler, b []byte) error {
	if s.shut {
		return nil
	}
	s.delivered.Add(1)
	return h.Data(b)
}
