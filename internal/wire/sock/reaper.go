package sock

import (
	"net"
	"os"
	"sync"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// reaper ends connections on the goroutine that polls them. A descriptor that is closed on another may be another
// connection's by the time that the poller comes to an event of the old one, which it has in hand already: it would read
// the new connection's bytes for the old one, or close the new one because the old one's peer hung up.
type reaper struct {
	mu   sync.Mutex
	due  []closing
	ring *os.File // wakes the poller
}

// closing is a connection that is to be closed.
type closing struct {
	c     *nbio.Conn
	s     *session // not nil: unless more has come than
	taken int64    // so many calls of Data
}

// open returns the connection that the poller hears the ring by.
func (r *reaper) open() (*nbio.Conn, error) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	r.ring = os.NewFile(uintptr(fds[0]), "ring")
	far := os.NewFile(uintptr(fds[1]), "bell")
	defer far.Close()
	std, err := net.FileConn(far)
	if err != nil {
		r.ring.Close()
		return nil, err
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		r.ring.Close()
		return nil, err
	}
	s := new(session)
	s.set(r, false)
	c.SetSession(s)
	return c, nil
}

func (r *reaper) close(c closing) {
	r.mu.Lock()
	r.due = append(r.due, c)
	first := len(r.due) == 1
	r.mu.Unlock()
	if first {
		r.ring.Write([]byte{0})
	}
}

// Data runs on the poller's goroutine. A connection that is shut down there shows the poller its end, as an event of its
// own, and only then is its descriptor closed.
func (r *reaper) Data([]byte) error {
	r.mu.Lock()
	due := r.due
	r.due = nil
	r.mu.Unlock()
	for _, d := range due {
		if closed, _ := d.c.IsClosed(); !closed && !d.more() {
			unix.Shutdown(d.c.Hash(), unix.SHUT_RDWR)
		}
	}
	return nil
}

// more reports whether a connection that was to be closed only if nothing has come has had more.
func (d closing) more() bool {
	if d.s == nil {
		return false
	}
	waiting, err := unix.IoctlGetInt(d.c.Hash(), unix.TIOCINQ)
	return d.s.delivered.Load() != d.taken || err == nil && waiting > 0
}

// Closed ends the ring with the engine.
func (r *reaper) Closed(error) { r.ring.Close() }
