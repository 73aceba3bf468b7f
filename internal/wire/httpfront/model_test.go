package httpfront

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

// client is the model of one client's connection. Each request that was sent whole has one answer, in order, unless the client
// has left or was cut off for not reading; what is no request has the last.
type client struct {
	*wiretest.Peer
	far    *wiretest.Conn
	sent   []string // ids of the requests sent whole
	got    string   // all that has come
	half   bool     // part of a request was sent
	broken bool     // what is no request was sent
	left   bool     // the client has closed the connection
	cut    bool     // it was closed while the client did not read
	turned bool     // it found no place, which no listener lets happen, and is turned away unasked
}

// silent reports whether the client sends no more requests.
func (c *client) silent() bool {
	return c.Over || c.half || c.broken || c.left || strings.Contains(c.got, "Connection: close")
}

// answers are the answers that have come.
func (c *client) answers() []string { return strings.Split(c.got, "HTTP/1.1 ")[1:] }

// clients are a front with its clients and the calls that it has taken.
type clients struct {
	*wiretest.World
	front    *Front
	taker    *taker
	list     []*client
	ids      int
	answered map[int]bool // calls of the taker
}

func (m *clients) connect() {
	c := &client{Peer: &wiretest.Peer{}, turned: m.front.Conns() >= 6}
	c.Conn, _ = m.Pair(c.Peer, func(far *wiretest.Conn) sock.Handler {
		c.far = far
		return m.front.Accept(far)
	})
	m.list = append(m.list, c)
	m.run()
}

// call has a whole request under way, in pieces of the given size. A client sends no more at once than are kept.
func (m *clients) call(c *client, piece int) {
	if c.silent() || len(c.sent)-len(c.answers()) > pipelined {
		return
	}
	id := fmt.Sprintf("%04xaa5c7e2d41ff", m.ids)
	m.ids++
	c.sent = append(c.sent, id)
	m.Chunk = piece
	c.Write([]byte(strings.Replace(post, "9b1f03aa5c7e2d41", id, 1)))
	m.Chunk = 0
}

// run lets everything happen.
func (m *clients) run() {
	m.T.Helper()
	m.Run()
	for _, c := range m.list {
		c.cut = c.cut || c.Over && c.far.Slow > 0
		c.got += c.Take()
	}
}

// answer serves an open call with its id. A second answer must be dropped.
func (m *clients) answer(which int) {
	var open []int
	for i := range m.taker.calls {
		if !m.answered[i] && !m.gone(i) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return
	}
	i := open[which%len(open)]
	m.answered[i] = true
	m.taker.calls[i].Reply.Served([]byte(m.taker.calls[i].ID))
	m.taker.calls[i].Reply.Failed(core.GivenUp)
	m.run()
}

// gone reports whether the core has been told that nobody waits for a call.
func (m *clients) gone(call int) bool {
	for _, ref := range m.taker.gone {
		if ref == core.Ref(call+1) {
			return true
		}
	}
	return false
}

func (m *clients) check() {
	m.T.Helper()
	if n := m.front.Conns(); n > 6 {
		m.T.Fatalf("%d connections", n)
	}
	for _, c := range m.list {
		answers := c.answers()
		for i, a := range answers {
			served := strings.HasPrefix(a, "200 ")
			if served && (i >= len(c.sent) || !strings.HasSuffix(a, c.sent[i])) {
				m.T.Fatalf("answer %d to %q is %q", i, c.sent, a)
			}
			if !served && !strings.HasPrefix(a, "503 ") && i < len(c.sent) {
				m.T.Fatalf("a good request was answered %q", a)
			}
		}
		if c.left || c.cut || !c.Over {
			continue
		}
		owed := len(c.sent)
		if c.half || c.broken && (len(answers) > owed || !strings.Contains(c.got, "Connection: close")) {
			owed++ // what is no request has no answer of its own behind one that ends the connection
		}
		if c.turned && len(c.sent) == 0 {
			owed = 1
		}
		if len(answers) != owed {
			m.T.Fatalf("closed after %d answers, %d owed: %q", len(answers), owed, c.got)
		}
	}
}

