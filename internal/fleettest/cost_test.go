package fleettest

import (
	"os"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// What an agreement costs calls: the same fleet and load with it and without, in turn. Reported only, with QUILLRAIL_FLEET_LONG.
func TestAgreedChangeCost(t *testing.T) {
	if os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
		t.Skip("with QUILLRAIL_FLEET_LONG only")
	}
	for range 3 {
		for _, on := range []bool{false, true} {
			o := seven(two)
			if !on {
				o.Voters = 0
			}
			l := start(t, o)
			warm := l.Start(mixed)
			warm.AwaitServed(1200, eventLimit)
			warm.End()
			tr := l.Start(lab.Load{Rate: 200, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3})
			tr.AwaitServed(4000, eventLimit)
			n := tr.End()
			t.Logf("figures: agree=%v calls=%d served=%d p50=%v p99=%v p99.9=%v of clients late p99=%v", on, n.Calls, n.Served, tr.Latency(50), tr.Latency(99),
				tr.Latency(99.9), tr.Lateness(99))
			l.Close()
		}
	}
}

// What the loss of a hall costs commands, which are to stay at two halls, and all other calls: with nothing pinned, with
// commands pinned, and with everything pinned. Reported only, with QUILLRAIL_FLEET_LONG.
func TestPinnedBaselines(t *testing.T) {
	if os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
		t.Skip("with QUILLRAIL_FLEET_LONG only")
	}
	for _, classes := range []string{"", "command", "read,command,once"} {
		l := start(t, seven(byFunction))
		tr := l.Start(pins)
		settled(t, l)
		if classes != "" {
			asked(t, l.Gateways[3], "declare restriction name=near by=anna classes="+classes+" sites=hall1,hall2 pin=yes")
			until(t, l.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.restrictions:1|g" })
		}
		l.Confine(0, 1)
		tr.AwaitServed(900, eventLimit)
		begun := time.Now()
		hallDown(t, l, 0, true)
		<-time.After(11 * time.Second)
		first, after := 5*time.Second, 4*time.Second
		t.Logf("figures: pinned=%q worth_command=%.3f worth_read=%.3f in the first 5 s, then worth_command=%.3f worth_read=%.3f outside=%d", classes, tr.WorthServed(begun, first, 1),
			tr.WorthServed(begun, first, 0), tr.WorthServed(begun.Add(first), after, 1), tr.WorthServed(begun.Add(first), after, 0), l.Counts().OutsideHalls)
		tr.End()
		l.Close()
	}
}
