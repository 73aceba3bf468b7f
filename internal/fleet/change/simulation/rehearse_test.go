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
	return change.Release{Name: "r", By: "anna", What: change.Version, To: "v2", ProveMs: 30_000, MostMs: 120_000, StepMs: 20_000, TakeBack: true}
}

func options(seed uint64) Options {
	l := change.Defaults
	l.Gateways, l.GatewaysHall = change.Limit{Part: 0.1}, change.Limit{Part: 0.2}
	return Options{Seed: seed, Gateways: 24, Halls: 3, PerSecond: 30, Way: Ours, Release: release(), Limits: l, Length: 1_800_000, Uneven: true}
}

// plays plays several at once.
func plays(n int, of func(seed uint64) Options) []Result {
	out := make([]Result, n)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 6)
	for i := range out {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = Play(of(uint64(i + 1)))
			<-slots
		}()
	}
	wg.Wait()
	return out
}

// Of releases with a planted fault nearly all halt before a quarter of the fleet has them, and go back; of harmless ones,
// under noise, with uneven gateways and a bad hour that hits all, nearly none does. QUILLRAIL_FLEET_LONG plays 200 of each.
func TestReleasesHaltByThemselves(t *testing.T) {
	n := 12
	if text := os.Getenv("QUILLRAIL_FLEET_LONG"); text != "" {
		n = 66
		if k, err := strconv.Atoi(text); err == nil && k > n {
			n = k
		}
	}
	for _, f := range []Fault{Crash, Fails, Slow} {
		caught, back := 0, 0
		for _, r := range plays(n, func(seed uint64) Options { o := options(seed); o.Fault = f; return o }) {
			if r.Halted != "" && r.Reached < 0.25 {
				caught++
			}
			if r.BackTook > 0 {
				back++
			}
		}
		t.Logf("fault %s: %d of %d halted before a quarter of the fleet had it, %d taken back whole", f, caught, n, back)
		if caught*100 < 95*n || back < caught {
			t.Errorf("fault %s: %d of %d halted in time, %d taken back", f, caught, n, back)
		}
	}
	for _, bad := range []bool{false, true} {
		halted, ended := 0, 0
		for _, r := range plays(n, func(seed uint64) Options { o := options(seed); o.BadHour = bad; return o }) {
			if r.Halted != "" {
				halted++
				t.Log(r.Halted)
			}
			if r.Completed {
				ended++
			}
		}
		t.Logf("harmless, bad hour %v: %d of %d halted, %d went through", bad, halted, n, ended)
		if bad {
			safeguard.Disabled = "control group"
			without := 0
			for _, r := range plays(n, func(seed uint64) Options { o := options(seed); o.BadHour = bad; return o }) {
				if r.Halted != "" {
					without++
				}
			}
			safeguard.Disabled = ""
			if t.Logf("compared with what was before: %d of %d halted", without, n); without*2 < n {
				t.Error("without those not changed as a control nothing else happens")
			}
		}
		if halted*100 > 5*n || ended+halted != n {
			t.Errorf("harmless, bad hour %v: %d of %d halted, %d went through", bad, halted, n, ended)
		}
	}
}
