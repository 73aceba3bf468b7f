package core

import (
	"time"

	"quillrail/decide"
)

// Call is one client request as a front has parsed it. Its indices and its function have been validated.
type Call struct {
	ID            string // as the client sent it, passed on unchanged
	Class, Tenant int
	ClassName     string
	Function      string
	Key           string        // idempotency key, empty where the class has none
	Wait          time.Duration // how long the client waits for the answer
	Received      time.Duration // when the call was received whole, on the loop's clock; 0 for the iteration that submits it
	Work          time.Duration // hints of the client, 0 where not given
	MemoryMB      float64
	Lanes         int
	LoadTime      time.Duration
	Repeat        bool  // the client marks the call as a retry
	Zones         []int // the only zones in which it may run; empty for any
	Body          []byte
	Reply         Reply
}

// deadline returns the time until which the client waits, for a call that is submitted now. The wait counts from when the call was
// received whole, so that it includes the time that the call spent in the queue of the event loop.
func (c *Call) deadline(now time.Duration) time.Duration {
	if c.Received <= 0 {
		return now + c.Wait
	}
	return min(c.Received, now) + c.Wait
}

// Reply receives the one final answer of a Call. Its methods are called on the event loop.
type Reply interface {
	Served(body []byte)
	// Refused means that the call did not run and may safely be sent again after retryAfter. reason names a cause other than overload,
	// and is empty for overload.
	Refused(retryAfter time.Duration, reason string)
	Failed(failure Failure)
	// ClientGone reports whether the client is known to have stopped waiting. It may be true before Core.ClientGone is called,
	// because the I/O goroutine records a disconnect as soon as it sees one.
	ClientGone() bool
}

// Failure is the reason of an answer after which the call may or may not have run. A front words its answer by it.
type Failure int

// The failures.
const (
	GivenUp Failure = iota // the module gave the request up
	TimedOut
	Overloaded // the tables are full
	Duplicate  // a request with this ID is in flight
)

// Attempt is one sending of a Call to a worker.
type Attempt struct {
	Ref      Ref
	Host     string
	Call     *Call
	Deadline time.Duration // on the loop's clock, when the gateway stops waiting
}

// Budget returns how long the gateway still waits for the attempt, counted from the time of writing and not from the time of the
// decision. It is below a millisecond where there is no time left to write the attempt.
func (a Attempt) Budget(loop *Loop) time.Duration { return a.Deadline - max(loop.Now(), loop.Clock()) }

// Workers is the link to the workers. Its methods are called on the event loop. Results come back through Core.Ended, Loaded and
// Probed, possibly from within a call of these methods: the core queues them until the module has returned.
type Workers interface {
	Send(a Attempt)
	Cancel(host string, attempt Ref) // abandons the attempt: the link reports nothing more about it
	// WithdrawAttempt removes an attempt that has not been written yet, and reports whether it could. The link doesn't report the
	// attempt's result then; the core does that itself.
	WithdrawAttempt(host string, attempt Ref) bool
	// WithdrawUnwritten removes all attempts and orders that have not been written yet to workers that mayGet excludes.
	WithdrawUnwritten(mayGet func(host string) bool)
	Load(order Ref, host, function string, copies int)
	Probe(probe Ref, host string)
	Forget(host string, order Ref) // the core no longer waits for the order or probe; the worker still carries out an order
	Unload(host, function string)
	Release(host string)
	ApplyList(complete bool, members []Member)
}

// AttemptResult is how an attempt has ended.
type AttemptResult struct {
	Outcome decide.Outcome
	Note    decide.Note
	Body    []byte         // of an answer that is Good
	Report  *decide.Report // the worker's load report, nil if the answer had none
}

// ResultHandler receives the results of attempts, load orders and probes. Core implements it.
type ResultHandler interface {
	Ended(attempt Ref, result AttemptResult)
	Loaded(order Ref, outcome decide.Outcome, copies int)
	Probed(probe Ref, outcome decide.Outcome, report *decide.Report)
	Wrote(attempts int) // the number of attempts that were just written whole
}

// Member is an entry of the worker list with the address at which the worker listens.
type Member struct {
	decide.Host
	Addr string
}

// MemberList is a worker list, by name.
type MemberList map[string]Member

// Update applies an update of the list: members is the complete list if whole is set, or else what has changed. Workers that are gone are
// removed.
func (l MemberList) Update(whole bool, members []Member) {
	if whole {
		clear(l)
	}
	for _, m := range members {
		if m.State == decide.Gone {
			delete(l, m.Name)
		} else {
			l[m.Name] = m
		}
	}
}

// Record describes a request that has ended.
type Record struct {
	Call     *Call
	Bytes    int // size of the call's body
	Start    time.Duration
	End      time.Duration
	Answer   string // served, refused, failed, gone
	Attempts int
	Host     string // of the attempt that was served, else of the last attempt
}

// Observer is called for every request that ends, on the event loop. It must not block.
type Observer func(Record)
