package lab

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// A fault in one direction of a connection doesn't affect the other direction, and bytes that a relay has held all arrive, in order,
// once the fault is over.
func TestRelayHoldsOneDirection(t *testing.T) {
	l := &Lab{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	r, err := newRelay(l, "127.0.0.1:0", func() string { return ln.Addr().String() })
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	read := func(c net.Conn, want string, limit time.Duration) bool {
		c.SetReadDeadline(time.Now().Add(limit))
		b := make([]byte, len(want))
		_, err := io.ReadFull(c, b)
		return err == nil && string(b) == want
	}
	r.set(0, Fault{Hold: true})
	client.Write([]byte("one"))
	server.Write([]byte("back"))
	if !read(client, "back", 10*time.Second) {
		t.Error("bytes from the target did not arrive while only the direction to the target was held")
	}
	if read(server, "one", 50*time.Millisecond) {
		t.Error("bytes to the target arrived while this direction was held")
	}
	r.set(0, Fault{})
	client.Write([]byte("two"))
	if !read(server, "onetwo", 10*time.Second) {
		t.Error("held bytes did not arrive complete and in order after the fault was over")
	}
}

// Guards against a test that waits for good: a cut has to wake what waits for the end of a hold.
func TestCutEndsAHold(t *testing.T) {
	ended := make(chan Fault)
	for attempt := range 1000 { // in most of them the wait begins before the cut
		r := &Relay{faults: [2]Fault{{Hold: true}, {}}}
		r.changed.L = &r.mu
		started := make(chan struct{})
		go func() {
			close(started)
			ended <- r.waitWhileHeld(0)
		}()
		<-started
		r.Cut()
		select {
		case fault := <-ended:
			if !fault.Drop {
				t.Fatalf("attempt %d: the direction is %+v after the cut", attempt, fault)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("attempt %d: still held after the cut", attempt)
		}
	}
}

// A cut loses all datagrams and Drop about its part of them. Reorder neither loses nor duplicates any, except that the last one may
// be held back.
func TestDatagramRelayImpairments(t *testing.T) {
	relayAll := func(f Impairment) (got []byte) {
		d := &datagramRelay{rng: rand.New(rand.NewPCG(1, 1)), impairment: f}
		for i := range 100 {
			for _, b := range d.process([]byte{byte(i)}) {
				got = append(got, b...)
			}
		}
		return got
	}
	if got := relayAll(Impairment{Cut: true}); len(got) > 0 {
		t.Errorf("%d datagrams passed a cut; want none", len(got))
	}
	if n := len(relayAll(Impairment{Drop: 0.3})); n < 50 || n > 90 {
		t.Errorf("%d of 100 datagrams passed with a drop rate of 0.3; want 50 to 90", n)
	}
	got, seen, swapped := relayAll(Impairment{Reorder: 0.3}), map[byte]int{}, 0
	for i, b := range got {
		seen[b]++
		if i > 0 && b < got[i-1] {
			swapped++
		}
	}
	if len(got) < 99 || len(seen) != len(got) || swapped < 10 {
		t.Errorf("%d datagrams arrived, %d different ones, %d out of order; want 99 or 100, all different, and 10 or more out of order",
			len(got), len(seen), swapped)
	}
}
