package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// The types of MQTT 5 packets that the stand-ins use.
const (
	connectPacket    = 1
	connackPacket    = 2
	publishPacket    = 3
	pubackPacket     = 4
	subscribePacket  = 8
	subackPacket     = 9
	pingreqPacket    = 12
	pingrespPacket   = 13
	disconnectPacket = 14
)

// The identifiers of MQTT 5 properties that the stand-ins use.
const (
	messageExpiry   = 0x02
	responseTopic   = 0x08
	correlationData = 0x09
	sessionExpiry   = 0x11
	receiveMaximum  = 0x21
	userProperty    = 0x26
	maximumPacket   = 0x27
)

const noMatchingSubscribers = 0x10 // reason code of a PUBACK

// packet is a packet as it was read.
type packet struct {
	kind, flags byte
	body        []byte
}

// properties are the properties of a packet.
type properties struct {
	expiry        uint32 // seconds, 0 for none
	responseTopic string
	correlation   string
	receiveMax    int // 0 if absent
	user          map[string]string
}

// message is a PUBLISH.
type message struct {
	properties
	topic   string
	payload []byte
	qos     byte
	dup     bool
	id      uint16
}

func readPacket(in *bufio.Reader) (p packet, err error) {
	head, err := in.ReadByte()
	if err != nil {
		return p, err
	}
	length, err := binary.ReadUvarint(in)
	if err == nil && length > 4<<20 {
		err = fmt.Errorf("packet of %d bytes", length)
	}
	if err != nil {
		return p, err
	}
	p = packet{kind: head >> 4, flags: head & 15, body: make([]byte, length)}
	_, err = io.ReadFull(in, p.body)
	return p, err
}

func encodePacket(kind, flags byte, body []byte) []byte {
	return append(binary.AppendUvarint([]byte{kind<<4 | flags}, uint64(len(body))), body...)
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint16(b, uint16(len(s))), s...)
}

// fieldReader reads the fields of a packet. Past the end all fields are zero.
type fieldReader struct{ b []byte }

func (r *fieldReader) next(n int) []byte {
	n = min(n, len(r.b))
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *fieldReader) byte() byte {
	if b := r.next(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func (r *fieldReader) u16() int       { return int(r.byte())<<8 | int(r.byte()) }
func (r *fieldReader) u32() uint32    { return uint32(r.u16())<<16 | uint32(r.u16()) }
func (r *fieldReader) string() string { return string(r.next(r.u16())) }

func (r *fieldReader) varint() int {
	n, size := binary.Uvarint(r.b)
	r.next(max(1, size))
	return int(n)
}

// properties reads a block of properties. Those that the stand-ins don't use are skipped by their type.
func (r *fieldReader) properties() properties {
	p := properties{user: map[string]string{}}
	block := fieldReader{r.next(r.varint())}
	for len(block.b) > 0 {
		switch block.byte() {
		case messageExpiry:
			p.expiry = block.u32()
		case responseTopic:
			p.responseTopic = block.string()
		case correlationData:
			p.correlation = block.string()
		case receiveMaximum:
			p.receiveMax = block.u16()
		case userProperty:
			name := block.string()
			p.user[name] = block.string()
		case sessionExpiry, maximumPacket, 0x18: // four bytes
			block.u32()
		case 0x13, 0x22, 0x23: // two bytes
			block.u16()
		case 0x0b:
			block.varint()
		case 0x01, 0x17, 0x19, 0x24, 0x25, 0x28, 0x29, 0x2a: // one byte
			block.byte()
		default:
			block.string()
		}
	}
	return p
}

func decodePublish(p packet) message {
	m := message{qos: p.flags >> 1 & 3, dup: p.flags&8 != 0}
	r := fieldReader{p.body}
	m.topic = r.string()
	if m.qos > 0 {
		m.id = uint16(r.u16())
	}
	m.properties = r.properties()
	m.payload = r.b
	return m
}

func encodePublish(m message) []byte {
	flags := m.qos << 1
	if m.dup {
		flags |= 8
	}
	body := appendString(nil, m.topic)
	if m.qos > 0 {
		body = binary.BigEndian.AppendUint16(body, m.id)
	}
	var props []byte
	if m.expiry > 0 {
		props = binary.BigEndian.AppendUint32(append(props, messageExpiry), m.expiry)
	}
	if m.responseTopic != "" {
		props = appendString(append(props, responseTopic), m.responseTopic)
	}
	if m.correlation != "" {
		props = appendString(append(props, correlationData), m.correlation)
	}
	for name, value := range m.user {
		props = appendString(appendString(append(props, userProperty), name), value)
	}
	body = append(binary.AppendUvarint(body, uint64(len(props))), props...)
	return encodePacket(publishPacket, flags, append(body, m.payload...))
}

// encodeConnect encodes the CONNECT of a client whose session outlives its connections by five minutes.
func encodeConnect(clientID string) []byte {
	props := binary.BigEndian.AppendUint32([]byte{sessionExpiry}, 300)
	body := append(appendString(nil, "MQTT"), 5, 0, 0, 60)
	body = append(append(body, byte(len(props))), props...)
	return encodePacket(connectPacket, 0, appendString(body, clientID))
}

// decodeConnect returns what the broker needs of a CONNECT.
func decodeConnect(p packet) (clientID string, clean bool, props properties, err error) {
	r := fieldReader{p.body}
	if name, version := r.string(), r.byte(); p.kind != connectPacket || name != "MQTT" || version != 5 {
		return "", false, props, errors.New("not a CONNECT of MQTT 5")
	}
	clean = r.byte()&2 != 0
	r.u16() // keep alive
	props = r.properties()
	return r.string(), clean, props, nil
}
