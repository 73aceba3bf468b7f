package mqtt

import (
	"fmt"

	"go.uber.org/zap"
)

// Pending is a queued message: it waits to be sent or to be acknowledged.
type Pending struct {
	message Message
	qos     byte                // 0: sent once at most, and done as soon as it has been written; 1: sent until it is acknowledged
	refresh func(*Message) bool // updates message when it is sent; false if it is no longer useful; may be nil
	id      uint16
	size    int
	dup     bool
	done    func(reason byte, err error)
}

// Waiting is the number of queued messages.
func (s *Session) Waiting() int { return len(s.queue) }

// Crowded reports whether the queue has no room to spare if owed further messages are certain to be queued, or none for another answer.
// The room that is left then is enough for one short message for each that the broker may send without an acknowledgement.
func (s *Session) Crowded(owed int) bool {
	return len(s.queue)+owed >= maxQueued-2*receiveMax || s.queuedBytes+maxAnswer > maxQueuedBytes
}

// nextID returns a packet id that no queued message has.
func (s *Session) nextID() uint16 {
	for {
		if s.packetID++; s.packetID == 0 {
			continue
		}
		used := false
		for _, m := range s.queue {
			used = used || m.id == s.packetID
		}
		if !used {
			return s.packetID
		}
	}
}

// Publish queues a message with QoS 1. It is sent when the session is up and the broker accepts more. done is called once, with
// the broker's reason code or an error, and never from within Publish. Until the message is sent it can be withdrawn.
func (s *Session) Publish(m Message, done func(reason byte, err error)) *Pending {
	return s.PublishRefreshed(m, 1, nil, done)
}

// PublishRefreshed is Publish, with QoS 0 or 1, of a message that refresh updates when it is sent, however long it has waited. If refresh
// returns false, the message is no longer useful and is not sent. A message with QoS 0 is done, with the reason Success, when it is written.
func (s *Session) PublishRefreshed(m Message, qos byte, refresh func(*Message) bool, done func(reason byte, err error)) *Pending {
	pending := &Pending{message: m, qos: qos, refresh: refresh, done: done,
		size: len(m.Topic) + len(m.Props.Correlation) + len(m.Payload) + 64}
	limit := maxQueuedBytes
	if len(m.Payload) == 0 {
		limit += reservedBytes
	}
	if s.stopped {
		s.loop.After(0, func() { done(0, errStopped) })
		return pending
	}
	if len(s.queue) >= maxQueued || s.queuedBytes+pending.size > limit {
		s.loop.After(0, func() { done(0, errFull) })
		return pending
	}
	if qos > 0 {
		pending.id = s.nextID()
	}
	s.queuedBytes += pending.size
	s.queue = append(s.queue, pending)
	s.sendQueued()
	return pending
}

// Withdraw removes a message that has not been sent yet, and reports whether it could. done is not called for it.
func (s *Session) Withdraw(pending *Pending) bool {
	for i := s.sent; i < len(s.queue); i++ {
		if s.queue[i] == pending {
			s.remove(i)
			return true
		}
	}
	return false
}

// takeQueue empties the queue of messages that the broker has not acknowledged, sent or not, and returns them. Their done functions are
// not called.
func (s *Session) takeQueue() []*Pending {
	queue := s.queue
	s.queue, s.sent, s.queuedBytes = nil, 0, 0
	return queue
}

// Send sends a message with QoS 0, if the session is up.
func (s *Session) Send(m Message) {
	if s.up {
		s.write(AppendPublish(nil, &m, 0, 0))
	}
}

// sendQueued sends queued messages until the window is full or the broker stops reading. connHandler.Flushed continues it.
func (s *Session) sendQueued() {
	for s.up && s.sent < len(s.queue) && s.sent < s.maxInFlight && s.conn.Unsent() == 0 {
		pending := s.queue[s.sent]
		if pending.refresh != nil && !pending.refresh(&pending.message) {
			s.remove(s.sent)
			s.loop.After(0, func() { pending.done(0, errExpired) })
			continue
		}
		flags := byte(0)
		if pending.dup {
			flags = dupFlag
		}
		b := AppendPublish(nil, &pending.message, pending.id, flags)
		if len(b) > s.maxPacketSize {
			s.remove(s.sent)
			s.loop.After(0, func() {
				pending.done(0, fmt.Errorf("%w: %d bytes, at most %d are taken", errTooLong, len(b), s.maxPacketSize))
			})
			continue
		}
		s.write(b)
		if pending.qos == 0 {
			s.remove(s.sent)
			s.loop.After(0, func() { pending.done(Success, nil) })
			continue
		}
		s.sent++
	}
}

func (s *Session) remove(i int) {
	s.queuedBytes -= s.queue[i].size
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
}

func (s *Session) handlePuback(p *Packet) {
	for i, pending := range s.queue[:s.sent] {
		if pending.id == p.ID {
			s.remove(i)
			s.sent--
			s.sendQueued()
			pending.done(p.Reasons[0], nil)
			return
		}
	}
	s.log.Debug("acknowledgement of a message that is not in flight", zap.Uint16("packet", p.ID))
}
