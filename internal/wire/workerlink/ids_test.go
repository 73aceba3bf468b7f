package workerlink

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillrail/decide"
)

// An id that was given up on a connection is not used there again: a late answer would pass for the new one's.
func TestLateAnswerToACancelledCall(t *testing.T) {
	r := newRig(t)
	first := r.send("wa", "x")
	r.pool.Cancel("wa", first)
	again := r.send("wa", "x")
	if len(r.peers["a:1"]) != 2 {
		t.Fatalf("%d connections", len(r.peers["a:1"]))
	}
	r.peers["a:1"][0].Write([]byte("x ERR - 0\r\n\r\n"))
	r.Run()
	r.want(first)
	r.want(again)
	if got := r.peers["a:1"][0].Take(); !strings.HasSuffix(got, "CANCEL x\r\n") {
		t.Errorf("sent %q", got)
	}
}

// A copy of an answer, and one that comes before its call, must not end an attempt that goes out under its id later.
func TestAnswersUnderAnIdThatIsUsedAgain(t *testing.T) {
	for name, early := range map[string]bool{"copy": false, "ahead": true} {
		r := newRig(t)
		other := r.send("wa", "y") // brings the connection up
		p := r.peers["a:1"][0]
		if early {
			p.Write([]byte("x BUSY - 0\r\n\r\n"))
			r.Run()
		} else {
			first := r.send("wa", "x")
			p.Write([]byte("x BUSY - 0\r\n\r\n"))
			r.Run()
			r.want(first, decide.Full)
		}
		again := r.send("wa", "x")
		p.Write([]byte("x BUSY - 0\r\n\r\n"))
		r.Run()
		r.want(again)
		r.want(other)
		if len(r.peers["a:1"]) != 2 {
			t.Fatalf("%s: %d connections", name, len(r.peers["a:1"]))
		}
		r.peers["a:1"][1].Write([]byte("x OK - 0\r\n\r\n"))
		r.Run()
		r.want(again, decide.Good)
		for i := range 2 * maxUsed { // and what is remembered is bounded
			p.Write(fmt.Appendf(nil, "n%d OK - 0\r\n\r\n", i))
		}
		r.Run()
		for c := range r.pool.hosts["wa"].conns {
			if n := len(r.pool.hosts["wa"].conns[c].used); n > maxUsed {
				t.Errorf("%d ids are remembered", n)
			}
		}
	}
}

// An answer that stops half way, whether or not bytes trickle on, ends all that is open on its connection, and soon.
func TestHalfAnAnswer(t *testing.T) {
	r := newRig(t)
	a, b := r.send("wa", "1"), r.send("wa", "2")
	p := r.peers["a:1"][0]
	p.Write([]byte("1 OK - 900\r\nabc"))
	for range 4 {
		r.Pass(stallLimit / 4)
		p.Write([]byte("x"))
	}
	r.Run()
	r.want(a, decide.Reset)
	r.want(b, decide.Reset)
	c := r.send("wa", "3")
	p = r.peers["a:1"][1]
	p.Write([]byte("3 OK - 1\r\n"))
	r.Pass(stallLimit / 2)
	p.Write([]byte("x\r\n"))
	r.Run()
	r.want(c, decide.Good)
	r.Pass(time.Second)
	if p.Over {
		t.Error("closed though the answer became whole")
	}
}
