package fleettest

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// powerFleet is the fleet of these tests: 9 gateways in 3 halls, a model store that 48 concurrent loads overload, and workers that are
// cold for 10 s.
var powerFleet = lab.Options{Gateways: 9, Workers: 12, Halls: 3, CallsPerSecond: 25, ColdFor: 10 * time.Second,
	LoadTime: 200 * time.Millisecond, StoreLimit: 48, Fleet: true}

var heavyLoad = lab.Load{Rate: 150, Functions: 60, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3}

// powerLoss is a scenario in which a part of the fleet loses power.
type powerLoss struct {
	name       string
	affected   func(fleet *lab.Lab) ([]*lab.Gateway, []*lab.Worker)
	alterDisks func(fleet *lab.Lab) error                      // called while the power is off; may be nil
	loseAgain  func(fleet *lab.Lab, traffic *lab.Traffic) bool // called during recovery, reports whether power is lost again; may be nil
	check      func(fleet *lab.Lab) error                      // called once the fleet serves again; may be nil
}

// wholeFleet returns all gateways and workers.
func wholeFleet(fleet *lab.Lab) ([]*lab.Gateway, []*lab.Worker) { return fleet.Gateways, fleet.Workers }

// recoveryTimeout limits the wait for the fleet to serve after a loss of power.
const recoveryTimeout = 40 * time.Second

// run starts a fleet that loses power and recovers, and logs how long it takes until 50, 90 and 99 % of the former worth are served
// again. The baseline is "recovery" for gateways that recover as designed, and no rule may be broken then. Two others are only
// reported: "from nothing" runs gateways without a fleet, which neither store nor share state, and "trusting everything" gateways
// that believe all state found on disk and admit all clients at once.
func (p powerLoss) run(t *testing.T, options lab.Options, load lab.Load, baseline string, before func(*lab.Lab) error) {
	t.Helper()
	switch baseline {
	case "from nothing":
		options.Fleet = false
	case "trusting everything":
		options.Env = append(options.Env, "QUILLRAIL_TEST_TRUST_ALL=1")
	}
	fleet := startFleet(t, options)
	traffic := fleet.Start(load)
	if !traffic.AwaitServed(int(10*load.Rate), eventTimeout) {
		t.Fatalf("the fleet does not serve: %+v\n%s", traffic.Totals(), fleet.Gateways[0].Process().Log())
	}
	if before != nil {
		if err := before(fleet); err != nil {
			t.Fatal(err)
		}
		traffic.AwaitServed(int(3*load.Rate), eventTimeout) // time for gateways to write their state to disk and to broadcast a ban
	}
	gateways, workers := p.affected(fleet)
	lostAt := time.Now()
	fleet.PowerLoss(gateways, workers)
	if p.alterDisks != nil && baseline != "from nothing" {
		if err := p.alterDisks(fleet); err != nil {
			t.Fatal(err)
		}
	}
	if err := fleet.PowerRestore(gateways, workers); err != nil {
		t.Fatal(err)
	}
	for p.loseAgain != nil && p.loseAgain(fleet, traffic) {
		fleet.PowerLoss(gateways, workers)
		if err := fleet.PowerRestore(gateways, workers); err != nil {
			t.Fatal(err)
		}
	}
	restoredAt := time.Now()
	if !traffic.AwaitServed(int(12*load.Rate), recoveryTimeout) {
		t.Errorf("the fleet does not serve after the loss of power: %+v", traffic.Totals())
	}
	if p.check != nil && baseline == "recovery" {
		if err := p.check(fleet); err != nil {
			t.Error(err)
		}
	}
	formerWorth := traffic.WorthServed(lostAt.Add(-2*time.Second), 2*time.Second, -1)
	byClass, timeToPart := "", map[float64]time.Duration{}
	for _, part := range []float64{0.5, 0.9, 0.99} {
		timeToPart[part] = traffic.RecoveryTime(restoredAt, formerWorth, part, -1, recoveryTimeout)
	}
	for k, class := range []string{"read", "command", "once"} {
		byClass += fmt.Sprintf(" %s=%v", class, traffic.RecoveryTime(restoredAt, formerWorth, 0.9, k, recoveryTimeout))
	}
	totals := traffic.End()
	if os.Getenv("QUILLRAIL_FLEET_LOG") != "" {
		for d := time.Duration(0); d < 2*time.Second; d += 100 * time.Millisecond {
			t.Logf("from %v after the return of power: %.2f of the worth is served",
				d, traffic.WorthServed(restoredAt.Add(d), 100*time.Millisecond, -1))
		}
	}
	t.Logf("%s %s: former=%.3f until50=%v until90=%v until99=%v; until90 by class:%s",
		p.name, baseline, formerWorth, timeToPart[0.5], timeToPart[0.9], timeToPart[0.99], byClass)
	t.Log(fleet.Summary(totals))
	if os.Getenv("QUILLRAIL_FLEET_LOG") != "" {
		t.Log(fleet.Gateways[0].Process().Log())
	}
	if broken := fleet.Violations(totals); broken != "" && baseline == "recovery" {
		t.Error(broken)
	}
	fleet.Close()
}

