package lifecycle

import (
	"fmt"
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

const (
	clockStep   = 10 * time.Millisecond // by which the test's clock is advanced
	socketsTime = 10 * time.Millisecond // real time that sockets get at each step
)

// steppedGateways are gateways with a clock that the test advances.
type steppedGateways struct {
	t       *testing.T
	now     atomic.Int64
	running []*Gateway
}

// newSteppedGateways returns a worker, a broker and the configuration of a gateway with both, to be started.
func newSteppedGateways(t *testing.T) (gateways *steppedGateways, worker *workerStub, broker *brokerStub, conf *Config) {
	worker, addr := startWorker(t)
	broker = startBroker(t)
	gateways = &steppedGateways{t: t}
	gateways.now.Store(int64(1000 * time.Hour))
	return gateways, worker, broker, upgradableConfig(t, addr, broker)
}

// start starts a gateway. ended is closed when it ends.
func (s *steppedGateways) start(conf *Config) (g *Gateway, ended chan struct{}) {
	s.t.Helper()
	g, err := Start(conf, func() time.Duration { return time.Duration(s.now.Load()) }, zap.NewNop())
	if err != nil {
		s.t.Fatal(err)
	}
	runLoop(s.t, g)
	ended = make(chan struct{})
	onLoop(g, func() { g.done = func() { close(ended) } })
	s.running = append(s.running, g)
	return g, ended
}

// advance advances the clock in steps by d, or until stop is closed.
func (s *steppedGateways) advance(d time.Duration, stop <-chan struct{}) {
	for ; d > 0; d -= clockStep {
		s.now.Add(int64(clockStep))
		for _, g := range s.running {
			g.loop.Post(func() {})
		}
		select {
		case <-stop:
			return
		case <-time.After(socketsTime):
		}
	}
}

// Calls by MQTT that were acknowledged and ran must have their outcomes, although the broker is away while the process ends: it goes on
// until the broker is back, or leaves them to a successor that can publish them.
func TestOutcomesArePublishedAlthoughBrokerIsAwayAtEnd(t *testing.T) {
	for _, successor := range []successorKind{noSuccessor, olderSuccessor, publishingSuccessor, endingSuccessor} {
		for _, away := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%s,away=%v", successor, away), func(t *testing.T) {
				t.Parallel()
				endWithoutBroker(t, successor, away)
			})
		}
	}
}

// successorKind is what takes over from the process that ends.
type successorKind string

const (
	noSuccessor         successorKind = "restart"
	olderSuccessor      successorKind = "upgrade to a build that takes no outcomes"
	publishingSuccessor successorKind = "upgrade"
	endingSuccessor     successorKind = "upgrade to a process that ends as well"
)

func endWithoutBroker(t *testing.T, successor successorKind, away time.Duration) {
	const calls = 4
	gateways, worker, broker, conf := newSteppedGateways(t)
	g, ended := gateways.start(conf)
	<-broker.subscribed
	broker.deliver(99, "first") // so that the worker has loaded the function
	worker.release <- struct{}{}
	if got := <-broker.outcomes; got != "first served" {
		t.Fatalf("outcome of the first call: %s", got)
	}
	want := map[string]int{}
	for n := range calls {
		key := fmt.Sprint("k", n)
		broker.deliver(uint16(n+1), key)
		want[key+" served"] = 1
	}
	untilTrue(g, func() bool { return g.core.InFlight() == calls })
	var next *Gateway
	if successor != noSuccessor {
		untilTrue(g, func() bool { return g.upgrade.server != nil })
		next, _ = gateways.start(conf)
		untilTrue(g, func() bool { return g.upgrade.successorReady })
	}
	if successor == olderSuccessor {
		onLoop(g, func() { g.upgrade.successorBroker = "" })
	}
	broker.close()
	untilTrue(g, func() bool { return !g.mqttFront.Up() })
	onLoop(g, g.drain)
	if successor == endingSuccessor {
		onLoop(next, next.drain)
	}
	endsAt := time.Duration(gateways.now.Load()) + g.drainLimit() + drainMargin
	close(worker.release)
	untilTrue(g, func() bool { return g.mqttFront.Waiting() == calls })
	gateways.advance(away, nil)
	broker.open()
	got := map[string]int{}
	for time.Duration(gateways.now.Load()) < endsAt && len(got) < calls {
		gateways.advance(clockStep, nil)
		if successor == noSuccessor && away > callWindow && len(broker.subscribed) > 0 { // what comes now is too late for this process
			<-broker.subscribed
			broker.deliver(98, "late")
			want["late refused"] = 1
			for got["late refused"]+got["late served"] == 0 {
				got[<-broker.outcomes]++
			}
		}
		for len(broker.outcomes) > 0 {
			got[<-broker.outcomes]++
		}
	}
	if !maps.Equal(got, want) {
		t.Errorf("outcomes published by the time of SIGKILL: %v, want one of each of %d calls", got, calls)
	}
	gateways.advance(endsAt-time.Duration(gateways.now.Load()), ended)
	select {
	case <-ended:
	default:
		t.Error("the process has not ended by the time of SIGKILL")
	}
}
