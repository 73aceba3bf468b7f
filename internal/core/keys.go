package core

import "time"

// Answer is a remembered final answer.
type Answer struct {
	Kind       string        `json:"kind"` // served, refused, failed
	Body       []byte        `json:"body,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // of a refusal
	Reason     string        `json:"reason,omitempty"`         // of a failure
}

// Keys remembers the answers of calls by idempotency key, so that a call that is delivered again gets the same answer and does not
// run again. Its size is bounded: when it is full, new keys are rejected, and no key is forgotten early.
type Keys struct {
	loop       *Loop
	retention  time.Duration // longer than the time in which a message may be delivered again
	entries    map[string]*Entry
	bytes      int
	maxEntries int                  // keys at most
	maxBytes   int                  // size of all stored answers at most
	onChange   func(RememberedCall) // called with each key that is opened or closed; nil while nobody follows
}

// Entry is one key. While its call is in flight, repeated calls wait for the same answer.
type Entry struct {
	Target  string // class and function for which the key was first used
	Done    bool
	Answer  Answer
	waiting []func(Answer)
	expiry  *Deadline // when the key is forgotten; nil while the call is open
	size    int       // bytes of the stored answer
	adopted bool      // the call was made at another process
}

// NewKeys returns an empty Keys that keeps answers for the time of retention, at most maxEntries keys and maxBytes of answers.
func NewKeys(loop *Loop, retention time.Duration, maxEntries, maxBytes int) *Keys {
	return &Keys{loop: loop, retention: retention, entries: map[string]*Entry{}, maxEntries: maxEntries, maxBytes: maxBytes}
}

// Len returns the number of remembered keys.
func (k *Keys) Len() int { return len(k.entries) }

// Full reports whether there is no room for another key.
func (k *Keys) Full() bool { return len(k.entries) >= k.maxEntries }

// Find returns the entry of a key, or nil if the key is not known.
func (k *Keys) Find(key string) *Entry { return k.entries[key] }

// Open adds an entry for a key that is not known, or returns nil if there is no room.
func (k *Keys) Open(key, target string) *Entry {
	if k.Full() {
		return nil
	}
	e := &Entry{Target: target}
	k.entries[key] = e
	k.notify(key, e)
	return e
}

// Join calls f with the answer: at once if the answer is known, else as soon as it is.
func (e *Entry) Join(f func(Answer)) {
	if e.Done {
		f(e.Answer)
		return
	}
	e.waiting = append(e.waiting, f)
}

// Close sets the answer of an open key and passes it to all who wait. If keep is set, the key is remembered for the time of
// retention, else it is forgotten at once. A body that doesn't fit into maxBytes is not stored: later calls with the key then get a
// failure.
func (k *Keys) Close(key string, e *Entry, answer Answer, keep bool) {
	if e.Done {
		return
	}
	e.Done, e.Answer = true, answer
	waiting := e.waiting
	e.waiting = nil
	if keep {
		k.store(key, e, k.retention)
		k.notify(key, e)
	} else {
		k.remove(key, e)
	}
	for _, f := range waiting {
		f(answer)
	}
}

// store keeps the answer of an entry for a time from now on. It replaces one that was stored before.
func (k *Keys) store(key string, e *Entry, keep time.Duration) {
	k.bytes -= e.size
	k.loop.Cancel(e.expiry)
	e.size = len(e.Answer.Body)
	if k.bytes+e.size > k.maxBytes {
		e.Answer, e.size = Answer{Kind: "failed", Reason: "the answer is no longer held"}, 0
	}
	k.bytes += e.size
	e.expiry = k.loop.After(keep, func() { k.remove(key, e) })
}

// Forget removes a key whose call may be made again because its answer was a refusal, which means that nothing ran.
func (k *Keys) Forget(key string, e *Entry) { k.remove(key, e) }

func (k *Keys) remove(key string, e *Entry) {
	if k.entries[key] == e {
		delete(k.entries, key)
		k.bytes -= e.size
		k.loop.Cancel(e.expiry)
	}
}
