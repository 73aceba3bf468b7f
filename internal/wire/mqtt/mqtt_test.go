package mqtt

import (
	"testing"
	"time"
)

func TestCallIsServedOverMQTT(t *testing.T) {
	s := newStage(t)
	s.publish("command", "k1", "c1", 3)
	s.ran("k1", 1)
	s.want("outcome c1", "served")
	s.want("record k1", "served")
}

// A drained gateway refuses what is new and counts it, answers what it knows, goes on with what is open, and fails what
// may have run before it was started; resumed, it takes the same call.
func TestDrainOverMQTT(t *testing.T) {
	s := newStage(t)
	s.publish("command", "k1", "c1", 3)
	s.mute = true
	s.publish("command", "k2", "c2", 3)
	s.front.Drain()
	s.publish("command", "k1", "c1", 3)
	s.publish("command", "k3", "c3", 3)
	s.reply(s.byID["k2"], "ok")
	s.Run()
	s.want("outcome c1", "served", "served")
	s.want("outcome c2", "served")
	s.want("outcome c3", "refused")
	s.ran("k3", 0)
	if f := s.core.Metrics(); f.Classes[1].Shed != 1 || f.Classes[1].OK != 2 || f.Active != 0 {
		t.Errorf("figures %+v", f)
	}
	s.front.Resume()
	s.mute = false
	s.publish("command", "k3", "c3", 3)
	s.want("outcome c3", "refused", "served")
	s.ran("k3", 1)
}

// A dropped session has the broker deliver a keyed call again, after its answer and while it is open.
func TestRedeliveryDoesNotRunAgain(t *testing.T) {
	s := newStage(t)
	s.calls.holdAcks = true
	s.publish("command", "k1", "c1", 3)
	s.calls.cut("gw")
	s.Pass(time.Second) // the session is resumed, and k1 comes again
	s.ran("k1", 1)
	s.want("outcome c1", "served", "served")
	s.mute = true
	s.publish("command", "k2", "c2", 3)
	s.calls.redeliver("gw") // joins the open call
	s.Run()
	s.ran("k2", 1)
	s.want("outcome c2")
	s.reply(s.byID["k2"], "ok")
	s.Run()
	s.want("record k2", "served")
	s.ran("k2", 1)
}

// The gateway dies with a keyed call out. The call was acknowledged before it was sent on, unless the
// acknowledgement was lost; then the new life must not run it.
func TestRestartedGatewayFailsWhatMayHaveRun(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := newStage(t)
		s.mute, s.calls.holdAcks = true, lost
		s.publish("command", "k1", "c1", 3)
		s.kill()
		s.calls.holdAcks = false
		s.start()
		s.Pass(5 * time.Second)
		s.ran("k1", 1)
		if lost {
			s.want("outcome c1", "failed")
			s.want("record k1", "failed")
		} else {
			s.want("outcome c1")
		}
		s.mute = false
		s.publish("command", "k2", "c2", 3) // new keys are served as ever
		s.want("outcome c2", "served")
	}
}

// The acknowledgement leaves before the first attempt does, or a gateway that dies between them would have the
// broker deliver again what runs already.
func TestKeyedCallIsAcknowledgedBeforeItGoesOut(t *testing.T) {
	s := newStage(t)
	acked := -1
	work := s.worker.got
	s.worker.got = func(p *Packet) {
		if p.Type == Publish && acked < 0 {
			acked = len(s.calls.sessions["gw"].out)
		}
		work(p)
	}
	s.publish("command", "k1", "c1", 3)
	if acked != 0 {
		t.Errorf("%d messages unacknowledged when the worker got the call", acked)
	}
}

// A safe call is kept by the broker until its outcome: a gateway that dies is followed by one that runs it.
func TestSafeCallOutlivesAGateway(t *testing.T) {
	s := newStage(t)
	s.mute = true
	s.publish("read", "", "c1", 3)
	s.kill()
	s.mute = false
	s.start()
	s.Pass(time.Second)
	s.want("outcome c1", "served")
}

// Messages that can't be calls are failed and acknowledged, and never reach a worker; a refusal says when to
// come back, and the same key may then come again.
func TestBadCallsAndRefusals(t *testing.T) {
	s := newStage(t)
	s.publish("nonsense", "k1", "c1", 2)
	s.want("outcome c1", "failed")
	s.publish("command", "", "c2", 2)
	s.want("outcome c2", "failed")
	if len(s.runs) > 0 || len(s.calls.sessions["gw"].out) > 0 {
		t.Errorf("runs %v, unacknowledged %d", s.runs, len(s.calls.sessions["gw"].out))
	}
	s.jobs.publish(Message{Topic: "w1/status", Payload: []byte("draining")})
	s.Run()
	s.publish("command", "k3", "c3", 2)
	s.Pass(3 * time.Second)
	s.want("outcome c3", "refused")
	s.jobs.publish(Message{Topic: "w1/status", Payload: []byte("ready")})
	s.Pass(20 * time.Second)
	s.publish("command", "k3", "c3", 2)
	s.ran("k3", 1)
	s.want("outcome c3", "refused", "served")
	s.publish("read", "k3", "c4", 2)
	s.publish("command", "k3", "c5", 2)
	s.want("outcome c5", "served")
}
