package member

import (
	"net"
	"runtime"
	"testing"

	"github.com/hashicorp/memberlist"
)

// A transport shuts down while datagrams still arrive that nobody receives. The library's reader of the socket blocks until the
// datagram that it has read is received, so that a shutdown that stops receiving would never end. Each transport is shut down
// with one datagram read and another one being read.
func TestTransportShutdownWithDatagramsInFlight(t *testing.T) {
	const message = "message"
	for range 50 {
		inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{"127.0.0.1"}})
		if err != nil {
			t.Fatal(err)
		}
		w := newSharedTransport(inner, net.IPv4(127, 0, 0, 1), Options{}, func(c net.Conn) { c.Close() })
		c, err := net.DialUDP("udp", nil, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: inner.GetAutoBindPort()})
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			if _, err := c.Write([]byte(message)); err != nil {
				t.Fatal(err)
			}
		}
		for w.traffic.received.Load() < uint64(len(message)) {
			runtime.Gosched()
		}
		for range 100 { // lets the reader read the next datagram
			runtime.Gosched()
		}
		if err := w.Shutdown(); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
}
