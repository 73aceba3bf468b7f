package handover

import (
	"net"
	"sync"
	"time"

	"quillrail/internal/roster"
)

// Events is what comes over the link. Its methods are called on goroutines of the link, one at a time for each peer.
type Events interface {
	Ban(roster.Ban)                      // an operator has left a worker out at the other process
	CallBack(id string)                  // or has called it back
	PeerReady(p *Peer)                   // the successor can serve
	PeerGone(p *Peer)                    // the other process has ended, or has been given up
	Offer() (net.Listener, State, error) // what a successor gets; an error is the reason for nothing
	Taken(p *Peer)                       // a successor has it
}

// Peer is the other process of the gateway.
type Peer struct {
	conn *net.UnixConn
	out  chan []byte
	once sync.Once
	end  chan struct{}
}

func newPeer(conn *net.UnixConn) *Peer {
	return &Peer{conn: conn, out: make(chan []byte, outgoing), end: make(chan struct{})}
}

// Close ends the link.
func (p *Peer) Close() {
	p.once.Do(func() {
		close(p.end)
		p.conn.Close()
	})
}

// send queues a message and never waits. A peer that takes nothing is given up.
func (p *Peer) send(m message) {
	b, err := frame(m)
	if err != nil {
		p.Close()
		return
	}
	select {
	case p.out <- b:
	default:
		p.Close()
	}
}

// Ready tells the predecessor that this process can serve.
func (p *Peer) Ready() { p.send(message{Kind: "ready"}) }

// Ban tells of a worker left out by hand here.
func (p *Peer) Ban(b roster.Ban) { p.send(message{Kind: "ban", Ban: &b}) }

// CallBack tells of a worker called back here.
func (p *Peer) CallBack(id string) { p.send(message{Kind: "call back", Ban: &roster.Ban{ID: id}}) }

// run carries messages until the link ends.
func (p *Peer) run(ev Events) {
	go func() {
		for {
			select {
			case b := <-p.out:
				p.conn.SetWriteDeadline(time.Now().Add(writeLimit))
				if _, err := p.conn.Write(b); err != nil {
					p.Close()
					return
				}
			case <-p.end:
				return
			}
		}
	}()
	for {
		m, err := read(p.conn)
		if err != nil {
			break
		}
		switch {
		case m.Kind == "ready":
			ev.PeerReady(p)
		case m.Kind == "ban" && m.Ban != nil && m.Ban.Check() == nil:
			ev.Ban(*m.Ban)
		case m.Kind == "call back" && m.Ban != nil && m.Ban.Check() == nil:
			ev.CallBack(m.Ban.ID)
		default: // a later version may say more
		}
	}
	p.Close()
	ev.PeerGone(p)
}

// Start begins to carry messages with the predecessor.
func (p *Peer) Start(ev Events) { go p.run(ev) }
