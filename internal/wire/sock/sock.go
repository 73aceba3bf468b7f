// Package sock is the project's hold on nbio: connections that hand what they read to a Handler. Every
// callback runs on an I/O goroutine and must only parse and post.
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

// Conn is what the rest of the program needs of a connection. Write never blocks: what the peer does not
// take yet is kept, within a bound; past it the connection is closed.
type Conn interface {
	Write([]byte) (int, error)
	Close() error
	// CloseUnlessMore closes the connection unless more has come, to the Handler or as far as the socket, than the given
	// number of calls of Data. What has come stays owed: the Handler is or will be told of it.
	CloseUnlessMore(taken int)
	// Unsent is how much of what was written the kernel has not taken yet. A close would lose it. Where it is not
	// 0, a Handler that is a Flusher is told once when it has become so.
	Unsent() int
}

// Handler takes what a connection reads. An error from Data closes the connection. Closed is called once.
type Handler interface {
	Data(b []byte) error
	Closed(err error)
}

// Flusher is a Handler that wants to know when a slow peer has made room for all that was written.
type Flusher interface{ Flushed() }

// Dialer opens connections whose bytes go to h; see Net.Dial.
type Dialer interface {
	Dial(addr string, timeout time.Duration, h Handler, done func(Conn, error))
}

const (
	writeBuffer = 1 << 20 // most that is kept for a peer that does not read
	leastFiles  = 1024    // places of nbio's array of descriptors, which it otherwise takes 16 MB for
)

// Limits bound what an engine may hold.
type Limits struct {
	Descriptors int // of the process
	Accepted    int // connections that are accepted and open; further ones wait to be accepted
}

// nbio has its logger and the size of an engine's array of descriptors in package variables. The first is read by running
// engines, so it is set once; the second is read as an engine starts, and guarded while one does.
var (
	setLogger sync.Once
	starting  sync.Mutex
)

// Net runs the sockets of one listener and of any number of dialled connections.
type Net struct {
	engine *nbio.Engine
	ln     *listener // nil where it only dials
	reaper reaper
	buffer []byte // of the poller's goroutine

	writing       sync.Mutex // held while a write may close a descriptor
	closedInWrite uint64     // descriptors closed by writes that failed
	settled       atomic.Uint64

	adding  sync.RWMutex // held while a dialled connection is added, and as the engine begins to stop
	stopped bool
}

// add gives a dialled connection to the engine. One that is stopping takes none: it counts those that it has to wait for.
func (n *Net) add(c *nbio.Conn) error {
	n.adding.RLock()
	defer n.adding.RUnlock()
	if n.stopped {
		c.Close()
		return net.ErrClosed
	}
	_, err := n.engine.AddConn(c)
	return err
}

// settle makes a new connection safe from the events of an old one that had its descriptor's number and was closed by a
// write that failed: the poller may have such an event in hand, which would end the new one. It waits until it has none.
// It is called once the descriptor is there and before the poller knows of it.
func (n *Net) settle() {
	n.writing.Lock()
	closed := n.closedInWrite
	n.writing.Unlock()
	if closed != n.settled.Load() {
		n.reaper.passed()
		n.settled.Store(closed)
	}
}

// Listen starts an engine. With an address, accepted connections go to accept, which must not close them yet;
// with none the engine only dials.
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

// Serve is Listen on a socket that is open already. It is closed with the engine, or if this fails.
func Serve(ln net.Listener, limits Limits, accept func(Conn) Handler, log *zap.Logger) (*Net, error) {
	starting.Lock()
	defer starting.Unlock()
	setLogger.Do(func() { logging.SetLogger(quiet{sampled(log.Named("nbio")).Sugar()}) })
	nbio.MaxOpenFiles = max(leastFiles, 2*limits.Descriptors)
	conf := nbio.Config{Name: "quillrail", Network: "tcp", NPoller: 1, MaxWriteBufferSize: writeBuffer}
	n := &Net{buffer: make([]byte, readBuffer)}
	n.reaper.writing = &n.writing
	bell, err := n.reaper.open()
	if err != nil {
		if ln != nil {
			ln.Close()
		}
		return nil, err
	}
	if ln != nil {
		n.ln = newListener(ln, limits.Accepted, n.settle)
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
		s.set(accept(&conn{c, s, n}), true)
		c.SetSession(s)
	})
	n.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if s, ok := c.Session().(*session); ok {
			s.took(n)
		}
	})
	n.engine.OnRead(n.read)
	n.engine.OnClose(func(c *nbio.Conn, err error) {
		if s, ok := c.Session().(*session); ok {
			s.get().Closed(err)
			if s.accepted {
				n.ln.closed()
			}
		}
	})
	// Without a pause nbio would spin when accepting fails for want of descriptors.
	n.engine.OnAcceptError(func(err error) {
		if !errors.Is(err, net.ErrClosed) {
			time.Sleep(5 * time.Millisecond)
		}
	})
	if err = n.engine.Start(); err == nil {
		_, err = n.engine.AddConn(bell)
	}
	if err != nil && ln != nil {
		ln.Close()
	}
	return n, err
}

// Listener is the socket that it listens on, to be handed on.
func (n *Net) Listener() net.Listener { return n.ln.Listener }

// StopAccepting closes the listening socket; connections go on. What waits to be accepted is the concern of the
// process that has a copy of the socket; without one it is reset.
func (n *Net) StopAccepting() { n.ln.Listener.Close() }

// Addr is where the engine listens.
func (n *Net) Addr() string {
	if len(n.engine.Addrs) == 0 {
		return ""
	}
	return n.engine.Addrs[0]
}

// Stop closes the listener and every connection. What is dialled then ends with net.ErrClosed.
func (n *Net) Stop() {
	n.adding.Lock()
	n.stopped = true
	n.adding.Unlock()
	n.engine.Stop()
}
