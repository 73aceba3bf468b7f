package workerlink

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"quillrail/internal/core"
)

// messageKind tells the messages apart that may be taken back while they are unwritten from those that may not.
type messageKind int

const (
	callMessage messageKind = iota
	loadMessage
	commandMessage // anything else
)

// message is what a connection has still to write, as a call or as its bytes.
type message struct {
	kind  messageKind
	id    string // as spoken on the wire, of a call or an order to load
	ref   core.Ref
	call  core.Attempt  // of a callMessage
	bytes []byte        // of any other
	at    time.Duration // when it was queued
}

// outbox is what a connection has still to write, in order. Calls and orders can be taken out of it until then. A call's bytes
// are made as they are written, since its budget is what is left of its time at that moment.
type outbox struct {
	messages []message
	buffer   []byte // of the last write, for the next
}

func (o *outbox) empty() bool { return len(o.messages) == 0 }

func (o *outbox) queueCall(a core.Attempt, now time.Duration) {
	o.messages = append(o.messages, message{kind: callMessage, id: a.Call.ID, ref: a.Ref, call: a, at: now})
}

func (o *outbox) queueLoad(tag string, ref core.Ref, function string, copies int, now time.Duration) {
	line := fmt.Appendf(nil, "LOAD %s path=%s,pods=%d\r\n", tag, function, copies)
	o.messages = append(o.messages, message{kind: loadMessage, id: tag, ref: ref, bytes: line, at: now})
}

// queueCommand queues a line that is a word and its one argument.
func (o *outbox) queueCommand(word, argument string) {
	o.messages = append(o.messages, message{kind: commandMessage, bytes: []byte(word + " " + argument + "\r\n")})
}

// takeBack removes a call that is not written yet, and reports whether there was one.
func (o *outbox) takeBack(call core.Ref) bool {
	i := slices.IndexFunc(o.messages, func(m message) bool { return m.kind == callMessage && m.ref == call })
	if i >= 0 {
		o.messages = slices.Delete(o.messages, i, i+1)
	}
	return i >= 0
}

// takeAll removes every message that suits, and returns them.
func (o *outbox) takeAll(suits func(message) bool) (taken []message) {
	o.messages = slices.DeleteFunc(o.messages, func(m message) bool {
		if !suits(m) {
			return false
		}
		taken = append(taken, m)
		return true
	})
	return taken
}

// render empties the outbox and returns its bytes, which stand until the next call, and how many calls they hold.
func (o *outbox) render(loop *core.Loop) (bytes []byte, calls int) {
	if cap(o.buffer) > keepBuffer {
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
