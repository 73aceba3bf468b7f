package core

import (
	"container/heap"
	"time"
)

// Deadline is one entry of Deadlines.
type Deadline struct {
	at    time.Duration
	seq   uint64
	index int // position in the heap; -1 once it has run or was cancelled
	run   func()
}

// Deadlines is a priority queue of all deadlines of the process: of attempts, connects, idle connections and the module's
// timers. Deadlines at equal times run in the order in which they were set.
type Deadlines struct {
	queue byTime
	seq   uint64
}

// Set adds a deadline. RunDue calls run once the deadline is due.
func (d *Deadlines) Set(at time.Duration, run func()) *Deadline {
	d.seq++
	e := &Deadline{at: at, seq: d.seq, run: run}
	heap.Push(&d.queue, e)
	return e
}

// Cancel removes a deadline. It does nothing for one that is nil, has run or was cancelled before.
func (d *Deadlines) Cancel(e *Deadline) {
	if e != nil && e.index >= 0 {
		heap.Remove(&d.queue, e.index)
	}
}

// RunDue runs the deadlines that are due at now, in order. Deadlines set meanwhile wait for the next call, so that one that sets
// itself again cannot block the event loop.
func (d *Deadlines) RunDue(now time.Duration) {
	for last := d.seq; len(d.queue) > 0 && d.queue[0].at <= now && d.queue[0].seq <= last; {
		heap.Pop(&d.queue).(*Deadline).run()
	}
}

// Next returns the time of the earliest deadline, and false if there is none.
func (d *Deadlines) Next() (time.Duration, bool) {
	if len(d.queue) == 0 {
		return 0, false
	}
	return d.queue[0].at, true
}

// Len returns the number of pending deadlines.
func (d *Deadlines) Len() int { return len(d.queue) }

type byTime []*Deadline

func (b byTime) Len() int { return len(b) }
func (b byTime) Less(i, j int) bool {
	return b[i].at < b[j].at || b[i].at == b[j].at && b[i].seq < b[j].seq
}
func (b byTime) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index, b[j].index = i, j
}
func (b *byTime) Push(x any) {
	e := x.(*Deadline)
	e.index = len(*b)
	*b = append(*b, e)
}
func (b *byTime) Pop() any {
	last := len(*b) - 1
	e := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	e.index = -1
	return e
}

// Before reports whether e is due before other.
func (e *Deadline) Before(other *Deadline) bool { return e.at < other.at }
