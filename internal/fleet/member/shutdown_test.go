package member

import (
	"net"
	"runtime"
	"testing"

	"github.com/hashicorp/memberlist"
)

// Transports that end while datagrams still come, and nobody takes them, end: the library's reader of a socket waits until what
// it has read is taken. Each is ended with a datagram in hand and another one being read.
func TestTransportEndsWhileMessagesCome(t *testing.T) {
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
		for range 100 { // lets the reader come to the next one
			runtime.Gosched()
		}
		if err := w.Shutdown(); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
}
