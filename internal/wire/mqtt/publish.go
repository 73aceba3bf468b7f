package mqtt

import (
	"fmt"

	"go.uber.org/zap"
)

// Pending is a message that waits to be sent or acknowledged.
type Pending struct {
	m    Message
	now  func(*Message) bool // brings m up to date as it is sent; false if it is of no use any more; may be nil
	id   uint16
	size int
	dup  bool
	done func(reason byte, err error)
}

// Waiting is the number of messages that wait to be sent or acknowledged.
func (s *Session) Waiting() int { return len(s.queue) }

// nextID is a packet id that no message has.
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

// Publish sends a message with QoS 1, when the session is up and the broker takes more. done is called once,
// with the broker's reason or an error; never from within Publish. The message may be withdrawn until then.
func (s *Session) Publish(m Message, done func(reason byte, err error)) *Pending {
	return s.PublishCurrent(m, nil, done)
}

// PublishCurrent is Publish of a message that now brings up to date at the moment when it is sent, however long it has waited
// for that. Where now says that it is of no use any more, it is not sent.
func (s *Session) PublishCurrent(m Message, now func(*Message) bool, done func(reason byte, err error)) *Pending {
	o := &Pending{m: m, now: now, done: done, size: len(m.Topic) + len(m.Payload) + 64}
	if len(s.queue) >= maxOutgoing || s.bytes+o.size > maxWaiting || s.stopped {
		s.loop.After(0, func() { done(0, errFull) })
		return o
	}
	o.id = s.nextID()
	s.bytes += o.size
	s.queue = append(s.queue, o)
	s.pump()
	return o
}

// Withdraw takes back a message that has not been sent yet, and reports whether it could. Its done is not called.
func (s *Session) Withdraw(o *Pending) bool {
	for i := s.sent; i < len(s.queue); i++ {
		if s.queue[i] == o {
			s.remove(i)
			return true
		}
	}
	return false
}

// Send sends a message with QoS 0, if the session is up.
func (s *Session) Send(m Message) {
	if s.up {
		s.write(AppendPublish(nil, &m, 0, 0))
	}
}

func (s *Session) pump() {
	for s.up && s.sent < len(s.queue) && s.sent < s.limit && s.conn.Unsent() == 0 { // else when the broker has taken it
		o := s.queue[s.sent]
		if o.now != nil && !o.now(&o.m) {
			s.remove(s.sent)
			s.loop.After(0, func() { o.done(0, errExpired) })
			continue
		}
		flags := byte(0)
		if o.dup {
			flags = 8
		}
		b := AppendPublish(nil, &o.m, o.id, flags)
		if len(b) > s.largest {
			s.remove(s.sent)
			s.loop.After(0, func() { o.done(0, fmt.Errorf("message of %d bytes, the broker takes %d", len(b), s.largest)) })
			continue
		}
		s.write(b)
		s.sent++
	}
}

func (s *Session) remove(i int) {
	s.bytes -= s.queue[i].size
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
}

func (s *Session) acked(p *Packet) {
	for i, o := range s.queue[:s.sent] {
		if o.id == p.ID {
			s.remove(i)
			s.sent--
			s.pump()
			o.done(p.Reasons[0], nil)
			return
		}
	}
	s.log.Debug("acknowledgement of nothing that is out", zap.Uint16("packet", p.ID))
}
