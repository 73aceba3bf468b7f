package sock

import (
	"io"
	"net"
	"sync"
	"testing"

	"go.uber.org/zap"
)

// If an engine is stopped before its acceptor goroutine has begun, nbio loses the stop and would call Accept of the closed listener
// endlessly, while Stop waits for the acceptor to end. Accept therefore must not return once the listener is closed: it ends the goroutine
// with runtime.Goexit.
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
		t.Error("Accept of a closed listener returned, want it to end the acceptor's goroutine")
	}
}

// echoAndClose is a Handler that writes back what it has received and closes the connection. The goroutine that runs tasks does both: it
// is not the poller's, as the event loop's is not.
type echoAndClose struct {
	conn  Conn
	tasks chan func()
}

func (e *echoAndClose) Data(b []byte) error {
	b = append([]byte(nil), b...) // the poller reuses its buffer
	e.tasks <- func() { e.conn.Write(b); e.conn.Close() }
	return nil
}

func (e *echoAndClose) Closed(error) {}

// Clients and server close connections at the same time while other clients connect: the number of a closed descriptor is reused for a new
// connection while the poller may still have an event of the old one to process. Every client must receive its answer.
func TestReusedDescriptorDoesNotLoseAnswers(t *testing.T) {
	tasks := make(chan func(), 64)
	go func() {
		for task := range tasks {
			task()
		}
	}()
	server, err := Listen("127.0.0.1:0", Limits{Descriptors: 256, Accepted: 256},
		func(conn Conn) Handler { return &echoAndClose{conn, tasks} }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	var clients sync.WaitGroup
	for range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := range 400 {
				client, err := net.Dial("tcp", server.Addr())
				if err != nil {
					t.Error(err)
					return
				}
				client.Write([]byte{byte(i)})
				got := make([]byte, 1)
				if _, err := io.ReadFull(client, got); err != nil || got[0] != byte(i) {
					t.Errorf("call %d: got the answer %v and error %v, want the answer [%d]", i, got, err, byte(i))
					client.Close()
					return
				}
				client.Close()
			}
		}()
	}
	clients.Wait()
}
