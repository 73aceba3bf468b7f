// Package core holds the in-memory state of a gateway: requests, attempts, deadlines and the event loop that owns them. It carries
// out the decisions of the module, which is the Router of package decide. It knows no wire protocol: fronts and links use it through
// the interfaces in api.go.
package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// mailboxLimit bounds the posted functions that wait for the event loop. Beyond it, Post blocks the I/O goroutine, so that full
// socket buffers slow the peers down.
const mailboxLimit = 8192

// Loop is the event loop. One goroutine runs it and owns all state but that of the sockets; other goroutines only Post functions
// to it.
type Loop struct {
	Deadlines
	clock func() time.Duration
	now   time.Duration

	mu        sync.Mutex
	notFull   sync.Cond
	posted    []func()
	spare     []func() // the emptied slice of the previous iteration, to be used again
	urgent    []func() // run before the posted functions that have not run yet, also within an iteration
	hasUrgent atomic.Bool
	wake      chan struct{}
	flushes   []func()
}

// WallClock reads the system's Unix clock.
func WallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// NewLoop returns a Loop that reads its time from clock.
func NewLoop(clock func() time.Duration) *Loop {
	l := &Loop{clock: clock, now: clock(), wake: make(chan struct{}, 1)}
	l.notFull.L = &l.mu
	return l
}

// Now returns the clock reading of this loop iteration. It is constant within an iteration and never goes back.
func (l *Loop) Now() time.Duration { return l.now }

// Clock reads the clock itself, which may be later than Now. It may be called from any goroutine.
func (l *Loop) Clock() time.Duration { return l.clock() }

// After sets a deadline d after Now.
func (l *Loop) After(d time.Duration, run func()) *Deadline { return l.Set(l.now+d, run) }

// Post has f run in the next loop iteration. It may be called from any goroutine but the Loop's own.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	for len(l.posted) >= mailboxLimit {
		l.notFull.Wait()
	}
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// PostUrgent is Post for the few functions that must not wait behind others: they run right after the posted function that is
// running now, in the order in which they were posted.
func (l *Loop) PostUrgent(f func()) {
	l.mu.Lock()
	for len(l.urgent) >= mailboxLimit/16 {
		l.notFull.Wait()
	}
	l.urgent = append(l.urgent, f)
	l.hasUrgent.Store(true)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runUrgent runs the functions posted with PostUrgent.
func (l *Loop) runUrgent() {
	l.mu.Lock()
	work := l.urgent
	l.urgent = nil
	l.hasUrgent.Store(false)
	l.notFull.Broadcast()
	l.mu.Unlock()
	for _, f := range work {
		f()
	}
}

// DeferFlush has flush called at the end of this loop iteration. Callers must call it at most once per iteration.
func (l *Loop) DeferFlush(flush func()) { l.flushes = append(l.flushes, flush) }

// RunOnce runs one loop iteration: it runs the posted functions, the deadlines that are due and the deferred flushes, all at one
// clock reading.
func (l *Loop) RunOnce() {
	l.mu.Lock()
	work := l.posted
	l.posted, l.spare = l.spare[:0], nil
	l.notFull.Broadcast()
	l.mu.Unlock()
	l.now = max(l.now, l.clock())
	for i, f := range work {
		if l.hasUrgent.Load() {
			l.runUrgent()
		}
		f()
		work[i] = nil
	}
	l.spare = work
	if l.hasUrgent.Load() {
		l.runUrgent()
	}
	l.RunDue(l.now)
	for i := 0; i < len(l.flushes); i++ { // a flush may defer others
		l.flushes[i]()
		l.flushes[i] = nil
	}
	l.flushes = l.flushes[:0]
}

// Wait blocks until something has been posted. Tests on sockets use it with RunOnce in place of Run, without a timer.
func (l *Loop) Wait() { <-l.wake }

// Run runs loop iterations until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wait := time.Hour
		if at, ok := l.Next(); ok {
			wait = max(0, at-l.clock())
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-timer.C:
		}
		l.RunOnce()
	}
}
