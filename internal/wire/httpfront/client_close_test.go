package httpfront

import (
	"io"
	"testing"

	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

// The I/O goroutine records that a client has closed its connection before the event loop handles it, so that nothing is sent on
// behalf of that client in the meantime. The event loop does not run here until ClientGone has been called.
func TestClientCloseIsKnownBeforeEventLoopHandlesIt(t *testing.T) {
	world, front, fake := newFront(t, 9)
	peer := &wiretest.Peer{}
	var handler sock.Handler
	peer.Conn, _ = world.Pair(peer, func(c *wiretest.Conn) sock.Handler {
		handler = front.Accept(c)
		return handler
	})
	world.Run()
	send(world, peer, callRequest)
	reply := fake.calls[0].Reply
	if reply.ClientGone() {
		t.Error("ClientGone is true for a client that is still connected")
	}
	handler.Closed(io.EOF)
	if !reply.ClientGone() || len(fake.gone) != 0 {
		t.Errorf("before the event loop ran: client gone %v, core notified %d times", reply.ClientGone(), len(fake.gone))
	}
	if world.Run(); len(fake.gone) != 1 {
		t.Errorf("core notified %d times, want once", len(fake.gone))
	}
}
