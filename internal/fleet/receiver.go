package fleet

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet/link"
	"quillrail/internal/fleet/member"
)

const (
	maxParts = 16 // of which a message may speak
	maxPart  = 32 // bytes of a part's name
)

// answer is what is told to one who asks, by part.
type answer map[string][]byte

// Check reports what no word can hold.
func (w answer) Check() error {
	if len(w) > maxParts {
		return fmt.Errorf("fleet: a word of %d parts", len(w))
	}
	return nil
}

// broadcast is a part's news to all.
type broadcast struct {
	From string
	Life uint64
	Part string
	Body []byte
}

// Check reports what no news can hold.
func (x *broadcast) Check() error {
	if x.From == "" || x.Life == 0 || len(x.Part) > maxPart {
		return fmt.Errorf("fleet: news of %q, life %d", x.From, x.Life)
	}
	return nil
}

// publish puts down what others are told when they ask.
func (n *Node) publish() {
	w := answer{}
	for _, p := range n.parts {
		if b := p.LocalState(); b != nil {
			w[p.Name()] = b
		}
	}
	b, err := msgpack.Marshal(w)
	if err != nil {
		n.log.Error("what is known can't be told", zap.Error(err))
		return
	}
	n.localState.Store(&b)
}

// broadcast tells all the others by gossip.
func (n *Node) broadcast(part string, body []byte) bool {
	b, err := msgpack.Marshal(&broadcast{From: n.name, Life: n.life.N, Part: part, Body: body})
	if err != nil || n.net == nil || !n.net.Broadcast(b) {
		n.unsent++
		return false
	}
	return true
}

// deliver gives a message to the part that it is for; one of a part that is not here is of a newer version.
func (n *Node) deliver(part string, m Received) {
	for _, p := range n.parts {
		if p.Name() == part {
			p.Receive(m)
		}
	}
}

// heard takes what another gateway knows.
func (n *Node) receiveState(b []byte) {
	var w answer
	if err := decode(b, &w); err != nil {
		n.log.Warn("another gateway's word is not understood", zap.Error(err))
		return
	}
	for _, p := range n.parts {
		if body, ok := w[p.Name()]; ok {
			p.Receive(Received{How: Answer, Body: body})
		}
	}
}

// receiveBroadcast takes a piece of news.
func (n *Node) receiveBroadcast(b []byte) {
	var x broadcast
	if err := decode(b, &x); err != nil {
		n.log.Warn("news are not understood", zap.Error(err))
		return
	}
	n.deliverFrom(x.Part, Received{How: Broadcast, From: x.From, Life: x.Life, Body: x.Body})
}

// deliverFrom delivers what comes of another gateway, unless it speaks of a life that was followed by another.
func (n *Node) deliverFrom(part string, m Received) {
	if m.From != n.name && m.Life >= n.view.Heard(m.From) {
		n.deliver(part, m)
	}
}

// event takes what has become of another gateway.
func (n *Node) event(e member.Event) {
	what := n.view.Observe(e)
	f := []zap.Field{zap.String("gateway", e.Card.Name), zap.Uint64("incarnation", e.Card.Life.N), zap.Stringer("state", e.State),
		zap.Int("gateways", n.view.Alive())}
	switch what {
	case member.Came, member.Changed:
		n.log.Info("another gateway", f...)
	case member.Namesake:
		n.log.Error("another process has this gateway's name, and is the earlier one", f...)
	case member.Superseded:
		n.log.Error("a later process has this gateway's name: this one leaves the fleet", f...)
		if t := n.net; t != nil {
			n.net = nil
			go t.Close(false)
		}
	}
	for _, p := range n.parts {
		p.MemberChanged(e, what)
	}
}

// Figures shows the node's own figures and those of the parts.
func (n *Node) Figures(show func(name string, value int)) {
	alive, untold := 1, n.unsent
	if n.view != nil {
		alive = n.view.Alive()
	}
	if n.net != nil {
		l := n.net.Links()
		untold += int(n.net.Lost() + l.Lost)
		show("links", l.Peers)
		bytes := n.net.Traffic()
		show("sent_bytes", int(bytes.Sent))
		show("received_bytes", int(bytes.Received))
	}
	show("gateways", alive)
	show("untold", untold)
	if n.db != nil {
		s := n.db.Stats()
		show("saved", int(s.Saved))
		show("save_errors", int(s.Lost))
		show("save_stalled_ms", int(s.Busy.Milliseconds()))
	}
	for _, p := range n.parts {
		p.Figures(show)
	}
}

// receiver is the side of a Node that the transport sees, on its own goroutines.
type receiver Node

func (e *receiver) post(f func(n *Node)) {
	n := (*Node)(e)
	n.loop.Post(func() {
		if !n.ended {
			f(n)
		}
	})
}

func (e *receiver) Event(x member.Event) { e.post(func(n *Node) { n.event(x) }) }
func (e *receiver) RemoteState(b []byte) { e.post(func(n *Node) { n.receiveState(b) }) }
func (e *receiver) Broadcast(b []byte)   { e.post(func(n *Node) { n.receiveBroadcast(b) }) }
func (e *receiver) Trouble(what string) {
	e.post(func(n *Node) { n.log.Warn("fleet", zap.String("what", what)) })
}
func (e *receiver) Message(from link.Hello, m link.Message, taken func()) {
	n := (*Node)(e)
	n.loop.Post(func() {
		if taken(); !n.ended {
			n.deliverFrom(m.Part, Received{How: Message, From: from.Name, Life: from.Life, Body: m.Body})
		}
	})
}
func (e *receiver) LocalState() []byte {
	if b := e.localState.Load(); b != nil {
		return *b
	}
	return nil
}
