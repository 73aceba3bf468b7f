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

const checkRequest = "GET /check HTTP/1.1\r\n\r\n"

// A drain fails /check at once, serves calls that still arrive and closes their connections, closes idle connections, and later
// refuses calls. Resume reverts all of this at any moment.
func TestDrainAndResume(t *testing.T) {
	world, front, fake := newFront(t, 9)
	idle, busy, late, partial := dial(world, front), dial(world, front), dial(world, front), dial(world, front)
	send(world, idle, checkRequest)
	send(world, busy, callRequest)
	send(world, partial, requestHead)
	front.Drain()
	if got := send(world, late, checkRequest); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !late.Ended {
		t.Errorf("/check is answered %q, closed %v", got, late.Ended)
	}
	late = dial(world, front)
	if send(world, late, callRequest); len(fake.calls) != 2 {
		t.Fatalf("%d calls taken during the accept period, want 2", len(fake.calls))
	}
	fake.calls[1].Reply.Served([]byte("x"))
	if world.Run(); !strings.Contains(late.Take(), "Connection: close\r\n") || !late.Ended {
		t.Error("the answer does not close its connection")
	}
	if world.Advance(drainIdleTimeout); !idle.Ended || busy.Ended {
		t.Errorf("closed after the idle timeout: idle %v, with a call %v", idle.Ended, busy.Ended)
	}
	world.Advance(drainAcceptPeriod)
	if got := partial.Take(); !partial.Ended || !strings.HasPrefix(got, "HTTP/1.1 ") {
		t.Errorf("partial request: answer %q, closed %v", got, partial.Ended)
	}
	late = dial(world, front)
	if got := send(world, late, callRequest); !strings.HasPrefix(got, "HTTP/1.1 503 ") ||
		!strings.Contains(got, "Srv-Wait-Ms: 1000\r\n") || len(fake.calls) != 2 {
		t.Errorf("a call after the accept period is answered %q", got)
	}
	if len(fake.count) != 1 || fake.count[0] != "refused" {
		t.Errorf("counted %q", fake.count)
	}
	front.Resume()
	late = dial(world, front)
	if got := send(world, late, checkRequest); !strings.HasPrefix(got, "HTTP/1.1 200 ") || late.Ended {
		t.Errorf("after resume: %q", got)
	}
	fake.calls[0].Reply.Served([]byte("y"))
	if world.Run(); busy.Ended || strings.Contains(busy.Take(), "close") {
		t.Error("a call from before the drain, answered after resume, closes its connection")
	}
}

// Random clients, drains and resumes: each call has exactly one answer. A drained front fails /check, and 4 s after the drain it
// holds no connection without a call in flight. After resume /check succeeds.
func TestDrainUnderRandomSteps(t *testing.T) {
	for seed := range uint64(80) {
		rng := rand.New(rand.NewPCG(seed, 1))
		world, front, fake := newFront(t, 40)
		answered, drained := 0, time.Duration(0)
		for n := range 150 {
			switch rng.IntN(8) {
			case 0, 1:
				peer := dial(world, front)
				send(world, peer, []string{"", requestHead, strings.Replace(callRequest, "9b1f", fmt.Sprintf("%04x", n), 1), checkRequest}[rng.IntN(4)])
			case 2, 3:
				if open := len(fake.calls) - answered; open > 0 {
					fake.calls[answered].Reply.Served([]byte("x"))
					answered++
					world.Run()
				}
			case 4:
				if drained == 0 {
					drained = world.Now()
				}
				front.Drain()
			case 5:
				front.Resume()
				drained = 0
			default:
				world.Advance(time.Duration(rng.IntN(1200)) * time.Millisecond)
			}
			if front.Ready() != (drained == 0) {
				t.Fatalf("seed %d: ready %v, drained %v", seed, front.Ready(), drained)
			}
		}
		calls := len(fake.calls)
		front.Drain()
		world.Advance(4 * time.Second)
		if front.Conns() != calls-answered-len(fake.gone) {
			t.Fatalf("seed %d: %d connections held, %d calls open", seed, front.Conns(), calls-answered-len(fake.gone))
		}
		for _, c := range fake.calls[answered:] {
			c.Reply.Served([]byte("x"))
		}
		if world.Run(); front.Conns() != 0 || front.Unsent() != 0 {
			t.Fatalf("seed %d: %d connections after the last answer", seed, front.Conns())
		}
		front.Resume()
		if got := send(world, dial(world, front), checkRequest); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
			t.Fatalf("seed %d: after resume %q", seed, got)
		}
	}
}

