package mqtt

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// What a process takes over and publishes must give each call one outcome: that of a call which the broker doesn't deliver again is
// published by the next process, and a call that it does deliver again is answered there.
func TestOutcomesTakenOverArePublishedOnce(t *testing.T) {
	gw := newTestGateway(t)
	held := &heldCore{}
	gw.front.core = held
	gw.publish("command", "k1", "c1", 3) // acknowledged when it was taken
	gw.publish("read", "", "c2", 3)      // acknowledged with its outcome
	gw.callBroker.disconnect("gw")
	gw.Run()
	for _, reply := range held.replies {
		reply.Served([]byte("done"))
	}
	taken := gw.front.TakeUnpublished()
	if len(taken) != 1 || string(taken[0].Correlation) != "c1" || gw.front.Waiting() != 0 {
		t.Errorf("taken: %+v, %d outcomes wait, want that of c1 taken and none left", taken, gw.front.Waiting())
	}
	gw.kill()
	gw.start()
	gw.Run()
	for _, outcome := range taken {
		gw.front.Publish(outcome)
	}
	gw.Advance(2 * time.Second)
	gw.wantRecords("outcome c1", "served")
	gw.wantRecords("outcome c2", "served")
	if gw.front.Waiting() != 0 || len(gw.front.unpublished) != 0 {
		t.Errorf("%d outcomes wait, %d are held, want none", gw.front.Waiting(), len(gw.front.unpublished))
	}
}

// A session that is stopped names each call whose outcome the broker has not acknowledged in the log, so that its caller can be told.
func TestStoppedFrontLogsUnpublishedOutcomesByCall(t *testing.T) {
	gw := newTestGateway(t)
	held := &heldCore{}
	log, logged := observer.New(zap.WarnLevel)
	gw.front.core, gw.front.log = held, zap.New(log)
	message := Message{Topic: "call/lift", Props: Props{ResponseTopic: "back/client", User: []Pair{{"class", "command"}, {"tenant", "a"},
		{"function", testFunction}, {"key", "k1"}, {"id", "0000000000000abc"}}}}
	gw.client.conn.Write(AppendPublish(nil, &message, 1, 0))
	gw.Run()
	gw.callBroker.disconnect("gw")
	gw.Run()
	held.replies[0].Served(nil)
	gw.front.Stop()
	gw.Run()
	named := func(e observer.LoggedEntry) bool {
		return e.Message == "outcome not published" && e.ContextMap()["call"] == "0000000000000abc" && e.ContextMap()["error"] == errStopped.Error()
	}
	if !slices.ContainsFunc(logged.All(), named) {
		t.Errorf("logged: %+v, want the call whose outcome is lost", logged.All())
	}
}

// A process that is about to end must not wait for a pause between attempts to connect that began before.
func TestReconnectSoonEndsLongPause(t *testing.T) {
	gw := newTestGateway(t)
	gw.front.session.dialer = nil // so that an attempt would panic: the pause is long
	gw.front.session.backoff = maxBackoff
	gw.callBroker.disconnect("gw")
	gw.Advance(time.Second)
	gw.front.session.dialer = gw
	gw.front.ReconnectSoon()
	gw.Advance(minBackoff)
	if !gw.front.Up() || gw.front.session.backoff != minBackoff {
		t.Errorf("up %v, next pause %v, want a connection and %v", gw.front.Up(), gw.front.session.backoff, minBackoff)
	}
}
