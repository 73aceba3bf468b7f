package transient

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Transient errors are retried until the time limit; other errors are returned at once.
func TestRetry(t *testing.T) {
	denied := errors.New("denied")
	for _, c := range []struct {
		limit    time.Duration
		fails    []error
		attempts int
		want     error
	}{
		{time.Minute, []error{nil}, 1, nil},
		{time.Minute, []error{fmt.Errorf("open: %w", syscall.ENFILE), syscall.EINTR, nil}, 3, nil},
		{time.Minute, []error{syscall.ENOBUFS, denied}, 2, denied},
		{0, []error{syscall.EMFILE}, 1, syscall.EMFILE},
	} {
		attempts := 0
		err := Retry(c.limit, func() error { attempts++; return c.fails[attempts-1] })
		if attempts != c.attempts || !errors.Is(err, c.want) {
			t.Errorf("%v: %d attempts, error %v", c.fails, attempts, err)
		}
	}
}
