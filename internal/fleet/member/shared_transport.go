package member

import (
	"bufio"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"quillrail/internal/fleet/link"
)

const (
	firstByte = 3 * time.Second // for a connection to say whose it is
	waiting   = 64              // connections of memberlist's that wait to be served
)

// sharedTransport has memberlist and the links share sockets: datagrams and connections at one address. Other gateways are
// reached by the address that they name, or by another one where via says so.
type sharedTransport struct {
	*memberlist.NetTransport
	via    map[string]string
	stream chan net.Conn
	links  func(net.Conn)
	stop   chan struct{} // closed once the sockets are

	closing chan struct{} // closed before: nothing is handed on any more, but all is read, since the sockets' readers wait for that
	host    net.IP        // that is bound
	network Network       // nil for the machine's own
	packets chan *memberlist.Packet
	traffic traffic
}

func newSharedTransport(inner *memberlist.NetTransport, host net.IP, o Options, links func(net.Conn)) *sharedTransport {
	w := &sharedTransport{NetTransport: inner, host: host, via: o.Via, network: o.Network, stream: make(chan net.Conn, waiting), links: links,
		stop: make(chan struct{}), closing: make(chan struct{}), packets: make(chan *memberlist.Packet)}
	go w.sort()
	go w.receivePackets()
	return w
}

// sort tells connections apart by their first byte.
func (w *sharedTransport) sort() {
	for {
		select {
		case c := <-w.NetTransport.StreamCh():
			go func() {
				c := &counted{c, w}
				p := &peeked{Conn: c, r: bufio.NewReader(c)}
				c.SetReadDeadline(time.Now().Add(firstByte))
				b, err := p.r.Peek(1)
				c.SetReadDeadline(time.Time{})
				switch {
				case err != nil:
					c.Close()
				case b[0] == link.Magic:
					w.links(p)
				default:
					select {
					case w.stream <- p:
					case <-w.closing:
						c.Close()
					}
				}
			}()
		case <-w.stop:
			return
		}
	}
}

// peeked is a connection of which the first bytes have been looked at.
type peeked struct {
	net.Conn
	r *bufio.Reader
}

func (p *peeked) Read(b []byte) (int, error) { return p.r.Read(b) }

// at is where a gateway is reached that names an address as its own.
func (w *sharedTransport) at(addr string) string {
	if a, ok := w.via[addr]; ok {
		return a
	}
	return addr
}

// What memberlist asks of a transport.

func (w *sharedTransport) StreamCh() <-chan net.Conn           { return w.stream }
func (w *sharedTransport) PacketCh() <-chan *memberlist.Packet { return w.packets }
func (w *sharedTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.writeTo(b, addr)
}
func (w *sharedTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return w.writeTo(b, a.Addr)
}
func (w *sharedTransport) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return w.dial(addr, limit)
}
func (w *sharedTransport) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return w.dial(a.Addr, limit)
}
func (w *sharedTransport) Shutdown() error {
	close(w.closing)
	defer close(w.stop)
	return w.NetTransport.Shutdown()
}