// banWorker bans a worker at one gateway. The worker's stub counts calls and orders that arrive after the grace period. The ban has to
// survive the loss of power, also at gateways that lose their disk.
func banWorker(fleet *lab.Lab) error {
	worker := fleet.Workers[len(fleet.Workers)-1]
	if text, err := fleet.Gateways[0].SendCommand("disable-server " + worker.Name()); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		return fmt.Errorf("disable-server: want SUCCESS, got reply %q, error %v", text, err)
	}
	worker.MarkBanned()
	return nil
}

// awaitAllKnown waits until every gateway knows all others. It polls because on a busy machine a gateway may be considered gone for a
// moment.
func awaitAllKnown(fleet *lab.Lab) error {
	want := fmt.Sprintf("svc.fleet.gateways:%d|g", len(fleet.Gateways))
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(eventTimeout)
	for _, g := range fleet.Gateways {
		for {
			text, err := g.SendCommand("show-stat")
			if err == nil && strings.Contains(text, want) {
				break
			}
			select {
			case <-tick.C:
			case <-timeout:
				return fmt.Errorf("%s: %v; got metrics %s, want %s", g.Name, err, text, want)
			}
		}
	}
	return nil
}

// damageDisks empties the disks of three of nine gateways, and replaces a fourth by an old copy, truncates a fifth and corrupts a sixth.
func damageDisks(fleet *lab.Lab) error {
	var err error
	for i, g := range fleet.Gateways {
		if what := []string{"empty", "old", "torn", "empty", "spoilt", "", "empty", "", ""}[i%9]; what != "" {
			err = errors.Join(err, g.AlterDisk(what))
		}
	}
	return err
}

// powerLossCases are the scenarios of TestFleetRecoversFromPowerLoss. The long ones run only with QUILLRAIL_FLEET_LONG set.
var powerLossCases = []struct {
	powerLoss
	long   bool
	before func(fleet *lab.Lab) error
}{
	{powerLoss: powerLoss{name: "whole fleet", affected: wholeFleet, check: awaitAllKnown}},
	{powerLoss: powerLoss{name: "disks empty, old, truncated and corrupted, a worker banned", affected: wholeFleet, alterDisks: damageDisks,
		check: awaitAllKnown},
		before: func(fleet *lab.Lab) error {
			var err error
			for _, g := range fleet.Gateways {
				err = errors.Join(err, g.AlterDisk("keep"))
			}
			return errors.Join(err, banWorker(fleet))
		}},
	{powerLoss: powerLoss{name: "gateways only", check: awaitAllKnown,
		affected: func(fleet *lab.Lab) ([]*lab.Gateway, []*lab.Worker) { return fleet.Gateways, nil }}, long: true},
	{powerLoss: powerLoss{name: "one hall", check: awaitAllKnown,
		affected: func(fleet *lab.Lab) (gateways []*lab.Gateway, workers []*lab.Worker) {
			for _, g := range fleet.Gateways {
				if g.Hall == 0 {
					gateways = append(gateways, g)
				}
			}
			for _, w := range fleet.Workers {
				if w.Hall == 0 {
					workers = append(workers, w)
				}
			}
			return gateways, workers
		}}, long: true},
	{powerLoss: powerLoss{name: "twice more during recovery", affected: wholeFleet, check: awaitAllKnown,
		loseAgain: func() func(*lab.Lab, *lab.Traffic) bool {
			left := 2
			return func(_ *lab.Lab, traffic *lab.Traffic) bool {
				traffic.AwaitServed(60, recoveryTimeout)
				left--
				return left >= 0
			}
		}()}, long: true},
}

// The fleet recovers from each loss of power. With QUILLRAIL_FLEET_LONG all cases run, and the two baselines for those that alter
// nothing before the loss and lose power only once.
func TestFleetRecoversFromPowerLoss(t *testing.T) {
	long := os.Getenv("QUILLRAIL_FLEET_LONG") != ""
	for _, test := range powerLossCases {
		if test.long && !long {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			test.run(t, powerFleet, heavyLoad, "recovery", test.before)
			if long && test.before == nil && test.loseAgain == nil {
				test.run(t, powerFleet, heavyLoad, "from nothing", nil)
				test.run(t, powerFleet, heavyLoad, "trusting everything", nil)
			}
		})
	}
}

// Thirty gateways start within a tenth of a second, lose power together with all workers, and recover.
func TestThirtyGatewaysRecoverFromPowerLoss(t *testing.T) {
	if os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
		t.Skip("runs only with QUILLRAIL_FLEET_LONG set")
	}
	options := powerFleet
	options.Gateways, options.Workers, options.CallsPerSecond = 30, 24, 12
	powerLoss{name: "thirty gateways", affected: wholeFleet, check: awaitAllKnown}.run(t, options, heavyLoad, "recovery", nil)
}
