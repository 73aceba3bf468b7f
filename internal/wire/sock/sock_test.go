package sock

import (
	"io"
	"net"
	"sync"
	"testing"

	"go.uber.org/zap"
)

// An engine that is stopped before its acceptor has begun: nbio forgets that it was stopped, and would ask a closed
// listener again and again, with Stop waiting for the end of it. The acceptor has to end by itself.
func TestStopBeforeTheAcceptorBegins(t *testing.T) {
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
		t.Error("the acceptor goes on with a closed listener")
	}
}

// answerer answers and closes on a goroutine other than the poller's, as the turn does.
type answerer struct {
	c    Conn
	turn chan func()
}

func (a *answerer) Data(b []byte) error {
	b = append([]byte(nil), b...) // the poller reads the next into it
	a.turn <- func() { a.c.Write(b); a.c.Close() }
	return nil
}

func (a *answerer) Closed(error) {}

// Clients hang up as the server does, and others connect meanwhile: a descriptor that is closed has its number given to
// a new connection while the poller may still have an event of the old one in hand. No client may miss its answer.
func TestClosedDescriptorsAreNotMistaken(t *testing.T) {
	turn := make(chan func(), 64)
	go func() {
		for f := range turn {
			f()
		}
	}()
	n, err := Listen("127.0.0.1:0", Limits{Descriptors: 256, Accepted: 256}, func(c Conn) Handler { return &answerer{c, turn} }, zap.NewNop())
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
