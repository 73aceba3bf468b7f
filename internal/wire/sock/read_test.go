package sock

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
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

// A read may give less than there is: here at the mark of an urgent byte, and where a system call is cut short. What stands behind
// it when the peer has hung up already is read all the same: it may be an answer.
func TestShortReadBeforeAHangUp(t *testing.T) {
	release, begun, closed := make(chan struct{}), make(chan struct{}), make(chan int, 1)
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 64, Accepted: 64}, func(Conn) Handler { return nil }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	n.Dial(ln.Addr().String(), time.Second, &counter{release: release, begun: begun, closed: closed}, func(_ Conn, err error) {
		if err != nil {
			t.Error(err)
		}
	})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	write := func(text string, flags int) {
		t.Helper()
		raw, err := peer.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		raw.Control(func(fd uintptr) { err = unix.Sendto(int(fd), []byte(text), flags, nil) })
		if err != nil {
			t.Fatal(err)
		}
	}
	write("held", 0)
	<-begun
	write("before", 0)
	write("!", unix.MSG_OOB)
	write("behind", 0)
	peer.Close()
	close(release)
	if got, want := <-closed, len("held"+"before"+"behind"); got != want {
		t.Errorf("%d of %d bytes were read before the end", got, want)
	}
}
