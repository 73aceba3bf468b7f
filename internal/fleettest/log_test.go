package fleettest

import (
	"testing"

	"golang.org/x/sys/unix"

	"quillrail/internal/lab"
)

// The reader of the gateways' logs stops reading, so that the pipes between them fill up: calls are still served, and logging resumes
// once the logs are read again.
func TestUnreadLogDoesNotBlockCalls(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, lab.Options{Gateways: 2, Arguments: []string{"--log-level", "debug"}})
	traffic := fleet.Start(mixedLoad)
	awaitServed(t, traffic, 100)
	func() {
		for _, g := range fleet.Gateways {
			g.Process().HoldLog()
			defer g.Process().ReleaseLog()
		}
		awaitServed(t, traffic, 1500) // their log lines are several times what a pipe holds
	}()
	for _, g := range fleet.Gateways {
		g.Signals(unix.SIGHUP)
		if _, err := g.Process().Await("configuration reloaded", eventTimeout); err != nil {
			t.Error(err)
		}
	}
	totals := endAndCheck(t, fleet, traffic)
	requireMostServed(t, totals)
	requireNoLostCalls(t, totals, traffic)
}

// The readers of the gateways' logs close the pipes: the processes go on serving, and end on SIGTERM.
func TestClosedLogDoesNotStopTheGateway(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, lab.Options{Gateways: 2, Arguments: []string{"--log-level", "debug"}})
	traffic := fleet.Start(mixedLoad)
	awaitServed(t, traffic, 100)
	for _, g := range fleet.Gateways {
		g.Process().CloseLog()
	}
	awaitServed(t, traffic, 300)
	if err := fleet.Gateways[0].Terminate(); err != nil {
		t.Error(err)
	}
	if err := fleet.Gateways[0].Start(); err != nil {
		t.Fatal(err)
	}
	awaitServed(t, traffic, 200)
	totals := endAndCheck(t, fleet, traffic)
	requireMostServed(t, totals)
	requireNoLostCalls(t, totals, traffic)
}
