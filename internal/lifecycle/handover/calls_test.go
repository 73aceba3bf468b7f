package handover

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/mqtt"
)

func (s *handlerStub) Outcome(o mqtt.UnpublishedOutcome) { s.events <- "outcome " + o.CallID }

// Calls reports each call with its answer, as an event.
func (s *handlerStub) Calls(calls []core.RememberedCall) {
	for _, call := range calls {
		s.events <- fmt.Sprintf("%q %s %d", call.Key, call.Answer.Kind, len(call.Answer.Body))
	}
}

// linkPair returns both ends of a link.
func linkPair(t *testing.T) (near, far *Peer) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dir, old := t.TempDir(), newHandlerStub(ln)
	server, err := Listen(dir, testIdentity, old)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	far, inherited, _, err := TakeOver(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	inherited.Close()
	return <-old.successors, far
}

// Remembered calls that are queued when a process ends must all reach its successor, each in its newest state and with its binary key,
// before the end of the link: a key that is lost lets its call run a second time.
func TestQueuedCallsArriveBeforeLinkEnds(t *testing.T) {
	near, far := linkPair(t)
	next := newHandlerStub(nil)
	const count = 5000
	next.events = make(chan string, count+9)
	binaryKey := []byte("c back\x00\xff\xfe")
	calls := []core.RememberedCall{{Key: binaryKey}}
	for n := range count {
		calls = append(calls, core.RememberedCall{Key: fmt.Append(nil, n), Answer: core.Answer{Kind: "served", Body: bytes.Repeat([]byte("x"), 1000)}})
	}
	near.Calls(calls)
	near.Calls([]core.RememberedCall{{Key: binaryKey, Answer: core.Answer{Kind: "served", Body: make([]byte, 300_000)}}})
	ended := make(chan struct{})
	go func() { defer close(ended); near.Finish(time.Minute) }()
	far.Start(next)
	<-ended
	got := map[string]int{}
	for event := ""; event != "gone"; got[event]++ {
		event = <-next.events
	}
	delete(got, fmt.Sprintf("%q  0", binaryKey)) // it may have left before its newer state was queued
	newest := got[fmt.Sprintf("%q served 300000", binaryKey)]
	if len(got) != count+2 || newest != 1 || got[`"4999" served 1000`] != 1 || len(next.events) > 0 {
		t.Errorf("%d different events, want %d calls and the end; newest states of the call that was queued twice: %d, want 1",
			len(got), count+1, newest)
	}
}

// A peer that reads nothing must not hold up the end of a process for longer than the limit.
func TestFinishDoesNotWaitForPeerThatReadsNothing(t *testing.T) {
	near, far := linkPair(t)
	defer far.Close()
	for n := range 20 {
		near.Calls([]core.RememberedCall{{Key: fmt.Append(nil, n), Answer: core.Answer{Body: make([]byte, 100_000)}}})
	}
	near.Finish(10 * time.Millisecond)
	select {
	case <-near.closed:
	default:
		t.Error("the link is still open")
	}
}
