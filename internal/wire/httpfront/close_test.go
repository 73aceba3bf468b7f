package httpfront

import (
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
)

// A whole request that arrives while its connection is being closed is answered, whatever closes the connection: its bytes are on
// the way to the event loop when that decides to close.
func TestRequestArrivingDuringCloseIsAnswered(t *testing.T) {
	for name, closes := range map[string]func(*Front, *conn){
		"process ends": func(front *Front, _ *conn) { front.Shutdown() },
		"drain":        func(front *Front, _ *conn) { front.unready, front.endingConns = true, true; front.closeIdle() },
		"hand-over":    func(front *Front, _ *conn) { front.endingConns = true; front.closeIdle() },
		"idle":         func(_ *Front, c *conn) { c.closeIfIdle(idleTooLong) },
	} {
		world, front, fake := newFront(t, 9)
		peer := dial(world, front)
		send(world, peer, checkRequest)
		c := onlyConn(front)
		peer.Write([]byte(callRequest)) // delivered only after the close has been decided
		closes(front, c)
		if world.Run(); len(fake.calls) != 1 || peer.Ended {
			t.Errorf("%s: %d calls taken, connection closed %v", name, len(fake.calls), peer.Ended)
			continue
		}
		fake.calls[0].Reply.Served([]byte("x"))
		world.Run()
		if got := peer.Take(); !strings.HasPrefix(got, "HTTP/1.1 200 ") || !strings.Contains(got, "Connection: close\r\n") || !peer.Ended {
			t.Errorf("%s: answered %q, closed %v", name, got, peer.Ended)
		}
		if front.Conns() != 0 {
			t.Errorf("%s: %d connections left open", name, front.Conns())
		}
	}
}

// An empty line does not keep a connection that is to be closed open, and a partial request only until its read timeout.
func TestPendingCloseCompletesWithoutWholeRequest(t *testing.T) {
	for text, want := range map[string]string{"\r\n": "", requestHead: "HTTP/1.1 408 "} {
		world, front, _ := newFront(t, 9)
		peer := dial(world, front)
		send(world, peer, checkRequest)
		c := onlyConn(front)
		peer.Write([]byte(text))
		c.closeIfIdle(idleTooLong)
		world.Run()
		if world.Advance(readTimeout + lingerTimeout + time.Millisecond); !peer.Ended || !strings.HasPrefix(peer.Take(), want) {
			t.Errorf("%q: closed %v", text, peer.Ended)
		}
	}
}

// Input that arrives with the last answer is read for a while. A close with unread input would reset the connection, and a client
// that has not read the answer would lose it.
func TestInputAfterLastAnswerDoesNotLoseAnswer(t *testing.T) {
	world, front, fake := newFront(t, 9)
	peer := dial(world, front)
	send(world, peer, strings.Replace(callRequest, "Host:", "Connection: close\r\nHost:", 1))
	fake.calls[0].Reply.Served([]byte("x"))
	peer.Write([]byte("more")) // delivered only once the answer has been written
	if world.Run(); peer.Ended || !strings.HasPrefix(peer.Take(), "HTTP/1.1 200 ") {
		t.Error("closed with input unread")
	}
	if world.Advance(lingerTimeout); !peer.Ended {
		t.Errorf("not closed within %v after the last answer", lingerTimeout)
	}
}

// onlyConn is the single connection of a front.
func onlyConn(front *Front) (c *conn) {
	front.conns.Each(func(_ core.Ref, o *conn) { c = o })
	return c
}
