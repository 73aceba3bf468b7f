package member

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Network is what lies between gateways. Without one it is the machine's own; the lab has one that delays and partitions.
type Network interface {
	// Datagram calls send at once, later, or never.
	Datagram(to string, send func())
	// Dial is asked for a connection to an address; dial opens it on the machine's own network.
	Dial(to string, dial func() (net.Conn, error)) (net.Conn, error)
	// Receives reports whether what comes from a host arrives.
	Receives(from string) bool
}

// Traffic counts the bytes of datagrams and connections between this gateway and the others, without headers of IP.
type Traffic struct{ Sent, Received uint64 }

type traffic struct{ sent, received atomic.Uint64 }

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	w *sharedTransport
}

var errUnreachable = errors.New("member: nothing arrives from there")

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.w.receives(c.RemoteAddr()) {
		return 0, errUnreachable
	}
	c.w.traffic.received.Add(uint64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.w.traffic.sent.Add(uint64(n))
	return n, err
}

// receives asks the network about a peer. Gateways connect from the address that they bind.
func (w *sharedTransport) receives(from net.Addr) bool {
	if w.network == nil {
		return true
	}
	host, _, err := net.SplitHostPort(from.String())
	return err != nil || w.network.Receives(host)
}

// receivePackets hands datagrams on and counts them, until the transport ends.
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
		case <-w.stop:
			return
		}
	}
}

// writeTo sends a datagram by the network.
func (w *sharedTransport) writeTo(b []byte, addr string) (time.Time, error) {
	w.traffic.sent.Add(uint64(len(b)))
	if w.network == nil {
		return w.NetTransport.WriteTo(b, w.at(addr))
	}
	copied := append([]byte(nil), b...)
	w.network.Datagram(addr, func() { w.NetTransport.WriteTo(copied, w.at(addr)) })
	return time.Now(), nil
}

// dial opens a connection by the network.
func (w *sharedTransport) dial(addr string, limit time.Duration) (c net.Conn, err error) {
	dialer := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: w.host}}
	open := func() (net.Conn, error) { return dialer.Dial("tcp", w.at(addr)) }
	if w.network == nil {
		c, err = open()
	} else {
		c, err = w.network.Dial(addr, open)
	}
	if err != nil {
		return nil, err
	}
	return &counted{c, w}, nil
}

// Traffic is what has gone between this gateway and the others so far.
func (t *Transport) Traffic() Traffic {
	return Traffic{Sent: t.sockets.traffic.sent.Load(), Received: t.sockets.traffic.received.Load()}
}

var _ memberlist.NodeAwareTransport = (*sharedTransport)(nil)
