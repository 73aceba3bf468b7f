package httpfront

import (
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
)

// A request that has come whole in the instant in which its connection is closed is answered, whatever closes it: the bytes
// are under way to the turn while it decides. Half of one is turned away or waited for, as ever.
func TestRequestThatComesAsItsConnectionIsClosed(t *testing.T) {
	for name, closes := range map[string]func(*Front, *conn){
		"process ends": func(f *Front, _ *conn) { f.Closing() },
		"drain":        func(f *Front, _ *conn) { f.away, f.parting = true, true; f.dropIdle() },
		"hand-over":    func(f *Front, _ *conn) { f.parting = true; f.dropIdle() },
		"idle":         func(_ *Front, c *conn) { c.part(idleTooLong) },
	} {
		w, f, k := newFront(t, 9)
		p := dial(w, f)
		say(w, p, check)
		c := only(f)
		p.Write([]byte(post)) // delivered only after what follows
		closes(f, c)
		if w.Run(); len(k.calls) != 1 || p.Over {
			t.Errorf("%s: %d calls taken, connection closed %v", name, len(k.calls), p.Over)
			continue
		}
		k.calls[0].Reply.Served([]byte("x"))
		w.Run()
		if got := p.Take(); !strings.HasPrefix(got, "HTTP/1.1 200 ") || !strings.Contains(got, "Connection: close\r\n") || !p.Over {
			t.Errorf("%s: answered %q, closed %v", name, got, p.Over)
		}
		if f.Conns() != 0 {
			t.Errorf("%s: %d connections are left", name, f.Conns())
		}
	}
}

// Nothing more than an empty line keeps no connection, and half a request no longer than any.
func TestConnectionThatIsToBeClosedDoesNotStayForNothing(t *testing.T) {
	for text, want := range map[string]string{"\r\n": "", head: "HTTP/1.1 408 "} {
		w, f, _ := newFront(t, 9)
		p := dial(w, f)
		say(w, p, check)
		c := only(f)
		p.Write([]byte(text))
		c.part(idleTooLong)
		w.Run()
		if w.Pass(readLimit + lingerLimit + time.Millisecond); !p.Over || !strings.HasPrefix(p.Take(), want) {
			t.Errorf("%q: closed %v", text, p.Over)
		}
	}
}

// Input that comes with the last answer is read for a while: a close with input unread would reset the connection, and take the
// answer back from a client that has not read it.
func TestLastAnswerIsNotTakenBackByMoreInput(t *testing.T) {
	w, f, k := newFront(t, 9)
	p := dial(w, f)
	say(w, p, strings.Replace(post, "Host:", "Connection: close\r\nHost:", 1))
	k.calls[0].Reply.Served([]byte("x"))
	p.Write([]byte("more")) // delivered only once the answer has been written
	if w.Run(); p.Over || !strings.HasPrefix(p.Take(), "HTTP/1.1 200 ") {
		t.Error("closed with input unread")
	}
	if w.Pass(lingerLimit); !p.Over {
		t.Error("kept for good")
	}
}

// only is the one connection that a front has.
func only(f *Front) (c *conn) {
	f.conns.Each(func(_ core.Ref, o *conn) { c = o })
	return c
}
