package workerlink

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillrail/decide"
)

// A second call under the id of a cancelled one goes out on another connection. On the same connection a late answer to the cancelled
// call would be taken for the answer to the second.
func TestCancelledIDIsNotReusedOnItsConnection(t *testing.T) {
	r := newRig(t)
	first := r.send("wa", "x")
	r.pool.Cancel("wa", first)
	again := r.send("wa", "x")
	if len(r.peers["a:1"]) != 2 {
		t.Fatalf("got %d connections, want 2", len(r.peers["a:1"]))
	}
	r.peers["a:1"][0].Write([]byte("x ERR - 0\r\n\r\n"))
	r.Run()
	r.expectOutcomes(first)
	r.expectOutcomes(again)
	if got := r.peers["a:1"][0].Take(); !strings.HasSuffix(got, "CANCEL x\r\n") {
		t.Errorf("sent %q, want it to end with CANCEL x", got)
	}
}

// A duplicate of an answer ("copy"), or an answer that arrives before its call ("ahead"), must not end an attempt that is sent later under
// the same id.
func TestAnsweredIDIsNotReusedOnItsConnection(t *testing.T) {
	for name, early := range map[string]bool{"copy": false, "ahead": true} {
		r := newRig(t)
		other := r.send("wa", "y") // establishes the connection
		p := r.peers["a:1"][0]
		if early {
			p.Write([]byte("x BUSY - 0\r\n\r\n"))
			r.Run()
		} else {
			first := r.send("wa", "x")
			p.Write([]byte("x BUSY - 0\r\n\r\n"))
			r.Run()
			r.expectOutcomes(first, decide.Full)
		}
		again := r.send("wa", "x")
		p.Write([]byte("x BUSY - 0\r\n\r\n"))
		r.Run()
		r.expectOutcomes(again)
		r.expectOutcomes(other)
		if len(r.peers["a:1"]) != 2 {
			t.Fatalf("%s: got %d connections, want 2", name, len(r.peers["a:1"]))
		}
		r.peers["a:1"][1].Write([]byte("x OK - 0\r\n\r\n"))
		r.Run()
		r.expectOutcomes(again, decide.Good)
		for i := range 2 * maxRetiredIDs { // the number of remembered ids is bounded
			p.Write(fmt.Appendf(nil, "n%d OK - 0\r\n\r\n", i))
		}
		r.Run()
		for c := range r.pool.hosts["wa"].conns {
			if n := len(r.pool.hosts["wa"].conns[c].retired); n > maxRetiredIDs {
				t.Errorf("%d ids are remembered, want at most %d", n, maxRetiredIDs)
			}
		}
	}
}

// An answer that is still incomplete after stallTimeout ends every attempt on its connection, even if single bytes keep arriving. One
// that is completed in time does not.
func TestPartialAnswerTimesOut(t *testing.T) {
	r := newRig(t)
	a, b := r.send("wa", "1"), r.send("wa", "2")
	p := r.peers["a:1"][0]
	p.Write([]byte("1 OK - 900\r\nabc"))
	for range 4 {
		r.Advance(stallTimeout / 4)
		p.Write([]byte("x"))
	}
	r.Run()
	r.expectOutcomes(a, decide.Reset)
	r.expectOutcomes(b, decide.Reset)
	c := r.send("wa", "3")
	p = r.peers["a:1"][1]
	p.Write([]byte("3 OK - 1\r\n"))
	r.Advance(stallTimeout / 2)
	p.Write([]byte("x\r\n"))
	r.Run()
	r.expectOutcomes(c, decide.Good)
	r.Advance(time.Second)
	if p.Ended {
		t.Error("connection was closed although the answer was completed in time")
	}
}
