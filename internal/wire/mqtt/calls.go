package mqtt

import (
	"go.uber.org/zap"

	"quillrail/internal/core"
)

// FollowCalls returns the keys of the keyed calls that are remembered, for a process that takes over, and has onChange called with each
// call that begins or ends from now on, until UnfollowCalls.
func (f *Front) FollowCalls(onChange func(core.RememberedCall)) []string {
	return f.keyedCalls.Follow(onChange)
}

// UnfollowCalls ends the calls of FollowCalls' function.
func (f *Front) UnfollowCalls() { f.keyedCalls.Unfollow() }

// RememberedCalls returns the keyed calls of those of the keys that are still remembered.
func (f *Front) RememberedCalls(keys []string) []core.RememberedCall {
	return f.keyedCalls.Remembered(keys)
}

// KnownCalls returns the number of keyed calls that are remembered.
func (f *Front) KnownCalls() int { return f.keyedCalls.Len() }

// AdoptCalls remembers keyed calls of the process that served before this one.
func (f *Front) AdoptCalls(calls []core.RememberedCall) {
	for _, call := range calls {
		if !f.keyedCalls.Adopt(call) {
			f.log.Warn("no room for another key", zap.Int("keys", f.keyedCalls.Len()))
			return
		}
	}
}
