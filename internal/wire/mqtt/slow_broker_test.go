package mqtt

import (
	"fmt"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// A broker that reads slowly while it goes on sending calls must be given an outcome for each of them in the end. Where no more outcomes,
// or no more answers, can wait for it, calls are refused or failed, and the broker is held back by its Receive Maximum.
func TestSlowBrokerGetsAllOutcomes(t *testing.T) {
	for answerBytes, calls := range map[int]int{10: 3 * maxQueued / 2, longAnswerBytes: 300} {
		gw := newTestGateway(t)
		gw.front.core = fixedCore{make([]byte, answerBytes)}
		session := gw.callBroker.sessions["gw"]
		gwConn := gw.front.session.conn.(*wiretest.Conn)
		pauses, longest := 0, 0
		for n := range calls {
			if len(session.unacked) == receiveMax { // the broker sends no more until it has read
				gwConn.Flush()
				gw.Advance(10 * time.Millisecond)
				pauses++
			}
			gwConn.UnsentBytes = 1
			gw.publish([]string{"read", "command"}[n%2], fmt.Sprint("k", n), fmt.Sprint("c", n), 3)
			longest = max(longest, gw.front.Waiting())
		}
		gwConn.Flush()
		gw.Advance(time.Second)
		kinds := map[string]int{}
		for n := range calls {
			outcomes := gw.records[fmt.Sprint("outcome c", n)]
			if len(outcomes) != 1 {
				t.Fatalf("answers of %d bytes: call %d has the outcomes %q, want one", answerBytes, n, outcomes)
			}
			kinds[outcomes[0]]++
		}
		t.Logf("figures: answer_bytes=%d calls=%d outcomes=%v longest_queue=%d pauses=%d", answerBytes, calls, kinds, longest, pauses)
		if longest > maxQueued || len(session.unacked) > 0 || gw.front.owed != 0 {
			t.Errorf("answers of %d bytes: up to %d outcomes waited, %d calls are unacknowledged, %d outcomes are owed",
				answerBytes, longest, len(session.unacked), gw.front.owed)
		}
	}
}

// heldCore keeps the replies of its calls.
type heldCore struct{ replies []core.Reply }

func (h *heldCore) Count(int, string) {}

func (h *heldCore) Submit(c core.Call) core.Ref { h.replies = append(h.replies, c.Reply); return 0 }

// More long answers than can wait for the broker, all to calls that were open when it stopped reading: each call has an outcome.
func TestAnswersBeyondQueueAreReplacedByFailures(t *testing.T) {
	gw := newTestGateway(t)
	held := &heldCore{}
	gw.front.core = held
	const calls = 2 * maxQueuedBytes / longAnswerBytes
	for n := range calls {
		gw.publish("command", fmt.Sprint("k", n), fmt.Sprint("c", n), 3)
	}
	gwConn := gw.front.session.conn.(*wiretest.Conn)
	gwConn.UnsentBytes = 1
	for _, reply := range held.replies {
		reply.Served(make([]byte, longAnswerBytes))
		gw.Run()
	}
	gwConn.Flush()
	gw.Advance(time.Second)
	kinds := map[string]int{}
	for n := range calls {
		kinds[fmt.Sprint(gw.records[fmt.Sprint("outcome c", n)])]++
	}
	if kinds["[served]"] != maxQueuedBytes/longAnswerBytes || kinds["[failed]"] != calls-kinds["[served]"] {
		t.Errorf("outcomes of %d calls: %v, want one each, %d served", calls, kinds, maxQueuedBytes/longAnswerBytes)
	}
}
