// Package sock wraps the nbio library: it opens and accepts connections that pass what they read to a Handler. Every callback runs on an
// I/O goroutine and must only parse and post to the event loop.
package sock

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"go.uber.org/zap"
)

// Conn is a connection as the rest of the program uses it. Write never blocks: bytes that the kernel does not accept yet are buffered, and
// the connection is closed if they exceed maxWriteBuffer.
type Conn interface {
	Write([]byte) (int, error)
	Close() error
	// CloseIfNoNewData closes the connection, unless Data has been called more often than the given number of times or unread bytes
	// are in the socket. Such bytes are not lost: they have been or will be passed to the Handler.
	CloseIfNoNewData(delivered int)
	// Unsent returns how many of the written bytes the kernel has not accepted yet. A close would lose them. If there are any, a
	// Handler that is a Flusher is notified once when there are none left.
	Unsent() int
}

// Handler receives what a connection reads. An error from Data closes the connection. Closed is called once.
type Handler interface {
	Data(b []byte) error
	Closed(err error)
}

// Flusher is a Handler that is notified when the kernel has accepted all that was written to a slow peer; see Conn.Unsent.
type Flusher interface{ Flushed() }

// Dialer opens connections whose bytes go to h; see Net.Dial.
type Dialer interface {
	Dial(addr string, timeout time.Duration, h Handler, done func(Conn, error))
}

const (
	maxWriteBuffer = 1 << 20 // bytes buffered for a peer that does not read
	minOpenFiles   = 1024    // least size of nbio's array of descriptors, which by default takes 16 MB
)

// Limits bound what an engine may hold.
type Limits struct {
	Descriptors int // descriptors of the whole process
	Accepted    int // accepted connections open at a time; further ones wait to be accepted
}

// nbio has its logger and the size of an engine's array of descriptors in package variables. Running engines read the logger, so it is
// set only once. An engine reads the size as it starts, so startMu is held meanwhile.
var (
	setLogger sync.Once
	startMu   sync.Mutex
)

// Net runs the sockets of one listener and of any number of dialled connections.
type Net struct {
	engine *nbio.Engine
	ln     *listener // nil if it only dials
	queue  pollerQueue
	buffer []byte // for reads; used on the poller goroutine only

	writing              sync.Mutex    // held while a write may close a descriptor
	closedInWrite        uint64        // descriptors closed by writes that failed
	closedInWriteHandled atomic.Uint64 // value of closedInWrite up to which stale events have been waited for

	stopMu  sync.RWMutex // read-locked while a dialled connection is added, locked while stopped is set
	stopped bool
}

// add gives a dialled connection to the engine. A stopping engine waits for the end of a number of connections that is fixed when the
// stop begins, so none is added after that.
func (n *Net) add(c *nbio.Conn) error {
	n.stopMu.RLock()
	defer n.stopMu.RUnlock()
	if n.stopped {
		c.Close()
		return net.ErrClosed
	}
	_, err := n.engine.AddConn(c)
	return err
}

// awaitStaleEvents protects a new connection from events of an old one with the same descriptor number that a failed write has closed.
// The poller may have fetched such an event and would close the new connection; this waits until the poller has none left. It is called
// when the new descriptor exists and before the poller knows of it.
func (n *Net) awaitStaleEvents() {
	n.writing.Lock()
	closed := n.closedInWrite
	n.writing.Unlock()
	if closed != n.closedInWriteHandled.Load() {
		n.queue.awaitCurrentEvents()
		n.closedInWriteHandled.Store(closed)
	}
}

// Listen starts an engine. With an address, every accepted connection is passed to accept, which must not close it yet; with an empty
// address the engine only dials.
func Listen(addr string, limits Limits, accept func(Conn) Handler, log *zap.Logger) (*Net, error) {
	if addr == "" {
		return Serve(nil, limits, accept, log)
	}
	ln, err := Bind(addr, false)
	if err != nil {
		return nil, err
	}
	return Serve(ln, limits, accept, log)
}

// Serve is Listen on a socket that is already open. The socket is closed when the engine stops or if Serve fails. If ln is nil, the engine
// only dials.
func Serve(ln net.Listener, limits Limits, accept func(Conn) Handler, log *zap.Logger) (*Net, error) {
	startMu.Lock()
	defer startMu.Unlock()
	setLogger.Do(func() { logging.SetLogger(nbioLogger{sampled(log.Named("nbio")).Sugar()}) })
	nbio.MaxOpenFiles = max(minOpenFiles, 2*limits.Descriptors)
	conf := nbio.Config{Name: "quillrail", Network: "tcp", NPoller: 1, MaxWriteBufferSize: maxWriteBuffer}
	n := &Net{buffer: make([]byte, readBufferSize)}
	n.queue.writing = &n.writing
	wakeConn, err := n.queue.open()
	if err != nil {
		if ln != nil {
			ln.Close()
		}
		return nil, err
	}
	if ln != nil {
		n.ln = newListener(ln, limits.Accepted, n.awaitStaleEvents)
		conf.Addrs = []string{ln.Addr().String()}
		conf.Listen = func(string, string) (net.Listener, error) { return n.ln, nil }
	}
	n.engine = nbio.NewEngine(conf)
	n.engine.OnOpen(func(c *nbio.Conn) {
		if c.Session() != nil { // dialled
			return
		}
		s := new(session)
		n.ln.opened()
		s.setHandler(accept(&conn{c, s, n}), true)
		c.SetSession(s)
	})
	n.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if s, ok := c.Session().(*session); ok {
			s.noteWritten(n)
		}
	})
	n.engine.OnRead(n.read)
	n.engine.OnClose(func(c *nbio.Conn, err error) {
		if s, ok := c.Session().(*session); ok {
			s.getHandler().Closed(err)
			if s.accepted {
				n.ln.closed()
			}
		}
	})
	// Without a pause nbio would retry in a busy loop while no connection can be accepted for lack of descriptors.
	n.engine.OnAcceptError(func(err error) {
		if !errors.Is(err, net.ErrClosed) {
			time.Sleep(5 * time.Millisecond)
		}
	})
	if err = n.engine.Start(); err == nil {
		_, err = n.engine.AddConn(wakeConn)
	}
	if err != nil && ln != nil {
		ln.Close()
	}
	return n, err
}

// Listener returns the listening socket, to be passed to another process.
func (n *Net) Listener() net.Listener { return n.ln.Listener }

// StopAccepting closes the listening socket and leaves open connections alone. Connections that wait to be accepted go to the process that
// has a copy of the socket; if there is none, they are reset.
func (n *Net) StopAccepting() { n.ln.Listener.Close() }

// Addr returns the address on which the engine listens, or "" if it only dials.
func (n *Net) Addr() string {
	if len(n.engine.Addrs) == 0 {
		return ""
	}
	return n.engine.Addrs[0]
}

// Stop closes the listener and every connection. Later dials fail with net.ErrClosed.
func (n *Net) Stop() {
	n.stopMu.Lock()
	n.stopped = true
	n.stopMu.Unlock()
	n.engine.Stop()
}
