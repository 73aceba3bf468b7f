package app

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	queueBytes = 256 << 10              // of lines that wait to be written
	syncLimit  = 200 * time.Millisecond // for the last lines, as the process ends
)

// logQueue writes lines on a goroutine of its own, so that whoever logs never waits for the file, pipe or terminal behind it. What
// finds no room is dropped, and how many lines that were is written once there is room again.
type logQueue struct {
	out     io.Writer
	dropped func(lines int) []byte // words the line that says so

	mu      sync.Mutex
	waiting [][]byte
	bytes   int
	missing int           // lines dropped since the last one that was taken
	idle    chan struct{} // closed while nothing waits or is being written
	wake    chan struct{}
}

// newLogQueue returns a queue before out. Its goroutine lives as long as the process.
func newLogQueue(out io.Writer, dropped func(lines int) []byte) *logQueue {
	q := &logQueue{out: out, dropped: dropped, idle: make(chan struct{}), wake: make(chan struct{}, 1)}
	close(q.idle)
	go q.run()
	return q
}

// Write takes a line. It never blocks and never fails.
func (q *logQueue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.bytes+len(line) > queueBytes {
		q.missing++
		return len(line), nil
	}
	if q.missing > 0 {
		q.take(q.dropped(q.missing))
		q.missing = 0
	}
	q.take(append([]byte(nil), line...))
	return len(line), nil
}

// take puts a line behind the others. q.mu is held.
func (q *logQueue) take(line []byte) {
	if q.bytes == 0 {
		q.idle = make(chan struct{})
	}
	q.waiting, q.bytes = append(q.waiting, line), q.bytes+len(line)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Sync waits until all lines are written, but not for long.
func (q *logQueue) Sync() error {
	q.mu.Lock()
	idle := q.idle
	q.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-time.After(syncLimit):
		return fmt.Errorf("the log is not written in %v", syncLimit)
	}
}

func (q *logQueue) run() {
	for range q.wake {
		for line := q.next(0); line != nil; {
			q.out.Write(line) // an error has nowhere to be told
			line = q.next(len(line))
		}
	}
}

// next notes that so many bytes are written, and returns the next line, nil if none waits.
func (q *logQueue) next(written int) (line []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bytes -= written
	if len(q.waiting) == 0 {
		if written > 0 {
			close(q.idle)
		}
		return nil
	}
	line, q.waiting = q.waiting[0], q.waiting[1:]
	return line
}
