package mqtt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/wire/wiretest"
)

// Calls that must not run twice, between brokers that break connections and deliver again, a worker that errs, is
// silent, leaves and comes back, and a gateway that is killed and started anew. With the guard taken out, that is with
// the class told as one that may be repeated, the same play runs some of them twice.
func TestNeverTwiceOverMQTT(t *testing.T) {
	play := func(seed uint64, effect decide.Effect) (twice, ran int) {
		site := wiretest.Site()
		site.Classes = append(site.Classes, "once")
		site.Decide.Classes = append(site.Decide.Classes, decide.Class{Aim: time.Second, Deadline: 4 * time.Second, Worth: 5, Effect: effect})
		s, rng := newStageAt(t, site), rand.New(rand.NewPCG(seed, 4))
		s.worker.got = func(p *Packet) {
			if s.mute = rng.IntN(3) == 0; p.Type == Publish && p.Topic == "w1/calls" && !s.mute {
				if word := []string{"busy", "miss", "error", "ok", "ok", "ok"}[rng.IntN(6)]; word != "ok" {
					if s.reply(p, word); word == "error" {
						s.runs[string(p.Payload)]++
					}
					return
				}
			}
			s.work(p)
		}
		for n := range 150 {
			m := Message{Topic: "call/lift", Payload: fmt.Append(nil, "once ", n), Props: Props{ResponseTopic: "back/client",
				Correlation: fmt.Append(nil, n), Expiry: 3, HasExpiry: true, User: []Pair{{"class", "once"}, {"tenant", "a"}, {"function", fn}}}}
			s.client.next++
			s.client.conn.Write(AppendPublish(nil, &m, s.client.next, 0))
			s.Run()
			switch k := rng.IntN(24); k {
			case 0, 1:
				s.calls.cut("gw")
			case 2, 3:
				s.jobs.cut("gw")
			case 4, 5:
				s.calls.redeliver("gw")
			case 6:
				s.kill()
				s.start()
			case 7, 8:
				s.jobs.publish(Message{Topic: "w1/status", Payload: []byte([]string{"gone", "ready"}[k-7])})
			case 9, 10:
				s.calls.holdAcks = k == 9
			}
			s.Pass(time.Duration(rng.IntN(400)) * time.Millisecond)
		}
		s.Pass(10 * time.Second)
		for _, n := range s.runs {
			if ran += n; n > 1 {
				twice++
			}
		}
		return twice, ran
	}
	without := 0
	for seed := range uint64(12) {
		if twice, ran := play(seed, decide.Unsafe); twice > 0 || ran < 20 {
			t.Errorf("seed %d: %d of %d ran twice", seed, twice, ran)
		}
		twice, _ := play(seed, decide.Safe)
		without += twice
	}
	t.Logf("figures: seeds=12 twice=0 twice_without_guard=%d", without)
	if without < 12 {
		t.Errorf("without the guard only %d ran twice", without)
	}
}

// A client that vanishes, a worker that vanishes, a worker that never answers: one recorded outcome each.
func TestVanishedSubscribersStillGiveOneOutcome(t *testing.T) {
	s := newStage(t)
	s.mute = true
	s.publish("command", "k1", "c1", 2)
	s.client.conn.Close()
	s.Run()
	s.reply(s.byID["k1"], "ok")
	s.Pass(3 * time.Second)
	s.want("record k1", "served")

	s.client = s.join(s.calls, "client", func(p *Packet) {
		s.records["outcome "+string(p.Props.Correlation)] = []string{p.Props.Get("outcome")}
	}, "back/#")
	s.publish("command", "k2", "c2", 2)
	s.jobs.publish(Message{Topic: "w1/status", Payload: []byte("gone")}) // its last will
	s.Pass(3 * time.Second)
	s.ran("k2", 1)
	s.want("record k2", "failed")

	s.jobs.publish(Message{Topic: "w1/status", Payload: []byte("ready")})
	s.Pass(20 * time.Second) // warm again
	s.publish("command", "k3", "c3", 2)
	s.Pass(3 * time.Second)
	s.want("record k3", "failed")
	s.want("outcome c3", "failed")
	s.reply(s.byID["k3"], "ok") // too late
	s.Run()
	s.want("record k3", "failed")
}
