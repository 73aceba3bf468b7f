package fleettest

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// awaitPermitInUse waits until the permit that operator anna requested for a subject is in use.
func awaitPermitInUse(gateway *lab.Gateway, subject string) error {
	text, err := awaitReply(gateway, "agreed", 2*eventTimeout, func(text string) bool {
		return slices.ContainsFunc(strings.Split(text, "\n"), func(line string) bool {
			return strings.HasPrefix(line, "out: "+subject+" ") && strings.Contains(line, "of anna, out")
		})
	})
	if err != nil {
		return fmt.Errorf("%s: its permit is never in use: %w\n%s", subject, err, text)
	}
	return nil
}

// restartGateway drains a gateway by permit, terminates it and starts it again.
func restartGateway(gateway *lab.Gateway) error {
	if text, err := gateway.SendCommand("drain by=anna why=a restart"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		return fmt.Errorf("%s: drain: want SUCCESS, got reply %q, error %v", gateway.Name, text, err)
	}
	if _, err := gateway.Process().Await("drained by what was agreed", 2*eventTimeout); err != nil {
		return err
	}
	if err := gateway.Terminate(); err != nil {
		return err
	}
	return gateway.Start()
}

// restartWorker disables a worker by permit, restarts it and enables it again.
func restartWorker(fleet *lab.Lab, worker *lab.Worker, gateway *lab.Gateway) error {
	if text, err := gateway.SendCommand("disable-server " + worker.Name() + " by=anna"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		return fmt.Errorf("%s: disable-server: want SUCCESS, got reply %q, error %v", worker.Name(), text, err)
	}
	if err := awaitPermitInUse(gateway, "worker "+worker.Name()); err != nil {
		return err
	}
	<-time.After(600 * time.Millisecond) // time for its calls in flight to end
	if err := worker.Restart(); err != nil {
		return err
	}
	if text, err := gateway.SendCommand("enable-server " + worker.Name() + " by=anna"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		return fmt.Errorf("%s: enable-server: want SUCCESS, got reply %q, error %v", worker.Name(), text, err)
	}
	return nil
}

// All gateways are drained and restarted by permits that are requested at the same time, and then all workers. No call is lost and no
// limit exceeded. The worth served before and during the restarts is reported, and with QUILLRAIL_FLEET_LONG also how long the restarts
// take with a limit of one at a time instead of two.
func TestAgreedChangeRollingRestart(t *testing.T) {
	runInParallel(t)
	took := map[string]time.Duration{}
	for _, limit := range []string{"2", "1"} {
		if limit == "1" && os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
			continue
		}
		options := sevenGateways(fmt.Sprintf("[change]\ngateways = %q\nworkers = %q\nonly_copies = \"none\"\n", limit, limit))
		options.ColdFor = 2 * time.Second
		fleet := startFleet(t, options)
		traffic := fleet.Start(lab.Load{Rate: 150, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3})
		allowed := map[string]int{"1": 1, "2": 2}[limit]
		awaitSettled(t, fleet)
		traffic.AwaitServed(600, eventTimeout)
		watch := fleet.Watch(allowed)
		baseStart := time.Now()
		traffic.AwaitServed(900, eventTimeout)
		baseWorth, before := traffic.WorthServed(baseStart, time.Since(baseStart)-2*time.Second, -1), traffic.Totals()
		begun := time.Now()
		doAll := func(count int, do func(i int) error) {
			var wg sync.WaitGroup
			for i := range count {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if err := do(i); err != nil {
						t.Error(err)
					}
				}()
			}
			wg.Wait()
			awaitStat(t, fleet.Gateways, noneUnavailable)
		}
		doAll(len(fleet.Gateways), func(i int) error { return restartGateway(fleet.Gateways[i]) })
		gateways := time.Since(begun)
		doAll(len(fleet.Workers), func(i int) error { return restartWorker(fleet, fleet.Workers[i], fleet.Gateways[i%7]) })
		took[limit] = time.Since(begun)
		traffic.AwaitServed(300, eventTimeout)
		worth := traffic.WorthServed(begun, took[limit]-2*time.Second, -1)
		_, most, exceeded := watch.End()
		totals := endAndCheck(t, fleet, traffic)
		t.Logf("figures: gateways=7 workers=9 limit=%s out=%d over=%d worth=%.3f worth_before=%.3f refused=%d "+
			"took=%v gateways=%v unanswered=%d twice=%d",
			limit, most, exceeded, worth, baseWorth, totals.Refused-before.Refused, took[limit].Round(100*time.Millisecond),
			gateways.Round(100*time.Millisecond), totals.Unanswered, fleet.Counts().RanTwice)
		if most > allowed || exceeded > 0 {
			t.Errorf("%d unavailable at once, want %d at most; limit exceeded %d times", most, allowed, exceeded)
		}
		requireNoLostCalls(t, totals, traffic)
		fleet.Close()
	}
}
