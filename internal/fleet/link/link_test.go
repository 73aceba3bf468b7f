package link

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// end is one gateway's end on loopback.
type end struct {
	*Net
	addr string
	got  chan string
	errs chan error
}

func newEnd(t *testing.T, name, fleet string, handle Handler) *end {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &end{addr: ln.Addr().String(), got: make(chan string, 1000), errs: make(chan error, 100)}
	if handle == nil {
		handle = func(from Hello, m Message, taken func()) {
			e.got <- fmt.Sprintf("%s.%d %s %s", from.Name, from.Life, m.Part, m.Body)
			taken()
		}
	}
	e.Net = New(Hello{Fleet: fleet, Name: name, Life: 7, Major: 2}, func(addr string, limit time.Duration) (net.Conn, error) {
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

func (e *end) next(t *testing.T) string {
	t.Helper()
	select {
	case s := <-e.got:
		return s
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came")
		return ""
	}
}

// Messages of several parts come in order over one connection, a large one too; a connection that ends is opened again by
// the next message.
func TestMessagesComeInOrder(t *testing.T) {
	a, b := newEnd(t, "a", "f", nil), newEnd(t, "b", "f", nil)
	for i := range 100 {
		a.Send(b.addr, Message{fmt.Sprint("p", i%3), fmt.Append(nil, i)})
	}
	for i := range 100 {
		if got, want := b.next(t), fmt.Sprintf("a.7 p%d %d", i%3, i); got != want {
			t.Fatalf("%q, want %q", got, want)
		}
	}
	big := bytes.Repeat([]byte("x"), 2<<20)
	a.Send(b.addr, Message{"big", big})
	if got := b.next(t); !strings.HasSuffix(got, string(big)) {
		t.Error("a large message is not whole")
	}
	b.mu.Lock()
	for c := range b.in {
		c.Close()
	}
	b.mu.Unlock()
	<-b.errs
	for { // what was on its way may be lost, and who sends says it again
		a.Send(b.addr, Message{"p", []byte("again")})
		select {
		case got := <-b.got:
			if got != "a.7 p again" {
				t.Errorf("%q", got)
			}
			if s := a.Stats(); s.Sent < 101 || s.Peers != 1 {
				t.Errorf("%+v", s)
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A receiver that does not take what comes is felt by the sender: what waits is bounded, the rest dropped and counted.
func TestSlowReceiverIsBounded(t *testing.T) {
	hold := make(chan struct{})
	seen := make(chan bool, 10_000)
	b := newEnd(t, "b", "f", func(_ Hello, _ Message, taken func()) {
		seen <- true
		go func() { <-hold; taken() }()
	})
	a := newEnd(t, "a", "f", nil)
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
		t.Error("more is read than there is credit for")
	case <-time.After(50 * time.Millisecond): // nothing may come
	}
	close(hold)
}

// Who is of another fleet or another version, or talks nonsense, is cut off and named; nothing of it is heard.
func TestStrangersAreNotHeard(t *testing.T) {
	b := newEnd(t, "b", "f", nil)
	a := newEnd(t, "a", "other", nil)
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
			t.Errorf("%q is taken", text)
		}
		c.Close()
	}
	if len(b.got) > 0 {
		t.Errorf("heard %q", <-b.got)
	}
}
