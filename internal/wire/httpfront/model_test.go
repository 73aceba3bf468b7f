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

// clientModel is the model of one client's connection. Each whole request gets one answer, in order, unless the client has closed
// the connection or it was closed because the client did not read. Unreadable input is answered last.
type clientModel struct {
	*wiretest.Peer
	serverEnd    *wiretest.Conn // the front's end of the connection
	sent         []string       // ids of the requests sent whole
	received     string         // all input so far
	partial      bool           // part of a request was sent
	garbage      bool           // unreadable input was sent
	left         bool           // the client has closed the connection
	closedUnread bool           // the connection was closed while the client did not read
	rejected     bool           // the connection exceeds the limit, which a listener prevents, and is refused before any request
}

// silent reports whether the client sends no more requests.
func (c *clientModel) silent() bool {
	return c.Ended || c.partial || c.garbage || c.left || strings.Contains(c.received, "Connection: close")
}

// answers are the answers received so far.
func (c *clientModel) answers() []string { return strings.Split(c.received, "HTTP/1.1 ")[1:] }

// frontModel is a front with its clients and the calls that it has taken.
type frontModel struct {
	*wiretest.World
	front    *Front
	core     *fakeCore
	clients  []*clientModel
	requests int          // sent so far; the next one is the number in its id
	answered map[int]bool // calls of core, by index
}

func (m *frontModel) connect() {
	c := &clientModel{Peer: &wiretest.Peer{}, rejected: m.front.Conns() >= 6}
	c.Conn, _ = m.Pair(c.Peer, func(far *wiretest.Conn) sock.Handler {
		c.serverEnd = far
		return m.front.Accept(far)
	})
	m.clients = append(m.clients, c)
	m.run()
}

// call starts to send a whole request, in pieces of the given size (0 for all at once). A client pipelines no more than the limit.
func (m *frontModel) call(c *clientModel, piece int) {
	if c.silent() || len(c.sent)-len(c.answers()) > maxPipelined {
		return
	}
	id := fmt.Sprintf("%04xaa5c7e2d41ff", m.requests)
	m.requests++
	c.sent = append(c.sent, id)
	m.MaxChunk = piece
	c.Write([]byte(strings.Replace(callRequest, "9b1f03aa5c7e2d41", id, 1)))
	m.MaxChunk = 0
}

// run delivers everything that is in transit.
func (m *frontModel) run() {
	m.T.Helper()
	m.Run()
	for _, c := range m.clients {
		c.closedUnread = c.closedUnread || c.Ended && c.serverEnd.UnsentBytes > 0
		c.received += c.Take()
	}
}

// answer serves an unanswered call with its id. A second answer must be dropped.
func (m *frontModel) answer(which int) {
	var open []int
	for i := range m.core.calls {
		if !m.answered[i] && !m.gone(i) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return
	}
	i := open[which%len(open)]
	m.answered[i] = true
	m.core.calls[i].Reply.Served([]byte(m.core.calls[i].ID))
	m.core.calls[i].Reply.Failed(core.GivenUp)
	m.run()
}

// gone reports whether the core has been notified that the client of a call has left.
func (m *frontModel) gone(call int) bool {
	for _, ref := range m.core.gone {
		if ref == core.Ref(call+1) {
			return true
		}
	}
	return false
}

func (m *frontModel) check() {
	m.T.Helper()
	if n := m.front.Conns(); n > 6 {
		m.T.Fatalf("%d connections", n)
	}
	for _, c := range m.clients {
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
		if c.left || c.closedUnread || !c.Ended {
			continue
		}
		expected := len(c.sent)
		if c.partial || c.garbage && (len(answers) > expected || !strings.Contains(c.received, "Connection: close")) {
			expected++ // unreadable input has no answer of its own behind an answer that ends the connection
		}
		if c.rejected && len(c.sent) == 0 {
			expected = 1
		}
		if len(answers) != expected {
			m.T.Fatalf("closed after %d answers, %d expected: %q", len(answers), expected, c.received)
		}
	}
}

