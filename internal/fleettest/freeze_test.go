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

// frozen is what a test of freezes counts.
type frozen struct {
	given, inside, taken int // configurations; taken inside; taken afterwards, of those that came inside
}

const begins = 4 // the gateway that begins anew inside the period

const layout = freeze.Layout + ":05"

// clocks are off by the stated bound of 300 ms in both directions.
func clocks(i int) []string {
	return []string{fmt.Sprintf("QUILLRAIL_TEST_CLOCK_MS=%d", []int{0, 290, -290}[i%3])}
}

// feast plays a period of a few seconds over a fleet of which one gateway heard nothing since before it was declared, and another
// begins anew in its middle with an empty disk, while every gateway gets configurations.
func feast(t *testing.T, without string) (f frozen) {
	o := seven("[freeze]\nahead_s = 2.0\nclock_bound_ms = 300\n")
	o.PeerRelays, o.EnvOf = true, clocks
	if without != "" {
		o.Env = []string{"QUILLRAIL_TEST_GUARD=" + without}
	}
	l := start(t, o)
	tr := l.Start(mixed)
	settled(t, l)
	rng := rand.New(rand.NewPCG(seed(), 12))
	configure := func(g *lab.Gateway, n int) *lab.ConfigChange {
		x, err := g.Configure(fmt.Sprint("r", n))
		if err != nil {
			t.Fatal(err)
		}
		f.given++
		return x
	}
	for _, x := range []*lab.ConfigChange{configure(l.Gateways[1], 2), configure(l.Gateways[5], 2)} {
		for late := time.After(eventLimit); ; {
			if _, ok := x.AppliedAt(); ok {
				break
			}
			select {
			case <-late:
				t.Fatal("a configuration is not taken before the period")
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	l.Partition([]int{6}, []int{0, 1, 2, 3, 4, 5})
	from := time.Now().UTC().Truncate(time.Second).Add(4 * time.Second)
	to := from.Add(4 * time.Second)
	feast := fmt.Sprintf("declare freeze name=feast by=anna kinds=config,releases zone=UTC from=%s to=%s", from.Format(layout), to.Format(layout))
	asked(t, l.Gateways[3], feast)
	if text, _ := l.Gateways[4].SendCommand(strings.Replace(feast, "feast", "soon", 1)); without == "" && !strings.Contains(text, "declared") && !strings.HasPrefix(text, "SUCCESS") {
		t.Errorf("another period: %s", text)
	}
	var all []*lab.ConfigChange
	anew := false
	for n := 3; ; n++ {
		// within a bound of the begin a clock that is ahead or behind is what matters: configurations come thick there
		wait := time.Duration(30+rng.IntN(60)) * time.Millisecond
		<-time.After(wait)
		now := time.Now()
		if now.After(to) {
			break
		}
		if now.Before(from) {
			continue
		}
		if !anew && now.After(from.Add(time.Second)) {
			anew = true
			g := l.Gateways[begins]
			g.Kill()
			g.AlterDisk("empty")
			if err := g.Start(); err != nil {
				t.Error(err)
			}
			if text, _ := l.Gateways[2].SendCommand("declare release name=two by=anna version=v2"); !strings.Contains(text, "feast of anna forbids releases now") && without == "" {
				t.Errorf("a release inside: %s", text)
			}
		}
		i := rng.IntN(len(l.Gateways))
		switch {
		case now.Before(from.Add(150 * time.Millisecond)): // by a clock that is behind it has not begun,
			i = 2
		case now.After(to.Add(-200 * time.Millisecond)): // and by one that is ahead it is over
			i = 1
		}
		if i != begins || anew { // it begins with the file that it finds
			all = append(all, configure(l.Gateways[i], n))
		}
	}
	l.Heal()
	last := map[*lab.Gateway]*lab.ConfigChange{}
	for _, x := range all {
		last[x.Gateway] = x
		if at, ok := x.AppliedAt(); ok && at.Before(to) {
			f.inside++
		}
	}
	for g, x := range last {
		if without != "" {
			continue
		}
		taken := func() bool {
			_, ok := x.AppliedAt()
			return ok
		}
		if err := waitFor(eventLimit, taken); err != nil {
			t.Fatalf("%s has not taken %s: %v\n%s", g.Name, x.Revision, err, g.Process().Log())
		}
		f.taken++
	}
	n := verdict(t, l, tr)
	t.Logf("figures: gateways=7 guard_out=%q given=%d frozen_changes=%d taken_afterwards=%d unanswered=%d twice=%d", without, f.given, f.inside, f.taken, n.Unanswered,
		l.Counts().RanTwice)
	answered(t, n, tr)
	l.Close()
	return f
}

// No gateway takes a configuration inside a period, whose clock is off by the bound, that heard nothing of it, or that begins
// anew with an empty disk; afterwards each goes by the last one that it was given. Without each of the guards one does.
func TestFreeze(t *testing.T) {
	beside(t)
	if f := feast(t, ""); f.inside > 0 || f.taken == 0 {
		t.Errorf("%+v", f)
	}
	guards := []string{"clock bound", "stricter when stale"}
	if os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
		guards = guards[:1]
	}
	for _, g := range guards {
		if f := feast(t, g); f.inside == 0 {
			t.Errorf("without the guard %q nothing is found: %+v", g, f)
		}
	}
}

// A configuration that came in a period is let through at one gateway by an exception that two operators agreed to, once.
func TestFreezeException(t *testing.T) {
	beside(t)
	l := start(t, seven("[freeze]\nahead_s = 1.0\nclock_bound_ms = 300\n"))
	l.Start(mixed)
	settled(t, l)
	from := time.Now().UTC().Truncate(time.Second).Add(3 * time.Second)
	asked(t, l.Gateways[3], fmt.Sprintf("declare freeze name=feast by=anna zone=UTC from=%s to=%s", from.Format(layout), from.Add(time.Hour).Format(layout)))
	saying(t, l.Gateways[5], "feast .* in force until")
	x, err := l.Gateways[5].Configure("r2")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Gateways[5].Process().Await("configuration not taken", eventLimit); err != nil {
		t.Fatal(err)
	}
	if text, _ := l.Gateways[5].SendCommand("declare take by=anna"); !strings.Contains(text, "an exception is needed") {
		t.Errorf("without an exception: %s", text)
	}
	var id int
	if _, err := fmt.Sscanf(asked(t, l.Gateways[0], "declare exception freeze=feast for=config by=anna for_s=600 why=a wrong bulletin"), "SUCCESS\nentry %d", &id); err != nil {
		t.Fatal(err)
	}
	if text, _ := l.Gateways[0].SendCommand(fmt.Sprintf("declare second exception=%d by=anna", id)); !strings.Contains(text, "another operator") {
		t.Errorf("by the same operator: %s", text)
	}
	asked(t, l.Gateways[1], fmt.Sprintf("declare second exception=%d by=boris", id))
	if _, ok := x.AppliedAt(); ok {
		t.Error("it was taken before it was let through")
	}
	asked(t, l.Gateways[5], fmt.Sprintf("declare take except=%d by=anna", id))
	until(t, l.Gateways[5:6], func(*lab.Gateway) string { return "svc.config_applied:1|c" })
	if text, _ := l.Gateways[4].SendCommand(fmt.Sprintf("declare take except=%d by=anna", id)); !strings.Contains(text, "been used") {
		t.Errorf("a second time: %s", text)
	}
	if text, _ := l.Gateways[2].SendCommand("declare lift freeze=feast by=anna"); !strings.Contains(text, "forbids its own end") {
		t.Errorf("a period ended by one operator: %s", text)
	}
}
