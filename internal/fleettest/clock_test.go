package fleettest

import (
	"path/filepath"
	"strings"
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
			l := start(t, lab.Options{Workers: 3, CallsPerSecond: 45, ClockFile: filepath.Join(t.TempDir(), "clock")})
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
				t.Errorf("calls were lost: %+v\n%q", n, tr.ErrorSamples())
			}
		})
	}
}

// The wall clock of the machine is stepped back by an hour, and a gateway of a fleet is killed and loses its disk. It starts anew with
// nothing but that clock to tell its incarnation by, which is lower than the one that the others have heard of: they would heed
// nothing that it says. They tell it so, and it goes on under a later one: it is counted, and an operator's word at it reaches them.
func TestIncarnationAfterASteppedClock(t *testing.T) {
	beside(t)
	l := start(t, lab.Options{Workers: 5, Halls: 2, Fleet: true, ClockFile: filepath.Join(t.TempDir(), "clock")})
	tr := l.Start(mixed)
	until(t, l.Gateways, func(*lab.Gateway) string { return knows(3) })
	served(t, tr, 100)
	if err := l.StepClocks(-time.Hour); err != nil {
		t.Fatal(err)
	}
	restarted, others := l.Gateways[1], []*lab.Gateway{l.Gateways[0], l.Gateways[2]}
	earlier := incarnationServing(t, others[0], restarted.Name, 0)
	restarted.Kill()
	if err := restarted.AlterDisk("empty"); err != nil {
		t.Fatal(err)
	}
	if err := restarted.Start(); err != nil {
		t.Fatal(err)
	}
	for _, g := range others {
		incarnationServing(t, g, restarted.Name, earlier)
	}
	w := l.Workers[0]
	if text, err := restarted.SendCommand("disable-server " + w.Name()); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		t.Fatalf("disable-server: %q, %v", text, err)
	}
	until(t, l.Gateways, func(*lab.Gateway) string { return "svc.pool_ejected:1|g" })
	w.MarkBanned()
	served(t, tr, 300)
	if n := verdict(t, l, tr); n.Unanswered+n.Unreached > 0 {
		t.Errorf("calls were lost: %+v\n%q", n, tr.ErrorSamples())
	}
}

// incarnationServing waits until a gateway says that another one serves under an incarnation later than one, and returns it.
func incarnationServing(t *testing.T, g *lab.Gateway, name string, later float64) float64 {
	t.Helper()
	for {
		line, err := g.Process().Await("another gateway", eventLimit)
		if err != nil {
			t.Fatalf("%s does not hear of a later incarnation of %s: %v", g.Name, name, err)
		}
		if n, _ := line["incarnation"].(float64); line["gateway"] == name && line["state"] == "serving" && n > later {
			return n
		}
	}
}
