package mqtt

import (
	"encoding/binary"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Parser splits a stream of bytes into packets. After an error it accepts no more input.
type Parser struct {
	MaxPacket int // bytes; longer packets are malformed. 0 stands for maxPacket
	buf       []byte
	err       error
}

// Feed takes the next bytes and calls emit for every whole packet.
func (p *Parser) Feed(b []byte, emit func(*Packet)) error {
	if p.err != nil {
		return p.err
	}
	limit := p.MaxPacket
	if limit == 0 {
		limit = maxPacket
	}
	p.buf = append(p.buf, b...)
	rest := p.buf
	for p.err == nil && len(rest) >= 2 {
		length, n := binary.Uvarint(rest[1:min(len(rest), 5)])
		if n == 0 && len(rest) < 5 {
			break
		}
		if n <= 0 || length > uint64(limit) || n > 1 && rest[n] == 0 {
			p.err = malformed("length")
			break
		}
		end := 1 + n + int(length)
		if len(rest) < end {
			break
		}
		var packet *Packet
		if packet, p.err = parsePacket(rest[0], append([]byte(nil), rest[1+n:end]...)); p.err == nil {
			rest = rest[end:]
			emit(packet)
		}
	}
	if p.err != nil || len(rest) == 0 {
		p.buf = nil
	} else {
		p.buf = append(p.buf[:0], rest...)
	}
	return p.err
}

// parsePacket parses a packet. It may keep references to body.
func parsePacket(head byte, body []byte) (*Packet, error) {
	p := &Packet{Type: head >> 4, Flags: head & 15}
	r := &reader{b: body}
	want := byte(0)
	switch p.Type {
	case Publish:
		if want = p.Flags; p.QoS() == 3 || p.QoS() == 0 && p.Dup() {
			return nil, malformed("flags of PUBLISH")
		}
		p.Topic = r.text()
		if p.QoS() > 0 {
			p.ID = r.id()
		}
		r.props(&p.Props)
		p.Payload = r.b
		if p.Topic == "" || strings.ContainsAny(p.Topic, "+#") { // topic aliases are not allowed, since CONNECT announced none
			r.fail("topic")
		}
		r.b = nil
	case Connack:
		flags := r.byte()
		p.SessionPresent, p.Reasons = flags&1 != 0, []byte{r.byte()}
		if flags > 1 {
			r.fail("flags of CONNACK")
		}
		r.props(&p.Props)
	case Puback:
		if p.ID = r.id(); len(r.b) == 0 {
			p.Reasons = []byte{Success}
			break
		}
		if p.Reasons = []byte{r.byte()}; len(r.b) > 0 {
			r.props(&p.Props)
		}
	case Suback:
		p.ID = r.id()
		r.props(&p.Props)
		p.Reasons, r.b = r.b, nil
	case Disconnect:
		if p.Reasons = []byte{Success}; len(r.b) > 0 {
			p.Reasons[0] = r.byte()
		}
		if len(r.b) > 0 {
			r.props(&p.Props)
		}
	case Pingreq, Pingresp:
	case Connect, Subscribe:
		if p.Type == Subscribe {
			want = 2
		}
		p.Body, r.b = r.b, nil
	default:
		return nil, fmt.Errorf("%w: packet of type %d", ErrMalformed, p.Type)
	}
	if p.Flags != want {
		r.fail("flags")
	}
	if len(r.b) > 0 {
		r.fail("trailing bytes after the packet")
	}
	return p, r.err
}

// reader reads the fields of a packet's body. After an error it returns zero values; err is the first error.
type reader struct {
	b   []byte
	err error
}

func (r *reader) fail(what string) {
	if r.err == nil {
		r.err = malformed(what)
	}
	r.b = nil
}

func (r *reader) next(n int) []byte {
	if len(r.b) < n {
		r.fail("too short")
		return make([]byte, n&0xffff)
	}
	b := r.b[:n:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) byte() byte { return r.next(1)[0] }

func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.next(2)) }

func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }

func (r *reader) data() []byte {
	return r.next(int(r.u16()))
}

func (r *reader) id() uint16 {
	n := r.u16()
	if n == 0 {
		r.fail("packet id 0")
	}
	return n
}

func (r *reader) text() string {
	b := r.data()
	if r.err == nil && (!utf8.Valid(b) || strings.IndexByte(string(b), 0) >= 0) {
		r.fail("text")
		return ""
	}
	if r.err != nil {
		return ""
	}
	return string(b)
}

func (r *reader) varint() int {
	n, size := binary.Uvarint(r.b[:min(len(r.b), 4)])
	if size <= 0 {
		r.fail("varint")
		return 0
	}
	r.b = r.b[size:]
	return int(n)
}

// props reads a block of properties into p.
func (r *reader) props(p *Props) {
	block := &reader{b: r.next(r.varint())}
	if r.err != nil {
		return
	}
	var seen [0x2b]bool
	for len(block.b) > 0 && block.err == nil {
		id := block.byte()
		if int(id) >= len(seen) || seen[id] {
			block.fail("property")
			break
		}
		seen[id] = id != propUser && id != propSubscriptionID // all other properties may occur once
		switch id {
		case propMessageExpiry:
			p.Expiry, p.HasExpiry = block.u32(), true
		case propResponseTopic:
			p.ResponseTopic = block.text()
			if strings.ContainsAny(p.ResponseTopic, "+#") {
				block.fail("response topic")
			}
		case propCorrelation:
			p.Correlation = block.data()
		case propSessionExpiry:
			p.SessionExpiry = block.u32()
		case propServerKeepAlive:
			p.KeepAlive, p.HasKeepAlive = block.u16(), true
		case propReasonString:
			p.Reason = block.text()
		case propReceiveMax:
			if p.ReceiveMax = block.u16(); p.ReceiveMax == 0 {
				block.fail("receive maximum 0")
			}
		case propUser:
			p.User = append(p.User, Pair{block.text(), block.text()})
		case propMaxPacket:
			if p.MaxPacket = block.u32(); p.MaxPacket == 0 {
				block.fail("maximum packet size 0")
			}
		// From here on, properties that are checked for their form and ignored.
		case 0x01, 0x17, 0x19, 0x24, 0x25, 0x28, 0x29, 0x2a:
			block.byte()
		case 0x22, 0x23:
			block.u16()
		case 0x18:
			block.u32()
		case propSubscriptionID:
			block.varint()
		case 0x03, 0x12, 0x15, 0x1a, 0x1c:
			block.text()
		case 0x16:
			block.data()
		default:
			block.fail("property")
		}
	}
	if block.err != nil {
		r.err, r.b = block.err, nil
	}
}
