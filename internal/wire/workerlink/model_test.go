package workerlink

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// model is what a worker's connections are held to: an attempt ends once unless it was given up, and then not at all;
// nothing new is written to a worker that drains or for a client that has left; nothing is left behind.
type model struct {
	*rig
	callers map[core.Ref]*wiretest.Replies
	given   map[core.Ref]bool // given up
	drains  map[string]bool
	left    map[string]bool // ids of calls whose client had left before they were written
}

func (m *model) send(host, id string) {
	m.next++
	a, caller := call(m.next, host, id)
	m.callers[m.next] = caller
	if !m.drains[host] {
		m.pool.Send(a)
	} else {
		m.given[m.next] = true
	}
}

func (m *model) giveUp(ref core.Ref) {
	if m.callers[ref] == nil || len(m.ends[ref]) > 0 || m.given[ref] {
		return
	}
	m.pool.Cancel("wa", ref)
	m.pool.Cancel("wb", ref)
	m.given[ref] = true
}

// list tells of a worker's state, as the core does: first the list, then what may not be written any more.
func (m *model) list(host, addr string, state decide.HostState, since time.Duration) {
	m.drains[host] = state != decide.Ready
	m.pool.ApplyList(false, []core.Member{member(host, addr, state, since)})
	m.pool.WithdrawUnwritten(func(worker string) bool { return !m.drains[worker] })
	for _, p := range m.peers[addr] {
		p.Take() // what was on its way before the drain
	}
}

func (m *model) check() {
	m.T.Helper()
	m.Run()
	for host, addr := range map[string]string{"wa": "a:1", "wb": "b:1"} {
		for _, p := range m.peers[addr] {
			for _, line := range strings.Split(p.Take(), "\r\n") {
				word, rest, _ := strings.Cut(line, " ")
				if m.drains[host] && (word == "CALL" || word == "LOAD") {
					m.T.Fatalf("%q was written to a worker that drains", line)
				}
				if id, _, _ := strings.Cut(rest, " "); word == "CALL" && m.left[id] {
					m.T.Fatalf("%q was written for a client that has left", line)
				}
			}
		}
	}
	if n := m.pool.Conns(); n > 6 {
		m.T.Fatalf("%d connections", n)
	}
}

// leaves has the clients leave whose calls wait for a connection, before the core knows.
func (m *model) leaves() {
	m.pool.conns.Each(func(_ core.Ref, c *conn) {
		for _, message := range c.out.messages {
			if message.kind == callMessage {
				m.callers[message.ref].HasLeft, m.left[message.id] = true, true
			}
		}
	})
}

// FuzzPool plays random steps: calls, cancels, answers, resets, silent, refusing, draining and full workers, clients that
// leave, restarts, time.
func FuzzPool(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 2, 12, 3, 0, 4, 5, 0, 6, 0, 7})
	f.Add([]byte{8, 0, 10, 7, 0, 9, 0, 2, 22, 4, 14, 5, 15, 6, 16})
	f.Add([]byte{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 3, 13, 7, 2, 2, 2})
	f.Add([]byte{0, 11, 0, 10, 11, 21, 6, 36, 0, 9, 10, 12, 23, 0, 24, 11, 7, 27})
	f.Fuzz(func(t *testing.T, steps []byte) {
		m := &model{rig: newRig(t), callers: map[core.Ref]*wiretest.Replies{}, given: map[core.Ref]bool{},
			drains: map[string]bool{}, left: map[string]bool{}}
		for at, step := range steps[:min(len(steps), 80)] {
			n := int(step / 12)
			host, addr := []string{"wa", "wb"}[n%2], []string{"a:1", "b:1"}[n%2]
			peers := m.peers[addr]
			switch step % 12 {
			case 0, 1:
				m.send(host, fmt.Sprint("id", at%5, n))
			case 2, 3:
				if len(peers) > 0 {
					for ref := range m.callers {
						peers[n%len(peers)].Write(fmt.Appendf(nil, "id%d%d %s - 0\r\n\r\n", ref%5, n, []string{"OK", "BUSY"}[n/2%2]))
					}
				}
			case 4:
				m.giveUp(core.Ref(1 + n%(len(m.callers)+1)))
			case 5:
				if len(peers) > 0 {
					peers[len(peers)-1].Close()
				}
			case 6:
				m.list(host, addr, decide.HostState(n%3), time.Duration(n)*time.Hour)
			case 7:
				m.Pass(time.Duration(n) * 100 * time.Millisecond)
			case 8:
				m.Silent[addr] = !m.Silent[addr]
			case 9:
				if !m.drains[host] {
					m.pool.Load(1<<20+core.Ref(at), host, "00000000000000ff", 1)
				}
			case 10:
				if len(peers) > 0 {
					peers[n%len(peers)].Far().Slow = 100
				}
			case 11:
				m.leaves()
				continue // nothing is delivered between this and the next step
			}
			if at%2 == 0 { // else the next step comes before anything is written
				m.check()
			}
		}
		m.check()
		for _, peers := range m.peers {
			for _, p := range peers {
				p.Close()
			}
		}
		m.Pass(time.Second)
		for ref := range m.callers {
			if gave := m.given[ref]; gave && len(m.ends[ref]) > 0 || !gave && len(m.ends[ref]) != 1 {
				t.Errorf("attempt %d: ends %v, given up %v", ref, m.ends[ref], gave)
			}
		}
		m.pool.conns.Each(func(_ core.Ref, c *conn) { t.Errorf("a connection to %s is left", c.h.name) })
		if slices.ContainsFunc(m.loads, func(end string) bool { return end == "" }) {
			t.Error("an order ended without an outcome")
		}
	})
}
