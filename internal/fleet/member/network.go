package member

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Network transports data between gateways. By default the machine's network is used; the lab has one with delays and
// partitions.
type Network interface {
	// Datagram delivers a datagram to an address by calling send, at once or later, or drops it by never calling send.
	Datagram(to string, send func())
	// Dial opens a connection to an address. It may call dial, which opens the connection on the machine's network.
	Dial(to string, dial func() (net.Conn, error)) (net.Conn, error)
	// Receives reports whether data from a host arrives.
	Receives(from string) bool
}

// Traffic counts the bytes of datagrams and connections between this gateway and the others, without IP headers.
type Traffic struct{ Sent, Received uint64 }

// traffic holds the counters that Traffic reports.
type traffic struct{ sent, received atomic.Uint64 }

// countedConn is a connection that counts its bytes, and whose reads fail while the network drops data from the peer.
type countedConn struct {
	net.Conn
	transport *sharedTransport
}

var errUnreachable = errors.New("member: network drops data from this peer")

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.transport.receives(c.RemoteAddr()) {
		return 0, errUnreachable
	}
	c.transport.traffic.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.traffic.sent.Add(uint64(n))
	return n, err
}

// receives reports whether the network lets data from a peer arrive. Gateways connect from the address that they bind, so that
// the remote address names the peer.
func (w *sharedTransport) receives(from net.Addr) bool {
	if w.network == nil {
		return true
	}
	host, _, err := net.SplitHostPort(from.String())
	return err != nil || w.network.Receives(host)
}

// receivePackets counts datagrams and passes them on to memberlist, until the transport is shut down.
func (w *sharedTransport) receivePackets() {
	for {
		select {
		case p := <-w.NetTransport.PacketCh():
			if !w.receives(p.From) {
				continue
			}
			w.traffic.received.Add(uint64(len(p.Buf)))
			select {
			case w.packets <- p:
			case <-w.closing:
			}
		case <-w.stopped:
			return
		}
	}
}

// writeTo sends a datagram through the network.
func (w *sharedTransport) writeTo(b []byte, addr string) (time.Time, error) {
	w.traffic.sent.Add(uint64(len(b)))
	if w.network == nil {
		return w.NetTransport.WriteTo(b, w.resolve(addr))
	}
	copied := append([]byte(nil), b...)
	w.network.Datagram(addr, func() { w.NetTransport.WriteTo(copied, w.resolve(addr)) })
	return time.Now(), nil
}

// dial opens a connection through the network.
func (w *sharedTransport) dial(addr string, limit time.Duration) (c net.Conn, err error) {
	dialer := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: w.host}}
	open := func() (net.Conn, error) { return dialer.Dial("tcp", w.resolve(addr)) }
	if w.network == nil {
		c, err = open()
	} else {
		c, err = w.network.Dial(addr, open)
	}
	if err != nil {
		return nil, err
	}
	return &countedConn{c, w}, nil
}

// Traffic returns the number of bytes sent to and received from other gateways so far.
func (t *Transport) Traffic() Traffic {
	return Traffic{Sent: t.sockets.traffic.sent.Load(), Received: t.sockets.traffic.received.Load()}
}

var _ memberlist.NodeAwareTransport = (*sharedTransport)(nil)
