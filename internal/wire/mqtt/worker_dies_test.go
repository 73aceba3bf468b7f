package mqtt

import (
	"testing"
	"time"

	"quillrail/decide"
)

// A worker that dies before it has acknowledged a call must not get it again from the broker when it is back: it remembers no keys, and
// would run the call a second time. Only calls of safe classes may be delivered again.
func TestCallOfWorkerThatDiesIsNotDeliveredAgain(t *testing.T) {
	for class, wantRuns := range map[string]int{"once": 1, "command": 1, "read": 2} {
		gw := newTestGatewayWithOnce(t, decide.Unsafe)
		gw.workerSilent, gw.workerBroker.dropAcks = true, true
		key := map[string]string{"command": "k1"}[class]
		gw.publish(class, key, "c1", 3)
		gw.workerBroker.publish(Message{Topic: "w1/status", Payload: []byte("gone")})
		gw.Advance(10 * time.Second) // the worker would have forgotten the key by now, had it not died
		gw.workerBroker.publish(Message{Topic: "w1/status", Payload: []byte("ready")})
		gw.workerBroker.redeliver("worker")
		gw.Run()
		if ran := gw.runs[key] + gw.runs["go"]; ran != wantRuns { // counted by the payload for class once
			t.Errorf("class %s: the call ran %d times, want %d", class, ran, wantRuns)
		}
		wantOutcome := map[string]string{"read": "refused"}[class] // a safe call may be made again
		if wantOutcome == "" {
			wantOutcome = "failed"
		}
		gw.wantRecords("outcome c1", wantOutcome)
	}
}
