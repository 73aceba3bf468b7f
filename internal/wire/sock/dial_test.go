package sock

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/zap"
)

// A connect that this machine fails for a moment is tried again while there is time, and tells that it was this machine; what
// the peer or the way to it says is told at once.
func TestConnectOutlastsFaultsOfThisMachine(t *testing.T) {
	for _, c := range []struct {
		errors []error
		tries  int
		want   error
	}{
		{[]error{syscall.ENFILE, syscall.EADDRNOTAVAIL, nil}, 3, nil},
		{[]error{syscall.ECONNREFUSED, nil}, 1, syscall.ECONNREFUSED},
		{[]error{syscall.EHOSTUNREACH, nil}, 1, syscall.EHOSTUNREACH},
		{[]error{syscall.ENOBUFS, syscall.ETIMEDOUT, nil}, 2, syscall.ETIMEDOUT},
	} {
		tries := 0
		_, err := dial("", time.Minute, func(string, time.Duration) (*nbio.Conn, error) {
			tries++
			if err := c.errors[tries-1]; err != nil {
				return nil, fmt.Errorf("connect: %w", err)
			}
			return nil, nil
		})
		if tries != c.tries || !errors.Is(err, c.want) {
			t.Errorf("%v: %d tries, %v", c.errors, tries, err)
		}
	}
	_, err := dial("", 4*dialSpare, func(string, time.Duration) (*nbio.Conn, error) { return nil, syscall.EMFILE })
	if !LocalFault(err) {
		t.Errorf("after its time: %v", err)
	}
}

// announcer is a Handler that says when bytes have come.
type announcer chan struct{}

func (a announcer) Data([]byte) error { a <- struct{}{}; return nil }
func (announcer) Closed(error)        {}

// A connection that comes up as the engine has begun to stop is not taken: the engine would wait for it, or not, by chance.
func TestDialAfterStop(t *testing.T) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	n, err := Listen("", Limits{Descriptors: 64}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	dial := func(h Handler) error {
		done := make(chan error)
		n.Dial(peer.Addr().String(), time.Minute, h, func(_ Conn, err error) { done <- err })
		return <-done
	}
	came := make(announcer)
	if err := dial(came); err != nil {
		t.Fatal(err)
	}
	first, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	first.Write([]byte{1})
	<-came // the poller runs: before that nbio would forget that it was stopped
	n.Stop()
	if err := dial(came); !errors.Is(err, net.ErrClosed) {
		t.Errorf("dialled after the end: %v", err)
	}
}
