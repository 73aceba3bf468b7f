package sock

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/lesismal/nbio"
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
	_, err := dial("", 2*dialAgain, func(string, time.Duration) (*nbio.Conn, error) { return nil, syscall.EMFILE })
	if !LocalFault(err) {
		t.Errorf("after its time: %v", err)
	}
}
