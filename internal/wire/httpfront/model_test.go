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

// client is the model of one client's connection: at most one call is open on it, each call has one answer or its client has
// left, and the core is told of that once.
type client struct {
	*wiretest.Peer
	far    *wiretest.Conn
	open   int // index of the call that is open, -1 for none
	half   bool
	broken bool // the client has spoilt its connection
}

// clients are a front with its clients and the calls that it has taken.
type clients struct {
	*wiretest.World
	front *Front
	taker *taker
	list  []*client
	by    map[string]*client // who has sent the call of an id
	seen  int                // calls of the taker that the model knows
	gone  map[int]bool       // calls whose client has left
	ended map[int]bool       // calls that were answered
}

func (m *clients) connect() *client {
	c := &client{Peer: &wiretest.Peer{}, open: -1}
	c.Conn, _ = m.Pair(c.Peer, func(far *wiretest.Conn) sock.Handler {
		c.far = far
		return m.front.Accept(far)
	})
	m.Run()
	m.list = append(m.list, c)
	return c
}

// call sends a whole request, in pieces of the given size.
func (m *clients) call(c *client, piece int) {
	if c.Over || c.open >= 0 || c.half || c.broken {
		return
	}
	id := fmt.Sprintf("%04x", len(m.by))
	m.by[id] = c
	m.Chunk = piece
	c.Write([]byte(strings.Replace(post, "9b1f", id, 1)))
	m.Chunk = 0
	m.run()
}

// run lets everything happen, and notes which calls have been taken: one that waits behind an unread answer is later.
func (m *clients) run() {
	m.T.Helper()
	m.Run()
	for ; m.seen < len(m.taker.calls); m.seen++ {
		c := m.by[m.taker.calls[m.seen].ID[:4]]
		if c.open >= 0 {
			m.T.Fatal("two calls are open on a connection")
		}
		c.open = m.seen
	}
	for _, c := range m.list {
		if c.Over { // also one that was cut off because it does not read
			m.leave(c)
		}
	}
}

func (m *clients) answer(c *client) {
	if c.open < 0 {
		return
	}
	reply := m.taker.calls[c.open].Reply
	reply.Served([]byte("x"))
	reply.Failed(core.Broken) // a second answer is dropped
	m.ended[c.open], c.open = true, -1
	m.run()
	got := c.Take()
	if n := strings.Count(got, "HTTP/1.1 200"); !c.Over && n != 1 || strings.Contains(got, "HTTP/1.1 502") {
		m.T.Fatalf("a call was answered %q", got)
	}
}

// leave notes what the core has to be told of a connection that its client ends or spoils.
func (m *clients) leave(c *client) {
	if c.open >= 0 {
		m.gone[c.open], c.open = true, -1
	}
}

func (m *clients) check() {
	m.T.Helper()
	if len(m.taker.gone) != len(m.gone) {
		m.T.Fatalf("%d calls were told as left, want %d", len(m.taker.gone), len(m.gone))
	}
	if n := m.front.Conns(); n > 6 {
		m.T.Fatalf("%d connections", n)
	}
}

// FuzzConn plays clients that send calls whole and in pieces, stop in the middle, spoil their connection, read slowly, leave and
// come back; a core that answers or does not; drains, their end, connections closed as idle; and time.
func FuzzConn(f *testing.F) {
	f.Add([]byte{0, 2, 0, 3, 1, 2, 4, 0, 5, 0, 2})
	f.Add([]byte{1, 13, 1, 2, 14, 6, 0, 4, 7, 0, 0, 8, 0, 0, 0})
	f.Add([]byte{0, 20, 9, 2, 0, 2, 5, 7, 7, 10, 2, 11, 2, 3})
	f.Fuzz(func(t *testing.T, steps []byte) {
		w, front, k := newFront(t, 6)
		m := &clients{World: w, front: front, taker: k, by: map[string]*client{}, gone: map[int]bool{}, ended: map[int]bool{}}
		m.connect()
		m.connect()
		for _, step := range steps[:min(len(steps), 60)] {
			c := m.list[len(m.list)-1-int(step/12)%2]
			switch step % 12 {
			case 0:
				m.call(c, 0)
			case 1:
				m.call(c, 1)
			case 2, 3:
				m.answer(c)
			case 4: // leaves by a close
				c.Close()
				m.run()
				m.leave(c)
				m.connect()
			case 5:
				m.Pass(time.Duration(step) * 50 * time.Millisecond)
				m.run()
			case 6: // half a request
				if c.open < 0 && !c.Over && !c.broken {
					c.Write([]byte(head[:1+int(step)%(len(head)-1)]))
					c.half = true
					m.run()
				}
			case 7: // no request at all
				c.Write([]byte("\x00\x01\r\n\r\n"))
				m.run()
				if !c.Over || c.open >= 0 {
					m.leave(c)
				}
				c.broken = true
			case 8:
				front.Drain()
			case 9:
				front.Resume()
			case 10:
				front.conns.Each(func(_ core.Ref, o *conn) {
					if o.open == nil && !o.busy && !o.last && !o.slow {
						o.part()
					}
				})
				m.run()
			case 11:
				c.far.Slow = 10 - c.far.Slow
				if c.far.Slow == 0 {
					c.far.Flush()
					m.run()
				}
			}
			m.check()
		}
		for _, c := range m.list {
			c.far.Flush()
			m.run()
			if !c.Over {
				c.Close()
				m.run()
				m.leave(c)
			}
		}
		m.check()
		for i := range k.calls {
			if m.gone[i] == m.ended[i] {
				t.Errorf("call %d: answered %v, client has left %v", i, m.ended[i], m.gone[i])
			}
		}
		m.Pass(slowLimit)
		if front.Conns() != 0 || front.Held() != 0 || m.Loop.Len() > 0 {
			t.Errorf("left behind: %d connections, %d bytes, %d deadlines", front.Conns(), front.Held(), m.Loop.Len())
		}
	})
}
