package sock

import (
	"io"
	"net"
	"runtime"
	"testing"

	"go.uber.org/zap"
)

// stopper is the server's end of a connection. Each byte of the one that stops the poller holds it until go is told; any other
// byte is answered.
type stopper struct {
	c     Conn
	stops bool
	began chan struct{}
	goOn  chan struct{}
}

func (s *stopper) Data(b []byte) error {
	if s.stops {
		s.began <- struct{}{}
		<-s.goOn
		return nil
	}
	s.c.Write(b)
	return nil
}

func (s *stopper) Closed(error) {}

// awaited reports whether somebody waits for the poller to have no old events in hand.
func (r *reaper) awaited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting) > 0
}

// A client or worker resets its connection while the poller has other events in hand, and two answers or calls are written to
// it meanwhile: the second write fails, and the library closes the descriptor on the writer's goroutine. A connection that is
// made then gets the same number. The poller, still with the event of the reset in hand, must not take it for the new
// connection's: that one would be closed without an answer.
func TestFailedWriteEndsNoOtherConnection(t *testing.T) {
	const resets = 8
	began, goOn, accepted := make(chan struct{}), make(chan struct{}), make(chan *stopper, resets+1)
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 256, Accepted: 256}, func(c Conn) Handler {
		s := &stopper{c: c, began: began, goOn: goOn}
		accepted <- s
		return s
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	dial := func() *net.TCPConn {
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c.(*net.TCPConn)
	}
	holder := dial()
	(<-accepted).stops = true
	var old []Conn
	var peers []*net.TCPConn
	for range resets {
		peers = append(peers, dial())
		old = append(old, (<-accepted).c)
	}
	holder.Write([]byte{0})
	<-began
	holder.Write([]byte{0}) // of the next events this comes first, and the resets come behind it
	for _, p := range peers {
		p.SetLinger(0)
		p.Close()
	}
	goOn <- struct{}{}
	<-began
	for _, c := range old {
		c.Write([]byte{1})
		c.Write([]byte{1})
	}
	var clients []*net.TCPConn
	for range resets {
		clients = append(clients, dial())
	}
	for !n.reaper.awaited() && len(accepted) < resets { // the new connections are the poller's, or kept from it
		runtime.Gosched()
	}
	holder.Write([]byte{0})
	goOn <- struct{}{}
	<-began // the poller is through with the resets
	goOn <- struct{}{}
	for i, c := range clients {
		c.Write([]byte{byte(i)})
		got := make([]byte, 1)
		if _, err := io.ReadFull(c, got); err != nil || got[0] != byte(i) {
			t.Errorf("client %d was answered with %v, %v", i, got, err)
		}
	}
}
