package httpfront

import (
	"io"
	"testing"

	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

// The end of a client's connection is known as soon as the I/O goroutine sees it, before the turn has come to it: nothing is
// sent for that client in the meantime. The turn is held here until after the question.
func TestClientThatLeavesIsKnownBeforeTheTurn(t *testing.T) {
	w, f, k := newFront(t, 9)
	p := &wiretest.Peer{}
	var handler sock.Handler
	p.Conn, _ = w.Pair(p, func(c *wiretest.Conn) sock.Handler {
		handler = f.Accept(c)
		return handler
	})
	w.Run()
	say(w, p, post)
	reply := k.calls[0].Reply
	if reply.ClientGone() {
		t.Error("a client that waits is said to have left")
	}
	handler.Closed(io.EOF)
	if !reply.ClientGone() || len(k.gone) != 0 {
		t.Errorf("left %v, told as gone %d times before the turn", reply.ClientGone(), len(k.gone))
	}
	if w.Run(); len(k.gone) != 1 {
		t.Errorf("told as gone %d times", len(k.gone))
	}
}
