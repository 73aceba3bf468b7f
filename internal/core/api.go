package core

import (
	"time"

	"quillrail/decide"
)

// Call is one request as a front has read it. Its indices and its function have been checked.
type Call struct {
	ID            string // as the client wrote it, passed on unchanged
	Class, Tenant int
	ClassName     string
	Function      string
	Key           string // idempotency key, empty where the class has none
	Wait          time.Duration
	Came          time.Duration // when it had come whole, on the loop's clock; 0 for the turn that takes it
	Work          time.Duration // hints, 0 where not told
	MemoryMB      float64
	Lanes         int
	LoadTime      time.Duration
	Repeat        bool
	Zones         []int // where alone it may run; none for anywhere
	Body          []byte
	Reply         Reply
}

// deadline is when the caller of a call that is taken now waits no longer. Its time runs from when the call had come whole, also
// while that waits for the turn.
func (c *Call) deadline(now time.Duration) time.Duration {
	if c.Came <= 0 {
		return now + c.Wait
	}
	return min(c.Came, now) + c.Wait
}

// Reply takes the one final answer of a Call. It is called on the turn.
type Reply interface {
	Served(body []byte)
	// Refused says that trying again is harmless; why is the reason where there is one beside the load, else "".
	Refused(pause time.Duration, why string)
	Failed(why Failure)
	// Left reports whether the caller is known to wait no longer. It may be true before the core has been told so by Gone,
	// since the I/O goroutine notes it as soon as it sees it.
	Left() bool
}

// Failure tells a front how to word an answer that promises nothing.
type Failure int

// The failures.
const (
	Broken Failure = iota // the module gave up
	TimedOut
	Overloaded // the tables are full
	Duplicate  // a request with this id is open
)

// Attempt is one sending of a Call to a worker.
type Attempt struct {
	Ref      Ref
	Host     string
	Call     *Call
	Deadline time.Duration // on the loop's clock, when the gateway stops waiting
}

// Budget is how long the gateway still waits for the attempt, by the clock as it is written and not as it was decided. It is
// below a millisecond where there is no time left to write it.
func (a Attempt) Budget(loop *Loop) time.Duration { return a.Deadline - max(loop.Now(), loop.Clock()) }

// Workers is the link to the workers. Its methods are called on the turn; ends come back through
// Core.Ended, Loaded and Probed, also from within a call: the core queues them until the module has returned.
type Workers interface {
	Send(a Attempt)
	Cancel(host string, attempt Ref) // the attempt is given up: nothing more is said of it
	// Unsend takes an attempt back that has not been written yet, and reports whether it could. Its end is the core's to tell.
	Unsend(host string, attempt Ref) bool
	// Withdraw takes back all attempts and orders that have not been written yet to workers that may get nothing new.
	Withdraw(mayGet func(host string) bool)
	Load(order Ref, host, function string, copies int)
	Probe(probe Ref, host string)
	Forget(host string, order Ref) // nobody waits for the order or probe any more; an order stands
	Unload(host, function string)
	Release(host string)
	List(whole bool, members []Member)
}

// End is how an attempt has ended.
type End struct {
	How    decide.Outcome
	Note   decide.Note
	Body   []byte         // of an answer that is Good
	Report *decide.Report // the worker's load, nil if it was not told
}

// Ends takes the ends of attempts and orders: Core does.
type Ends interface {
	Ended(attempt Ref, e End)
	Loaded(order Ref, how decide.Outcome, copies int)
	Probed(probe Ref, how decide.Outcome, report *decide.Report)
	Wrote(attempts int) // so many were written whole
}

// Member is an entry of the list of workers and where it listens.
type Member struct {
	decide.Host
	Addr string
}

// Record is what is known of a request when it has its final answer.
type Record struct {
	Call     *Call
	Bytes    int // of the call's body
	Start    time.Duration
	End      time.Duration
	Answer   string // served, refused, failed, gone
	Attempts int
	Host     string // of the attempt that was served, else of the last
}

// Observer is told of every request that ends, on the turn. It must not block.
type Observer func(Record)
