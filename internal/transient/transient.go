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
	return RetryWhile(limit, Is, func(time.Duration) error { return try() })
}

// RetryWhile is Retry for errors that passes names, and with try told how much of the limit is left, at least 0.
func RetryWhile(limit time.Duration, passes func(error) bool, try func(left time.Duration) error) error {
	end := time.Now().Add(limit)
	for {
		err := try(max(0, time.Until(end)))
		if err == nil || !passes(err) || time.Until(end) < pause {
			return err
		}
		time.Sleep(pause)
	}
}
