// Package transient tells the errors with which the system refuses a call for a moment, since this machine lacks something, from
// those that stay, and has calls made again after them.
package transient

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// pause is the time between two tries.
const pause = 20 * time.Millisecond

// kinds are the errors that pass.
var kinds = []error{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}

// Is reports whether an error, or one that it wraps, passes by itself.
func Is(err error) bool {
	return slices.ContainsFunc(kinds, func(kind error) bool { return errors.Is(err, kind) })
}

// Retry calls try until it succeeds or fails for good, and returns its last error. What passes by itself is tried again for as
// long as limit, with the calling goroutine blocked.
func Retry(limit time.Duration, try func() error) error {
	for end := time.Now().Add(limit); ; time.Sleep(pause) {
		err := try()
		if err == nil || !Is(err) || !time.Now().Before(end) {
			return err
		}
	}
}
