package sock

import (
	"io"
	"net"
	"sync"
	"testing"

	"go.uber.org/zap"
)

// gated is the server's end of a connection. The first of a test to get a byte stops the poller until release is closed.
type gated struct {
	c       Conn
	stops   *sync.Once
	begun   chan<- struct{}
	release <-chan struct{}
}

// Data answers each byte.
func (g *gated) Data(b []byte) error {
	g.stops.Do(func() {
		close(g.begun)
		<-g.release
	})
	g.c.Write(b)
	return nil
}

func (g *gated) Closed(error) {}

// Bytes that are in the socket when the turn has decided to close an idle connection keep it open, and are answered. The
// poller is held until the order to close and the bytes are both there.
func TestCloseUnlessMoreSeesWhatIsInTheSocket(t *testing.T) {
	release, begun, accepted := make(chan struct{}), make(chan struct{}), make(chan Conn, 2)
	var stops sync.Once
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 64, Accepted: 64}, func(c Conn) Handler {
		accepted <- c
		return &gated{c, &stops, begun, release}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	var clients [2]net.Conn
	var ends [2]Conn
	for i := range clients {
		if clients[i], err = net.Dial("tcp", n.Addr()); err != nil {
			t.Fatal(err)
		}
		defer clients[i].Close()
		ends[i] = <-accepted
	}
	clients[0].Write([]byte{1})
	<-begun
	ends[1].CloseUnlessMore(0)
	clients[1].Write([]byte{2})
	close(release)
	got := make([]byte, 1)
	if _, err := io.ReadFull(clients[1], got); err != nil || got[0] != 2 {
		t.Fatalf("the byte was answered with %v, %v", got, err)
	}
	io.ReadFull(clients[0], got)
	ends[1].CloseUnlessMore(0) // the turn has not come to that byte yet
	clients[0].Write([]byte{1})
	io.ReadFull(clients[0], got) // the poller has had the order to close before
	clients[1].Write([]byte{3})
	if _, err := io.ReadFull(clients[1], got); err != nil || got[0] != 3 {
		t.Fatalf("after a close that came too late: %v, %v", got, err)
	}
	ends[1].CloseUnlessMore(2)
	if _, err := clients[1].Read(got); err != io.EOF {
		t.Errorf("with nothing more the connection ended with %v", err)
	}
}

// bystander counts the accepted connections that are open.
type bystander struct {
	mu   sync.Mutex
	open int
	most int
	came chan struct{}
	went chan struct{}
}

func (b *bystander) Data([]byte) error { return nil }

func (b *bystander) Closed(error) {
	b.mu.Lock()
	b.open--
	b.mu.Unlock()
	b.went <- struct{}{}
}

func (b *bystander) accept(Conn) Handler {
	b.mu.Lock()
	b.open++
	b.most = max(b.most, b.open)
	b.mu.Unlock()
	b.came <- struct{}{}
	return b
}

// However many clients connect at once, no more are accepted than the limit: the descriptors beyond it are for connections
// that the gateway itself needs. The rest come in as others end.
func TestAcceptedConnectionsAreLimited(t *testing.T) {
	const clients, most = 40, 3
	b := &bystander{came: make(chan struct{}, clients), went: make(chan struct{}, clients)}
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 128, Accepted: most}, b.accept, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	var all []net.Conn
	for range clients { // the kernel takes them all
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	for _, c := range all {
		<-b.came
		c.Close()
		<-b.went
	}
	if b.most > most {
		t.Errorf("%d connections were open at once, %d allowed", b.most, most)
	}
}
