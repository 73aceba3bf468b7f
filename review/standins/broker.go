package main

import (
	"bufio"
	"encoding/binary"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// broker is a stand-in of an MQTT 5 broker with QoS 0 and 1. Its sessions outlive their connections, it keeps to the clients' Receive
// Maximum, and it sets no limit on the size of a packet.
type broker struct {
	record *record
	addr   string
	ln     net.Listener

	// dropUnacknowledged is called with each message that a client publishes. If it returns true, the broker takes the message, and then
	// drops the client's connection without an acknowledgement. It may be nil.
	dropUnacknowledged func(clientID string, m message) bool

	mu       sync.Mutex
	sessions map[string]*session
}

// session is what the broker keeps for a client ID. Its fields are guarded by broker.mu.
type session struct {
	clientID   string
	conn       net.Conn // nil while the client is not connected
	filters    []string
	receiveMax int // messages that may be sent and not acknowledged
	lastID     uint16
	unacked    []message // sent and not acknowledged, in order
	waiting    []message // not sent yet
}

func newBroker(rec *record) (*broker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &broker{record: rec, addr: ln.Addr().String(), ln: ln, sessions: map[string]*session{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

func (b *broker) close() { b.ln.Close() }

// subscribed reports whether a client whose ID begins with a prefix is connected and has subscribed to something.
func (b *broker) subscribed(prefix string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.sessions {
		if strings.HasPrefix(id, prefix) && s.conn != nil && len(s.filters) > 0 {
			return true
		}
	}
	return false
}

// serve serves a client's connection until it ends.
func (b *broker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	p, err := readPacket(in)
	if err != nil {
		return
	}
	clientID, clean, props, err := decodeConnect(p)
	if err != nil {
		return
	}
	s := b.connect(c, clientID, clean, props)
	defer func() {
		b.mu.Lock()
		if s.conn == c {
			s.conn = nil
		}
		b.mu.Unlock()
		b.record.logf("broker: the connection of %s has ended", clientID)
	}()
	for {
		p, err := readPacket(in)
		if err != nil || p.kind == disconnectPacket || !b.handle(s, p) {
			return
		}
	}
}

// connect answers a CONNECT. A resumed session gets again what it has not acknowledged, marked DUP, and then what waits for it.
func (b *broker) connect(c net.Conn, clientID string, clean bool, props properties) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.sessions[clientID]
	present := s != nil && !clean
	if !present {
		s = &session{clientID: clientID}
		b.sessions[clientID] = s
	}
	if s.conn != nil {
		s.conn.Close()
	}
	s.conn, s.receiveMax = c, 65535
	if props.receiveMax > 0 {
		s.receiveMax = props.receiveMax
	}
	b.record.logf("broker: %s connects, session present: %v", clientID, present)
	ack := []byte{0, 0, 0}
	if present {
		ack[0] = 1
	}
	s.write(encodePacket(connackPacket, 0, ack))
	for i := range s.unacked {
		s.unacked[i].dup = true
		b.sendTo(s, s.unacked[i])
	}
	b.sendWaiting(s)
	return s
}

// handle handles a packet, and reports whether the connection goes on.
func (b *broker) handle(s *session, p packet) bool {
	r := fieldReader{p.body}
	switch p.kind {
	case publishPacket:
		return b.publish(s, decodePublish(p))
	case pubackPacket:
		id := uint16(r.u16())
		b.record.logf("broker: %s acknowledges message %d", s.clientID, id)
		b.mu.Lock()
		s.unacked = slices.DeleteFunc(s.unacked, func(m message) bool { return m.id == id })
		b.sendWaiting(s)
		b.mu.Unlock()
	case subscribePacket:
		ack := append(binary.BigEndian.AppendUint16(nil, uint16(r.u16())), 0)
		r.properties()
		b.mu.Lock()
		for len(r.b) > 0 {
			if f := r.string(); !slices.Contains(s.filters, f) {
				s.filters = append(s.filters, f)
			}
			r.byte() // options
			ack = append(ack, 1)
		}
		s.write(encodePacket(subackPacket, 0, ack))
		b.mu.Unlock()
	case pingreqPacket:
		b.mu.Lock()
		s.write(encodePacket(pingrespPacket, 0, nil))
		b.mu.Unlock()
	}
	return true
}

// publish forwards a message to every session that subscribes to its topic, and acknowledges it. To each subscriber it is a message of its
// own: the DUP flag of the incoming packet is not passed on (section 3.3.1.1 of the standard).
func (b *broker) publish(from *session, m message) bool {
	b.record.logf("broker: %s publishes on %s dup=%v key=%s correlation=%q outcome=%s, %d bytes", from.clientID, m.topic, m.dup,
		m.user["key"], m.correlation, m.user["outcome"], len(m.payload))
	drop := b.dropUnacknowledged != nil && b.dropUnacknowledged(from.clientID, m)
	b.mu.Lock()
	defer b.mu.Unlock()
	reached := false
	for _, s := range b.sessions {
		if slices.ContainsFunc(s.filters, func(filter string) bool { return matches(filter, m.topic) }) {
			forwarded := m
			forwarded.dup, reached = false, true
			s.waiting = append(s.waiting, forwarded)
			b.sendWaiting(s)
		}
	}
	if drop {
		b.record.logf("broker: drops the connection of %s before the acknowledgement", from.clientID)
		return false
	}
	if m.qos == 1 {
		ack := binary.BigEndian.AppendUint16(nil, m.id)
		if !reached {
			ack = append(ack, noMatchingSubscribers, 0)
		}
		from.write(encodePacket(pubackPacket, 0, ack))
	}
	return true
}

func matches(filter, topic string) bool {
	if prefix, wildcard := strings.CutSuffix(filter, "#"); wildcard {
		return strings.HasPrefix(topic, prefix)
	}
	return filter == topic
}

// sendWaiting sends what waits for a client, as far as its Receive Maximum allows. b.mu is held.
func (b *broker) sendWaiting(s *session) {
	for s.conn != nil && len(s.waiting) > 0 && len(s.unacked) < s.receiveMax {
		m := s.waiting[0]
		s.waiting = s.waiting[1:]
		if m.qos == 1 {
			if s.lastID++; s.lastID == 0 {
				s.lastID = 1
			}
			m.id = s.lastID
			s.unacked = append(s.unacked, m)
		}
		b.sendTo(s, m)
	}
}

// sendTo writes a message to a client. b.mu is held.
func (b *broker) sendTo(s *session, m message) {
	b.record.logf("broker: %s is sent message %d on %s dup=%v key=%s correlation=%q", s.clientID, m.id, m.topic, m.dup, m.user["key"],
		m.correlation)
	s.write(encodePublish(m))
}

// write writes to the client, if it is connected. b.mu is held.
func (s *session) write(b []byte) {
	if s.conn != nil {
		s.conn.SetWriteDeadline(time.Now().Add(time.Second))
		s.conn.Write(b)
	}
}
