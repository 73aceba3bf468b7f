package httpfront

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// At the soft limit a new connection closes the one idle longest, but never one with a call in flight. A connection that was
// accepted above the limit is answered with 503 and closed.
func TestConnectionsAreBounded(t *testing.T) {
	world, front, _ := newFront(t, 3)
	a, b := dial(world, front), dial(world, front)
	send(world, a, callRequest)
	world.Advance(newConnMinAge)
	c := dial(world, front)
	if a.Ended || !b.Ended || c.Ended || front.Conns() != 2 {
		t.Errorf("closed: %v %v %v, %d open", a.Ended, b.Ended, c.Ended, front.Conns())
	}
	send(world, c, callRequest)
	d := dial(world, front) // up to the limit, while none is idle
	send(world, d, callRequest)
	e := dial(world, front)
	got := e.Take()
	if world.Advance(lingerTimeout); d.Ended || !e.Ended || !strings.HasPrefix(got, "HTTP/1.1 503 ") ||
		!strings.Contains(got, "Srv-Wait-Ms: ") {
		t.Errorf("a fourth connection beside three with calls: closed %v, answer %q", e.Ended, got)
	}
}

// While all slots are taken, idle connections are closed to make room, also those with a partial request, which is answered with
// 503, and those of clients that read their answer too slowly. A new connection gets newConnMinAge to send its request, and a request
// that is on its way when its connection is chosen is answered.
func TestFullFrontMakesRoom(t *testing.T) {
	world, front, fake := newFront(t, 6)
	slow, serverEnd := dialSlowReader(world, front)
	serverEnd.UnsentBytes = 1000
	send(world, slow, checkRequest)
	partial, silent, idle, busy := dial(world, front), dial(world, front), dial(world, front), dial(world, front)
	send(world, partial, requestHead)
	send(world, busy, callRequest)
	send(world, idle, checkRequest)
	last := dial(world, front)
	if world.Advance(newConnMinAge / 2); front.Conns() != 5 || silent.Ended || last.Ended { // the idle one was closed at once
		t.Fatalf("%d connections, the new ones closed: %v %v", front.Conns(), silent.Ended, last.Ended)
	}
	dial(world, front)
	world.Advance(newConnMinAge/2 - time.Millisecond)
	last.Write([]byte(strings.Replace(callRequest, "9b1f", "0000", 1))) // in transit when the time of the silent ones is over
	if world.Advance(newConnMinAge); !silent.Ended || last.Ended || len(fake.calls) != 2 {
		t.Errorf("closed: silent %v, with a request %v; %d calls", silent.Ended, last.Ended, len(fake.calls))
	}
	for front.Conns() < 6 {
		send(world, dial(world, front), strings.Replace(callRequest, "9b1f", fmt.Sprintf("%04x", 100+front.Conns()), 1))
	}
	if world.Advance(partialRequestMinAge + lingerTimeout); !partial.Ended || !strings.HasPrefix(partial.Take(), "HTTP/1.1 503 ") {
		t.Errorf("partial request: closed %v, without a 503 answer", partial.Ended)
	}
	send(world, dial(world, front), strings.Replace(callRequest, "9b1f", "0200", 1))
	if world.Advance(slowReaderMinAge); !slow.Ended || busy.Ended {
		t.Errorf("closed: slow reader %v, with a call %v", slow.Ended, busy.Ended)
	}
}

// Clients that send one request and never close their connection must leave room below the limit, which the platform enforces as
// well. Many clients that connect and send nothing must not displace those that have sent a request.
func TestIdleAndSilentConnectionsMakeRoom(t *testing.T) {
	const check = "GET /check HTTP/1.1\r\n\r\n"
	world, front, _ := newFront(t, 30)
	for range 50 {
		send(world, dial(world, front), check)
		world.Advance(time.Millisecond)
	}
	if front.Conns() != 20 {
		t.Errorf("%d idle connections are open of at most 30, want 20", front.Conns())
	}
	var usual []*wiretest.Peer
	for range 9 {
		usual = append(usual, dial(world, front))
		send(world, usual[len(usual)-1], check)
		world.Advance(time.Millisecond)
	}
	for range 200 {
		dial(world, front)
		world.Advance(time.Millisecond)
	}
	for i, peer := range usual {
		if peer.Ended {
			t.Errorf("usual client %d was displaced by silent ones", i)
		}
	}
}

// A client that never sends a whole request gets an answer or a close within 3 s of connecting, however slowly its bytes arrive.
func TestIncompleteRequestTimesOut(t *testing.T) {
	for name, want := range map[string]string{"silent": "", "half": "HTTP/1.1 408 ", "after a request": "HTTP/1.1 408 "} {
		world, front, _ := newFront(t, 9)
		peer := dial(world, front)
		if name == "after a request" {
			send(world, peer, "GET /check HTTP/1.1\r\n\r\n")
			world.Advance(20 * time.Second)
		}
		for i := range 6 {
			if name != "silent" {
				peer.Write([]byte(requestHead[i : i+1]))
			}
			world.Advance(500 * time.Millisecond)
		}
		if got := peer.Take(); !peer.Ended || !strings.HasPrefix(got, want) || want == "" && got != "" {
			t.Errorf("%s: closed %v, answer %q", name, peer.Ended, got)
		}
	}
}

