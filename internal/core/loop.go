// Package core is what a gateway keeps in memory: requests, attempts, deadlines and the turn that owns them.
// It knows no wire: fronts and links meet it through the interfaces in api.go.
package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// mailboxLimit bounds what has come in and waits for a turn. Past it, Post blocks the I/O goroutine, and
// the peers are slowed by their sockets' buffers.
const mailboxLimit = 8192

// Loop is the turn. One goroutine runs it and owns everything that is not on a socket; the others only Post.
type Loop struct {
	Deadlines
	clock func() time.Duration
	now   time.Duration

	mu    sync.Mutex
	room  sync.Cond
	box   []func()
	spare []func()
	first []func() // goes before the box, also before what of it a turn has not come to
	rush  atomic.Bool
	wake  chan struct{}
	dirty []func()
}

// WallClock reads the system's Unix clock.
func WallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// NewLoop returns a Loop that reads its time from clock.
func NewLoop(clock func() time.Duration) *Loop {
	l := &Loop{clock: clock, now: clock(), wake: make(chan struct{}, 1)}
	l.room.L = &l.mu
	return l
}

// Now is the turn's clock reading; it stands still within a turn and never goes back.
func (l *Loop) Now() time.Duration { return l.now }

// Clock reads the clock itself, which may be later than the turn's. It may be called from any goroutine.
func (l *Loop) Clock() time.Duration { return l.clock() }

// After sets a deadline d from now.
func (l *Loop) After(d time.Duration, run func()) *Deadline { return l.Set(l.now+d, run) }

// Post hands f to the next turn. It may be called from any goroutine but the Loop's own.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	for len(l.box) >= mailboxLimit {
		l.room.Wait()
	}
	l.box = append(l.box, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// PostFirst is Post for the few things that must not wait behind the rest: they run after the piece of work that the
// turn is at. Their order among themselves is kept.
func (l *Loop) PostFirst(f func()) {
	l.mu.Lock()
	for len(l.first) >= mailboxLimit/16 {
		l.room.Wait()
	}
	l.first = append(l.first, f)
	l.rush.Store(true)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runFirst runs what was posted with PostFirst.
func (l *Loop) runFirst() {
	l.mu.Lock()
	work := l.first
	l.first = nil
	l.rush.Store(false)
	l.room.Broadcast()
	l.mu.Unlock()
	for _, f := range work {
		f()
	}
}

// Dirty has flush called at the end of this turn. Callers mark themselves once a turn.
func (l *Loop) Dirty(flush func()) { l.dirty = append(l.dirty, flush) }

// Turn takes what has come, sweeps the deadlines and flushes, all at one clock reading.
func (l *Loop) Turn() {
	l.mu.Lock()
	work := l.box
	l.box, l.spare = l.spare[:0], nil
	l.room.Broadcast()
	l.mu.Unlock()
	l.now = max(l.now, l.clock())
	for i, f := range work {
		if l.rush.Load() {
			l.runFirst()
		}
		f()
		work[i] = nil
	}
	l.spare = work
	if l.rush.Load() {
		l.runFirst()
	}
	l.Sweep(l.now)
	for i := 0; i < len(l.dirty); i++ { // a flush may mark others
		l.dirty[i]()
		l.dirty[i] = nil
	}
	l.dirty = l.dirty[:0]
}

// Wait blocks until something has been posted. With Turn it is Run without a timer, for tests on sockets.
func (l *Loop) Wait() { <-l.wake }

// Run takes turns until ctx ends.
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
		l.Turn()
	}
}
