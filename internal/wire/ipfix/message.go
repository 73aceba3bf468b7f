// Package ipfix exports a record of each finished call over TCP, in the format of RFC 7011 (IPFIX).
package ipfix

import (
	"encoding/binary"
	"time"

	"quillrail/internal/core"
)

const (
	version      = 10
	headerSize   = 16
	templateID   = 256
	templateSet  = 2      // id of a set that holds templates
	variableSize = 0xffff // size in the template of a field of variable length
	maxTextLen   = 254    // longest text with a length of one octet
)

// field is an information element of the template. Those with enterprise set are the project's own.
type field struct {
	id, size   uint16
	enterprise bool
}

// The project's own information elements, under its enterprise number.
const (
	ElementAnswer   = 1 // unsigned8: 1 served, 2 refused, 3 failed, 4 the client has gone
	ElementAttempts = 2 // unsigned8
	ElementWorker   = 3 // string: the worker that served the call, else the one last tried
	ElementFunction = 4 // string
)

var fields = []field{
	{152, 8, false},            // flowStartMilliseconds
	{153, 8, false},            // flowEndMilliseconds
	{1, 8, false},              // octetDeltaCount: the call's body
	{96, variableSize, false},  // applicationName: the class
	{371, variableSize, false}, // userName: the tenant
	{ElementAnswer, 1, true},
	{ElementAttempts, 1, true},
	{ElementWorker, variableSize, true},
	{ElementFunction, variableSize, true},
}

var answers = map[string]byte{"served": 1, "refused": 2, "failed": 3, "gone": 4}

// appendTemplate appends the template set.
func appendTemplate(b []byte, enterprise uint32) []byte {
	be, start := binary.BigEndian, len(b)
	b = be.AppendUint16(b, templateSet)
	b = be.AppendUint16(b, 0)
	b = be.AppendUint16(b, templateID)
	b = be.AppendUint16(b, uint16(len(fields)))
	for _, f := range fields {
		if !f.enterprise {
			b = be.AppendUint16(be.AppendUint16(b, f.id), f.size)
			continue
		}
		b = be.AppendUint16(be.AppendUint16(b, f.id|0x8000), f.size)
		b = be.AppendUint32(b, enterprise)
	}
	be.PutUint16(b[start+2:], uint16(len(b)-start))
	return b
}

// appendRecord appends the record of a call.
func appendRecord(b []byte, r core.Record, tenant string) []byte {
	be := binary.BigEndian
	b = be.AppendUint64(b, uint64(r.Start/time.Millisecond))
	b = be.AppendUint64(b, uint64(r.End/time.Millisecond))
	b = be.AppendUint64(b, uint64(r.Bytes))
	b = appendText(appendText(b, r.Call.ClassName), tenant)
	b = append(b, answers[r.Answer], byte(min(r.Attempts, 255)))
	return appendText(appendText(b, r.Host), r.Call.Function)
}

func appendText(b []byte, s string) []byte {
	s = s[:min(len(s), maxTextLen)]
	return append(append(b, byte(len(s))), s...)
}

// appendHeader appends the header of a message, without its length. setLength sets it when the message is complete.
func appendHeader(b []byte, now time.Duration, sequence, domain uint32) []byte {
	be := binary.BigEndian
	b = be.AppendUint16(be.AppendUint16(b, version), 0)
	b = be.AppendUint32(b, uint32(now/time.Second))
	return be.AppendUint32(be.AppendUint32(b, sequence), domain)
}

func setLength(b []byte) []byte {
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	return b
}