// FuzzConn plays clients that send calls whole, in pieces and several at once, stop in the middle, send what is no request, read
// slowly, leave and come back; a core that answers or does not; drains, their end, connections closed as idle with a request
// under way; and time.
func FuzzConn(f *testing.F) {
	f.Add([]byte{0, 2, 0, 3, 1, 2, 4, 0, 5, 0, 2})
	f.Add([]byte{1, 13, 1, 2, 14, 6, 0, 4, 7, 0, 0, 8, 0, 0, 0})
	f.Add([]byte{0, 20, 9, 2, 0, 2, 5, 7, 7, 10, 2, 11, 2, 3})
	f.Add([]byte{0, 0, 12, 7, 2, 2, 2, 8, 0, 12, 7, 5, 2, 2})
	f.Add([]byte{12, 10, 0, 10, 2, 11, 0, 0, 2, 8, 11, 2, 5, 17, 29})
	f.Add([]byte("c9Z8 90"))    // an answer and the end of its time in one sweep
	f.Add([]byte("XYX7Y9\xfc")) // a request begun behind an answer that is read slowly
	f.Fuzz(func(t *testing.T, steps []byte) {
		w, front, k := newFront(t, 6)
		m := &clients{World: w, front: front, taker: k, answered: map[int]bool{}}
		m.connect()
		m.connect()
		for _, step := range steps[:min(len(steps), 60)] {
			c := m.list[len(m.list)-1-int(step/13)%2]
			switch step % 13 {
			case 0:
				m.call(c, 0)
				m.run()
			case 1:
				m.call(c, 1)
				m.run()
			case 2, 3:
				m.answer(int(step / 13))
			case 4: // leaves by a close
				c.Close()
				c.left = true
				m.run()
				m.connect()
			case 5:
				m.Pass(time.Duration(step) * 50 * time.Millisecond)
				m.run()
			case 6:
				if !c.silent() && len(c.sent) == len(c.answers()) {
					c.Write([]byte(head[:1+int(step)%(len(head)-1)]))
					c.half = true
					m.run()
				}
			case 7: // no request at all, behind one that is not delivered yet
				if m.call(c, 0); !c.silent() {
					c.Write([]byte("\x00\x01\r\n\r\n"))
					c.broken = true
				}
				m.run()
			case 8:
				front.Drain()
			case 9:
				front.Resume()
			case 10: // closed as idle, with a request under way
				m.call(c, 0)
				front.conns.Each(func(_ core.Ref, o *conn) {
					if o.free() && !o.busy && len(o.out) == 0 {
						o.part(madeRoom)
					}
				})
				m.run()
			case 11:
				c.far.Slow = 10 - c.far.Slow
				if c.far.Slow == 0 {
					c.far.Flush()
					m.run()
				}
			case 12:
				front.Leave()
			}
			m.check()
		}
		for _, c := range m.list {
			c.far.Slow = 0
			c.far.Flush()
			m.run()
		}
		for range m.ids {
			m.answer(0)
		}
		m.check()
		for _, c := range m.list {
			if len(c.answers()) < len(c.sent) && !c.left && !c.cut {
				t.Errorf("%d answers to %d requests", len(c.answers()), len(c.sent))
			}
			if !c.Over {
				c.left = true
				c.Close()
				m.run()
			}
		}
		for i := range k.calls {
			if m.gone(i) == m.answered[i] {
				t.Errorf("call %d: answered %v, client has left %v", i, m.answered[i], m.gone(i))
			}
		}
		m.Pass(slowLimit)
		if front.Conns() != 0 || front.Held() != 0 || m.Loop.Len() > 0 {
			t.Errorf("left behind: %d connections, %d bytes, %d deadlines", front.Conns(), front.Held(), m.Loop.Len())
		}
	})
}
