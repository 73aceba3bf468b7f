package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"
)

// outcome is the outcome of a call as its caller received it.
type outcome struct {
	at           time.Time
	kind, reason string // kind is served, refused or failed
	payload      []byte
}

// caller is a stand-in of a client that makes calls by MQTT with QoS 1. Its session outlives its connections: what was not acknowledged
// when a connection ended is sent again, marked DUP, on the next one.
type caller struct {
	record     *record
	brokerAddr string
	clientID   string

	mu       sync.Mutex
	conn     net.Conn
	lastID   uint16
	unacked  map[uint16]message
	outcomes map[string][]outcome // by correlation data
	ended    chan struct{}        // closed when the present connection has ended
}

func newCaller(rec *record, b *broker, clientID string) (*caller, error) {
	c := &caller{record: rec, brokerAddr: b.addr, clientID: clientID, unacked: map[uint16]message{}, outcomes: map[string][]outcome{}}
	return c, c.connect()
}

// connect opens a connection and resumes the session.
func (c *caller) connect() error {
	conn, err := net.DialTimeout("tcp", c.brokerAddr, time.Second)
	if err != nil {
		return err
	}
	if _, err := conn.Write(encodeConnect(c.clientID)); err != nil {
		return err
	}
	in := bufio.NewReader(conn)
	if p, err := readPacket(in); err != nil || p.kind != connackPacket {
		return fmt.Errorf("no CONNACK: %v", err)
	}
	subscribe := append(appendString([]byte{0xff, 0xff, 0}, c.responseTopic()), 1)
	if _, err := conn.Write(encodePacket(subscribePacket, 2, subscribe)); err != nil {
		return err
	}
	c.mu.Lock()
	c.conn, c.ended = conn, make(chan struct{})
	for id, m := range c.unacked {
		m.dup = true
		c.record.logf("%s sends message %d again, marked DUP, key=%s", c.clientID, id, m.user["key"])
		conn.Write(encodePublish(m))
	}
	ended := c.ended
	c.mu.Unlock()
	go func() {
		defer close(ended)
		defer conn.Close()
		for {
			p, err := readPacket(in)
			if err != nil {
				return
			}
			c.handle(conn, p)
		}
	}()
	return nil
}

func (c *caller) responseTopic() string { return "replies/" + c.clientID }

func (c *caller) handle(conn net.Conn, p packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch p.kind {
	case pubackPacket:
		r := fieldReader{p.body}
		delete(c.unacked, uint16(r.u16()))
	case publishPacket:
		m := decodePublish(p)
		if m.qos == 1 {
			conn.Write(encodePacket(pubackPacket, 0, binary.BigEndian.AppendUint16(nil, m.id)))
		}
		c.record.logf("%s gets the outcome of %s: %s %s, %d bytes", c.clientID, m.correlation, m.user["outcome"], m.user["reason"], len(m.payload))
		c.outcomes[m.correlation] = append(c.outcomes[m.correlation], outcome{time.Now(), m.user["outcome"], m.user["reason"], m.payload})
	}
}

// call publishes a call. Its correlation data is its name. Without a Message Expiry Interval the deadline of its class holds.
func (c *caller) call(name string, k class, function, key, requestID string, body []byte) {
	user := map[string]string{"class": k.name, "tenant": tenants[0], "function": function, "id": requestID, "cost-ms": "40",
		"tags": "memory_mb:2500;lanes:4;load_ms:150"}
	if key != "" {
		user["key"] = key
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	m := message{topic: "calls/" + c.clientID, payload: body, qos: 1, id: c.lastID,
		properties: properties{responseTopic: c.responseTopic(), correlation: name, user: user}}
	c.unacked[m.id] = m
	c.record.logf("%s publishes call %s class=%s key=%s id=%s", c.clientID, name, k.name, key, requestID)
	c.conn.Write(encodePublish(m))
}

// outcomesOf returns the outcomes of a call so far.
func (c *caller) outcomesOf(name string) []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes[name]...)
}
