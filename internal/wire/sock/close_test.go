package sock

import (
	"io"
	"net"
	"sync"
	"testing"

	"go.uber.org/zap"
)

// pauseOnceEcho is a Handler of accepted connections that sends received bytes back. The first Data call of a test, on any connection,
// blocks the poller until release is closed.
type pauseOnceEcho struct {
	conn      Conn
	pauseOnce *sync.Once
	paused    chan<- struct{}
	release   <-chan struct{}
}

// Data sends the bytes back.
func (g *pauseOnceEcho) Data(b []byte) error {
	g.pauseOnce.Do(func() {
		close(g.paused)
		<-g.release
	})
	g.conn.Write(b)
	return nil
}

func (g *pauseOnceEcho) Closed(error) {}

// CloseIfNoNewData leaves a connection open if unread bytes are in its socket or Data was called more often than given, and the bytes are
// answered. The poller is blocked until both the close request and the bytes are there.
func TestCloseIfNoNewDataSeesUnreadBytes(t *testing.T) {
	release, paused, accepted := make(chan struct{}), make(chan struct{}), make(chan Conn, 2)
	var pauseOnce sync.Once
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 64, Accepted: 64}, func(c Conn) Handler {
		accepted <- c
		return &pauseOnceEcho{c, &pauseOnce, paused, release}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	var clients [2]net.Conn
	var servers [2]Conn
	for i := range clients {
		if clients[i], err = net.Dial("tcp", n.Addr()); err != nil {
			t.Fatal(err)
		}
		defer clients[i].Close()
		servers[i] = <-accepted
	}
	clients[0].Write([]byte{1})
	<-paused
	servers[1].CloseIfNoNewData(0)
	clients[1].Write([]byte{2})
	close(release)
	got := make([]byte, 1)
	if _, err := io.ReadFull(clients[1], got); err != nil || got[0] != 2 {
		t.Fatalf("the byte sent before the close request was processed was answered with %v, %v", got, err)
	}
	io.ReadFull(clients[0], got)
	servers[1].CloseIfNoNewData(0) // as if the event loop had not processed that byte yet
	clients[0].Write([]byte{1})
	io.ReadFull(clients[0], got) // by now the poller has processed the close request
	clients[1].Write([]byte{3})
	if _, err := io.ReadFull(clients[1], got); err != nil || got[0] != 3 {
		t.Fatalf("the byte sent after an outdated close request was answered with %v, %v", got, err)
	}
	servers[1].CloseIfNoNewData(2)
	if _, err := clients[1].Read(got); err != io.EOF {
		t.Errorf("without new data the connection ended with %v, want EOF", err)
	}
}

// connCounter counts the accepted connections that are open, and their maximum.
type connCounter struct {
	mu      sync.Mutex
	open    int
	maxOpen int
	opened  chan struct{}
	closed  chan struct{}
}

func (b *connCounter) Data([]byte) error { return nil }

func (b *connCounter) Closed(error) {
	b.mu.Lock()
	b.open--
	b.mu.Unlock()
	b.closed <- struct{}{}
}

func (b *connCounter) accept(Conn) Handler {
	b.mu.Lock()
	b.open++
	b.maxOpen = max(b.maxOpen, b.open)
	b.mu.Unlock()
	b.opened <- struct{}{}
	return b
}

// However many clients connect at once, no more connections are accepted than the limit, since the gateway needs the remaining descriptors
// for its own connections. The others are accepted as open ones end.
func TestAcceptedConnectionsAreLimited(t *testing.T) {
	const clients, maxOpen = 40, 3
	counter := &connCounter{opened: make(chan struct{}, clients), closed: make(chan struct{}, clients)}
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 128, Accepted: maxOpen}, counter.accept, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	var all []net.Conn
	for range clients { // the kernel queues those not accepted yet
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	for _, c := range all {
		<-counter.opened
		c.Close()
		<-counter.closed
	}
	if counter.maxOpen > maxOpen {
		t.Errorf("%d connections were open at once, want at most %d", counter.maxOpen, maxOpen)
	}
}
