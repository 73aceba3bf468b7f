package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// broker is the stand-in of an MQTT 5 broker with one kind of client, the gateway: it keeps the session of each client id, delivers with
// QoS 1, and delivers again, marked as a duplicate, what the gateway had not acknowledged when its connection ended.
type broker struct {
	r        *rig
	addr     string
	mu       sync.Mutex
	ln       net.Listener
	sessions map[string]*session
	onOut    func(topic string, m message) // each message that a gateway publishes
	retained map[string]string             // state of each worker, by its status topic
	acked    map[string]bool               // ids of the calls that a gateway has acknowledged
}

type session struct {
	b       *broker
	client  string
	conn    net.Conn
	pending map[uint16]*message // delivered and not acknowledged
	order   []uint16
	nextID  uint16
	queue   []*message // waiting while there is no connection
}

type message struct {
	topic, response string
	correlation     []byte
	user            map[string]string
	expiry          uint32
	payload         string
	dup, retain     bool
	qos             byte // of a message from a gateway
}

func newBroker(r *rig) *broker {
	b := &broker{r: r, sessions: map[string]*session{}, acked: map[string]bool{}, retained: map[string]string{}}
	b.open("127.0.0.1:0")
	return b
}

func (b *broker) open(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	b.mu.Lock()
	b.ln, b.addr = ln, ln.Addr().String()
	b.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
}

// shut stops listening and resets all connections; the sessions stay.
func (b *broker) shut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ln.Close()
	b.dropAll()
}

// back lets a broker that was shut be reached again, at the same address.
func (b *broker) back() {
	b.r.logf("broker: is back")
	b.open(b.addr)
}

// drop resets all connections; the gateway may connect again at once.
func (b *broker) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropAll()
}

func (b *broker) dropAll() {
	for _, s := range b.sessions {
		if s.conn != nil {
			b.r.logf("broker: the connection of %s is reset, %d messages are not acknowledged", s.client, len(s.pending))
			s.conn.(*net.TCPConn).SetLinger(0)
			s.conn.Close()
			s.conn = nil
		}
	}
}

func packet(head byte, body []byte) []byte {
	return append(binary.AppendUvarint([]byte{head}, uint64(len(body))), body...)
}

func text(out []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint16(out, uint16(len(s))), s...)
}

func readPacket(in *bufio.Reader) (head byte, body []byte, err error) {
	if head, err = in.ReadByte(); err != nil {
		return
	}
	n, err := binary.ReadUvarint(in)
	if err != nil {
		return
	}
	body = make([]byte, n)
	_, err = io.ReadFull(in, body)
	return
}

func cutText(b []byte) (string, []byte) {
	n := int(binary.BigEndian.Uint16(b))
	return string(b[2 : 2+n]), b[2+n:]
}

// connected reports whether a gateway is connected.
func (b *broker) connected() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.sessions {
		if s.conn != nil {
			return true
		}
	}
	return false
}

