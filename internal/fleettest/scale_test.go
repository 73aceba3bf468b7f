package fleettest

import (
	"os"
	"testing"
	"time"

	"quillrail/internal/lab/scale"
)

// TestScaleSmall is the scale run in its small form: three real gateways and nine hollow ones find each other, a change of
// configuration comes to all of them, restarts, a lost zone and a region that is cut off are noticed and are over. Counts and
// bounds only: what it costs in time is reported by quillrail-lab scale.
func TestScaleSmall(t *testing.T) {
	o := scale.Options{Program: []string{os.Args[0], "serve", "--mqtt", "none"}, Env: []string{"QUILLRAIL_TEST_PROCESS=1"}, Dir: t.TempDir(), Seed: seed(),
		Gateways: []int{8, 20}, Workers: []int{120, 2000}, Functions: []int{200}, Window: time.Second, Changes: 2, PartitionFor: time.Second, Calls: 300,
		Log: t.Logf}
	r, err := scale.Run(o)
	if err != nil {
		t.Fatal(err)
	}
	few, many := r.Routers[0], r.Routers[1]
	if many.FunctionBytes > 4<<10 || many.ListBytes > 2000*220 {
		t.Errorf("2000 workers: %d bytes for a function, %d for the list; %d and %d with 120", many.FunctionBytes, many.ListBytes, few.FunctionBytes, few.ListBytes)
	}
	if len(r.Fleets) != len(o.Gateways) || len(r.Events) != 3 || len(r.Limits) > 0 {
		t.Fatalf("%d sizes and %d events were played: %v", len(r.Fleets), len(r.Events), r.Limits)
	}
	for _, f := range r.Fleets {
		leaders := 0
		for _, v := range f.Voters {
			if v.Leads {
				leaders++
			}
		}
		t.Logf("figures: gateways=%d lost=%d wrong_suspicions=%d late_changes=%d leaders=%d sent_per_s=%.0f", f.Gateways, f.MessagesLost, f.WrongSuspicions, f.LateChanges, leaders, f.SentPerSec)
		if f.MessagesLost > 0 || leaders != 1 || f.InForceMs[2] == 0 || f.SentPerSec == 0 {
			t.Errorf("%d gateways: %d messages lost, %d lead, a change in force after %.0f ms, %.0f bytes a second", f.Gateways, f.MessagesLost, leaders, f.InForceMs[2], f.SentPerSec)
		}
	}
}
