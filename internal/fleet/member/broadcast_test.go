package member

import (
	"testing"
	"time"

	"go.uber.org/zap"
)

// heldHandler is a recorder that holds up the event of a draining gateway until it is released, like an event loop with a full mailbox.
type heldHandler struct {
	*recorder
	held    chan struct{} // closed when the event is held
	release chan struct{}
}

func (h *heldHandler) Event(e Event) {
	if e.State == Draining {
		close(h.held)
		<-h.release
	}
	h.recorder.Event(e)
}

// Guards against an event loop that waits for good: memberlist reports an event under the lock of its list, which the queue of
// broadcasts took while it was locked itself, and the event loop that the event waited for was waiting for that queue.
func TestBroadcastDoesNotWaitForAnEvent(t *testing.T) {
	a, b := freeAddr(t), freeAddr(t)
	handler := &heldHandler{&recorder{changed: make(chan struct{}, 1)}, make(chan struct{}), make(chan struct{})}
	transportA, err := Open(Options{Fleet: "one", Bind: a, Self: metadata("a", 1, 1)}, handler, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer transportA.Close(false)
	defer close(handler.release)
	self := metadata("b", 1, 1)
	transportB, _ := openTransport(t, "one", b, self, a)
	defer transportB.Close(false)
	if transportB.Join(10*time.Second) != 1 {
		t.Fatal("the seed has not answered")
	}
	self.State = Draining
	transportB.Announce(self)
	<-handler.held
	transportA.Broadcast([]byte("first"))
	filled, returned := make(chan [][]byte, 1), make(chan bool, 1)
	go func() { filled <- transportA.GetBroadcasts(0, 1000) }() // as memberlist does when it answers a probe
	select {
	case messages := <-filled:
		if len(messages) != 1 || string(messages[0]) != "first" {
			t.Errorf("broadcasts to send: %q", messages)
		}
	case <-time.After(10 * time.Second):
		t.Error("the answer to a probe waits for the event, and locks the queue of broadcasts")
	}
	go func() { returned <- transportA.Broadcast([]byte("second")) }()
	select {
	case queued := <-returned:
		if !queued {
			t.Error("the broadcast is not queued")
		}
	case <-time.After(10 * time.Second):
		t.Error("the broadcast waits for the event")
	}
}
