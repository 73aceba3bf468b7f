package fleettest

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// until asks gateways for their figures until each shows what is wanted of it, with a bound.
func until(t *testing.T, gateways []*lab.Gateway, want func(g *lab.Gateway) string) {
	t.Helper()
	for _, g := range gateways {
		if text, err := await(g, "show-stat", eventLimit, func(text string) bool { return strings.Contains(text, want(g)) }); err != nil {
			t.Fatalf("%s: %v, %s; want %s\n%s", g.Name, err, text, want(g), g.Process().Log())
		}
	}
}

var errLate = errors.New("not in time")

// await makes an operators' call again and again until the answer is as it is to be, at most for limit. It returns the last one.
func await(g *lab.Gateway, call string, limit time.Duration, ok func(text string) bool) (text string, err error) {
	late := waitFor(limit, func() bool {
		text, err = g.SendCommand(call)
		return err == nil && ok(text)
	})
	if late != nil {
		return text, errors.Join(late, err)
	}
	return text, nil
}

// waitFor looks again and again until something has happened, and returns errLate if it has not within limit.
func waitFor(limit time.Duration, happened func() bool) error {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	late := time.After(limit)
	for !happened() {
		select {
		case <-tick.C:
		case <-late:
			return errLate
		}
	}
	return nil
}

// knows is the line by which a gateway says how many it knows of.
func knows(n int) string { return fmt.Sprintf("svc.fleet.gateways:%d|g", n) }

// Five gateways under load are cut in two. Each part takes itself for the fleet and serves; an operators' word at one of
// them reaches its own part at once and the other when the cut is over, and the worker gets nothing from then on.
func TestCut(t *testing.T) {
	l := start(t, lab.Options{Gateways: 5, Workers: 5, Halls: 2, Fleet: true, PeerRelays: true})
	tr := l.Start(mixed)
	until(t, l.Gateways, func(*lab.Gateway) string { return knows(5) })
	l.Partition([]int{0, 1, 2}, []int{3, 4})
	until(t, l.Gateways, func(g *lab.Gateway) string {
		if g == l.Gateways[3] || g == l.Gateways[4] {
			return knows(2)
		}
		return knows(3)
	})
	w := l.Workers[0]
	if text, err := l.Gateways[0].SendCommand("disable-server " + w.Name()); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		t.Fatalf("disable-server: %q, %v", text, err)
	}
	left := func(n int) func(*lab.Gateway) string {
		return func(*lab.Gateway) string { return fmt.Sprintf("svc.pool_ejected:%d|g", n) }
	}
	until(t, l.Gateways[:3], left(1))
	if text, _ := l.Gateways[3].SendCommand("show-stat"); !strings.Contains(text, "svc.pool_ejected:0|g") {
		t.Errorf("a word has passed the cut: %s", text)
	}
	if !tr.AwaitServed(200, eventLimit) {
		t.Errorf("the parts do not serve: %+v", tr.Totals())
	}
	l.Heal()
	until(t, l.Gateways, func(*lab.Gateway) string { return knows(5) })
	until(t, l.Gateways, left(1))
	w.MarkBanned()
	if !tr.AwaitServed(200, eventLimit) {
		t.Errorf("the fleet does not serve: %+v", tr.Totals())
	}
	if n := verdict(t, l, tr); n.Unanswered+n.Unreached > 0 {
		t.Errorf("calls were lost: %+v\n%q", n, tr.ErrorSamples())
	}
}
