package fleettest

import (
	"os"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// TestAgreedChangeCostPerCall reports how the agreement between gateways affects the latency of calls: the same fleet and load, in turn
// without it and with it. It asserts nothing and runs only with QUILLRAIL_FLEET_LONG set.
func TestAgreedChangeCostPerCall(t *testing.T) {
	if os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
		t.Skip("runs only with QUILLRAIL_FLEET_LONG set")
	}
	for range 3 {
		for _, on := range []bool{false, true} {
			options := sevenGateways(twoAtOnce)
			if !on {
				options.Voters = 0
			}
			fleet := startFleet(t, options)
			warm := fleet.Start(mixedLoad)
			warm.AwaitServed(1200, eventTimeout)
			warm.End()
			traffic := fleet.Start(lab.Load{Rate: 200, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3})
			traffic.AwaitServed(4000, eventTimeout)
			totals := traffic.End()
			t.Logf("figures: agree=%v calls=%d served=%d p50=%v p99=%v p99.9=%v of clients late p99=%v", on, totals.Calls,
				totals.Served, traffic.Latency(50), traffic.Latency(99), traffic.Latency(99.9), traffic.Lateness(99))
			fleet.Close()
		}
	}
}

// TestPinnedCallsBaselines reports how the loss of a hall affects commands, which are to stay in two halls, and all other calls: with
// nothing pinned, with commands pinned, and with everything pinned. It asserts nothing and runs only with QUILLRAIL_FLEET_LONG set.
func TestPinnedCallsBaselines(t *testing.T) {
	if os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
		t.Skip("runs only with QUILLRAIL_FLEET_LONG set")
	}
	for _, classes := range []string{"", "command", "read,command,once"} {
		fleet := startFleet(t, sevenGateways(sessionByFunction))
		traffic := fleet.Start(pinnedLoad)
		awaitSettled(t, fleet)
		if classes != "" {
			mustCall(t, fleet.Gateways[3], "declare restriction name=near by=anna classes="+classes+" sites=hall1,hall2 pin=yes")
			awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.restrictions:1|g" })
		}
		fleet.Confine(0, 1)
		traffic.AwaitServed(900, eventTimeout)
		begun := time.Now()
		setHallDown(t, fleet, 0, true)
		<-time.After(11 * time.Second)
		firstPeriod, secondPeriod := 5*time.Second, 4*time.Second
		t.Logf("figures: pinned=%q worth_command=%.3f worth_read=%.3f in the first 5 s, then worth_command=%.3f worth_read=%.3f outside=%d",
			classes, traffic.WorthServed(begun, firstPeriod, 1), traffic.WorthServed(begun, firstPeriod, 0),
			traffic.WorthServed(begun.Add(firstPeriod), secondPeriod, 1), traffic.WorthServed(begun.Add(firstPeriod), secondPeriod, 0),
			fleet.Counts().OutsideHalls)
		traffic.End()
		fleet.Close()
	}
}
