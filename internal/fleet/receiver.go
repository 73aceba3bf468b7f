package fleet

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet/link"
	"quillrail/internal/fleet/member"
)

const (
	maxParts    = 16 // parts in the state of another gateway
	maxPartName = 32 // bytes of a part's name
)

// partStates is the state that gateways exchange: the encoded local state of each part, by the part's name.
type partStates map[string][]byte

// Check returns an error if there are too many parts.
func (s partStates) Check() error {
	if len(s) > maxParts {
		return fmt.Errorf("fleet: state of %d parts exceeds the limit", len(s))
	}
	return nil
}

// broadcast is a part's message to all gateways.
type broadcast struct {
	From        string
	Incarnation uint64 `msgpack:"Life"`
	Part        string
	Body        []byte
}

// Check returns an error if the sender is not named or the part's name is too long.
func (m *broadcast) Check() error {
	if m.From == "" || m.Incarnation == 0 || len(m.Part) > maxPartName {
		return fmt.Errorf("fleet: invalid broadcast of gateway %q, incarnation %d", m.From, m.Incarnation)
	}
	return nil
}

// publish encodes the local state of all parts, to be sent to other gateways.
func (n *Node) publish() {
	states := partStates{}
	for _, p := range n.parts {
		if b := p.LocalState(); b != nil {
			states[p.Name()] = b
		}
	}
	b, err := msgpack.Marshal(states)
	if err != nil {
		n.log.Error("local state can't be encoded", zap.Error(err))
		return
	}
	n.localState.Store(&b)
}

// broadcast queues a part's message to all other gateways, by gossip. It returns false if it could not be queued.
func (n *Node) broadcast(part string, body []byte) bool {
	b, err := msgpack.Marshal(&broadcast{From: n.name, Incarnation: n.incarnation.Number, Part: part, Body: body})
	if err != nil || n.transport == nil || !n.transport.Broadcast(b) {
		n.unsent++
		return false
	}
	return true
}

// deliver passes a message to its part. A message for an unknown part is ignored: it comes from a newer version.
func (n *Node) deliver(part string, m Received) {
	for _, p := range n.parts {
		if p.Name() == part {
			p.Receive(m)
		}
	}
}

// receiveState passes the state of another gateway to the parts.
func (n *Node) receiveState(b []byte) {
	var states partStates
	if err := decode(b, &states); err != nil {
		n.log.Warn("state of another gateway can't be decoded", zap.Error(err))
		return
	}
	for _, p := range n.parts {
		if body, ok := states[p.Name()]; ok {
			p.Receive(Received{Channel: Answer, Body: body})
		}
	}
}

// receiveBroadcast passes a broadcast to its part.
func (n *Node) receiveBroadcast(b []byte) {
	var message broadcast
	if err := decode(b, &message); err != nil {
		n.log.Warn("broadcast can't be decoded", zap.Error(err))
		return
	}
	n.deliverFrom(message.Part, Received{Channel: Broadcast, From: message.From, Incarnation: message.Incarnation, Body: message.Body})
}

// deliverFrom delivers a message of another gateway, unless a later incarnation of that gateway is known.
func (n *Node) deliverFrom(part string, m Received) {
	if m.From != n.name && m.Incarnation >= n.view.LatestIncarnation(m.From) {
		n.deliver(part, m)
	}
}

// event applies an event of another gateway to the view and notifies the parts.
func (n *Node) event(e member.Event) {
	transition := n.view.Observe(e)
	fields := []zap.Field{zap.String("gateway", e.Metadata.Name), zap.Uint64("incarnation", e.Metadata.Incarnation.Number),
		zap.Stringer("state", e.State), zap.Int("gateways", n.view.Alive())}
	switch transition {
	case member.NewIncarnation, member.Changed:
		n.log.Info("another gateway", fields...)
	case member.DuplicateName:
		n.log.Error("another process has this gateway's name, and is the earlier one", fields...)
	case member.Superseded:
		n.log.Error("a later process has this gateway's name: this one leaves the fleet", fields...)
		if t := n.transport; t != nil {
			n.transport = nil
			go t.Close(false)
		}
	}
	for _, p := range n.parts {
		p.MemberChanged(e, transition)
	}
}

// Metrics reports the node's metrics and those of its parts.
func (n *Node) Metrics(report func(name string, value int)) {
	alive, unsent := 1, n.unsent
	if n.view != nil {
		alive = n.view.Alive()
	}
	if n.transport != nil {
		links := n.transport.Links()
		unsent += int(n.transport.Dropped() + links.Lost)
		report("links", links.Peers)
		bytes := n.transport.Traffic()
		report("sent_bytes", int(bytes.Sent))
		report("received_bytes", int(bytes.Received))
	}
	report("gateways", alive)
	report("untold", unsent)
	if n.db != nil {
		stats := n.db.Stats()
		report("saved", int(stats.Saved))
		report("save_errors", int(stats.Lost))
		report("save_stalled_ms", int(stats.Busy.Milliseconds()))
	}
	for _, p := range n.parts {
		p.Metrics(report)
	}
}

// receiver implements member.Handler for a Node. Its methods are called on the transport's goroutines and post to the event loop.
type receiver Node

// post runs f on the event loop, unless the node has stopped by then.
func (e *receiver) post(f func(n *Node)) {
	n := (*Node)(e)
	n.loop.Post(func() {
		if !n.stopped {
			f(n)
		}
	})
}

func (e *receiver) Event(x member.Event) { e.post(func(n *Node) { n.event(x) }) }
func (e *receiver) RemoteState(b []byte) { e.post(func(n *Node) { n.receiveState(b) }) }
func (e *receiver) Broadcast(b []byte)   { e.post(func(n *Node) { n.receiveBroadcast(b) }) }
func (e *receiver) ReportProblem(what string) {
	e.post(func(n *Node) { n.log.Warn("fleet", zap.String("what", what)) })
}
func (e *receiver) Message(from link.Hello, m link.Message, done func()) {
	n := (*Node)(e)
	n.loop.Post(func() {
		if done(); !n.stopped {
			n.deliverFrom(m.Part, Received{Channel: Message, From: from.Name, Incarnation: from.Incarnation, Body: m.Body})
		}
	})
}
func (e *receiver) LocalState() []byte {
	if b := e.localState.Load(); b != nil {
		return *b
	}
	return nil
}
