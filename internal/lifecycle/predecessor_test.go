package lifecycle

import (
	"testing"
	"time"
)

// A new process that gets SIGTERM while its predecessor still answers a call must not end before that one: together they are one gateway,
// and its supervisor takes the end of the new process for that of both.
func TestNewProcessEndsAfterItsPredecessor(t *testing.T) {
	gateways, worker, broker, conf := newSteppedGateways(t)
	old, oldEnded := gateways.start(conf)
	<-broker.subscribed
	broker.deliver(1, "open")
	untilTrue(old, func() bool { return old.core.InFlight() == 1 && old.upgrade.server != nil })
	next, nextEnded := gateways.start(conf)
	untilTrue(old, func() bool { return old.upgrade.successorReady })
	onLoop(old, old.drain)
	gateways.advance(callWindow, nil)
	onLoop(next, next.drain)
	gateways.advance(2*time.Second, nextEnded)
	select {
	case <-nextEnded:
		t.Error("the new process has ended while its predecessor had a call in flight")
	default:
	}
	close(worker.release)
	if got := <-broker.outcomes; got != "open served" {
		t.Errorf("outcome of the call: %s", got)
	}
	gateways.advance(time.Second, nextEnded)
	for name, ended := range map[string]chan struct{}{"old": oldEnded, "new": nextEnded} {
		select {
		case <-ended:
		default:
			t.Errorf("the %s process has not ended after the last call", name)
		}
	}
}
