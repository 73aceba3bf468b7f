package httpfront

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// Connections are bounded: a new one takes the place of the one idle longest, but never of one with a call. One that finds no
// place although it was accepted has an answer.
func TestConnectionsAreBounded(t *testing.T) {
	w, f, _ := newFront(t, 3)
	a, b := dial(w, f), dial(w, f)
	say(w, a, post)
	w.Pass(youngLimit)
	c := dial(w, f)
	if a.Over || !b.Over || c.Over || f.Conns() != 2 {
		t.Errorf("closed: %v %v %v, %d open", a.Over, b.Over, c.Over, f.Conns())
	}
	say(w, c, post)
	d := dial(w, f) // up to the limit, where none is idle
	say(w, d, post)
	e := dial(w, f)
	got := e.Take()
	if w.Pass(lingerLimit); d.Over || !e.Over || !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "Srv-Wait-Ms: ") {
		t.Errorf("a fourth connection beside three with calls: closed %v, told %q", e.Over, got)
	}
}

// Where all places are taken, what does nothing makes room while further connections wait to be accepted: also half a request,
// with an answer, and a client that takes its answer for too long. A new connection gets the time to say what it came for, and
// one whose request is on its way is answered.
func TestFullFrontMakesRoom(t *testing.T) {
	w, f, k := newFront(t, 6)
	slow, far := slowly(w, f)
	far.Slow = 1000
	say(w, slow, check)
	half, silent, idle, busy := dial(w, f), dial(w, f), dial(w, f), dial(w, f)
	say(w, half, head)
	say(w, busy, post)
	say(w, idle, check)
	last := dial(w, f)
	if w.Pass(youngLimit / 2); f.Conns() != 5 || silent.Over || last.Over { // the idle one has made room at once
		t.Fatalf("%d connections, the new ones closed: %v %v", f.Conns(), silent.Over, last.Over)
	}
	dial(w, f)
	w.Pass(youngLimit/2 - time.Millisecond)
	last.Write([]byte(strings.Replace(post, "9b1f", "0000", 1))) // under way as the time of the silent ones is over
	if w.Pass(youngLimit); !silent.Over || last.Over || len(k.calls) != 2 {
		t.Errorf("silent %v, asking %v closed, %d calls", silent.Over, last.Over, len(k.calls))
	}
	for f.Conns() < 6 {
		say(w, dial(w, f), strings.Replace(post, "9b1f", fmt.Sprintf("%04x", 100+f.Conns()), 1))
	}
	if w.Pass(halfLimit + lingerLimit); !half.Over || !strings.HasPrefix(half.Take(), "HTTP/1.1 503 ") {
		t.Errorf("half a request is closed %v, without an answer", half.Over)
	}
	say(w, dial(w, f), strings.Replace(post, "9b1f", "0200", 1))
	if w.Pass(slowTurn); !slow.Over || busy.Over {
		t.Errorf("closed: the slow reader %v, one with a call %v", slow.Over, busy.Over)
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

// More requests at once than are kept waiting: those that were read are answered in order, the one too many ends the
// connection, and what stands behind it is not read.
func TestTooManyAtOnce(t *testing.T) {
	w, f, k := newFront(t, 9)
	p := dial(w, f)
	say(w, p, strings.Repeat(post, 1+pipelined)+post+post)
	for i := range 1 + pipelined {
		if len(k.calls) != i+1 {
			t.Fatalf("%d calls taken after %d answers", len(k.calls), i)
		}
		k.calls[i].Reply.Served([]byte{byte('a' + i)})
		w.Run()
	}
	got := p.Take()
	answers := strings.Split(got, "HTTP/1.1 ")[1:]
	for i, answer := range answers {
		if i <= pipelined && (!strings.HasPrefix(answer, "200 ") || answer[len(answer)-1] != byte('a'+i)) {
			t.Errorf("answer %d is %q", i, answer)
		}
	}
	if len(answers) != 2+pipelined || !strings.HasPrefix(answers[1+pipelined], "400 ") || len(k.calls) != 1+pipelined || len(k.gone) != 0 {
		t.Errorf("answered %q, %d calls, %d gone", got, len(k.calls), len(k.gone))
	}
	say(w, p, post)
	if w.Pass(lingerLimit); !p.Over || len(k.calls) != 1+pipelined {
		t.Error("not closed")
	}
	p = dial(w, f)
	say(w, p, post)
	k.calls[len(k.calls)-1].Reply.Failed(core.Duplicate)
	if w.Run(); !strings.HasPrefix(p.Take(), "HTTP/1.1 409 ") {
		t.Error("no 409 for an id that is open")
	}
}

// What was read whole ahead of bytes that are no request is answered in order, whatever happens meanwhile, and these come last.
func TestRequestsAheadOfGarbageAreAnswered(t *testing.T) {
	for name, meanwhile := range map[string]func(*Front){"nothing": func(*Front) {}, "end": (*Front).Closing, "drain": (*Front).Drain,
		"hand-over": (*Front).Leave} {
		w, f, k := newFront(t, 9)
		p := dial(w, f)
		say(w, p, post+check+strings.Replace(post, "9b1f", "0000", 1)+"\x00\x01\r\n\r\n"+post)
		meanwhile(f)
		w.Pass(time.Second)
		k.calls[0].Reply.Served([]byte("first"))
		w.Run()
		if len(k.calls) != 2 {
			t.Errorf("%s: %d calls taken", name, len(k.calls))
			continue
		}
		k.calls[1].Reply.Served([]byte("third"))
		w.Run()
		got := strings.Split(p.Take(), "HTTP/1.1 ")
		if len(got) != 5 || !strings.HasSuffix(got[1], "first") || !strings.Contains(got[2], "Content-Length: ") ||
			!strings.HasSuffix(got[3], "third") || !strings.HasPrefix(got[4], "400 ") || !strings.Contains(got[4], "Connection: close") {
			t.Errorf("%s: answered %q", name, got)
		}
		if w.Pass(lingerLimit); !p.Over || len(k.gone) != 0 {
			t.Errorf("%s: closed %v, %d calls given up", name, p.Over, len(k.gone))
		}
	}
}
