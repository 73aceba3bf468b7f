package simulation

import (
	"os"
	"strconv"
	"sync"
	"testing"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/safeguard"
)

func release() change.Release {
	return change.Release{Name: "r", By: "anna", What: change.Version, To: "v2", VerifyMs: 30_000, MaxVerifyMs: 120_000, StepTimeoutMs: 20_000,
		AutoRollback: true}
}

func options(seed uint64) Options {
	limits := change.DefaultLimits
	limits.Gateways, limits.GatewaysHall = change.Limit{Part: 0.1}, change.Limit{Part: 0.2}
	return Options{Seed: seed, Gateways: 24, Halls: 3, CallsPerSecond: 30, Strategy: Supervised, Release: release(), Limits: limits,
		MaxMs: 1_800_000, UnevenGateways: true}
}

// runAll runs the seeds 1 to n, up to six at the same time.
func runAll(n int, optionsFor func(seed uint64) Options) []Result {
	out := make([]Result, n)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 6)
	for i := range out {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = Run(optionsFor(uint64(i + 1)))
			<-slots
		}()
	}
	wg.Wait()
	return out
}

// At least 95 % of the releases with a fault must halt before a quarter of the fleet has them, and all of these must be rolled back.
// At most 5 % of the releases without a fault may halt, under noise, with uneven gateways, and with and without an incident that
// affects all gateways. QUILLRAIL_FLEET_LONG sets the number of runs of each kind, at least 66.
func TestReleaseHaltsOnFaultAndCompletesWithoutOne(t *testing.T) {
	n := 12
	if text := os.Getenv("QUILLRAIL_FLEET_LONG"); text != "" {
		n = 66
		if k, err := strconv.Atoi(text); err == nil && k > n {
			n = k
		}
	}
	for _, f := range []Fault{Crash, OneClassFails, SlowTail} {
		haltedInTime, rolledBack := 0, 0
		for _, r := range runAll(n, func(seed uint64) Options { o := options(seed); o.Fault = f; return o }) {
			if r.HaltReason != "" && r.MaxReached < 0.25 {
				haltedInTime++
			}
			if r.RollbackMs > 0 {
				rolledBack++
			}
		}
		t.Logf("fault %s: %d of %d halted before a quarter of the fleet had it, %d rolled back completely", f, haltedInTime, n, rolledBack)
		if haltedInTime*100 < 95*n || rolledBack < haltedInTime {
			t.Errorf("fault %s: %d of %d halted in time, %d rolled back; want 95 %% halted, and all of these rolled back", f, haltedInTime, n,
				rolledBack)
		}
	}
	for _, incident := range []bool{false, true} {
		halted, completed := 0, 0
		for _, r := range runAll(n, func(seed uint64) Options { o := options(seed); o.SharedIncident = incident; return o }) {
			if r.HaltReason != "" {
				halted++
				t.Log(r.HaltReason)
			}
			if r.Completed {
				completed++
			}
		}
		t.Logf("no fault, incident %v: %d of %d halted, %d completed", incident, halted, n, completed)
		if incident {
			safeguard.Disabled = "control group"
			haltedWithout := 0
			for _, r := range runAll(n, func(seed uint64) Options { o := options(seed); o.SharedIncident = incident; return o }) {
				if r.HaltReason != "" {
					haltedWithout++
				}
			}
			safeguard.Disabled = ""
			if t.Logf("compared with the time before the release: %d of %d halted", haltedWithout, n); haltedWithout*2 < n {
				t.Errorf("without the control group only %d of %d halted, want at least half", haltedWithout, n)
			}
		}
		if halted*100 > 5*n || completed+halted != n {
			t.Errorf("no fault, incident %v: %d of %d halted, %d completed; want at most 5 %% halted, and all others completed", incident,
				halted, n, completed)
		}
	}
}
