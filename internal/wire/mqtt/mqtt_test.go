package mqtt

import (
	"testing"
	"time"
)

func TestCallIsServedOverMQTT(t *testing.T) {
	gw := newTestGateway(t)
	gw.publish("command", "k1", "c1", 3)
	gw.wantRuns("k1", 1)
	gw.wantRecords("outcome c1", "served")
	gw.wantRecords("record k1", "served")
}

// A drained gateway refuses and counts new calls, answers known ones, finishes those in flight, and fails redelivered calls that
// may have run before it started. After resume it takes the refused call.
func TestDrainOverMQTT(t *testing.T) {
	gw := newTestGateway(t)
	gw.publish("command", "k1", "c1", 3)
	gw.workerSilent = true
	gw.publish("command", "k2", "c2", 3)
	gw.front.Drain()
	gw.publish("command", "k1", "c1", 3)
	gw.publish("command", "k3", "c3", 3)
	gw.replyAsWorker(gw.byKey["k2"], "ok")
	gw.Run()
	gw.wantRecords("outcome c1", "served", "served")
	gw.wantRecords("outcome c2", "served")
	gw.wantRecords("outcome c3", "refused")
	gw.wantRuns("k3", 0)
	if f := gw.core.Metrics(); f.Classes[1].Shed != 1 || f.Classes[1].OK != 2 || f.Active != 0 {
		t.Errorf("statistics %+v", f)
	}
	gw.front.Resume()
	gw.workerSilent = false
	gw.publish("command", "k3", "c3", 3)
	gw.wantRecords("outcome c3", "refused", "served")
	gw.wantRuns("k3", 1)
}

// When a client's session is lost, the broker delivers a keyed call again: once after its answer and once while it is in flight.
func TestRedeliveryDoesNotRunAgain(t *testing.T) {
	gw := newTestGateway(t)
	gw.callBroker.dropAcks = true
	gw.publish("command", "k1", "c1", 3)
	gw.callBroker.disconnect("gw")
	gw.Advance(time.Second) // the session is resumed, and k1 is delivered again
	gw.wantRuns("k1", 1)
	gw.wantRecords("outcome c1", "served", "served")
	gw.workerSilent = true
	gw.publish("command", "k2", "c2", 3)
	gw.callBroker.redeliver("gw") // joins the call in flight
	gw.Run()
	gw.wantRuns("k2", 1)
	gw.wantRecords("outcome c2")
	gw.replyAsWorker(gw.byKey["k2"], "ok")
	gw.Run()
	gw.wantRecords("record k2", "served")
	gw.wantRuns("k2", 1)
}

// A gateway dies with a keyed call in flight. The call was acknowledged before its first attempt. If that acknowledgement is lost,
// the call is delivered again, and the next process must not run it.
func TestRestartedGatewayFailsRedeliveredCall(t *testing.T) {
	for _, lost := range []bool{false, true} {
		gw := newTestGateway(t)
		gw.workerSilent, gw.callBroker.dropAcks = true, lost
		gw.publish("command", "k1", "c1", 3)
		gw.kill()
		gw.callBroker.dropAcks = false
		gw.start()
		gw.Advance(5 * time.Second)
		gw.wantRuns("k1", 1)
		if lost {
			gw.wantRecords("outcome c1", "failed")
			gw.wantRecords("record k1", "failed")
		} else {
			gw.wantRecords("outcome c1")
		}
		gw.workerSilent = false
		gw.publish("command", "k2", "c2", 3) // new keys are served as before
		gw.wantRecords("outcome c2", "served")
	}
}

// The acknowledgement is sent before the first attempt. Otherwise the broker would deliver a call that already runs again after the
// gateway died between the two.
func TestKeyedCallIsAcknowledgedBeforeFirstAttempt(t *testing.T) {
	gw := newTestGateway(t)
	acked := -1
	runCall := gw.worker.onPublish
	gw.worker.onPublish = func(p *Packet) {
		if p.Type == Publish && acked < 0 {
			acked = len(gw.callBroker.sessions["gw"].unacked)
		}
		runCall(p)
	}
	gw.publish("command", "k1", "c1", 3)
	if acked != 0 {
		t.Errorf("%d messages unacknowledged when the worker got the call", acked)
	}
}

// The broker stores a safe call until its outcome. If a gateway dies, the next one runs the call.
func TestSafeCallSurvivesGatewayRestart(t *testing.T) {
	gw := newTestGateway(t)
	gw.workerSilent = true
	gw.publish("read", "", "c1", 3)
	gw.kill()
	gw.workerSilent = false
	gw.start()
	gw.Advance(time.Second)
	gw.wantRecords("outcome c1", "served")
}

// Messages that can't be read as calls are failed and acknowledged, and never reach a worker. A refusal carries the time to wait, and
// the same key may then be sent again.
func TestBadCallsAndRefusals(t *testing.T) {
	gw := newTestGateway(t)
	gw.publish("nonsense", "k1", "c1", 2)
	gw.wantRecords("outcome c1", "failed")
	gw.publish("command", "", "c2", 2)
	gw.wantRecords("outcome c2", "failed")
	if len(gw.runs) > 0 || len(gw.callBroker.sessions["gw"].unacked) > 0 {
		t.Errorf("runs %v, unacknowledged %d", gw.runs, len(gw.callBroker.sessions["gw"].unacked))
	}
	gw.workerBroker.publish(Message{Topic: "w1/status", Payload: []byte("draining")})
	gw.Run()
	gw.publish("command", "k3", "c3", 2)
	gw.Advance(3 * time.Second)
	gw.wantRecords("outcome c3", "refused")
	gw.workerBroker.publish(Message{Topic: "w1/status", Payload: []byte("ready")})
	gw.Advance(20 * time.Second)
	gw.publish("command", "k3", "c3", 2)
	gw.wantRuns("k3", 1)
	gw.wantRecords("outcome c3", "refused", "served")
	gw.publish("read", "k3", "c4", 2)
	gw.publish("command", "k3", "c5", 2)
	gw.wantRecords("outcome c5", "served")
}
