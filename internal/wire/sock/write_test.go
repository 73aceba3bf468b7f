package sock

import (
	"io"
	"net"
	"runtime"
	"testing"

	"go.uber.org/zap"
)

// pausableEcho is a Handler of accepted connections. If pauses is set, each Data call blocks the poller until something is sent to resume;
// else the bytes are sent back.
type pausableEcho struct {
	conn   Conn
	pauses bool
	paused chan struct{}
	resume chan struct{}
}

func (s *pausableEcho) Data(b []byte) error {
	if s.pauses {
		s.paused <- struct{}{}
		<-s.resume
		return nil
	}
	s.conn.Write(b)
	return nil
}

func (s *pausableEcho) Closed(error) {}

// hasWaiters reports whether a goroutine waits for the poller to process its current events.
func (q *pollerQueue) hasWaiters() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0
}

// A client or worker resets its connection while the poller processes other events, and two messages are written to the connection
// meanwhile. The second write fails, and nbio closes the descriptor on the writer's goroutine. The next new connection gets the same
// number. The poller, which has yet to process the event of the reset, must not apply it to the new connection, which would be closed
// without an answer.
func TestFailedWriteDoesNotCloseReusedDescriptor(t *testing.T) {
	const resets = 8
	paused, resume, accepted := make(chan struct{}), make(chan struct{}), make(chan *pausableEcho, resets+1)
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 256, Accepted: 256}, func(c Conn) Handler {
		s := &pausableEcho{conn: c, paused: paused, resume: resume}
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
	(<-accepted).pauses = true
	var old []Conn
	var peers []*net.TCPConn
	for range resets {
		peers = append(peers, dial())
		old = append(old, (<-accepted).conn)
	}
	holder.Write([]byte{0})
	<-paused
	holder.Write([]byte{0}) // the first of the next events, before the resets
	for _, p := range peers {
		p.SetLinger(0)
		p.Close()
	}
	resume <- struct{}{}
	<-paused
	for _, c := range old {
		c.Write([]byte{1})
		c.Write([]byte{1})
	}
	var clients []*net.TCPConn
	for range resets {
		clients = append(clients, dial())
	}
	for !n.queue.hasWaiters() && len(accepted) < resets { // until the new connections are accepted or held back
		runtime.Gosched()
	}
	holder.Write([]byte{0})
	resume <- struct{}{}
	<-paused // the poller has processed the resets
	resume <- struct{}{}
	for i, c := range clients {
		c.Write([]byte{byte(i)})
		got := make([]byte, 1)
		if _, err := io.ReadFull(c, got); err != nil || got[0] != byte(i) {
			t.Errorf("client %d was answered with %v, %v", i, got, err)
		}
	}
}
