package mqtt

import (
	"encoding/binary"
)

// Append appends a packet with its type, flags and body.
func Append(out []byte, kind, flags byte, body []byte) []byte {
	out = binary.AppendUvarint(append(out, kind<<4|flags), uint64(len(body)))
	return append(out, body...)
}

// AppendText appends a string or binary field. It is truncated at 65535 bytes, the longest that the format can hold.
func AppendText[T string | []byte](out []byte, s T) []byte {
	s = s[:min(len(s), 0xffff)]
	return append(binary.BigEndian.AppendUint16(out, uint16(len(s))), s...)
}

// AppendProps appends a block of properties.
func AppendProps(out []byte, p *Props) []byte {
	var b []byte
	u16 := func(id byte, n uint16) { b = binary.BigEndian.AppendUint16(append(b, id), n) }
	u32 := func(id byte, n uint32) { b = binary.BigEndian.AppendUint32(append(b, id), n) }
	if p.HasExpiry {
		u32(propMessageExpiry, p.Expiry)
	}
	if p.ResponseTopic != "" {
		b = AppendText(append(b, propResponseTopic), p.ResponseTopic)
	}
	if p.Correlation != nil {
		b = AppendText(append(b, propCorrelation), p.Correlation)
	}
	if p.SessionExpiry > 0 {
		u32(propSessionExpiry, p.SessionExpiry)
	}
	if p.HasKeepAlive {
		u16(propServerKeepAlive, p.KeepAlive)
	}
	if p.Reason != "" {
		b = AppendText(append(b, propReasonString), p.Reason)
	}
	if p.ReceiveMax > 0 {
		u16(propReceiveMax, p.ReceiveMax)
	}
	if p.MaxPacket > 0 {
		u32(propMaxPacket, p.MaxPacket)
	}
	for _, u := range p.User {
		b = AppendText(AppendText(append(b, propUser), u.Name), u.Value)
	}
	return append(binary.AppendUvarint(out, uint64(len(b))), b...)
}

// Message is the content of a PUBLISH.
type Message struct {
	Topic   string
	Payload []byte
	Props   Props
}

// AppendPublish appends a PUBLISH, with QoS 1 or, if id is 0, with QoS 0.
func AppendPublish(out []byte, m *Message, id uint16, flags byte) []byte {
	body := AppendText(nil, m.Topic)
	if id > 0 {
		body, flags = binary.BigEndian.AppendUint16(body, id), flags|2
	}
	return Append(out, Publish, flags, append(AppendProps(body, &m.Props), m.Payload...))
}

// AppendPuback appends a PUBACK.
func AppendPuback(out []byte, id uint16, reason byte) []byte {
	body := binary.BigEndian.AppendUint16(nil, id)
	if reason != Success {
		body = append(body, reason, 0)
	}
	return Append(out, Puback, 0, body)
}

// AppendConnect appends a CONNECT.
func AppendConnect(out []byte, clientID string, clean bool, keepAlive uint16, p *Props) []byte {
	body := append(AppendText(nil, "MQTT"), 5, 0)
	if clean {
		body[len(body)-1] = 2
	}
	body = AppendProps(binary.BigEndian.AppendUint16(body, keepAlive), p)
	return Append(out, Connect, 0, AppendText(body, clientID))
}

// AppendSubscribe appends a SUBSCRIBE that requests QoS 1 for each filter.
func AppendSubscribe(out []byte, id uint16, filters []string) []byte {
	body := AppendProps(binary.BigEndian.AppendUint16(nil, id), &Props{})
	for _, f := range filters {
		body = append(AppendText(body, f), 1)
	}
	return Append(out, Subscribe, 2, body)
}
