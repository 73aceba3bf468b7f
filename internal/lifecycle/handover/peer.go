package handover

import (
	"net"
	"sync"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/roster"
	"quillrail/internal/wire/mqtt"
)

// Handler receives the events of a link. Its methods are called on goroutines of the link, one at a time for each peer.
type Handler interface {
	Ban(roster.Ban)                      // an operator has banned a worker at the other process
	Unban(id string)                     // an operator has lifted the ban of a worker there
	Calls([]core.RememberedCall)         // the predecessor remembers these calls
	Outcome(mqtt.UnpublishedOutcome)     // the predecessor leaves this outcome to be published here
	PeerReady(p *Peer, broker string)    // the successor is ready to serve, and can publish outcomes at this broker, empty for none
	PeerGone(p *Peer)                    // the other process has ended or has stopped responding
	Offer() (net.Listener, State, error) // the socket and state for a successor; the text of an error is sent to it as the reason of a refusal
	HandedOver(p *Peer)                  // a successor has been sent what Offer returned
}

// Peer is the link to the other process of the same gateway.
type Peer struct {
	conn      *net.UnixConn
	outbox    outbox
	finish    chan struct{} // closed when nothing more is sent
	flushed   chan struct{} // closed when all has been written since then
	closeOnce sync.Once
	closed    chan struct{}
}

func newPeer(conn *net.UnixConn) *Peer {
	return &Peer{conn: conn, outbox: newOutbox(), finish: make(chan struct{}), flushed: make(chan struct{}), closed: make(chan struct{})}
}

// Finish writes what waits and then closes the link. It blocks until then, for limit at most. Nothing may be sent after it.
func (p *Peer) Finish(limit time.Duration) {
	close(p.finish)
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.flushed:
	case <-p.closed:
	case <-timer.C:
	}
	p.Close()
}

// Close closes the link without writing what waits. It may be called more than once.
func (p *Peer) Close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.conn.Close()
	})
}

// send queues a message and never blocks. It closes the link if the outbox is full.
func (p *Peer) send(m message) {
	if !p.outbox.put(m) {
		p.Close()
	}
}

// Ready notifies the predecessor that this process is ready to serve, and can publish outcomes at the broker with this address; empty
// for none.
func (p *Peer) Ready(broker string) { p.send(message{Kind: "ready", Broker: broker}) }

// Outcome leaves an outcome to the successor, which publishes it.
func (p *Peer) Outcome(o mqtt.UnpublishedOutcome) { p.send(message{Kind: outcomeKind, Outcome: &o}) }

// Ban notifies the peer that an operator has banned a worker at this process.
func (p *Peer) Ban(b roster.Ban) { p.send(message{Kind: "ban", Ban: &b}) }

// Unban notifies the peer that an operator has lifted the ban of a worker at this process.
func (p *Peer) Unban(id string) { p.send(message{Kind: "call back", Ban: &roster.Ban{ID: id}}) }

// Calls passes remembered calls to the successor. It never blocks.
func (p *Peer) Calls(calls []core.RememberedCall) {
	if !p.outbox.putCalls(calls) {
		p.Close()
	}
}

// run sends waiting messages and passes received ones to the handler until the link is closed.
func (p *Peer) run(handler Handler) {
	go p.writeMessages()
	for {
		m, err := readMessage(p.conn)
		if err != nil {
			break
		}
		switch {
		case m.Kind == "ready":
			handler.PeerReady(p, m.Broker)
		case m.Kind == "ban" && m.Ban != nil && m.Ban.Check() == nil:
			handler.Ban(*m.Ban)
		case m.Kind == "call back" && m.Ban != nil && m.Ban.Check() == nil:
			handler.Unban(m.Ban.ID)
		case m.Kind == callsKind:
			handler.Calls(m.Calls)
		case m.Kind == outcomeKind && m.Outcome != nil && m.Outcome.ResponseTopic != "":
			handler.Outcome(*m.Outcome)
		default: // unknown kinds are ignored: a later version may send more of them
		}
	}
	p.Close()
	handler.PeerGone(p)
}

// Start begins to exchange messages with the predecessor.
func (p *Peer) Start(handler Handler) { go p.run(handler) }
