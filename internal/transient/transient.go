// Package transient distinguishes transient errors of system calls, such as a lack of memory or descriptors on this machine, from
// permanent ones, and retries calls that failed with a transient error.
package transient

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

// retryInterval is the time between two attempts.
const retryInterval = 20 * time.Millisecond

// transientErrors are the errors that pass by themselves.
var transientErrors = []error{syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR}

// Is reports whether an error, or one that it wraps, is transient.
func Is(err error) bool {
	return slices.ContainsFunc(transientErrors, func(transient error) bool { return errors.Is(err, transient) })
}

// Retry calls try until it succeeds or fails with an error that is not transient, for limit at most, and returns its last error. It
// blocks the calling goroutine meanwhile.
func Retry(limit time.Duration, try func() error) error {
	return RetryWhile(limit, Is, func(time.Duration) error { return try() })
}

// RetryWhile is Retry for the errors that isTransient accepts. It passes to try how much of the limit is left, at least 0.
func RetryWhile(limit time.Duration, isTransient func(error) bool, try func(left time.Duration) error) error {
	end := time.Now().Add(limit)
	for {
		err := try(max(0, time.Until(end)))
		if err == nil || !isTransient(err) || time.Until(end) < retryInterval {
			return err
		}
		time.Sleep(retryInterval)
	}
}
