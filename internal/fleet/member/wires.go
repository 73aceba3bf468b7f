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

// wires are the sockets that memberlist and the links share: datagrams and connections at one address. Other gateways are
// reached by the address that they name, or by another one where via says so.
type wires struct {
	*memberlist.NetTransport
	via    map[string]string
	stream chan net.Conn
	links  func(net.Conn)
	stop   chan struct{}

	host    net.IP  // that is bound
	network Network // nil for the machine's own
	packets chan *memberlist.Packet
	traffic traffic
}

func newWires(inner *memberlist.NetTransport, host net.IP, o Options, links func(net.Conn)) *wires {
	w := &wires{NetTransport: inner, host: host, via: o.Via, network: o.Network, stream: make(chan net.Conn, waiting), links: links,
		stop: make(chan struct{}), packets: make(chan *memberlist.Packet)}
	go w.sort()
	go w.receivePackets()
	return w
}

// sort tells connections apart by their first byte.
func (w *wires) sort() {
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
					case <-w.stop:
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
func (w *wires) at(addr string) string {
	if a, ok := w.via[addr]; ok {
		return a
	}
	return addr
}

// What memberlist asks of a transport.

func (w *wires) StreamCh() <-chan net.Conn           { return w.stream }
func (w *wires) PacketCh() <-chan *memberlist.Packet { return w.packets }
func (w *wires) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.writeTo(b, addr)
}
func (w *wires) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return w.writeTo(b, a.Addr)
}
func (w *wires) DialTimeout(addr string, limit time.Duration) (net.Conn, error) {
	return w.dial(addr, limit)
}
func (w *wires) DialAddressTimeout(a memberlist.Address, limit time.Duration) (net.Conn, error) {
	return w.dial(a.Addr, limit)
}
func (w *wires) Shutdown() error {
	close(w.stop)
	return w.NetTransport.Shutdown()
}
