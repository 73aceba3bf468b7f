package fleettest

import (
	"os"
	"testing"
	"time"

	"quillrail/internal/lab/scale"
)

// TestScaleSmall runs the scale measurement with fleets of 8 and 20 gateways, of which three are real processes and the others hollow, that
// is, fleet members without clients inside the test process. They find each other, a change of configuration reaches all of them, and
// restarts, a lost zone and a partitioned region are detected and healed. The test checks counts and bounds only. Times are reported
// by quillrail-lab scale.
func TestScaleSmall(t *testing.T) {
	options := scale.Options{Program: []string{os.Args[0], "serve", "--mqtt", "none"},
		Env: []string{"QUILLRAIL_TEST_PROCESS=1"}, Dir: t.TempDir(), Seed: seed(),
		Gateways: []int{8, 20}, Workers: []int{120, 2000}, Functions: []int{200}, Window: time.Second, Changes: 2, PartitionFor: time.Second,
		Calls: 300, Log: t.Logf}
	result, err := scale.Run(options)
	if err != nil {
		t.Fatal(err)
	}
	smallList, largeList := result.Routers[0], result.Routers[1]
	if largeList.FunctionBytes > 4<<10 || largeList.ListBytes > 2000*220 {
		t.Errorf("with 2000 workers a function takes %d bytes and the list %d; with 120 workers %d and %d",
			largeList.FunctionBytes, largeList.ListBytes,
			smallList.FunctionBytes, smallList.ListBytes)
	}
	if len(result.Fleets) != len(options.Gateways) || len(result.Events) != 3 || len(result.Limits) > 0 {
		t.Fatalf("%d fleet sizes and %d events were run, limits %v; want %d sizes, 3 events, no limits",
			len(result.Fleets), len(result.Events), result.Limits, len(options.Gateways))
	}
	for _, measured := range result.Fleets {
		leaders := 0
		for _, v := range measured.Voters {
			if v.Leads {
				leaders++
			}
		}
		t.Logf("figures: gateways=%d lost=%d wrong_suspicions=%d late_changes=%d leaders=%d sent_per_s=%.0f",
			measured.Gateways, measured.MessagesLost, measured.WrongSuspicions, measured.LateChanges, leaders, measured.SentPerSec)
		if measured.MessagesLost > 0 || leaders != 1 || measured.InForceMs[2] == 0 || measured.SentPerSec == 0 {
			t.Errorf("%d gateways: %d messages lost, %d leaders, a change in force after %.0f ms, %.0f bytes sent per second",
				measured.Gateways, measured.MessagesLost, leaders, measured.InForceMs[2], measured.SentPerSec)
		}
	}
}
