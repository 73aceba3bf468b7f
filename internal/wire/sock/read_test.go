package sock

import (
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// byteCounter counts received bytes. Its first Data call blocks the poller until release is closed.
type byteCounter struct {
	release   <-chan struct{}
	paused    chan<- struct{}
	hasPaused bool
	bytes     int
	closed    chan int
}

func (c *byteCounter) Data(b []byte) error {
	if !c.hasPaused {
		c.hasPaused = true
		close(c.paused)
		<-c.release
	}
	c.bytes += len(b)
	return nil
}

func (c *byteCounter) Closed(error) { c.closed <- c.bytes }

// If a peer writes more than one read takes and hangs up at once, all its bytes are still read, since they may be answers. The poller is
// blocked until all bytes and the end of the stream are in the socket.
func TestBytesBeforeHangUpAreRead(t *testing.T) {
	const size = 512 << 10
	release, paused, closed := make(chan struct{}), make(chan struct{}), make(chan int, 1)
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 64, Accepted: 64}, func(Conn) Handler {
		return &byteCounter{release: release, paused: paused, closed: closed}
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
	<-paused
	if _, err := peer.Write(make([]byte, size-1)); err != nil {
		t.Fatal(err)
	}
	peer.Close()
	close(release)
	if got := <-closed; got != size {
		t.Errorf("%d of %d bytes were read before the end", got, size)
	}
}

// A read may return less than is available: here it ends at the mark of an urgent byte; an interrupted system call has the same effect.
// If the peer has hung up already, the bytes behind the mark are still read, since they may be an answer.
func TestBytesAfterShortReadAreReadBeforeHangUp(t *testing.T) {
	release, paused, closed := make(chan struct{}), make(chan struct{}), make(chan int, 1)
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
	n.Dial(ln.Addr().String(), time.Second, &byteCounter{release: release, paused: paused, closed: closed}, func(_ Conn, err error) {
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
	<-paused
	write("before", 0)
	write("!", unix.MSG_OOB)
	write("behind", 0)
	peer.Close()
	close(release)
	if got, want := <-closed, len("held"+"before"+"behind"); got != want {
		t.Errorf("%d of %d bytes were read before the end", got, want)
	}
}
