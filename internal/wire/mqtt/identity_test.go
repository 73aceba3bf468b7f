package mqtt

import (
	"slices"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// publishNamed publishes a call that has neither a key nor correlation data, only an id.
func (g *testGateway) publishNamed(class, id string) {
	m := Message{Topic: "call/lift", Payload: []byte(id), Props: Props{ResponseTopic: "back/client",
		User: []Pair{{"class", class}, {"tenant", "a"}, {"function", testFunction}, {"id", id}}}}
	g.client.lastID++
	g.client.conn.Write(AppendPublish(nil, &m, g.client.lastID, 0))
	g.Run()
}

// newTestGatewayWithOnce has a class "once" besides, of calls with this effect that have no keys.
func newTestGatewayWithOnce(t *testing.T, effect decide.Effect) *testGateway {
	site := wiretest.Site()
	site.Classes = append(site.Classes, "once")
	site.Decide.Classes = append(site.Decide.Classes, decide.Class{Deadline: 4 * time.Second, Effect: effect})
	return newTestGatewayAt(t, site)
}

const firstID, secondID = "00000000000000a1", "00000000000000a2"

// A call that must not run twice and is known by its id alone runs once, although its caller's session sends it again, which the broker
// delivers as a message of its own: while it is open, after it has ended, and at the process that takes over.
func TestCallKnownByItsIDRunsOnce(t *testing.T) {
	gw := newTestGatewayWithOnce(t, decide.Unsafe)
	gw.publishNamed("once", firstID)
	gw.publishNamed("once", firstID)
	gw.workerSilent = true
	gw.publishNamed("once", secondID)
	gw.publishNamed("once", secondID)
	gw.replyAsWorker(gw.byKey[""], "ok")
	gw.Run()
	gw.wantRecords("outcome ", "served", "served", "served", "served")
	passed := gw.front.RememberedCalls(gw.front.FollowCalls(func(core.RememberedCall) {}))
	gw.kill()
	gw.start()
	gw.front.AdoptCalls(passed)
	gw.workerSilent = false
	gw.Advance(time.Second)
	gw.publishNamed("once", firstID)
	gw.wantRecords("outcome ", "served", "served", "served", "served", "served")
	gw.wantRuns(firstID, 1)
	gw.wantRuns(secondID, 1)
}

// A call that is known by its id alone and is delivered again while it is open, as the gateway's connection was lost, has one outcome,
// and not a failure besides.
func TestCallKnownByItsIDIsJoinedWhenDeliveredAgain(t *testing.T) {
	gw := newTestGateway(t)
	gw.workerSilent = true
	gw.publishNamed("read", firstID)
	gw.callBroker.disconnect("gw")
	gw.Advance(time.Second)
	if gw.replyAsWorker(gw.byKey[""], "ok"); gw.callBroker.connects < 3 {
		t.Fatalf("the broker was connected to %d times, want the gateway again", gw.callBroker.connects)
	}
	gw.Run()
	if got := slices.Compact(gw.records["outcome "]); !slices.Equal(got, []string{"served"}) {
		t.Errorf("outcomes %q, want the same one only", gw.records["outcome "])
	}
}
