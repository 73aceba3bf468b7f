package mqtt

import (
	"encoding/binary"
	"slices"
	"strings"

	"quillrail/internal/wire/sock"
)

// broker is a small MQTT broker after the text of the standard: it has sessions that outlive their connections, QoS 1 with
// redelivery and retained messages, but no last wills. Its handlers run on one goroutine or under the caller's lock.
type broker struct {
	sessions       map[string]*clientSession
	retained       map[string]*Packet
	dropAcks       bool      // ignores PUBACKs of clients, as if they were lost
	skippedSession string    // id of a session to which nothing is published
	maxPacket      uint32    // limit that it names to clients, in bytes, 0 for none
	published      []*Packet // every PUBLISH from a client, including those with the DUP flag
	connects       int
	pubacks        []string // "puback" and the client's id for each PUBACK received, in order
}

type clientSession struct {
	id      string
	filters []string
	conn    *clientConn
	lastID  uint16
	unacked []*outMessage // sent, or to be sent, and not acknowledged
}

type outMessage struct {
	id      uint16
	message Message
	dup     bool
	conn    *clientConn // on which it was last sent
}

type clientConn struct {
	broker  *broker
	conn    sock.Conn
	parser  Parser
	session *clientSession
	accepts int // bytes of a packet, as the client said in CONNECT
}

func newBroker() *broker {
	return &broker{sessions: map[string]*clientSession{}, retained: map[string]*Packet{}}
}

func (b *broker) accept(c sock.Conn) sock.Handler {
	return &clientConn{broker: b, conn: c, parser: Parser{MaxPacket: maxFormatPacket}}
}

func (c *clientConn) Data(data []byte) error { return c.parser.Feed(data, c.packet) }

func (c *clientConn) Closed(error) {
	if c.session != nil && c.session.conn == c {
		c.session.conn = nil
	}
}

func (c *clientConn) packet(p *Packet) {
	b := c.broker
	switch p.Type {
	case Connect:
		b.connects++
		r := &reader{b: p.Body}
		name, version, flags := r.text(), r.byte(), r.byte()
		r.u16()
		var props Props
		r.props(&props)
		id := r.text()
		if name != "MQTT" || version != 5 || r.err != nil {
			c.conn.Close()
			return
		}
		s := b.sessions[id]
		present := s != nil && flags&2 == 0
		if !present {
			s = &clientSession{id: id}
			b.sessions[id] = s
		}
		if s.conn != nil {
			s.conn.conn.Close()
		}
		s.conn, c.session, c.accepts = c, s, maxFormatPacket
		if props.MaxPacket > 0 {
			c.accepts = int(props.MaxPacket)
		}
		ack := []byte{0, Success}
		if present {
			ack[0] = 1
		}
		c.conn.Write(Append(nil, Connack, 0, AppendProps(ack, &Props{ReceiveMax: 10, MaxPacket: b.maxPacket})))
		for _, d := range s.unacked {
			d.dup = true
			b.send(s, d)
		}
	case Subscribe:
		r := &reader{b: p.Body}
		ack := AppendProps(binary.BigEndian.AppendUint16(nil, r.u16()), &Props{})
		r.props(&Props{})
		for len(r.b) > 0 {
			filter := r.text()
			r.byte()
			ack = append(ack, 1)
			if !slices.Contains(c.session.filters, filter) {
				c.session.filters = append(c.session.filters, filter)
			}
			for topic, m := range b.retained {
				if matches(filter, topic) {
					c.conn.Write(AppendPublish(nil, &Message{Topic: topic, Payload: m.Payload}, 0, 1))
				}
			}
		}
		c.conn.Write(Append(nil, Suback, 0, ack))
	case Publish:
		b.published = append(b.published, p)
		reason := byte(NoSubscribers)
		message := Message{Topic: p.Topic, Payload: p.Payload, Props: p.Props}
		if p.QoS() == 0 {
			b.publishOnce(message)
		} else if b.publish(message) {
			reason = Success
		}
		if p.QoS() == 1 {
			c.conn.Write(AppendPuback(nil, p.ID, reason))
		}
	case Puback:
		b.pubacks = append(b.pubacks, "puback "+c.session.id)
		if !b.dropAcks {
			c.session.unacked = slices.DeleteFunc(c.session.unacked, func(d *outMessage) bool { return d.id == p.ID })
		}
	case Pingreq:
		c.conn.Write(Append(nil, Pingresp, 0, nil))
	case Disconnect:
		c.conn.Close()
	}
}

// publish passes a message to every session that has subscribed to it, whether its client is connected or not.
func (b *broker) publish(m Message) (any bool) {
	for _, s := range b.sessions {
		if slices.ContainsFunc(s.filters, func(f string) bool { return matches(f, m.Topic) }) && s.id != b.skippedSession {
			any = true
			s.lastID++
			d := &outMessage{id: s.lastID, message: m}
			s.unacked = append(s.unacked, d)
			b.send(s, d)
		}
	}
	return any
}

// publishOnce passes a message with QoS 0 to the clients that are connected and have subscribed to it.
func (b *broker) publishOnce(m Message) {
	for _, s := range b.sessions {
		if s.conn != nil && slices.ContainsFunc(s.filters, func(f string) bool { return matches(f, m.Topic) }) && s.id != b.skippedSession {
			s.conn.conn.Write(AppendPublish(nil, &m, 0, 0))
		}
	}
}

func (b *broker) send(s *clientSession, d *outMessage) {
	if s.conn == nil {
		return
	}
	flags := byte(0)
	if d.dup {
		flags = 8
	}
	d.conn = s.conn
	packet := AppendPublish(nil, &d.message, d.id, flags)
	if len(packet) > s.conn.accepts { // it counts as sent (MQTT 5, 3.1.2.11.4)
		s.unacked = slices.DeleteFunc(s.unacked, func(other *outMessage) bool { return other == d })
		return
	}
	s.conn.conn.Write(packet)
}

// redeliver sends a client again what it has not acknowledged, on its present connection.
func (b *broker) redeliver(id string) {
	for _, d := range b.sessions[id].unacked {
		d.dup = true
		b.send(b.sessions[id], d)
	}
}

// disconnect closes a client's connection.
func (b *broker) disconnect(id string) {
	if s := b.sessions[id]; s != nil && s.conn != nil {
		s.conn.conn.Close()
	}
}

func matches(filter, topic string) bool {
	if rest, ok := strings.CutSuffix(filter, "#"); ok {
		return strings.HasPrefix(topic, rest)
	}
	return filter == topic
}
