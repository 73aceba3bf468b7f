package member

import (
	"bufio"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"quillrail/internal/fleet/link"
)

const (
	firstByteTimeout = 3 * time.Second // for the first byte of an incoming connection, which identifies its protocol
	maxPendingConns  = 64              // connections that memberlist has not accepted yet
)

// sharedTransport lets memberlist and the links share one address for datagrams and connections. Other gateways are reached at
// the address that they announce, or at another one if via maps it.
type sharedTransport struct {
	*memberlist.NetTransport
	via        map[string]string
	stream     chan net.Conn
	acceptLink func(net.Conn)
	stopped    chan struct{} // closed after the sockets

	closing chan struct{} // closed before the sockets; data is then taken from their readers, which would block otherwise, and dropped
	host    net.IP        // the bound address
	network Network       // nil for the machine's network
	packets chan *memberlist.Packet
	traffic traffic
}

// newSharedTransport serves the sockets of inner. acceptLink is called, on a goroutine of its own, with each incoming link.
func newSharedTransport(inner *memberlist.NetTransport, host net.IP, opts Options, acceptLink func(net.Conn)) *sharedTransport {
	w := &sharedTransport{NetTransport: inner, host: host, via: opts.Via, network: opts.Network, stream: make(chan net.Conn, maxPendingConns),
		acceptLink: acceptLink, stopped: make(chan struct{}), closing: make(chan struct{}), packets: make(chan *memberlist.Packet)}
	go w.sortConnections()
	go w.receivePackets()
	return w
}

// sortConnections passes incoming connections to memberlist or to the links, by their first byte.
func (w *sharedTransport) sortConnections() {
	for {
		select {
		case c := <-w.NetTransport.StreamCh():
			go func() {
				c := &countedConn{c, w}
				p := &peekedConn{Conn: c, r: bufio.NewReader(c)}
				c.SetReadDeadline(time.Now().Add(firstByteTimeout))
				b, err := p.r.Peek(1)
				c.SetReadDeadline(time.Time{})
				switch {
				case err != nil:
					c.Close()
				case b[0] == link.Magic:
					w.acceptLink(p)
				default:
					select {
					case w.stream <- p:
					case <-w.closing:
						c.Close()
					}
				}
			}()
		case <-w.stopped:
			return
		}
	}
}

// peekedConn is a connection whose first byte has been read into the buffer of r.
type peekedConn struct {
	net.Conn
	r *bufio.Reader
}

func (p *peekedConn) Read(b []byte) (int, error) { return p.r.Read(b) }

// resolve returns the address at which a gateway is reached that announces addr.
func (w *sharedTransport) resolve(addr string) string {
	if mapped, ok := w.via[addr]; ok {
		return mapped
	}
	return addr
}

// The methods that memberlist requires of a transport.

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
	defer close(w.stopped)
	return w.NetTransport.Shutdown()
}
