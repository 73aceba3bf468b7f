package sock

import (
	"net"
	"testing"

	"go.uber.org/zap"
)

// counter counts what comes. Its first piece is held until release is closed, which stops the poller.
type counter struct {
	release <-chan struct{}
	begun   chan<- struct{}
	held    bool
	bytes   int
	closed  chan int
}

func (c *counter) Data(b []byte) error {
	if !c.held {
		c.held = true
		close(c.begun)
		<-c.release
	}
	c.bytes += len(b)
	return nil
}

func (c *counter) Closed(error) { c.closed <- c.bytes }

// A peer that writes more than the poller reads at one event and hangs up at once has its last bytes read all the same: they
// may be answers. The poller is held until all of it, the end included, is in the socket.
func TestBytesBeforeAHangUpAreRead(t *testing.T) {
	const size = 512 << 10
	release, begun, closed := make(chan struct{}), make(chan struct{}), make(chan int, 1)
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 64, Accepted: 64}, func(Conn) Handler {
		return &counter{release: release, begun: begun, closed: closed}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	peer, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
	<-begun
	if _, err := peer.Write(make([]byte, size-1)); err != nil {
		t.Fatal(err)
	}
	peer.Close()
	close(release)
	if got := <-closed; got != size {
		t.Errorf("%d of %d bytes were read before the end", got, size)
	}
}
