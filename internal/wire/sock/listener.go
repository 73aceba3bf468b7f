package sock

import (
	"cmp"
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"quillrail/internal/transient"
)

// takeAgain is the pause after a descriptor that the system did not give.
const takeAgain = 5 * time.Millisecond

// listener can be closed while its engine goes on: nbio would try to accept again at once, for good. It accepts nothing more
// while most accepted connections are open, so that clients cannot use up the descriptors that dialled connections need.
type listener struct {
	net.Listener
	settle func() // called with each connection that has its descriptor, before the poller has it
	once   sync.Once
	over   chan struct{} // the engine ends

	mu    sync.Mutex
	freed sync.Cond
	most  int
	open  int // accepted connections
	ended bool
}

func newListener(ln net.Listener, most int, settle func()) *listener {
	l := &listener{Listener: ln, settle: settle, over: make(chan struct{}), most: most}
	l.freed.L = &l.mu
	return l
}

// Accept waits for room and then for a connection. It is nbio's already: what nbio makes of another has a descriptor of its own.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.open >= l.most && !l.ended {
		l.freed.Wait()
	}
	l.mu.Unlock()
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.over
		runtime.Goexit() // an engine stopped before its acceptor began would have that try for good
	}
	if err != nil {
		return nil, err
	}
	return l.take(c)
}

// take makes a connection nbio's, which needs another descriptor for it. While the system has none left it is tried again: the
// client may have written a call already, and a close would lose it.
func (l *listener) take(c net.Conn) (net.Conn, error) {
	for {
		taken, err := nbio.NBConn(c)
		if err == nil {
			l.settle()
			return taken, nil
		}
		select {
		case <-time.After(takeAgain):
		case <-l.over:
			c.Close()
			return nil, err
		}
	}
}

// opened counts a connection; the engine calls it before the next Accept.
func (l *listener) opened() {
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
}

// closed makes room for another.
func (l *listener) closed() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.freed.Signal()
}

// Close is the engine's end.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.mu.Lock()
		l.ended = true
		l.mu.Unlock()
		l.freed.Broadcast()
		close(l.over)
	})
	return l.Listener.Close()
}

// bindFor is how long a listening socket is tried to be had while the machine lacks something for it.
const bindFor = 5 * time.Second

// Bind opens a listening socket. shared lets another process of the gateway bind the same address. It waits while the system has
// no descriptor or buffer for it: a process that ended for that would not come back by itself.
func Bind(addr string, shared bool) (ln net.Listener, err error) {
	err = transient.Retry(bindFor, func() (err error) {
		ln, err = bind(addr, shared)
		return err
	})
	return ln, err
}

func bind(addr string, shared bool) (net.Listener, error) {
	var conf net.ListenConfig
	if shared {
		conf.Control = func(_, _ string, c syscall.RawConn) (err error) {
			err2 := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
			})
			return cmp.Or(err, err2)
		}
	}
	return conf.Listen(context.Background(), "tcp", addr)
}
