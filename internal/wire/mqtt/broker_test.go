package mqtt

import (
	"encoding/binary"
	"slices"
	"strings"

	"quillrail/internal/wire/sock"
)

// broker is a small stand-in, from the standard's text: sessions that outlive their connections, QoS 1 with
// redelivery, retained messages, last wills left out. Its handlers run on one goroutine or under its caller's lock.
type broker struct {
	sessions  map[string]*clientSession
	retained  map[string]*Packet
	holdAcks  bool // swallows PUBACKs of clients, as if they were lost on the way
	deafTo    string
	published []*Packet // every PUBLISH from a client, DUP ones included
	connects  int
	seen      []string // types of packets from clients, and those sent to them, in order
}

type clientSession struct {
	id      string
	filters []string
	conn    *clientConn
	next    uint16
	out     []*delivered // not acknowledged
}

type delivered struct {
	id   uint16
	m    Message
	dup  bool
	conn *clientConn // that it was last sent on
}

type clientConn struct {
	b      *broker
	c      sock.Conn
	parser Parser
	s      *clientSession
}

func newBroker() *broker {
	return &broker{sessions: map[string]*clientSession{}, retained: map[string]*Packet{}}
}

func (b *broker) accept(c sock.Conn) sock.Handler { return &clientConn{b: b, c: c} }

func (c *clientConn) Data(data []byte) error { return c.parser.Feed(data, c.packet) }

func (c *clientConn) Closed(error) {
	if c.s != nil && c.s.conn == c {
		c.s.conn = nil
	}
}

func (c *clientConn) packet(p *Packet) {
	b := c.b
	switch p.Type {
	case Connect:
		b.connects++
		r := &reader{b: p.Rest}
		name, version, flags := r.text(), r.byte(), r.byte()
		r.u16()
		var props Props
		r.props(&props)
		id := r.text()
		if name != "MQTT" || version != 5 || r.err != nil {
			c.c.Close()
			return
		}
		s := b.sessions[id]
		present := s != nil && flags&2 == 0
		if !present {
			s = &clientSession{id: id}
			b.sessions[id] = s
		}
		if s.conn != nil {
			s.conn.c.Close()
		}
		s.conn, c.s = c, s
		ack := []byte{0, Success}
		if present {
			ack[0] = 1
		}
		c.c.Write(Append(nil, Connack, 0, AppendProps(ack, &Props{ReceiveMax: 10})))
		for _, d := range s.out {
			d.dup = true
			b.send(s, d)
		}
	case Subscribe:
		r := &reader{b: p.Rest}
		ack := AppendProps(binary.BigEndian.AppendUint16(nil, r.u16()), &Props{})
		r.props(&Props{})
		for len(r.b) > 0 {
			filter := r.text()
			r.byte()
			ack = append(ack, 1)
			if !slices.Contains(c.s.filters, filter) {
				c.s.filters = append(c.s.filters, filter)
			}
			for topic, m := range b.retained {
				if matches(filter, topic) {
					c.c.Write(AppendPublish(nil, &Message{Topic: topic, Payload: m.Payload}, 0, 1))
				}
			}
		}
		c.c.Write(Append(nil, Suback, 0, ack))
	case Publish:
		b.published = append(b.published, p)
		reason := byte(NoSubscribers)
		if b.publish(Message{Topic: p.Topic, Payload: p.Payload, Props: p.Props}) {
			reason = Success
		}
		if p.QoS() == 1 {
			c.c.Write(AppendPuback(nil, p.ID, reason))
		}
	case Puback:
		b.seen = append(b.seen, "puback "+c.s.id)
		if !b.holdAcks {
			c.s.out = slices.DeleteFunc(c.s.out, func(d *delivered) bool { return d.id == p.ID })
		}
	case Pingreq:
		c.c.Write(Append(nil, Pingresp, 0, nil))
	case Disconnect:
		c.c.Close()
	}
}

// publish hands a message to every session that asked for it, whether its client is there or not.
func (b *broker) publish(m Message) (any bool) {
	for _, s := range b.sessions {
		if slices.ContainsFunc(s.filters, func(f string) bool { return matches(f, m.Topic) }) && s.id != b.deafTo {
			any = true
			s.next++
			d := &delivered{id: s.next, m: m}
			s.out = append(s.out, d)
			b.send(s, d)
		}
	}
	return any
}

func (b *broker) send(s *clientSession, d *delivered) {
	if s.conn == nil {
		return
	}
	flags := byte(0)
	if d.dup {
		flags = 8
	}
	d.conn = s.conn
	s.conn.c.Write(AppendPublish(nil, &d.m, d.id, flags))
}

// redeliver sends again what a client has not acknowledged, on its present connection.
func (b *broker) redeliver(id string) {
	for _, d := range b.sessions[id].out {
		d.dup = true
		b.send(b.sessions[id], d)
	}
}

// cut breaks a client's connection.
func (b *broker) cut(id string) {
	if s := b.sessions[id]; s != nil && s.conn != nil {
		s.conn.c.Close()
	}
}

func matches(filter, topic string) bool {
	if rest, ok := strings.CutSuffix(filter, "#"); ok {
		return strings.HasPrefix(topic, rest)
	}
	return filter == topic
}
