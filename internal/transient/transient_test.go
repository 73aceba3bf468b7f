package transient

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// What passes by itself is tried again, as long as there is time; what stays is told at once.
func TestRetry(t *testing.T) {
	denied := errors.New("denied")
	for _, c := range []struct {
		limit time.Duration
		fails []error
		tries int
		want  error
	}{
		{time.Minute, []error{nil}, 1, nil},
		{time.Minute, []error{fmt.Errorf("open: %w", syscall.ENFILE), syscall.EINTR, nil}, 3, nil},
		{time.Minute, []error{syscall.ENOBUFS, denied}, 2, denied},
		{0, []error{syscall.EMFILE}, 1, syscall.EMFILE},
	} {
		tries := 0
		err := Retry(c.limit, func() error { tries++; return c.fails[tries-1] })
		if tries != c.tries || !errors.Is(err, c.want) {
			t.Errorf("%v: %d tries, %v", c.fails, tries, err)
		}
	}
}
