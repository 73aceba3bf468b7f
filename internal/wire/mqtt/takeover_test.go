package mqtt

import (
	"encoding/json"
	"testing"
	"time"

	"quillrail/internal/core"
)

// Keyed calls that a process remembers, ended or open, must not run again at the process that takes over when the broker delivers them a
// second time, without the DUP flag: it sends what a caller publishes again as a message of its own.
func TestRedeliveryAfterTakeoverDoesNotRunAgain(t *testing.T) {
	gw := newTestGateway(t)
	const binary = "c\x00\xff" // correlation data need not be text
	gw.publish("command", "k1", binary, 3)
	gw.workerSilent = true
	gw.publish("command", "k2", "c2", 3)
	gw.publish("command", "k3", "c3", 3)
	old := gw.front
	var passed []core.RememberedCall
	keys := old.FollowCalls(func(call core.RememberedCall) { passed = append(passed, call) })
	passed = append(passed, old.RememberedCalls(keys)...)
	gw.replyAsWorker(gw.byKey["k2"], "ok")
	gw.Run()
	gw.kill()
	text, err := json.Marshal(passed)
	if err != nil {
		t.Fatal(err)
	}
	gw.start()
	var received []core.RememberedCall
	if err := json.Unmarshal(text, &received); err != nil {
		t.Fatal(err)
	}
	gw.front.AdoptCalls(received)
	gw.workerSilent = false
	gw.Advance(10 * time.Second) // by then the worker no longer drops repeated keys
	gw.publish("command", "k1", binary, 3)
	gw.publish("command", "k2", "c2", 3)
	gw.publish("command", "k3", "c3", 3)
	for _, key := range []string{"k1", "k2", "k3"} {
		gw.wantRuns(key, 1)
	}
	gw.wantRecords("outcome "+binary, "served", "served")
	gw.wantRecords("outcome c2", "served", "served")
	gw.wantRecords("outcome c3", "failed")
	gw.publish("command", "k4", "c4", 3) // new keys are served
	gw.wantRecords("outcome c4", "served")
	gw.Advance(400 * time.Second) // the retention time of newTestGateway
	if n := gw.front.KnownCalls(); n != 0 {
		t.Errorf("%d calls are remembered after the retention time", n)
	}
}
