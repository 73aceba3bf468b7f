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

// A connect that fails because of this machine is retried until the timeout, and then reported as a local fault. An error caused by the
// peer or the route to it is reported at once.
func TestDialRetriesLocalFaults(t *testing.T) {
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
			t.Errorf("%v: %d tries, error %v; want %d tries, error %v", c.errors, tries, err, c.tries, c.want)
		}
	}
	_, err := dial("", 4*dialMargin, func(string, time.Duration) (*nbio.Conn, error) { return nil, syscall.EMFILE })
	if !LocalFault(err) {
		t.Errorf("after the timeout: error %v, want a local fault", err)
	}
}

// dataSignal is a Handler that signals each Data call.
type dataSignal chan struct{}

func (a dataSignal) Data([]byte) error { a <- struct{}{}; return nil }
func (dataSignal) Closed(error)        {}

// A connection that is established after the engine has begun to stop is rejected. Otherwise it would depend on timing whether the engine
// waits for its end.
func TestDialAfterStopFails(t *testing.T) {
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
	received := make(dataSignal)
	if err := dial(received); err != nil {
		t.Fatal(err)
	}
	first, err := peer.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	first.Write([]byte{1})
	<-received // now the poller runs; if stopped earlier, nbio would lose the stop
	n.Stop()
	if err := dial(received); !errors.Is(err, net.ErrClosed) {
		t.Errorf("dial after Stop: error %v, want %v", err, net.ErrClosed)
	}
}