// FuzzConn simulates clients that send calls whole, in pieces and several at once, stop in the middle, send unreadable input, read
// slowly, leave and connect again. Steps of the front are answers of the core, drain, resume, hand-over, closing of idle connections
// with a request in transit, and the passing of time.
func FuzzConn(f *testing.F) {
	f.Add([]byte{0, 2, 0, 3, 1, 2, 4, 0, 5, 0, 2})
	f.Add([]byte{1, 13, 1, 2, 14, 6, 0, 4, 7, 0, 0, 8, 0, 0, 0})
	f.Add([]byte{0, 20, 9, 2, 0, 2, 5, 7, 7, 10, 2, 11, 2, 3})
	f.Add([]byte{0, 0, 12, 7, 2, 2, 2, 8, 0, 12, 7, 5, 2, 2})
	f.Add([]byte{12, 10, 0, 10, 2, 11, 0, 0, 2, 8, 11, 2, 5, 17, 29})
	f.Add([]byte("c9Z8 90"))    // an answer and its client's timeout in one loop iteration
	f.Add([]byte("XYX7Y9\xfc")) // a request started behind an answer that is read slowly
	f.Fuzz(func(t *testing.T, steps []byte) {
		world, front, fake := newFront(t, 6)
		m := &frontModel{World: world, front: front, core: fake, answered: map[int]bool{}}
		m.connect()
		m.connect()
		for _, step := range steps[:min(len(steps), 60)] {
			c := m.clients[len(m.clients)-1-int(step/13)%2]
			switch step % 13 {
			case 0:
				m.call(c, 0)
				m.run()
			case 1:
				m.call(c, 1)
				m.run()
			case 2, 3:
				m.answer(int(step / 13))
			case 4: // the client closes its connection
				c.Close()
				c.left = true
				m.run()
				m.connect()
			case 5:
				m.Advance(time.Duration(step) * 50 * time.Millisecond)
				m.run()
			case 6:
				if !c.silent() && len(c.sent) == len(c.answers()) {
					c.Write([]byte(requestHead[:1+int(step)%(len(requestHead)-1)]))
					c.partial = true
					m.run()
				}
			case 7: // unreadable input behind a request that is not delivered yet
				if m.call(c, 0); !c.silent() {
					c.Write([]byte("\x00\x01\r\n\r\n"))
					c.garbage = true
				}
				m.run()
			case 8:
				front.Drain()
			case 9:
				front.Resume()
			case 10: // idle connections are closed with a request in transit
				m.call(c, 0)
				front.conns.Each(func(_ core.Ref, o *conn) {
					if o.free() && !o.partial && len(o.out) == 0 {
						o.closeIfIdle(madeRoom)
					}
				})
				m.run()
			case 11:
				c.serverEnd.UnsentBytes = 10 - c.serverEnd.UnsentBytes
				if c.serverEnd.UnsentBytes == 0 {
					c.serverEnd.Flush()
					m.run()
				}
			case 12:
				front.HandOver()
			}
			m.check()
		}
		for _, c := range m.clients {
			c.serverEnd.UnsentBytes = 0
			c.serverEnd.Flush()
			m.run()
		}
		for range m.requests {
			m.answer(0)
		}
		m.check()
		for _, c := range m.clients {
			if len(c.answers()) < len(c.sent) && !c.left && !c.closedUnread {
				t.Errorf("%d answers to %d requests", len(c.answers()), len(c.sent))
			}
			if !c.Ended {
				c.left = true
				c.Close()
				m.run()
			}
		}
		for i := range fake.calls {
			if m.gone(i) == m.answered[i] {
				t.Errorf("call %d: answered %v, client has left %v", i, m.answered[i], m.gone(i))
			}
		}
		m.Advance(writeTimeout)
		if front.Conns() != 0 || front.Unsent() != 0 || m.Loop.Len() > 0 {
			t.Errorf("left behind: %d connections, %d bytes, %d deadlines", front.Conns(), front.Unsent(), m.Loop.Len())
		}
	})
}
