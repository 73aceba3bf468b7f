package core

import (
	"container/heap"
	"time"
)

// Deadline is one entry of Deadlines.
type Deadline struct {
	at    time.Duration
	seq   uint64
	index int // place in the order; -1 once it has run or was cancelled
	run   func()
}

// Deadlines is the one ordered structure that holds every deadline of the process: attempts, connects, idle
// connections, timers of the module. Equal times keep the order in which they were set.
type Deadlines struct {
	order byTime
	seq   uint64
}

// Set adds a deadline that calls run when it is swept.
func (d *Deadlines) Set(at time.Duration, run func()) *Deadline {
	d.seq++
	e := &Deadline{at: at, seq: d.seq, run: run}
	heap.Push(&d.order, e)
	return e
}

// Cancel takes a deadline out. One that is nil, has run, or was cancelled before is left alone.
func (d *Deadlines) Cancel(e *Deadline) {
	if e != nil && e.index >= 0 {
		heap.Remove(&d.order, e.index)
	}
}

// Sweep runs what is due at now, in order. What is set meanwhile waits for the next sweep, so that a deadline
// that sets itself again cannot keep the turn.
func (d *Deadlines) Sweep(now time.Duration) {
	for last := d.seq; len(d.order) > 0 && d.order[0].at <= now && d.order[0].seq <= last; {
		heap.Pop(&d.order).(*Deadline).run()
	}
}

// Next is the earliest deadline; false when there is none.
func (d *Deadlines) Next() (time.Duration, bool) {
	if len(d.order) == 0 {
		return 0, false
	}
	return d.order[0].at, true
}

// Len is the number of deadlines that wait.
func (d *Deadlines) Len() int { return len(d.order) }

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

// Before reports whether e is due before o.
func (e *Deadline) Before(o *Deadline) bool { return e.at < o.at }
