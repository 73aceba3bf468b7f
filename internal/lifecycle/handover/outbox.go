package handover

import (
	"errors"
	"os"
	"sync"
	"time"

	"quillrail/internal/core"
)

const (
	maxBatchBytes = 64 << 10 // keys and answers of one message with calls at most, unless a single call is larger
	maxWaiting    = 1 << 17  // messages that may wait at most: twice as many as bans and calls that a process knows
)

// outbox holds the messages that wait to be sent to a peer, in order. A newer state of a call that waits replaces the older one. It may
// be used by several goroutines.
type outbox struct {
	mu     sync.Mutex
	queue  []*message
	calls  map[string]*message // those of the queue that have a call, one each, by its key
	filled chan struct{}       // holds a value while messages wait
}

func newOutbox() outbox {
	return outbox{calls: map[string]*message{}, filled: make(chan struct{}, 1)}
}

// put adds a message, and reports whether there was room.
func (o *outbox) put(m message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.add(&m)
}

// putCalls adds a message for each call, and reports whether there was room.
func (o *outbox) putCalls(calls []core.RememberedCall) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, call := range calls {
		key := string(call.Key)
		if waiting := o.calls[key]; waiting != nil {
			waiting.Calls[0] = call
			continue
		}
		m := &message{Kind: callsKind, Calls: []core.RememberedCall{call}}
		if !o.add(m) {
			return false
		}
		o.calls[key] = m
	}
	return true
}

// add appends a message. o.mu is held.
func (o *outbox) add(m *message) bool {
	if len(o.queue) >= maxWaiting {
		return false
	}
	o.queue = append(o.queue, m)
	o.signal()
	return true
}

func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.queue) == 0
}

// signal puts a value into filled if messages wait. o.mu is held.
func (o *outbox) signal() {
	if len(o.queue) == 0 {
		return
	}
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

// take removes the next message, nil if there is none. Calls that follow each other are taken as one message.
func (o *outbox) take() *message {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return nil
	}
	next := o.queue[0]
	taken := 1
	if next.Kind == callsKind {
		taken = o.mergeCalls(next)
	}
	clear(o.queue[:taken])
	if o.queue = o.queue[taken:]; len(o.queue) == 0 {
		o.queue = nil
	}
	o.signal()
	return next
}

// mergeCalls adds the calls that directly follow the first message to it, and returns how many messages that are. o.mu is held.
func (o *outbox) mergeCalls(first *message) (taken int) {
	size := 0
	for taken < len(o.queue) && o.queue[taken].Kind == callsKind {
		call := o.queue[taken].Calls[0]
		size += len(call.Key) + len(call.Target) + len(call.Answer.Body)
		if taken > 0 && size > maxBatchBytes {
			break
		}
		if taken > 0 {
			first.Calls = append(first.Calls, call)
		}
		delete(o.calls, string(call.Key))
		taken++
	}
	return taken
}

// writeMessages writes what waits until the link is closed, or until all is written after finish.
func (p *Peer) writeMessages() {
	for {
		select {
		case <-p.outbox.filled:
			if !p.writeNext() {
				return
			}
		case <-p.closed:
			return
		case <-p.finish:
			for !p.outbox.empty() {
				if !p.writeNext() {
					return
				}
			}
			close(p.flushed)
			return
		}
	}
}

// writeNext writes the next message, if there is one, and reports whether the link can take more.
func (p *Peer) writeNext() bool {
	m := p.outbox.take()
	if m == nil {
		return true
	}
	b, err := encodeFrame(*m)
	if err != nil {
		p.Close()
		return false
	}
	return p.write(b)
}

// write writes a frame, and reports whether the peer took it. A peer that takes nothing for writeTimeout is given up. After any other
// error the peer has closed the link, and what it sent before that is still read.
func (p *Peer) write(b []byte) bool {
	p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := p.conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.Close()
	}
	return err == nil
}