// Input behind a refused head is read and discarded for a limited time and size. Otherwise the close would reset the connection
// before its client has read the answer.
func TestRestOfABadRequestIsDiscarded(t *testing.T) {
	world, front, fake := newFront(t, 9)
	peer := dial(world, front)
	got := send(world, peer, strings.Replace(callRequest, "Length: 2", "Length: 60000000", 1))
	if !strings.HasPrefix(got, "HTTP/1.1 413 ") || !strings.Contains(got, "Connection: close") || peer.Ended {
		t.Fatalf("answer %q, closed %v", got, peer.Ended)
	}
	if send(world, peer, callRequest); peer.Ended || len(fake.calls) > 0 {
		t.Errorf("closed %v, %d calls taken after the refusal", peer.Ended, len(fake.calls))
	}
	for n := 0; n < maxLingerBytes && !peer.Ended; n += 1 << 20 {
		send(world, peer, strings.Repeat("x", 1<<20))
	}
	if !peer.Ended {
		t.Errorf("not closed after %d bytes of discarded input", maxLingerBytes)
	}
}

// With more pipelined requests than the limit, those that were read are answered in order. The first one too many is answered
// with 400 and ends the connection, and the input behind it is not read.
func TestTooManyPipelinedRequestsAreRefused(t *testing.T) {
	world, front, fake := newFront(t, 9)
	peer := dial(world, front)
	send(world, peer, strings.Repeat(callRequest, 1+maxPipelined)+callRequest+callRequest)
	for i := range 1 + maxPipelined {
		if len(fake.calls) != i+1 {
			t.Fatalf("%d calls taken after %d answers", len(fake.calls), i)
		}
		fake.calls[i].Reply.Served([]byte{byte('a' + i)})
		world.Run()
	}
	got := peer.Take()
	answers := strings.Split(got, "HTTP/1.1 ")[1:]
	for i, answer := range answers {
		if i <= maxPipelined && (!strings.HasPrefix(answer, "200 ") || answer[len(answer)-1] != byte('a'+i)) {
			t.Errorf("answer %d is %q", i, answer)
		}
	}
	if len(answers) != 2+maxPipelined || !strings.HasPrefix(answers[1+maxPipelined], "400 ") ||
		len(fake.calls) != 1+maxPipelined || len(fake.gone) != 0 {
		t.Errorf("answered %q, %d calls, %d gone", got, len(fake.calls), len(fake.gone))
	}
	send(world, peer, callRequest)
	if world.Advance(lingerTimeout); !peer.Ended || len(fake.calls) != 1+maxPipelined {
		t.Error("not closed")
	}
	peer = dial(world, front)
	send(world, peer, callRequest)
	fake.calls[len(fake.calls)-1].Reply.Failed(core.Duplicate)
	if world.Run(); !strings.HasPrefix(peer.Take(), "HTTP/1.1 409 ") {
		t.Error("no 409 for an id that is in flight")
	}
}

// Whole requests ahead of unreadable input are answered in order, whatever happens meanwhile, and the unreadable input last.
func TestRequestsAheadOfGarbageAreAnswered(t *testing.T) {
	for name, meanwhile := range map[string]func(*Front){"nothing": func(*Front) {}, "end": (*Front).Shutdown, "drain": (*Front).Drain,
		"hand-over": (*Front).HandOver} {
		world, front, fake := newFront(t, 9)
		peer := dial(world, front)
		send(world, peer, callRequest+checkRequest+strings.Replace(callRequest, "9b1f", "0000", 1)+"\x00\x01\r\n\r\n"+callRequest)
		meanwhile(front)
		world.Advance(time.Second)
		fake.calls[0].Reply.Served([]byte("first"))
		world.Run()
		if len(fake.calls) != 2 {
			t.Errorf("%s: %d calls taken", name, len(fake.calls))
			continue
		}
		fake.calls[1].Reply.Served([]byte("third"))
		world.Run()
		got := strings.Split(peer.Take(), "HTTP/1.1 ")
		if len(got) != 5 || !strings.HasSuffix(got[1], "first") || !strings.Contains(got[2], "Content-Length: ") ||
			!strings.HasSuffix(got[3], "third") || !strings.HasPrefix(got[4], "400 ") || !strings.Contains(got[4], "Connection: close") {
			t.Errorf("%s: answered %q", name, got)
		}
		if world.Advance(lingerTimeout); !peer.Ended || len(fake.gone) != 0 {
			t.Errorf("%s: closed %v, %d calls given up", name, peer.Ended, len(fake.gone))
		}
	}
}
