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

// descriptorRetryPause is the pause before retrying after the system had no free descriptor.
const descriptorRetryPause = 5 * time.Millisecond

// listener adds two things to a net.Listener. Its socket can be closed while the engine keeps running; nbio alone would then retry the
// accept endlessly without a pause. And it accepts no more than maxOpen connections at a time, so that clients cannot use up the
// descriptors that dialled connections need.
type listener struct {
	net.Listener
	awaitStaleEvents func() // called once a new connection has its descriptor, before the poller knows of it
	once             sync.Once
	engineStopped    chan struct{} // closed when the engine stops

	mu      sync.Mutex
	room    sync.Cond // fewer than maxOpen connections are open, or ended is set
	maxOpen int
	open    int // accepted connections
	ended   bool
}

func newListener(ln net.Listener, maxOpen int, awaitStaleEvents func()) *listener {
	l := &listener{Listener: ln, awaitStaleEvents: awaitStaleEvents, engineStopped: make(chan struct{}), maxOpen: maxOpen}
	l.room.L = &l.mu
	return l
}

// Accept waits until fewer than maxOpen connections are open, then for a connection, which it returns as an nbio connection. nbio would
// convert any other kind itself, to a descriptor for which awaitStaleEvents was not called.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	for l.open >= l.maxOpen && !l.ended {
		l.room.Wait()
	}
	l.mu.Unlock()
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.engineStopped
		runtime.Goexit() // if the engine was stopped before its acceptor began, nbio would retry the accept endlessly
	}
	if err != nil {
		return nil, err
	}
	return l.toNBIO(c)
}

// toNBIO converts a connection to an nbio connection, which needs another descriptor. While the system has no free descriptor it retries:
// the client may have written a call already, which would be lost if the connection were closed.
func (l *listener) toNBIO(c net.Conn) (net.Conn, error) {
	for {
		converted, err := nbio.NBConn(c)
		if err == nil {
			l.awaitStaleEvents()
			return converted, nil
		}
		select {
		case <-time.After(descriptorRetryPause):
		case <-l.engineStopped:
			c.Close()
			return nil, err
		}
	}
}

// opened counts an accepted connection. The engine calls it before the next Accept.
func (l *listener) opened() {
	l.mu.Lock()
	l.open++
	l.mu.Unlock()
}

// closed counts the end of an accepted connection, which makes room for another.
func (l *listener) closed() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.room.Signal()
}

// Close closes the socket and ends a waiting Accept. The engine calls it when it stops.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.mu.Lock()
		l.ended = true
		l.mu.Unlock()
		l.room.Broadcast()
		close(l.engineStopped)
	})
	return l.Listener.Close()
}

// bindTimeout is how long a socket that the poller or the listener needs is retried while the system lacks the resources for it.
const bindTimeout = 5 * time.Second

// Bind opens a listening socket. If shared is set, another process of the gateway can bind the same address. While the system has no free
// descriptor or buffer, Bind retries for bindTimeout: a process that exited for this reason would not be restarted.
func Bind(addr string, shared bool) (ln net.Listener, err error) {
	err = transient.Retry(bindTimeout, func() (err error) {
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
