package sock

import (
	"errors"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"quillrail/internal/transient"
)

const (
	readBufferSize = 32 << 10 // bytes

	// readsPerEvent is how many reads are made of a connection before nbio checks whether the peer has hung up. Bytes unread by then are
	// lost, so these reads must take more than the kernel buffers for one connection (6 MB by default).
	readsPerEvent = 256
)

// read reads what a connection has received. nbio calls it on the poller goroutine, and afterwards closes the connection if the peer has
// hung up. A short read is not necessarily the last one: it may end at the mark of an urgent byte or be interrupted by the system, with
// an answer behind it. A client that has hung up needs no answer, so a further read is made only of dialled connections.
func (n *Net) read(c *nbio.Conn) {
	s, ok := c.Session().(*session)
	if !ok {
		return
	}
	h := s.getHandler()
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
		default: // nothing more to read now, or the end of the stream, which nbio notices by itself
			return
		}
	}
}

// deliver passes what was read to the connection's handler. Bytes received after this side has closed the connection are read but
// dropped: no answer to them could be sent, and if they stayed unread, the kernel would reset the connection and discard what was written.
func (s *session) deliver(h Handler, b []byte) error {
	if s.closedHere {
		return nil
	}
	s.delivered.Add(1)
	return h.Data(b)
}
