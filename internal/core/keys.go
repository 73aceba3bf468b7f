package core

import "time"

// Answer is a final answer as it is remembered.
type Answer struct {
	What  string // served, refused, failed
	Body  []byte
	Pause time.Duration // of a refusal
	Why   string        // of a failure
}

// Keys remembers what became of calls, by key, so that one that is delivered again gets the same answer and
// does not run again. What it holds is bounded; when it is full, new keys find no room, and none is forgotten
// early.
type Keys struct {
	loop    *Loop
	keep    time.Duration // longer than a message may be delivered again
	entries map[string]*Entry
	bytes   int
	limit   int // of entries
	most    int // of bytes of answers
}

// Entry is one key. While its call is open, those who ask again wait for the one answer.
type Entry struct {
	What    string // what the key was first used for
	Done    bool
	Answer  Answer
	waiting []func(Answer)
}

// NewKeys returns a memory that keeps answers for so long.
func NewKeys(loop *Loop, keep time.Duration, limit, most int) *Keys {
	return &Keys{loop: loop, keep: keep, entries: map[string]*Entry{}, limit: limit, most: most}
}

// Len is the number of keys that are remembered.
func (k *Keys) Len() int { return len(k.entries) }

// Find returns the entry of a key, nil if it is not known.
func (k *Keys) Find(key string) *Entry { return k.entries[key] }

// Open begins a key that is not known; nil when there is no room.
func (k *Keys) Open(key, what string) *Entry {
	if len(k.entries) >= k.limit {
		return nil
	}
	e := &Entry{What: what}
	k.entries[key] = e
	return e
}

// Join has f called with the answer: now if it is there, else once it is.
func (e *Entry) Join(f func(Answer)) {
	if e.Done {
		f(e.Answer)
		return
	}
	e.waiting = append(e.waiting, f)
}

// Close gives an open key its answer, tells those who wait, and forgets the key after the time to keep; at once
// if it need not be kept. A body that finds no room is not kept: who asks for it later is told of a failure.
func (k *Keys) Close(key string, e *Entry, a Answer, keep bool) {
	if e.Done {
		return
	}
	e.Done, e.Answer = true, a
	waiting := e.waiting
	e.waiting = nil
	if keep {
		size := len(a.Body)
		if k.bytes+size > k.most {
			e.Answer, size = Answer{What: "failed", Why: "the answer is no longer held"}, 0
		}
		k.bytes += size
		k.loop.After(k.keep, func() {
			k.bytes -= size
			k.forget(key, e)
		})
	} else {
		k.forget(key, e)
	}
	for _, f := range waiting {
		f(a)
	}
}

// Renew forgets an answer that may be asked for anew: a refusal, which says that nothing ran.
func (k *Keys) Renew(key string, e *Entry) { k.forget(key, e) }

func (k *Keys) forget(key string, e *Entry) {
	if k.entries[key] == e {
		delete(k.entries, key)
	}
}
