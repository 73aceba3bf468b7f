package lifecycle

import (
	"context"
	"strings"
	"testing"

	"go.uber.org/zap"

	"quillrail/internal/core"
)

// A call with a key that the broker delivers a second time after an upgrade, as a message of its own, must not run a second time.
func TestRedeliveredCallRunsOnceThroughUpgrade(t *testing.T) {
	worker, addr := startWorker(t)
	close(worker.release) // it answers at once
	broker := startBroker(t)
	conf := upgradableConfig(t, addr, broker)
	start := func() (*Gateway, context.Context) {
		g, err := Start(conf, core.WallClock, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		run, end := context.WithCancel(context.Background())
		t.Cleanup(func() { end(); g.net.Stop() })
		g.done = end
		go g.loop.Run(run)
		return g, run
	}
	old, running := start()
	<-broker.subscribed
	broker.deliver(1, "c")
	if got := <-broker.outcomes; got != "c served" {
		t.Fatalf("the call was %s", got)
	}
	untilTrue(old, func() bool { return old.upgrade.server != nil })
	start()
	untilTrue(old, func() bool { return old.upgrade.successorReady })
	old.loop.Post(old.drain)
	<-running.Done()
	<-broker.subscribed // by the new process
	broker.deliver(2, "c")
	if got := <-broker.outcomes; got != "c served" {
		t.Errorf("the call that was delivered again was %s, want the outcome that it had", got)
	}
	runs := 0
	for len(worker.received) > 0 {
		if line := <-worker.received; strings.HasPrefix(line, "CALL ") {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the call ran %d times, want once", runs)
	}
}
