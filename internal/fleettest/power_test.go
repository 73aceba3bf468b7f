package fleettest

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// The fleet of these tests: 9 gateways in 3 halls, a store of models that 48 loads at once push over, workers that are
// cold for 10 s.
var big = lab.Options{Gateways: 9, Workers: 12, Halls: 3, CallsPerSecond: 25, ColdFor: 10 * time.Second, LoadTime: 200 * time.Millisecond,
	StoreLimit: 48, Fleet: true}

var heavy = lab.Load{Rate: 150, Functions: 60, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3}

// power is how a gateway's state on disk is met, and what loses power.
type power struct {
	name  string
	lose  func(l *lab.Lab) ([]*lab.Gateway, []*lab.Worker)
	disks func(l *lab.Lab) error                 // while there is no power
	again func(l *lab.Lab, tr *lab.Traffic) bool // before the fleet is back
	check func(l *lab.Lab) error                 // once it is
}

func everything(l *lab.Lab) ([]*lab.Gateway, []*lab.Worker) { return l.Gateways, l.Workers }

const comeBackLimit = 40 * time.Second

// play has a fleet lose power and come back. The rules have to be kept, but for the baselines, which are only reported.
func (p power) play(t *testing.T, o lab.Options, load lab.Load, baseline string, before func(*lab.Lab) error) {
	t.Helper()
	switch baseline {
	case "from nothing":
		o.Fleet = false
	case "trusting everything":
		o.Env = append(o.Env, "QUILLRAIL_TEST_TRUST_ALL=1")
	}
	l := start(t, o)
	tr := l.Start(load)
	if !tr.AwaitServed(int(10*load.Rate), eventLimit) {
		t.Fatalf("nothing is served: %+v\n%s", tr.Totals(), l.Gateways[0].Process().Log())
	}
	if before != nil {
		if err := before(l); err != nil {
			t.Fatal(err)
		}
		tr.AwaitServed(int(3*load.Rate), eventLimit) // the state goes to the disks, and the word to the others
	}
	gateways, workers := p.lose(l)
	begun := time.Now()
	l.PowerLoss(gateways, workers)
	if p.disks != nil && baseline != "from nothing" {
		if err := p.disks(l); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.PowerRestore(gateways, workers); err != nil {
		t.Fatal(err)
	}
	for p.again != nil && p.again(l, tr) {
		l.PowerLoss(gateways, workers)
		if err := l.PowerRestore(gateways, workers); err != nil {
			t.Fatal(err)
		}
	}
	back := time.Now()
	if !tr.AwaitServed(int(12*load.Rate), comeBackLimit) {
		t.Errorf("the fleet does not serve again: %+v", tr.Totals())
	}
	if p.check != nil && baseline == "recovery" {
		if err := p.check(l); err != nil {
			t.Error(err)
		}
	}
	former := tr.WorthServed(begun.Add(-2*time.Second), 2*time.Second, -1)
	by, until := "", map[float64]time.Duration{}
	for _, part := range []float64{0.5, 0.9, 0.99} {
		until[part] = tr.RecoveryTime(back, former, part, -1, comeBackLimit)
	}
	for k, class := range []string{"read", "command", "once"} {
		by += fmt.Sprintf(" %s=%v", class, tr.RecoveryTime(back, former, 0.9, k, comeBackLimit))
	}
	n := tr.End()
	if os.Getenv("QUILLRAIL_FLEET_LOG") != "" {
		for d := time.Duration(0); d < 2*time.Second; d += 100 * time.Millisecond {
			t.Logf("%v after: %.2f of the worth is served", d, tr.WorthServed(back.Add(d), 100*time.Millisecond, -1))
		}
	}
	t.Logf("%s %s: former=%.3f until50=%v until90=%v until99=%v; until90 by class:%s", p.name, baseline, former, until[0.5], until[0.9],
		until[0.99], by)
	t.Log(l.Summary(n))
	if os.Getenv("QUILLRAIL_FLEET_LOG") != "" {
		t.Log(l.Gateways[0].Process().Log())
	}
	if broken := l.Violations(n); broken != "" && baseline == "recovery" {
		t.Error(broken)
	}
	l.Close()
}

// banned has an operator leave a worker out at one gateway; the stand-in counts what comes to it once a grace is over. The
// word has to outlive the loss of power, also at gateways whose own disk is lost.
func banned(l *lab.Lab) error {
	w := l.Workers[len(l.Workers)-1]
	if text, err := l.Gateways[0].SendCommand("disable-server " + w.Name()); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		return fmt.Errorf("disable-server: %q, %v", text, err)
	}
	w.MarkBanned()
	return nil
}

