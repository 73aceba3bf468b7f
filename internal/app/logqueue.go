package app

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxQueuedBytes = 256 << 10              // maximum size of the lines that are not written yet
	syncTimeout    = 200 * time.Millisecond // for the last lines when the process ends
)

// logQueue writes log lines on a goroutine of its own, so that callers never wait for the file, pipe or terminal that receives them.
// Lines beyond maxQueuedBytes are dropped. Their number is logged once there is room again.
type logQueue struct {
	out           io.Writer
	formatDropped func(lines int) []byte // returns the line that reports dropped lines

	mu           sync.Mutex
	pending      [][]byte
	pendingBytes int
	droppedLines int           // lines dropped since the last one that was queued
	idle         chan struct{} // closed while no line is pending or being written
	wake         chan struct{}
}

// newLogQueue returns a queue that writes to out. Its goroutine runs until the process ends.
func newLogQueue(out io.Writer, formatDropped func(lines int) []byte) *logQueue {
	q := &logQueue{out: out, formatDropped: formatDropped, idle: make(chan struct{}), wake: make(chan struct{}, 1)}
	close(q.idle)
	go q.run()
	return q
}

// Write queues or drops a line. It never blocks and never fails.
func (q *logQueue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pendingBytes+len(line) > maxQueuedBytes {
		q.droppedLines++
		return len(line), nil
	}
	if q.droppedLines > 0 {
		q.enqueue(q.formatDropped(q.droppedLines))
		q.droppedLines = 0
	}
	q.enqueue(append([]byte(nil), line...))
	return len(line), nil
}

// enqueue appends a line to the queue. The caller must hold q.mu.
func (q *logQueue) enqueue(line []byte) {
	if q.pendingBytes == 0 {
		q.idle = make(chan struct{})
	}
	q.pending, q.pendingBytes = append(q.pending, line), q.pendingBytes+len(line)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Sync waits until all lines are written, for syncTimeout at most.
func (q *logQueue) Sync() error {
	q.mu.Lock()
	idle := q.idle
	q.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-time.After(syncTimeout):
		return fmt.Errorf("log lines are not all written after %v", syncTimeout)
	}
}

func (q *logQueue) run() {
	for range q.wake {
		for line := q.next(0); line != nil; {
			q.out.Write(line) // an error could not be reported anywhere
			line = q.next(len(line))
		}
	}
}

// next records that written bytes have been written, and returns the next pending line, or nil if there is none.
func (q *logQueue) next(written int) (line []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pendingBytes -= written
	if len(q.pending) == 0 {
		if written > 0 {
			close(q.idle)
		}
		return nil
	}
	line, q.pending = q.pending[0], q.pending[1:]
	return line
}
