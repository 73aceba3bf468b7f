package workerlink

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"quillrail/internal/core"
)

// messageKind distinguishes calls and load orders, which can be withdrawn while they are unwritten, from other commands.
type messageKind int

const (
	callMessage messageKind = iota
	loadMessage
	commandMessage // CANCEL, UNLOAD, PING or STATS
)

// message is a message to be written: a call, or the bytes of anything else.
type message struct {
	kind     messageKind
	id       string // on the wire, of a call or a load order
	ref      core.Ref
	call     core.Attempt  // set for a callMessage
	bytes    []byte        // set for any other kind
	queuedAt time.Duration // set for calls and load orders
}

// outbox holds the messages that a connection has yet to write, in order. Calls and load orders can be withdrawn from it until they
// are written. A call is encoded only as it is written, because its budget is the time that remains at that moment.
type outbox struct {
	messages []message
	buffer   []byte // reused by each write
}

func (o *outbox) empty() bool { return len(o.messages) == 0 }

func (o *outbox) queueCall(a core.Attempt, now time.Duration) {
	o.messages = append(o.messages, message{kind: callMessage, id: a.Call.ID, ref: a.Ref, call: a, queuedAt: now})
}

func (o *outbox) queueLoad(id string, ref core.Ref, function string, copies int, now time.Duration) {
	line := fmt.Appendf(nil, "LOAD %s path=%s,pods=%d\r\n", id, function, copies)
	o.messages = append(o.messages, message{kind: loadMessage, id: id, ref: ref, bytes: line, queuedAt: now})
}

// queueCommand queues a line that consists of a command and its only argument.
func (o *outbox) queueCommand(command, argument string) {
	o.messages = append(o.messages, message{kind: commandMessage, bytes: []byte(command + " " + argument + "\r\n")})
}

// withdrawCall removes a call that has not been written, and reports whether it was found.
func (o *outbox) withdrawCall(ref core.Ref) bool {
	i := slices.IndexFunc(o.messages, func(m message) bool { return m.kind == callMessage && m.ref == ref })
	if i >= 0 {
		o.messages = slices.Delete(o.messages, i, i+1)
	}
	return i >= 0
}

// removeMatching removes and returns all messages for which match is true.
func (o *outbox) removeMatching(match func(message) bool) (removed []message) {
	o.messages = slices.DeleteFunc(o.messages, func(m message) bool {
		if !match(m) {
			return false
		}
		removed = append(removed, m)
		return true
	})
	return removed
}

// render empties the outbox and returns the encoded messages, which are valid until the next render, and how many calls they hold.
func (o *outbox) render(loop *core.Loop) (bytes []byte, calls int) {
	if cap(o.buffer) > maxIdleBuffer {
		o.buffer = nil
	}
	o.buffer = o.buffer[:0]
	for _, m := range o.messages {
		if m.kind == callMessage {
			o.buffer = appendCall(o.buffer, m.call.Call, m.call.Budget(loop))
			calls++
		} else {
			o.buffer = append(o.buffer, m.bytes...)
		}
	}
	clear(o.messages)
	o.messages = o.messages[:0]
	return o.buffer, calls
}

// appendCall encodes a call. A budget below 1 ms is sent as 1 ms.
func appendCall(b []byte, call *core.Call, budget time.Duration) []byte {
	b = append(append(append(b, "CALL "...), call.ID...), " queue="...)
	b = append(append(b, call.ClassName...), ",path="...)
	b = append(append(b, call.Function...), ",budget="...)
	b = strconv.AppendInt(b, max(1, budget.Milliseconds()), 10)
	if call.Key != "" {
		b = append(append(b, ",uniq="...), call.Key...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(call.Body)), 10)
	return append(append(append(b, "\r\n"...), call.Body...), "\r\n"...)
}
