package link

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// endpoint is one gateway's Manager with a listener on loopback. Received messages go to got, results of Accept to errs.
type endpoint struct {
	*Manager
	addr string
	got  chan string
	errs chan error
}

func newEndpoint(t *testing.T, name, fleet string, handle Handler) *endpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{addr: ln.Addr().String(), got: make(chan string, 1000), errs: make(chan error, 100)}
	if handle == nil {
		handle = func(from Hello, m Message, done func()) {
			e.got <- fmt.Sprintf("%s.%d %s %s", from.Name, from.Incarnation, m.Part, m.Body)
			done()
		}
	}
	e.Manager = New(Hello{Fleet: fleet, Name: name, Incarnation: 7, Major: 2}, func(addr string, limit time.Duration) (net.Conn, error) {
		return net.DialTimeout("tcp", addr, limit)
	}, handle)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { e.errs <- e.Accept(c) }()
		}
	}()
	t.Cleanup(func() { ln.Close(); e.Close() })
	return e
}

func (e *endpoint) next(t *testing.T) string {
	t.Helper()
	select {
	case s := <-e.got:
		return s
	case <-time.After(10 * time.Second):
		t.Fatal("no message arrived within 10 s")
		return ""
	}
}

// Messages of several parts arrive in order over one connection, including a large one. After the connection has ended, the
// next message opens a new one.
func TestMessagesArriveInOrderAndConnectionReopens(t *testing.T) {
	a, b := newEndpoint(t, "a", "f", nil), newEndpoint(t, "b", "f", nil)
	for i := range 100 {
		a.Send(b.addr, Message{fmt.Sprint("p", i%3), fmt.Append(nil, i)})
	}
	for i := range 100 {
		if got, want := b.next(t), fmt.Sprintf("a.7 p%d %d", i%3, i); got != want {
			t.Fatalf("received %q, want %q", got, want)
		}
	}
	big := bytes.Repeat([]byte("x"), 2<<20)
	a.Send(b.addr, Message{"big", big})
	if got := b.next(t); !strings.HasSuffix(got, string(big)) {
		t.Error("a large message is incomplete")
	}
	b.mu.Lock()
	for c := range b.incoming {
		c.Close()
	}
	b.mu.Unlock()
	<-b.errs
	for { // messages in flight may be lost, so the sender repeats them
		a.Send(b.addr, Message{"p", []byte("again")})
		select {
		case got := <-b.got:
			if got != "a.7 p again" {
				t.Errorf("received %q, want the repeated message", got)
			}
			if s := a.Stats(); s.Sent < 101 || s.Peers != 1 {
				t.Errorf("statistics after reconnecting: %+v", s)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A receiver that does not handle its messages bounds what is read: the sender's queue fills up to its limit, and further
// messages are dropped and counted.
func TestSlowReceiverBoundsSenderQueue(t *testing.T) {
	hold := make(chan struct{})
	seen := make(chan bool, 10_000)
	b := newEndpoint(t, "b", "f", func(_ Hello, _ Message, done func()) {
		seen <- true
		go func() { <-hold; done() }()
	})
	a := newEndpoint(t, "a", "f", nil)
	body := make([]byte, 64<<10)
	dropped := 0
	for range 3000 {
		if !a.Send(b.addr, Message{"p", body}) {
			dropped++
		}
	}
	if dropped < 1000 || a.Stats().Lost < 1000 {
		t.Errorf("%d of 3000 dropped, %+v", dropped, a.Stats())
	}
	for range credit {
		<-seen
	}
	select {
	case <-seen:
		t.Error("more messages are read than the credit allows")
	case <-time.After(50 * time.Millisecond): // no further message may arrive
	}
	close(hold)
}

// A connection from another fleet, or one that does not follow the protocol, is closed with an error, and none of its
// messages is handled.
func TestForeignAndInvalidConnectionsAreRejected(t *testing.T) {
	b := newEndpoint(t, "b", "f", nil)
	a := newEndpoint(t, "a", "other", nil)
	a.Send(b.addr, Message{"p", nil})
	if err := <-b.errs; err == nil || !strings.Contains(err.Error(), "other") {
		t.Errorf("another fleet: %v", err)
	}
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "Q\xff\xff\xff\xff", "Q\x00\x00\x00\x01\x00", "Q\x00\x00\x00\x01\xc1"} {
		c, err := net.Dial("tcp", b.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Write([]byte(text))
		if err := <-b.errs; err == nil {
			t.Errorf("%q is accepted", text)
		}
		c.Close()
	}
	if len(b.got) > 0 {
		t.Errorf("a rejected message was handled: %q", <-b.got)
	}
}
