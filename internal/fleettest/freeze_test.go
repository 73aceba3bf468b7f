package fleettest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"quillrail/internal/fleet/freeze"
	"quillrail/internal/lab"
)

// freezeCounts counts the configurations of a freeze test.
type freezeCounts struct {
	configured    int // configurations given to gateways
	appliedInside int // configurations given inside the period and applied before its end
	appliedAfter  int // gateways that applied the last configuration given to them inside the period
}

// restartedGateway is the index of the gateway that is killed and restarted inside the period.
const restartedGateway = 4

// timeLayout is the layout of freeze times with seconds.
const timeLayout = freeze.Layout + ":05"

// clockOffset returns the environment that sets a gateway's clock right, ahead or behind. The offsets of 290 ms use up almost all of the
// configured bound of 300 ms.
func clockOffset(gateway int) []string {
	return []string{fmt.Sprintf("QUILLRAIL_TEST_CLOCK_MS=%d", []int{0, 290, -290}[gateway%3])}
}

// runFreeze declares a freeze period of a few seconds and gives configurations to random gateways during it. One gateway has been
// partitioned off since before the declaration, and another restarts with an empty disk in the middle of the period.
func runFreeze(t *testing.T, disabledGuard string) (counts freezeCounts) {
	options := sevenGateways("[freeze]\nahead_s = 2.0\nclock_bound_ms = 300\n")
	options.PeerRelays, options.EnvOf = true, clockOffset
	if disabledGuard != "" {
		options.Env = []string{"QUILLRAIL_TEST_GUARD=" + disabledGuard}
	}
	fleet := startFleet(t, options)
	traffic := fleet.Start(mixedLoad)
	awaitSettled(t, fleet)
	rng := rand.New(rand.NewPCG(seed(), 12))
	configure := func(g *lab.Gateway, n int) *lab.ConfigChange {
		change, err := g.Configure(fmt.Sprint("r", n))
		if err != nil {
			t.Fatal(err)
		}
		counts.configured++
		return change
	}
	for _, change := range []*lab.ConfigChange{configure(fleet.Gateways[1], 2), configure(fleet.Gateways[5], 2)} {
		for timeout := time.After(eventTimeout); ; {
			if _, ok := change.AppliedAt(); ok {
				break
			}
			select {
			case <-timeout:
				t.Fatal("a configuration given before the period is not applied")
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	fleet.Partition([]int{6}, []int{0, 1, 2, 3, 4, 5})
	from := time.Now().UTC().Truncate(time.Second).Add(4 * time.Second)
	to := from.Add(4 * time.Second)
	declaration := fmt.Sprintf("declare freeze name=feast by=anna kinds=config,releases zone=UTC from=%s to=%s",
		from.Format(timeLayout), to.Format(timeLayout))
	mustCall(t, fleet.Gateways[3], declaration)
	if text, _ := fleet.Gateways[4].SendCommand(strings.Replace(declaration, "feast", "soon", 1)); disabledGuard == "" &&
		!strings.Contains(text, "declared") && !strings.HasPrefix(text, "SUCCESS") {
		t.Errorf("unexpected reply to the declaration of a second period: %s", text)
	}
	var insidePeriod []*lab.ConfigChange
	restarted := false
	for n := 3; ; n++ {
		// Configurations follow each other every 30 to 90 ms, so that some come close enough to the begin and the end for clocks that
		// are ahead or behind to matter.
		wait := time.Duration(30+rng.IntN(60)) * time.Millisecond
		<-time.After(wait)
		now := time.Now()
		if now.After(to) {
			break
		}
		if now.Before(from) {
			continue
		}
		if !restarted && now.After(from.Add(time.Second)) {
			restarted = true
			gateway := fleet.Gateways[restartedGateway]
			gateway.Kill()
			gateway.AlterDisk("empty")
			if err := gateway.Start(); err != nil {
				t.Error(err)
			}
			if text, _ := fleet.Gateways[2].SendCommand("declare release name=two by=anna version=v2"); !strings.Contains(text,
				"feast of anna forbids releases now") && disabledGuard == "" {
				t.Errorf("a release inside the period is not refused for it: %s", text)
			}
		}
		i := rng.IntN(len(fleet.Gateways))
		switch {
		case now.Before(from.Add(150 * time.Millisecond)): // its clock is behind and shows that the period has not begun
			i = 2
		case now.After(to.Add(-200 * time.Millisecond)): // its clock is ahead and shows that the period is over
			i = 1
		}
		if i != restartedGateway || restarted { // before its restart it gets none, since it would start with that file
			insidePeriod = append(insidePeriod, configure(fleet.Gateways[i], n))
		}
	}
	fleet.Heal()
	last := map[*lab.Gateway]*lab.ConfigChange{}
	for _, change := range insidePeriod {
		last[change.Gateway] = change
		if at, ok := change.AppliedAt(); ok && at.Before(to) {
			counts.appliedInside++
		}
	}
	for g, change := range last {
		if disabledGuard != "" {
			continue
		}
		isApplied := func() bool {
			_, ok := change.AppliedAt()
			return ok
		}
		if err := waitUntil(eventTimeout, isApplied); err != nil {
			t.Fatalf("%s has not applied configuration %s: %v\n%s", g.Name, change.Revision, err, g.Process().Log())
		}
		counts.appliedAfter++
	}
	totals := endAndCheck(t, fleet, traffic)
	t.Logf("figures: gateways=7 guard_out=%q given=%d frozen_changes=%d taken_afterwards=%d unanswered=%d twice=%d",
		disabledGuard, counts.configured, counts.appliedInside, counts.appliedAfter, totals.Unanswered, fleet.Counts().RanTwice)
	requireNoLostCalls(t, totals, traffic)
	fleet.Close()
	return counts
}

// During a freeze period no gateway applies a configuration, even if its clock is off by almost the bound, it has received no message
// about the period, or it restarts with an empty disk. After the period each applies the last one that it was given. With any one of
// the guards disabled, a configuration is applied inside the period.
func TestFreezeHoldsBackConfigurations(t *testing.T) {
	runInParallel(t)
	if counts := runFreeze(t, ""); counts.appliedInside > 0 || counts.appliedAfter == 0 {
		t.Errorf("configurations were applied inside the period, or none after it: %+v", counts)
	}
	guards := []string{"clock bound", "stricter when stale"}
	if os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
		guards = guards[:1]
	}
	for _, guard := range guards {
		if counts := runFreeze(t, guard); counts.appliedInside == 0 {
			t.Errorf("with the guard %q disabled no configuration is applied inside the period: %+v", guard, counts)
		}
	}
}

// A configuration that arrives in a freeze period can be applied at one gateway by an exception that two operators have agreed to. The
// exception works only once.
func TestFreezeExceptionIsUsedOnce(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, sevenGateways("[freeze]\nahead_s = 1.0\nclock_bound_ms = 300\n"))
	fleet.Start(mixedLoad)
	awaitSettled(t, fleet)
	from := time.Now().UTC().Truncate(time.Second).Add(3 * time.Second)
	mustCall(t, fleet.Gateways[3], fmt.Sprintf("declare freeze name=feast by=anna zone=UTC from=%s to=%s",
		from.Format(timeLayout), from.Add(time.Hour).Format(timeLayout)))
	awaitAgreed(t, fleet.Gateways[5], "feast .* in force until")
	change, err := fleet.Gateways[5].Configure("r2")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fleet.Gateways[5].Process().Await("configuration not taken", eventTimeout); err != nil {
		t.Fatal(err)
	}
	if text, _ := fleet.Gateways[5].SendCommand("declare take by=anna"); !strings.Contains(text, "an exception is needed") {
		t.Errorf("the configuration is not refused without an exception: %s", text)
	}
	var id int
	if _, err := fmt.Sscanf(mustCall(t, fleet.Gateways[0],
		"declare exception freeze=feast for=config by=anna for_s=600 why=a wrong bulletin"), "SUCCESS\nentry %d", &id); err != nil {
		t.Fatal(err)
	}
	if text, _ := fleet.Gateways[0].SendCommand(fmt.Sprintf("declare second exception=%d by=anna", id)); !strings.Contains(text,
		"another operator") {
		t.Errorf("the operator who requested the exception may also second it: %s", text)
	}
	mustCall(t, fleet.Gateways[1], fmt.Sprintf("declare second exception=%d by=boris", id))
	if _, ok := change.AppliedAt(); ok {
		t.Error("the configuration was applied before the exception was used")
	}
	mustCall(t, fleet.Gateways[5], fmt.Sprintf("declare take except=%d by=anna", id))
	awaitStat(t, fleet.Gateways[5:6], func(*lab.Gateway) string { return "svc.config_applied:1|c" })
	if text, _ := fleet.Gateways[4].SendCommand(fmt.Sprintf("declare take except=%d by=anna", id)); !strings.Contains(text, "been used") {
		t.Errorf("the exception can be used a second time: %s", text)
	}
	if text, _ := fleet.Gateways[2].SendCommand("declare lift freeze=feast by=anna"); !strings.Contains(text, "forbids its own end") {
		t.Errorf("one operator alone can end the period: %s", text)
	}
}
