package fleettest

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// awaitStat polls the metrics of each gateway until they contain the text wanted of it, for eventTimeout at most.
func awaitStat(t *testing.T, gateways []*lab.Gateway, want func(g *lab.Gateway) string) {
	t.Helper()
	for _, g := range gateways {
		if text, err := awaitReply(g, "show-stat", eventTimeout,
			func(text string) bool { return strings.Contains(text, want(g)) }); err != nil {
			t.Fatalf("%s: %v; got metrics %s, want %s\n%s", g.Name, err, text, want(g), g.Process().Log())
		}
	}
}

var errTimeout = errors.New("the expected state was not reached in time")

// awaitReply repeats an operator call until accept holds for its reply, for limit at most, and returns the last reply.
func awaitReply(gateway *lab.Gateway, call string, limit time.Duration, accept func(text string) bool) (text string, err error) {
	waitErr := waitUntil(limit, func() bool {
		text, err = gateway.SendCommand(call)
		return err == nil && accept(text)
	})
	if waitErr != nil {
		return text, errors.Join(waitErr, err)
	}
	return text, nil
}

// waitUntil polls every 50 ms until the condition holds. It returns errTimeout if it does not within limit.
func waitUntil(limit time.Duration, condition func() bool) error {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(limit)
	for !condition() {
		select {
		case <-tick.C:
		case <-timeout:
			return errTimeout
		}
	}
	return nil
}

// gatewaysKnown returns the metric line with which a gateway reports that it knows n gateways.
func gatewaysKnown(n int) string { return fmt.Sprintf("svc.fleet.gateways:%d|g", n) }

// A partition splits five gateways under load into two groups. Each group considers itself the fleet and serves. A worker that is
// banned at a gateway is banned in that group at once and in the other once the partition is healed, and gets nothing from then on.
func TestPartitionServesOnBothSides(t *testing.T) {
	fleet := startFleet(t, lab.Options{Gateways: 5, Workers: 5, Halls: 2, Fleet: true, PeerRelays: true})
	traffic := fleet.Start(mixedLoad)
	awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return gatewaysKnown(5) })
	fleet.Partition([]int{0, 1, 2}, []int{3, 4})
	awaitStat(t, fleet.Gateways, func(g *lab.Gateway) string {
		if g == fleet.Gateways[3] || g == fleet.Gateways[4] {
			return gatewaysKnown(2)
		}
		return gatewaysKnown(3)
	})
	worker := fleet.Workers[0]
	if text, err := fleet.Gateways[0].SendCommand("disable-server " + worker.Name()); err != nil || !strings.HasPrefix(text, "SUCCESS") {
		t.Fatalf("disable-server: want SUCCESS, got reply %q, error %v", text, err)
	}
	ejected := func(n int) func(*lab.Gateway) string {
		return func(*lab.Gateway) string { return fmt.Sprintf("svc.pool_ejected:%d|g", n) }
	}
	awaitStat(t, fleet.Gateways[:3], ejected(1))
	if text, _ := fleet.Gateways[3].SendCommand("show-stat"); !strings.Contains(text, "svc.pool_ejected:0|g") {
		t.Errorf("a ban has crossed the partition: %s", text)
	}
	if !traffic.AwaitServed(200, eventTimeout) {
		t.Errorf("the two groups do not serve: %+v", traffic.Totals())
	}
	fleet.Heal()
	awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return gatewaysKnown(5) })
	awaitStat(t, fleet.Gateways, ejected(1))
	worker.MarkBanned()
	if !traffic.AwaitServed(200, eventTimeout) {
		t.Errorf("the fleet does not serve: %+v", traffic.Totals())
	}
	if totals := endAndCheck(t, fleet, traffic); totals.Unanswered+totals.Unreached > 0 {
		t.Errorf("calls were lost: %+v\n%q", totals, traffic.ErrorSamples())
	}
}
