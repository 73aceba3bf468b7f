package mqtt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quillrail/decide"
)

// Calls of an unsafe class must not run twice. The brokers break connections and deliver again, the worker fails, is silent, leaves
// and returns, and the gateway is killed and restarted. Without the guard, that is with the class configured as safe, the same runs
// execute some calls twice, which shows that the test can detect it.
func TestNeverTwiceOverMQTT(t *testing.T) {
	simulate := func(seed uint64, effect decide.Effect) (twice, ran int) {
		gw, rng := newTestGatewayWithOnce(t, effect), rand.New(rand.NewPCG(seed, 4))
		gw.worker.onPublish = func(p *Packet) {
			if gw.workerSilent = rng.IntN(3) == 0; p.Type == Publish && p.Topic == "w1/calls" && !gw.workerSilent {
				if outcome := []string{"busy", "miss", "error", "ok", "ok", "ok"}[rng.IntN(6)]; outcome != "ok" {
					if gw.replyAsWorker(p, outcome); outcome == "error" {
						gw.runs[string(p.Payload)]++
					}
					return
				}
			}
			gw.runCall(p)
		}
		for n := range 150 {
			m := Message{Topic: "call/lift", Payload: fmt.Append(nil, "once ", n), Props: Props{ResponseTopic: "back/client",
				Correlation: fmt.Append(nil, n), Expiry: 3, HasExpiry: true,
				User: []Pair{{"class", "once"}, {"tenant", "a"}, {"function", testFunction}}}}
			gw.client.lastID++
			gw.client.conn.Write(AppendPublish(nil, &m, gw.client.lastID, 0))
			gw.Run()
			switch k := rng.IntN(24); k {
			case 0, 1:
				gw.callBroker.disconnect("gw")
			case 2, 3:
				gw.workerBroker.disconnect("gw")
			case 4, 5:
				gw.callBroker.redeliver("gw")
			case 6:
				gw.kill()
				gw.start()
			case 7, 8:
				gw.workerBroker.publish(Message{Topic: "w1/status", Payload: []byte([]string{"gone", "ready"}[k-7])})
			case 9, 10:
				gw.callBroker.dropAcks = k == 9
			}
			gw.Advance(time.Duration(rng.IntN(400)) * time.Millisecond)
		}
		gw.Advance(10 * time.Second)
		for _, n := range gw.runs {
			if ran += n; n > 1 {
				twice++
			}
		}
		return twice, ran
	}
	twiceWithoutGuard := 0
	for seed := range uint64(12) {
		if twice, ran := simulate(seed, decide.Unsafe); twice > 0 || ran < 20 {
			t.Errorf("seed %d: %d calls ran twice, of %d executions", seed, twice, ran)
		}
		twice, _ := simulate(seed, decide.Safe)
		twiceWithoutGuard += twice
	}
	t.Logf("figures: seeds=12 twice=0 twice_without_guard=%d", twiceWithoutGuard)
	if twiceWithoutGuard < 12 {
		t.Errorf("without the guard only %d calls ran twice, want at least 12", twiceWithoutGuard)
	}
}

// A client that leaves, a worker that leaves and a worker that never answers: each call has exactly one recorded outcome.
func TestVanishedSubscribersStillGiveOneOutcome(t *testing.T) {
	gw := newTestGateway(t)
	gw.workerSilent = true
	gw.publish("command", "k1", "c1", 2)
	gw.client.conn.Close()
	gw.Run()
	gw.replyAsWorker(gw.byKey["k1"], "ok")
	gw.Advance(3 * time.Second)
	gw.wantRecords("record k1", "served")

	gw.client = gw.connectClient(gw.callBroker, "client", func(p *Packet) {
		gw.records["outcome "+string(p.Props.Correlation)] = []string{p.Props.Get("outcome")}
	}, "back/#")
	gw.publish("command", "k2", "c2", 2)
	gw.workerBroker.publish(Message{Topic: "w1/status", Payload: []byte("gone")}) // the worker's last will
	gw.Advance(3 * time.Second)
	gw.wantRuns("k2", 1)
	gw.wantRecords("record k2", "failed")

	gw.workerBroker.publish(Message{Topic: "w1/status", Payload: []byte("ready")})
	gw.Advance(20 * time.Second) // until the worker counts as warm again
	gw.publish("command", "k3", "c3", 2)
	gw.Advance(3 * time.Second)
	gw.wantRecords("record k3", "failed")
	gw.wantRecords("outcome c3", "failed")
	gw.replyAsWorker(gw.byKey["k3"], "ok") // too late
	gw.Run()
	gw.wantRecords("record k3", "failed")
}