// dialSlowReader opens a connection whose client can be made to leave answers unread, by its server end's UnsentBytes.
func dialSlowReader(world *wiretest.World, front *Front) (*wiretest.Peer, *wiretest.Conn) {
	peer := &wiretest.Peer{}
	var serverEnd *wiretest.Conn
	peer.Conn, serverEnd = world.Pair(peer, func(c *wiretest.Conn) sock.Handler { return front.Accept(c) })
	world.Run()
	return peer, serverEnd
}

// A long answer that a client reads slowly must not be truncated by the close that follows it, nor by its next request. The
// bytes that wait for all such clients are limited.
func TestSlowReaders(t *testing.T) {
	world, front, fake := newFront(t, 9)
	peer, serverEnd := dialSlowReader(world, front)
	send(world, peer, strings.Replace(callRequest, "Host:", "Connection: close\r\nHost:", 1))
	serverEnd.UnsentBytes = 200_000
	fake.calls[0].Reply.Served(make([]byte, 230_000))
	if world.Advance(3 * time.Second); peer.Ended || front.Unsent() != 200_000 {
		t.Fatalf("closed %v with the answer unread, %d bytes unsent", peer.Ended, front.Unsent())
	}
	front.Shutdown() // shutting down waits for the reader as well
	if world.Run(); peer.Ended {
		t.Error("closed by Shutdown with the answer unread")
	}
	serverEnd.Flush()
	if world.Run(); !peer.Ended || front.Unsent() != 0 {
		t.Errorf("closed %v after the last byte, %d bytes unsent", peer.Ended, front.Unsent())
	}

	world, front, fake = newFront(t, 9)
	peer, serverEnd = dialSlowReader(world, front)
	serverEnd.UnsentBytes = 1000
	send(world, peer, callRequest)
	fake.calls[0].Reply.Served(make([]byte, 2000))
	world.Run()
	send(world, peer, strings.Replace(callRequest, "9b1f", "0000", 1))
	if len(fake.calls) != 1 {
		t.Error("a second answer is started for a client that has not read the first")
	}
	serverEnd.Flush()
	if world.Run(); len(fake.calls) != 2 || peer.Ended {
		t.Errorf("%d calls after the client has read its answer, closed %v", len(fake.calls), peer.Ended)
	}

	world, front, fake = newFront(t, 9)
	var all []*wiretest.Peer
	for i := range 6 {
		peer, serverEnd := dialSlowReader(world, front)
		serverEnd.UnsentBytes = 250_000
		send(world, peer, strings.Replace(callRequest, "9b1f", fmt.Sprintf("%04x", i), 1))
		fake.calls[i].Reply.Served(make([]byte, 230_000))
		world.Advance(time.Millisecond)
		all = append(all, peer)
	}
	if front.Unsent() > 1<<20 || !all[0].Ended || all[5].Ended {
		t.Errorf("%d bytes unsent, first client closed %v, last %v", front.Unsent(), all[0].Ended, all[5].Ended)
	}
	world.Advance(writeTimeout)
	if front.Unsent() != 0 || front.Conns() != 0 {
		t.Errorf("%d bytes unsent for clients that never read, %d connections", front.Unsent(), front.Conns())
	}
}
