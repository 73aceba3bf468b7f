package workerlink

import (
	"slices"

	"quillrail/internal/core"
)

// messageKind tells the messages apart that may be taken back while they are unwritten.
type messageKind int

const (
	callMessage messageKind = iota
	loadMessage
)

// message is a call or an order to load in an outbox.
type message struct {
	kind       messageKind
	id         string // as spoken on the wire
	ref        core.Ref
	reply      core.Reply // of a call
	start, end int        // its place among the bytes
}

// outbox is what a connection has still to write. Calls and orders can be taken out of it until then.
type outbox struct {
	bytes    []byte
	messages []message // in the order of their bytes
}

func (o *outbox) empty() bool { return len(o.bytes) == 0 }

// queue notes a message whose bytes have just been appended.
func (o *outbox) queue(m message) {
	m.end = len(o.bytes)
	o.messages = append(o.messages, m)
}

// takeBack removes a call that is not written yet, and reports whether there was one.
func (o *outbox) takeBack(call core.Ref) bool {
	i := slices.IndexFunc(o.messages, func(m message) bool { return m.kind == callMessage && m.ref == call })
	if i >= 0 {
		o.remove(i)
	}
	return i >= 0
}

func (o *outbox) remove(i int) {
	m := o.messages[i]
	o.bytes = slices.Delete(o.bytes, m.start, m.end)
	o.messages = slices.Delete(o.messages, i, i+1)
	for j := range o.messages[i:] {
		o.messages[i+j].start -= m.end - m.start
		o.messages[i+j].end -= m.end - m.start
	}
}

// takeAll removes every message that suits, and returns them.
func (o *outbox) takeAll(suits func(message) bool) (taken []message) {
	for i := 0; i < len(o.messages); {
		if m := o.messages[i]; suits(m) {
			taken = append(taken, m)
			o.remove(i)
		} else {
			i++
		}
	}
	return taken
}

// calls is the number of calls that are not written yet.
func (o *outbox) calls() (n int) {
	for _, m := range o.messages {
		if m.kind == callMessage {
			n++
		}
	}
	return n
}

// written empties the outbox. A large buffer is not kept.
func (o *outbox) written() {
	if o.bytes = o.bytes[:0]; cap(o.bytes) > keepBuffer {
		o.bytes = nil
	}
	clear(o.messages)
	o.messages = o.messages[:0]
}
