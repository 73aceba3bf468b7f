package core

import (
	"maps"
	"slices"
	"time"
)

// RememberedCall is a key of Keys with its answer, as one process of a gateway passes it to the next.
type RememberedCall struct {
	Key    []byte        `json:"key"`     // not a string, since a key may hold binary data
	Target string        `json:"target"`  // class and function
	Answer Answer        `json:"answer"`  // without a kind while the call is open
	Keep   time.Duration `json:"keep_ns"` // how long the key is still remembered
}

// mayHaveRun is the answer to a repeat of a call that was open at a process which ended without telling its outcome.
var mayHaveRun = Answer{Kind: "failed", Reason: "delivered again, and may have run before this process took over"}

// Follow returns all keys, and has onChange called with each call that is opened or closed from now on, until Unfollow.
func (k *Keys) Follow(onChange func(RememberedCall)) []string {
	k.onChange = onChange
	return slices.Collect(maps.Keys(k.entries))
}

// Remembered returns the calls of those of the keys that are still known.
func (k *Keys) Remembered(keys []string) (calls []RememberedCall) {
	for _, key := range keys {
		if e := k.entries[key]; e != nil {
			calls = append(calls, k.remembered(key, e))
		}
	}
	return calls
}

// Unfollow ends the calls of Follow's function.
func (k *Keys) Unfollow() { k.onChange = nil }

func (k *Keys) notify(key string, e *Entry) {
	if k.onChange != nil {
		k.onChange(k.remembered(key, e))
	}
}

func (k *Keys) remembered(key string, e *Entry) RememberedCall {
	call := RememberedCall{Key: []byte(key), Target: e.Target, Keep: k.retention}
	if e.Done {
		call.Answer, call.Keep = e.Answer, e.expiry.at-k.loop.Now()
	}
	return call
}

// Adopt remembers a call of another process, whose newer state replaces an older one. A call that was open there counts as failed until
// its answer is adopted, since it may have run. Adopt reports whether there was room. A key of this process's own calls stays as it is.
func (k *Keys) Adopt(call RememberedCall) bool {
	key := string(call.Key)
	e := k.entries[key]
	switch {
	case call.Keep <= 0 || e != nil && !e.adopted:
		return true
	case e == nil && k.Full():
		return false
	case e == nil:
		e = &Entry{Done: true, adopted: true}
		k.entries[key] = e
	}
	e.Target, e.Answer = call.Target, call.Answer
	if call.Answer.Kind == "" {
		e.Answer = mayHaveRun
	}
	k.store(key, e, call.Keep)
	return true
}