func (b *broker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	head, body, err := readPacket(in)
	if err != nil || head != 0x10 {
		return
	}
	// protocol name, version, flags, keep alive
	_, rest := cutText(body)
	flags := rest[1]
	rest = rest[4:]
	n, size := binary.Uvarint(rest)
	rest = rest[size+int(n):]
	client, _ := cutText(rest)
	b.mu.Lock()
	s, present := b.sessions[client], true
	if s == nil || flags&2 != 0 {
		s, present = &session{b: b, client: client, pending: map[uint16]*message{}}, false
		b.sessions[client] = s
	}
	if s.conn != nil {
		s.conn.Close()
	}
	s.conn = c
	flag := byte(0)
	if present {
		flag = 1
	}
	c.Write(packet(0x20, []byte{flag, 0, 0}))
	b.r.logf("broker: %s connects, session present %v, %d messages are delivered again", client, present, len(s.pending))
	for _, id := range s.order {
		if m := s.pending[id]; m != nil {
			m.dup = true
			s.write(id, m)
		}
	}
	queue := s.queue
	s.queue = nil
	for _, m := range queue {
		s.deliver(m)
	}
	b.mu.Unlock()
	for {
		head, body, err := readPacket(in)
		b.mu.Lock()
		current := s.conn == c
		if err != nil || !current {
			if current {
				s.conn = nil
				b.r.logf("broker: the connection of %s has ended", client)
			}
			b.mu.Unlock()
			return
		}
		switch head >> 4 {
		case 3:
			b.published(s, head, body)
		case 4:
			id := binary.BigEndian.Uint16(body)
			if m := s.pending[id]; m != nil {
				b.acked[m.user["id"]] = true
			}
			delete(s.pending, id)
		case 8:
			id := body[:2]
			var filters []string
			n, size := binary.Uvarint(body[2:])
			for rest := body[2+size+int(n):]; len(rest) > 0; rest = rest[1:] {
				var filter string
				filter, rest = cutText(rest)
				filters = append(filters, filter)
			}
			answer := append(append([]byte{}, id...), 0)
			for range filters {
				answer = append(answer, 1)
			}
			c.Write(packet(0x90, answer))
			for _, filter := range filters {
				if state, ok := b.retained[filter]; ok {
					s.deliver(&message{topic: filter, payload: state, retain: true})
				}
			}
		case 12:
			c.Write(packet(0xd0, nil))
		case 14:
			b.r.logf("broker: %s disconnects", client)
			s.conn = nil
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
	}
}

func (b *broker) published(s *session, head byte, body []byte) {
	m := message{user: map[string]string{}, dup: head&8 != 0, qos: head >> 1 & 3}
	topic, rest := cutText(body)
	var id []byte
	if head>>1&3 > 0 {
		id, rest = rest[:2], rest[2:]
	}
	n, size := binary.Uvarint(rest)
	props := rest[size : size+int(n)]
	m.payload = string(rest[size+int(n):])
	for len(props) > 0 {
		switch kind := props[0]; kind {
		case 0x02:
			m.expiry, props = binary.BigEndian.Uint32(props[1:]), props[5:]
		case 0x08:
			m.response, props = cutText(props[1:])
		case 0x09:
			var text string
			text, props = cutText(props[1:])
			m.correlation = []byte(text)
		case 0x26:
			var name, value string
			name, props = cutText(props[1:])
			value, props = cutText(props)
			m.user[name] = value
		default:
			panic(fmt.Sprint("property ", kind))
		}
	}
	if id != nil {
		s.conn.Write(packet(0x40, id))
	}
	if b.onOut != nil { // it must not call the broker
		b.onOut(topic, m)
	}
}

// publish delivers a call to the gateway's session, or queues it.
func (b *broker) publish(client string, m *message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.sessions[client]; s != nil {
		s.deliver(m)
	}
}

func (s *session) deliver(m *message) {
	if s.conn == nil {
		s.queue = append(s.queue, m)
		return
	}
	s.nextID++
	s.pending[s.nextID] = m
	s.order = append(s.order, s.nextID)
	s.write(s.nextID, m)
}

func (s *session) write(id uint16, m *message) {
	head := byte(0x32)
	if m.dup {
		head |= 8
	}
	if m.retain {
		head |= 1
	}
	body := text(nil, m.topic)
	body = binary.BigEndian.AppendUint16(body, id)
	var props []byte
	if m.expiry > 0 {
		props = binary.BigEndian.AppendUint32(append(props, 0x02), m.expiry)
	}
	if m.response != "" {
		props = text(append(props, 0x08), m.response)
	}
	if m.correlation != nil {
		props = text(append(props, 0x09), string(m.correlation))
	}
	for name, value := range m.user {
		props = text(text(append(props, 0x26), name), value)
	}
	body = append(binary.AppendUvarint(body, uint64(len(props))), props...)
	s.conn.SetWriteDeadline(time.Now().Add(time.Second))
	s.conn.Write(packet(head, append(body, m.payload...)))
}