// full waits until every gateway knows of all the others: a machine that is busy may have one given up for a moment.
func full(l *lab.Lab) error {
	want := fmt.Sprintf("svc.fleet.gateways:%d|g", len(l.Gateways))
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	late := time.After(eventLimit)
	for _, g := range l.Gateways {
		for {
			text, err := g.SendCommand("show-stat")
			if err == nil && strings.Contains(text, want) {
				break
			}
			select {
			case <-tick.C:
			case <-late:
				return fmt.Errorf("%s: %v, %s; want %s", g.Name, err, text, want)
			}
		}
	}
	return nil
}

// spoil has the disks of a third of the gateways empty, and of three more old, torn and spoilt.
func spoil(l *lab.Lab) error {
	var err error
	for i, g := range l.Gateways {
		if what := []string{"empty", "old", "torn", "empty", "spoilt", "", "empty", "", ""}[i%9]; what != "" {
			err = errors.Join(err, g.AlterDisk(what))
		}
	}
	return err
}

// cases are the losses of power; those that are long are played with QUILLRAIL_FLEET_LONG only.
var cases = []struct {
	power
	long   bool
	before func(l *lab.Lab) error
}{
	{power: power{name: "everything", lose: everything, check: full}},
	{power: power{name: "disks lost, old, torn and spoilt, a worker left out by hand", lose: everything, disks: spoil, check: full},
		before: func(l *lab.Lab) error {
			var err error
			for _, g := range l.Gateways {
				err = errors.Join(err, g.AlterDisk("keep"))
			}
			return errors.Join(err, banned(l))
		}},
	{power: power{name: "gateways only", check: full, lose: func(l *lab.Lab) ([]*lab.Gateway, []*lab.Worker) { return l.Gateways, nil }}, long: true},
	{power: power{name: "one hall", check: full, lose: func(l *lab.Lab) (gs []*lab.Gateway, ws []*lab.Worker) {
		for _, g := range l.Gateways {
			if g.Hall == 0 {
				gs = append(gs, g)
			}
		}
		for _, w := range l.Workers {
			if w.Hall == 0 {
				ws = append(ws, w)
			}
		}
		return gs, ws
	}}, long: true},
	{power: power{name: "twice more while it comes back", lose: everything, check: full, again: func() func(*lab.Lab, *lab.Traffic) bool {
		left := 2
		return func(_ *lab.Lab, tr *lab.Traffic) bool {
			tr.AwaitServed(60, comeBackLimit)
			left--
			return left >= 0
		}
	}()}, long: true},
}

// Power is lost, in each of the cases. With QUILLRAIL_FLEET_LONG all of them, each beside the two baselines.
func TestPowerLoss(t *testing.T) {
	long := os.Getenv("QUILLRAIL_FLEET_LONG") != ""
	for _, c := range cases {
		if c.long && !long {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			c.play(t, big, heavy, "recovery", c.before)
			if long && c.before == nil && c.again == nil {
				c.play(t, big, heavy, "from nothing", nil)
				c.play(t, big, heavy, "trusting everything", nil)
			}
		})
	}
}

// Thirty gateways start within a tenth of a second, lose power with all the workers, and come back.
func TestPowerLossOfThirty(t *testing.T) {
	if os.Getenv("QUILLRAIL_FLEET_LONG") == "" {
		t.Skip("with QUILLRAIL_FLEET_LONG only")
	}
	o := big
	o.Gateways, o.Workers, o.CallsPerSecond = 30, 24, 12
	power{name: "thirty", lose: everything, check: full}.play(t, o, heavy, "recovery", nil)
}
