package lab

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// What is done to one direction of a connection leaves the other alone; what was held comes when the fault is over, whole.
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
	near, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	read := func(c net.Conn, want string, limit time.Duration) bool {
		c.SetReadDeadline(time.Now().Add(limit))
		b := make([]byte, len(want))
		_, err := io.ReadFull(c, b)
		return err == nil && string(b) == want
	}
	r.set(0, Fault{Hold: true})
	near.Write([]byte("one"))
	far.Write([]byte("back"))
	if !read(near, "back", 10*time.Second) {
		t.Error("the direction that is not held does not pass")
	}
	if read(far, "one", 50*time.Millisecond) {
		t.Error("the one that is held passes")
	}
	r.set(0, Fault{})
	near.Write([]byte("two"))
	if !read(far, "onetwo", 10*time.Second) {
		t.Error("what was held is not whole")
	}
}

// Datagrams: a cut loses all, a drop its part, and of those that come in another order none is lost or doubled but the last.
func TestDatagrams(t *testing.T) {
	play := func(f Impairment) (got []byte) {
		d := &datagrams{rng: rand.New(rand.NewPCG(1, 1)), fate: f}
		for i := range 100 {
			for _, b := range d.take([]byte{byte(i)}) {
				got = append(got, b...)
			}
		}
		return got
	}
	if got := play(Impairment{Cut: true}); len(got) > 0 {
		t.Errorf("%d datagrams pass a cut", len(got))
	}
	if n := len(play(Impairment{Drop: 0.3})); n < 50 || n > 90 {
		t.Errorf("%d of 100 pass where 3 in 10 are lost", n)
	}
	got, seen, swapped := play(Impairment{Reorder: 0.3}), map[byte]int{}, 0
	for i, b := range got {
		seen[b]++
		if i > 0 && b < got[i-1] {
			swapped++
		}
	}
	if len(got) < 99 || len(seen) != len(got) || swapped < 10 {
		t.Errorf("%d datagrams, %d different ones, %d in another order", len(got), len(seen), swapped)
	}
}
