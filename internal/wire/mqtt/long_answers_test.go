package mqtt

import (
	"testing"
	"time"

	"quillrail/internal/core"
)

// longAnswerBytes is the size of a long answer on the days of the operators.
const longAnswerBytes = 230_000

// fixedCore serves each call at once with the same body.
type fixedCore struct{ body []byte }

func (f fixedCore) Count(int, string) {}

func (f fixedCore) Submit(c core.Call) core.Ref { c.Reply.Served(f.body); return 0 }

// A call whose answer is long must have an outcome: the answer, where the broker names no limit that excludes it, and a failure in its
// place otherwise. Only the broker limits what is published, not the size of the packets that the gateway itself accepts.
func TestLongAnswerHasOutcome(t *testing.T) {
	for limit, want := range map[uint32]string{0: "served", longAnswerBytes + 1000: "served", longAnswerBytes: "failed", 1000: "failed"} {
		gw := newTestGateway(t)
		gw.callBroker.maxPacket = limit
		gw.callBroker.disconnect("gw")
		gw.front.core = fixedCore{make([]byte, longAnswerBytes)}
		gw.Advance(minBackoff)
		gw.publish("command", "k1", "c1", 3)
		gw.publish("read", "", "c2", 3)
		gw.publish("command", "k1", "c1", 3) // delivered again
		gw.wantRecords("outcome c1", want, want)
		gw.wantRecords("outcome c2", want)
		size, reason := 0, answerTooLong
		if want == "served" {
			size, reason = longAnswerBytes, ""
		}
		for _, p := range gw.callBroker.published {
			if p.Topic == "back/client" && (len(p.Payload) != size || p.Props.Get("reason") != reason) {
				t.Errorf("limit %d: an outcome of %d bytes with reason %q, want %d and %q", limit, len(p.Payload), p.Props.Get("reason"), size, reason)
			}
		}
		gw.front.core = fixedCore{[]byte("short")}
		gw.publish("read", "", "c3", 3)
		gw.wantRecords("outcome c3", "served")
		if unacked := gw.callBroker.sessions["gw"].unacked; len(unacked) > 0 || gw.front.Waiting() > 0 {
			t.Errorf("limit %d: %d calls unacknowledged, %d outcomes waiting", limit, len(unacked), gw.front.Waiting())
		}
	}
}

// A long answer of a worker that is reached by MQTT must reach the caller. A broker discards what is longer than the gateway accepts, so
// that the call would run and fail.
func TestLongAnswerOfMQTTWorkerIsReceived(t *testing.T) {
	gw := newTestGateway(t)
	gw.workerAnswer = make([]byte, longAnswerBytes)
	gw.publish("command", "k1", "c1", 3)
	gw.Advance(4 * time.Second)
	gw.wantRecords("outcome c1", "served")
	gw.wantRuns("k1", 1)
}
