package fleettest

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// The wall clock is stepped by an hour, forward or back, under load. Then a worker restarts, the gateways are upgraded while it is
// cold, and another worker drains. No call is lost, the cold worker is not overloaded, and the draining one gets nothing new, because
// deadlines run by a steady clock, a worker start that the stepped clock places in the future or an hour ago counts as a start now,
// and the times that a process hands over are converted to the clock of its successor.
func TestWallClockIsStepped(t *testing.T) {
	for name, step := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			runInParallel(t)
			fleet := startFleet(t, lab.Options{Workers: 3, CallsPerSecond: 45, ClockFile: filepath.Join(t.TempDir(), "clock")})
			traffic := fleet.Start(mixedLoad)
			awaitServed(t, traffic, 300)
			if err := fleet.StepClocks(step); err != nil {
				t.Fatal(err)
			}
			awaitServed(t, traffic, 200)
			if err := fleet.Workers[0].Restart(); err != nil {
				t.Fatal(err)
			}
			awaitServed(t, traffic, 60)
			for _, g := range fleet.Gateways {
				if err := g.Upgrade(); err != nil {
					t.Fatal(err)
				}
			}
			awaitServed(t, traffic, 300)
			fleet.Workers[1].Drain()
			awaitServed(t, traffic, 400)
			totals := endAndCheck(t, fleet, traffic)
			requireMostServed(t, totals)
			if totals.Unanswered+totals.Unreached > 0 {
				t.Errorf("calls were lost: %+v\n%q", totals, traffic.ErrorSamples())
			}
		})
	}
}

// The wall clock is stepped back by an hour, and a gateway is killed and loses its disk. After the restart it derives its incarnation
// from that clock alone, so it is lower than the one that its peers know and they would ignore its messages. They notify it, and it
// continues under a later incarnation: the peers count it as a member, and an operator call at it reaches them.
func TestIncarnationAfterASteppedClock(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, lab.Options{Workers: 5, Halls: 2, Fleet: true, ClockFile: filepath.Join(t.TempDir(), "clock")})
	traffic := fleet.Start(mixedLoad)
	awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return gatewaysKnown(3) })
	awaitServed(t, traffic, 100)
	if err := fleet.StepClocks(-time.Hour); err != nil {
		t.Fatal(err)
	}
	restarted, others := fleet.Gateways[1], []*lab.Gateway{fleet.Gateways[0], fleet.Gateways[2]}
	earlier := awaitServingIncarnation(t, others[0], restarted.Name, 0)
	restarted.Kill()
	if err := restarted.AlterDisk("empty"); err != nil {
		t.Fatal(err)
	}
	if err := restarted.Start(); err != nil {
		t.Fatal(err)
	}
	for _, g := range others {
		awaitServingIncarnation(t, g, restarted.Name, earlier)
	}
	worker := fleet.Workers[0]
	if text, err := restarted.SendCommand("disable-server " + worker.Name()); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		t.Fatalf("disable-server: want SUCCESS, got reply %q, error %v", text, err)
	}
	awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return "svc.pool_ejected:1|g" })
	worker.MarkBanned()
	awaitServed(t, traffic, 300)
	if totals := endAndCheck(t, fleet, traffic); totals.Unanswered+totals.Unreached > 0 {
		t.Errorf("calls were lost: %+v\n%q", totals, traffic.ErrorSamples())
	}
}

// awaitServingIncarnation waits until the observer logs that the named gateway serves under an incarnation above later, and returns
// that incarnation.
func awaitServingIncarnation(t *testing.T, observer *lab.Gateway, name string, later float64) float64 {
	t.Helper()
	for {
		line, err := observer.Process().Await("another gateway", eventTimeout)
		if err != nil {
			t.Fatalf("%s does not learn of a later incarnation of %s: %v", observer.Name, name, err)
		}
		if n, _ := line["incarnation"].(float64); line["gateway"] == name && line["state"] == "serving" && n > later {
			return n
		}
	}
}
