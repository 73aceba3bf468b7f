package httpfront

import (
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// Connections are bounded: a new one takes the place of the one idle longest, but never of one with a call.
func TestConnectionsAreBounded(t *testing.T) {
	w, f, _ := newFront(t, 3)
	a, b := dial(w, f), dial(w, f)
	say(w, a, post)
	c := dial(w, f)
	if a.Over || !b.Over || c.Over || f.Conns() != 2 {
		t.Errorf("closed: %v %v %v, %d open", a.Over, b.Over, c.Over, f.Conns())
	}
	say(w, c, post)
	d := dial(w, f) // up to the limit, where none is idle
	say(w, d, post)
	if e := dial(w, f); d.Over || !e.Over {
		t.Error("a fourth connection was kept beside three with calls")
	}
}

// Clients that ask once and hold their connection for good must leave room below the limit, which the platform keeps
// as well; a crowd that connects and says nothing must not push out those who have asked.
func TestIdleAndSilentConnectionsMakeRoom(t *testing.T) {
	const check = "GET /check HTTP/1.1\r\n\r\n"
	w, f, _ := newFront(t, 30)
	for range 50 {
		say(w, dial(w, f), check)
		w.Pass(time.Millisecond)
	}
	if f.Conns() != 20 {
		t.Errorf("%d idle connections are held of 30", f.Conns())
	}
	var usual []*wiretest.Peer
	for range 9 {
		usual = append(usual, dial(w, f))
		say(w, usual[len(usual)-1], check)
		w.Pass(time.Millisecond)
	}
	for range 200 {
		dial(w, f)
		w.Pass(time.Millisecond)
	}
	for i, p := range usual {
		if p.Over {
			t.Errorf("usual client %d was pushed out by silent ones", i)
		}
	}
}

// A client that never says a whole request has an answer or a close within 3 s of connecting, however slowly its
// bytes come.
func TestSlowClients(t *testing.T) {
	for name, want := range map[string]string{"silent": "", "half": "HTTP/1.1 408 ", "after a request": "HTTP/1.1 408 "} {
		w, f, _ := newFront(t, 9)
		p := dial(w, f)
		if name == "after a request" {
			say(w, p, "GET /check HTTP/1.1\r\n\r\n")
			w.Pass(20 * time.Second)
		}
		for i := range 6 {
			if name != "silent" {
				p.Write([]byte(head[i : i+1]))
			}
			w.Pass(500 * time.Millisecond)
		}
		if got := p.Take(); !p.Over || !strings.HasPrefix(got, want) || want == "" && got != "" {
			t.Errorf("%s: over %v, answer %q", name, p.Over, got)
		}
	}
}

// What comes behind a refused head is read and discarded, or the close would reset the connection before its client
// has read the answer; but neither for long nor without a bound.
func TestRestOfABadRequestIsDiscarded(t *testing.T) {
	w, f, k := newFront(t, 9)
	p := dial(w, f)
	got := say(w, p, strings.Replace(post, "Length: 2", "Length: 60000000", 1))
	if !strings.HasPrefix(got, "HTTP/1.1 413 ") || !strings.Contains(got, "Connection: close") || p.Over {
		t.Fatalf("answer %q, closed %v", got, p.Over)
	}
	if say(w, p, post); p.Over || len(k.calls) > 0 {
		t.Errorf("closed %v, %d calls taken behind the refusal", p.Over, len(k.calls))
	}
	for n := 0; n < lingerBytes && !p.Over; n += 1 << 20 {
		say(w, p, strings.Repeat("x", 1<<20))
	}
	if !p.Over {
		t.Error("discarding without a bound")
	}
}

// Too many requests behind an open one: the open one has its answer, once, and the core knows.
func TestTooManyAtOnce(t *testing.T) {
	w, f, k := newFront(t, 9)
	p := dial(w, f)
	got := say(w, p, strings.Repeat(post, 1+pipelined)+post)
	if strings.Count(got, "HTTP/1.1 ") != 1 || !strings.HasPrefix(got, "HTTP/1.1 400 ") || len(k.calls) != len(k.gone) {
		t.Errorf("answer %q, %d calls, %d gone", got, len(k.calls), len(k.gone))
	}
	say(w, p, post)
	if w.Pass(lingerLimit); !p.Over {
		t.Error("not closed")
	}
	p = dial(w, f)
	say(w, p, post)
	k.calls[len(k.calls)-1].Reply.Failed(core.Duplicate)
	if w.Run(); !strings.HasPrefix(p.Take(), "HTTP/1.1 409 ") {
		t.Error("no 409 for an id that is open")
	}
}
