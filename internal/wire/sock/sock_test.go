package sock

import (
	"io"
	"net"
	"sync"
	"testing"

	"go.uber.org/zap"
)

// If an engine is stopped before its acceptor has begun, nbio loses the stop and would call Accept of a closed listener endlessly, while
// Stop waits for the acceptor to end. The acceptor has to end by itself.
func TestAcceptEndsAfterCloseBeforeFirstAccept(t *testing.T) {
	ln, err := Bind("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(ln, 1, func() {})
	l.Close()
	returned, ended := false, make(chan struct{})
	go func() {
		defer close(ended)
		l.Accept()
		returned = true
	}()
	if <-ended; returned {
		t.Error("Accept returned to the acceptor although the listener is closed")
	}
}

// echoAndClose answers and closes on a goroutine other than the poller's, as the event loop does.
type echoAndClose struct {
	conn  Conn
	tasks chan func()
}

func (a *echoAndClose) Data(b []byte) error {
	b = append([]byte(nil), b...) // the poller reuses its buffer
	a.tasks <- func() { a.conn.Write(b); a.conn.Close() }
	return nil
}

func (a *echoAndClose) Closed(error) {}

// Clients and server close connections at the same time while other clients connect: the number of a closed descriptor is reused for a new
// connection while the poller may still have an event of the old one to process. Every client must receive its answer.
func TestReusedDescriptorDoesNotLoseAnswers(t *testing.T) {
	tasks := make(chan func(), 64)
	go func() {
		for task := range tasks {
			task()
		}
	}()
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 256, Accepted: 256},
		func(c Conn) Handler { return &echoAndClose{c, tasks} }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer n.Stop()
	var clients sync.WaitGroup
	for range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := range 400 {
				c, err := net.Dial("tcp", n.Addr())
				if err != nil {
					t.Error(err)
					return
				}
				c.Write([]byte{byte(i)})
				got := make([]byte, 1)
				if _, err := io.ReadFull(c, got); err != nil || got[0] != byte(i) {
					t.Errorf("call %d: %v, %v", i, got, err)
					c.Close()
					return
				}
				c.Close()
			}
		}()
	}
	clients.Wait()
}
