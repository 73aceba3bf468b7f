package handover

import (
	"errors"
	"os"
	"sync"
	"time"

	"quillrail/internal/core"
)

// maxBatchBytes bounds the keys and answers of one message with calls, unless a single call is larger.
const maxBatchBytes = 64 << 10

// callQueue holds the remembered calls that wait to be sent. A newer state of a call replaces an older one, so that the queue holds no
// more than the process remembers. It may be used by several goroutines.
type callQueue struct {
	mu     sync.Mutex
	order  []string                       // keys in the order in which they were queued
	calls  map[string]core.RememberedCall // by key
	filled chan struct{}                  // holds a value while calls wait
}

func newCallQueue() callQueue {
	return callQueue{calls: map[string]core.RememberedCall{}, filled: make(chan struct{}, 1)}
}

func (q *callQueue) add(calls []core.RememberedCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, call := range calls {
		key := string(call.Key)
		if _, queued := q.calls[key]; !queued {
			q.order = append(q.order, key)
		}
		q.calls[key] = call
	}
	q.signal()
}

// signal puts a value into filled if calls wait. q.mu is held.
func (q *callQueue) signal() {
	if len(q.order) == 0 {
		return
	}
	select {
	case q.filled <- struct{}{}:
	default:
	}
}

// take removes a batch of calls from the front of the queue.
func (q *callQueue) take() (batch []core.RememberedCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := 0
	for _, key := range q.order {
		call := q.calls[key]
		size += len(call.Key) + len(call.Target) + len(call.Answer.Body)
		if len(batch) > 0 && size > maxBatchBytes {
			break
		}
		batch = append(batch, call)
		delete(q.calls, key)
	}
	if q.order = q.order[len(batch):]; len(q.order) == 0 {
		q.order = nil
	}
	q.signal()
	return batch
}

// writeQueued writes what is queued until the link is closed, or until all is written after finish.
func (p *Peer) writeQueued() {
	for {
		select {
		case b := <-p.outgoing:
			if !p.write(b) {
				return
			}
		case <-p.calls.filled:
			if !p.writeCalls() {
				return
			}
		case <-p.finish:
			p.flush()
			return
		case <-p.closed:
			return
		}
	}
}

// flush writes what is left in the queues.
func (p *Peer) flush() {
	for {
		select {
		case b := <-p.outgoing:
			if !p.write(b) {
				return
			}
		case <-p.calls.filled:
			if !p.writeCalls() {
				return
			}
		default:
			close(p.flushed)
			return
		}
	}
}

func (p *Peer) writeCalls() bool {
	b, err := encodeFrame(message{Kind: "calls", Calls: p.calls.take()})
	if err != nil {
		p.Close()
		return false
	}
	return p.write(b)
}

// write writes a message, and reports whether the peer took it. A peer that takes nothing for writeTimeout is given up. After any other
// error the peer has closed the link, and what it sent before that is still read.
func (p *Peer) write(b []byte) bool {
	p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := p.conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.Close()
	}
	return err == nil
}
