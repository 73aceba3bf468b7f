package httpfront

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

const check = "GET /check HTTP/1.1\r\n\r\n"

// A drain says no at once, serves what still comes and ends its connection, closes what lies idle, and later turns
// away; resume takes it all back at any moment.
func TestDrainAndResume(t *testing.T) {
	w, f, k := newFront(t, 9)
	idle, busy, late, half := dial(w, f), dial(w, f), dial(w, f), dial(w, f)
	say(w, idle, check)
	say(w, busy, post)
	say(w, half, head)
	f.Drain()
	if got := say(w, late, check); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !late.Over {
		t.Errorf("ready is answered %q, closed %v", got, late.Over)
	}
	late = dial(w, f)
	if say(w, late, post); len(k.calls) != 2 {
		t.Fatalf("%d calls taken while clients still come", len(k.calls))
	}
	k.calls[1].Reply.Served([]byte("x"))
	if w.Run(); !strings.Contains(late.Take(), "Connection: close\r\n") || !late.Over {
		t.Error("the answer does not end its connection")
	}
	if w.Pass(awayIdle); !idle.Over || busy.Over {
		t.Errorf("closed after the pause: idle %v, with a call %v", idle.Over, busy.Over)
	}
	w.Pass(awayTake)
	if got := half.Take(); !half.Over || !strings.HasPrefix(got, "HTTP/1.1 ") {
		t.Errorf("half a request: %q, closed %v", got, half.Over)
	}
	late = dial(w, f)
	if got := say(w, late, post); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "Srv-Wait-Ms: 1000\r\n") || len(k.calls) != 2 {
		t.Errorf("a call that comes late is answered %q", got)
	}
	if len(k.count) != 1 || k.count[0] != "refused" {
		t.Errorf("counted %q", k.count)
	}
	f.Resume()
	late = dial(w, f)
	if got := say(w, late, check); !strings.HasPrefix(got, "HTTP/1.1 200 ") || late.Over {
		t.Errorf("after resume: %q", got)
	}
	k.calls[0].Reply.Served([]byte("y"))
	if w.Run(); busy.Over || strings.Contains(busy.Take(), "close") {
		t.Error("a call from before the drain, answered after it, ends its connection")
	}
}

// Random clients, drains and resumes: each call has its one answer, a drained front says no and nothing of its
// clients is held 4 s after, unless a call is open on it that came in the first two; once resumed it says yes.
func TestDrainUnderRandomSteps(t *testing.T) {
	for seed := range uint64(80) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w, f, k := newFront(t, 40)
		answered, drained := 0, time.Duration(0)
		for n := range 150 {
			switch rng.IntN(8) {
			case 0, 1:
				p := dial(w, f)
				say(w, p, []string{"", head, strings.Replace(post, "9b1f", fmt.Sprintf("%04x", n), 1), check}[rng.IntN(4)])
			case 2, 3:
				if open := len(k.calls) - answered; open > 0 {
					k.calls[answered].Reply.Served([]byte("x"))
					answered++
					w.Run()
				}
			case 4:
				if drained == 0 {
					drained = w.Now()
				}
				f.Drain()
			case 5:
				f.Resume()
				drained = 0
			default:
				w.Pass(time.Duration(rng.IntN(1200)) * time.Millisecond)
			}
			if f.Ready() != (drained == 0) {
				t.Fatalf("seed %d: ready %v, drained %v", seed, f.Ready(), drained)
			}
		}
		calls := len(k.calls)
		f.Drain()
		w.Pass(4 * time.Second)
		if f.Conns() != calls-answered-len(k.gone) {
			t.Fatalf("seed %d: %d connections held, %d calls open", seed, f.Conns(), calls-answered-len(k.gone))
		}
		for _, c := range k.calls[answered:] {
			c.Reply.Served([]byte("x"))
		}
		if w.Run(); f.Conns() != 0 || f.Held() != 0 {
			t.Fatalf("seed %d: %d connections after the last answer", seed, f.Conns())
		}
		f.Resume()
		if got := say(w, dial(w, f), check); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
			t.Fatalf("seed %d: after resume %q", seed, got)
		}
	}
}

// slowly opens a connection whose client makes no room for answers.
func slowly(w *wiretest.World, f *Front) (*wiretest.Peer, *wiretest.Conn) {
	p := &wiretest.Peer{}
	var far *wiretest.Conn
	p.Conn, far = w.Pair(p, func(c *wiretest.Conn) sock.Handler { return f.Accept(c) })
	w.Run()
	return p, far
}

// A long answer that a client reads slowly must not be cut by the close that follows it, or by its next request; what
// is kept for all such clients is bounded.
func TestSlowReaders(t *testing.T) {
	w, f, k := newFront(t, 9)
	p, far := slowly(w, f)
	say(w, p, strings.Replace(post, "Host:", "Connection: close\r\nHost:", 1))
	far.Slow = 200_000
	k.calls[0].Reply.Served(make([]byte, 230_000))
	if w.Pass(3 * time.Second); p.Over || f.Held() != 200_000 {
		t.Fatalf("closed %v with the answer unread, %d held", p.Over, f.Held())
	}
	f.Closing() // a process that ends waits as well
	if w.Run(); p.Over {
		t.Error("closed by the end of the process with the answer unread")
	}
	far.Flush()
	if w.Run(); !p.Over || f.Held() != 0 {
		t.Errorf("closed %v after the last byte, %d held", p.Over, f.Held())
	}

	w, f, k = newFront(t, 9)
	p, far = slowly(w, f)
	far.Slow = 1000
	say(w, p, post)
	k.calls[0].Reply.Served(make([]byte, 2000))
	w.Run()
	say(w, p, strings.Replace(post, "9b1f", "0000", 1))
	if len(k.calls) != 1 {
		t.Error("a second answer is begun for a client that has not taken the first")
	}
	far.Flush()
	if w.Run(); len(k.calls) != 2 || p.Over {
		t.Errorf("%d calls after the client has caught up, closed %v", len(k.calls), p.Over)
	}

	w, f, k = newFront(t, 9)
	var all []*wiretest.Peer
	for i := range 6 {
		p, far := slowly(w, f)
		far.Slow = 250_000
		say(w, p, strings.Replace(post, "9b1f", fmt.Sprintf("%04x", i), 1))
		k.calls[i].Reply.Served(make([]byte, 230_000))
		w.Pass(time.Millisecond)
		all = append(all, p)
	}
	if f.Held() > 1<<20 || !all[0].Over || all[5].Over {
		t.Errorf("%d bytes held, first cut off %v, last %v", f.Held(), all[0].Over, all[5].Over)
	}
	w.Pass(slowLimit)
	if f.Held() != 0 || f.Conns() != 0 {
		t.Errorf("%d bytes held for clients that never read, %d connections", f.Held(), f.Conns())
	}
}
