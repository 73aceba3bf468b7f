package fleettest

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// inUse waits until an operators' word about a thing has come to its turn.
func inUse(g *lab.Gateway, thing string) error {
	text, err := await(g, "agreed", 2*eventLimit, func(text string) bool {
		return slices.ContainsFunc(strings.Split(text, "\n"), func(line string) bool {
			return strings.HasPrefix(line, "out: "+thing+" ") && strings.Contains(line, "of anna, out")
		})
	})
	if err != nil {
		return fmt.Errorf("%s never came to its turn: %w\n%s", thing, err, text)
	}
	return nil
}

// restarted has a gateway drained by permit, ended and started anew.
func restarted(g *lab.Gateway) error {
	if text, err := g.SendCommand("drain by=anna why=a restart"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		return fmt.Errorf("%s: drain: %q, %v", g.Name, text, err)
	}
	if _, err := g.Process().Await("drained by what was agreed", 2*eventLimit); err != nil {
		return err
	}
	if err := g.Terminate(); err != nil {
		return err
	}
	return g.Start()
}

// renewed has a worker left out by permit, started anew, and used again.
func renewed(l *lab.Lab, w *lab.Worker, at *lab.Gateway) error {
	if text, err := at.SendCommand("disable-server " + w.Name() + " by=anna"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		return fmt.Errorf("%s: disable-server: %q, %v", w.Name(), text, err)
	}
	if err := inUse(at, "worker "+w.Name()); err != nil {
		return err
	}
	<-time.After(600 * time.Millisecond) // what it has may end
	if err := w.Restart(); err != nil {
		return err
	}
	if text, err := at.SendCommand("enable-server " + w.Name() + " by=anna"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		return fmt.Errorf("%s: enable-server: %q, %v", w.Name(), text, err)
	}
	return nil
}

// Everybody asks at once: every gateway is drained, ended and started anew, then every worker, each by permit. What is served is
// what the same load is served without, and no call is lost; by two at once it takes less time than one at a time.
func TestAgreedChangeRolling(t *testing.T) {
	beside(t)
	took := map[string]time.Duration{}
	for _, limit := range []string{"2", "1"} {
		if limit == "1" && os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
			continue
		}
		o := seven(fmt.Sprintf("[change]\ngateways = %q\nworkers = %q\nonly_copies = \"none\"\n", limit, limit))
		o.ColdFor = 2 * time.Second
		l := start(t, o)
		tr := l.Start(lab.Load{Rate: 150, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3})
		most := map[string]int{"1": 1, "2": 2}[limit]
		settled(t, l)
		tr.AwaitServed(600, eventLimit)
		w := l.Watch(most)
		quiet := time.Now()
		tr.AwaitServed(900, eventLimit)
		base, before := tr.WorthServed(quiet, time.Since(quiet)-2*time.Second, -1), tr.Totals()
		begun := time.Now()
		all := func(n int, do func(i int) error) {
			var wg sync.WaitGroup
			for i := range n {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if err := do(i); err != nil {
						t.Error(err)
					}
				}()
			}
			wg.Wait()
			until(t, l.Gateways, nobodyOut)
		}
		all(len(l.Gateways), func(i int) error { return restarted(l.Gateways[i]) })
		gateways := time.Since(begun)
		all(len(l.Workers), func(i int) error { return renewed(l, l.Workers[i], l.Gateways[i%7]) })
		took[limit] = time.Since(begun)
		tr.AwaitServed(300, eventLimit)
		rolled := tr.WorthServed(begun, took[limit]-2*time.Second, -1)
		_, out, over := w.End()
		n := verdict(t, l, tr)
		t.Logf("figures: gateways=7 workers=9 limit=%s out=%d over=%d worth=%.3f worth_before=%.3f refused=%d took=%v gateways=%v unanswered=%d twice=%d", limit, out, over,
			rolled, base, n.Refused-before.Refused, took[limit].Round(100*time.Millisecond), gateways.Round(100*time.Millisecond), n.Unanswered, l.Counts().RanTwice)
		if out > most || over > 0 {
			t.Errorf("%d were out at most, over %d times", out, over)
		}
		answered(t, n, tr)
		l.Close()
	}
}
