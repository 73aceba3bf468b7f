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

// model tracks what a pool must do: an attempt ends exactly once, or not at all if it was given up; no call or load order is written to
// a draining worker, and no call for a client that has left; no connection is left at the end.
type model struct {
	*rig
	replies  map[core.Ref]*wiretest.Replies
	givenUp  map[core.Ref]bool // attempts cancelled, or not sent because the worker drains
	draining map[string]bool   // workers that may get nothing new
	leftIDs  map[string]bool   // ids of calls whose client had left before they were written
}

// send sends a call unless the worker drains.
func (m *model) send(host, id string) {
	m.lastRef++
	a, caller := newAttempt(m.lastRef, host, id)
	m.replies[m.lastRef] = caller
	if !m.draining[host] {
		m.pool.Send(a)
	} else {
		m.givenUp[m.lastRef] = true
	}
}

// giveUp cancels an attempt that is still open.
func (m *model) giveUp(ref core.Ref) {
	if m.replies[ref] == nil || len(m.outcomes[ref]) > 0 || m.givenUp[ref] {
		return
	}
	m.pool.Cancel("wa", ref)
	m.pool.Cancel("wb", ref)
	m.givenUp[ref] = true
}

// updateWorker changes a worker's state in the order in which the core does it: the list first, then the withdrawal of unwritten messages.
func (m *model) updateWorker(host, addr string, state decide.HostState, since time.Duration) {
	m.draining[host] = state != decide.Ready
	m.pool.ApplyList(false, []core.Member{member(host, addr, state, since)})
	m.pool.WithdrawUnwritten(func(worker string) bool { return !m.draining[worker] })
	for _, p := range m.peers[addr] {
		p.Take() // discards what was sent before the drain
	}
}

// check delivers everything and checks what the workers have received, and the number of connections.
func (m *model) check() {
	m.T.Helper()
	m.Run()
	for host, addr := range map[string]string{"wa": "a:1", "wb": "b:1"} {
		for _, p := range m.peers[addr] {
			for _, line := range strings.Split(p.Take(), "\r\n") {
				command, rest, _ := strings.Cut(line, " ")
				if m.draining[host] && (command == "CALL" || command == "LOAD") {
					m.T.Fatalf("%q was written to a draining worker", line)
				}
				if id, _, _ := strings.Cut(rest, " "); command == "CALL" && m.leftIDs[id] {
					m.T.Fatalf("%q was written for a client that has left", line)
				}
			}
		}
	}
	if n := m.pool.Conns(); n > 6 {
		m.T.Fatalf("got %d connections, want at most 6", n)
	}
}

// clientsLeave has the clients of all unwritten calls leave, without the core being notified.
func (m *model) clientsLeave() {
	m.pool.conns.Each(func(_ core.Ref, c *conn) {
		for _, message := range c.outbox.messages {
			if message.kind == callMessage {
				m.replies[message.ref].HasLeft, m.leftIDs[message.id] = true, true
			}
		}
	})
}

// FuzzPool checks a pool against the model with random steps: calls, cancels, answers, connection resets, unresponsive, draining and
// blocked workers, clients that leave, worker restarts and the passing of time.
func FuzzPool(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 2, 12, 3, 0, 4, 5, 0, 6, 0, 7})
	f.Add([]byte{8, 0, 10, 7, 0, 9, 0, 2, 22, 4, 14, 5, 15, 6, 16})
	f.Add([]byte{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 3, 13, 7, 2, 2, 2})
	f.Add([]byte{0, 11, 0, 10, 11, 21, 6, 36, 0, 9, 10, 12, 23, 0, 24, 11, 7, 27})
	f.Fuzz(func(t *testing.T, steps []byte) {
		m := &model{rig: newRig(t), replies: map[core.Ref]*wiretest.Replies{}, givenUp: map[core.Ref]bool{},
			draining: map[string]bool{}, leftIDs: map[string]bool{}}
		for at, step := range steps[:min(len(steps), 80)] {
			n := int(step / 12)
			host, addr := []string{"wa", "wb"}[n%2], []string{"a:1", "b:1"}[n%2]
			peers := m.peers[addr]
			switch step % 12 {
			case 0, 1:
				m.send(host, fmt.Sprint("id", at%5, n))
			case 2, 3:
				if len(peers) > 0 {
					for ref := range m.replies {
						peers[n%len(peers)].Write(fmt.Appendf(nil, "id%d%d %s - 0\r\n\r\n", ref%5, n, []string{"OK", "BUSY"}[n/2%2]))
					}
				}
			case 4:
				m.giveUp(core.Ref(1 + n%(len(m.replies)+1)))
			case 5:
				if len(peers) > 0 {
					peers[len(peers)-1].Close()
				}
			case 6:
				m.updateWorker(host, addr, decide.HostState(n%3), time.Duration(n)*time.Hour)
			case 7:
				m.Advance(time.Duration(n) * 100 * time.Millisecond)
			case 8:
				m.Unanswered[addr] = !m.Unanswered[addr]
			case 9:
				if !m.draining[host] {
					m.pool.Load(1<<20+core.Ref(at), host, "00000000000000ff", 1)
				}
			case 10:
				if len(peers) > 0 {
					peers[n%len(peers)].Far().UnsentBytes = 100
				}
			case 11:
				m.clientsLeave()
				continue // nothing is delivered between this and the next step
			}
			if at%2 == 0 { // after an odd step, the next step is taken before anything is written
				m.check()
			}
		}
		m.check()
		for _, peers := range m.peers {
			for _, p := range peers {
				p.Close()
			}
		}
		m.Advance(time.Second)
		for ref := range m.replies {
			if givenUp := m.givenUp[ref]; givenUp && len(m.outcomes[ref]) > 0 || !givenUp && len(m.outcomes[ref]) != 1 {
				t.Errorf("attempt %d: outcomes %v, given up %v", ref, m.outcomes[ref], givenUp)
			}
		}
		m.pool.conns.Each(func(_ core.Ref, c *conn) { t.Errorf("a connection to %s is left", c.host.name) })
		if slices.ContainsFunc(m.loads, func(outcome string) bool { return outcome == "" }) {
			t.Error("an order ended without an outcome")
		}
	})
}
