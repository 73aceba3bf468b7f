package fleettest

import (
	"path/filepath"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// The wall clock of the machine is stepped by an hour, forward or back, under load; then a worker is started anew, the gateways
// are upgraded while it is cold, and another worker drains. No call is lost, the worker that starts is not pushed over, and the
// other gets nothing new: deadlines run by a steady clock, a start that the stepped clock has in the future or an hour ago counts
// as one of now, and what a process hands on is moved to the clock of the one that takes over.
func TestWallClockIsStepped(t *testing.T) {
	for name, step := range map[string]time.Duration{"forward": time.Hour, "back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			beside(t)
			l := start(t, lab.Options{Workers: 3, PerSecond: 45, ClockFile: filepath.Join(t.TempDir(), "clock")})
			tr := l.Start(mixed)
			served(t, tr, 300)
			if err := l.StepClocks(step); err != nil {
				t.Fatal(err)
			}
			served(t, tr, 200)
			if err := l.Workers[0].Restart(); err != nil {
				t.Fatal(err)
			}
			served(t, tr, 60)
			for _, g := range l.Gateways {
				if err := g.Upgrade(); err != nil {
					t.Fatal(err)
				}
			}
			served(t, tr, 300)
			l.Workers[1].Drain()
			served(t, tr, 400)
			n := verdict(t, l, tr)
			mostServed(t, n)
			if n.Unanswered+n.Unreached > 0 {
				t.Errorf("calls were lost: %+v\n%q", n, tr.Faults())
			}
		})
	}
}
