package fleettest

import (
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// delayPeerPaths delays every message between gateways, so that an operator call reaches a gateway before the entries that the fleet
// has already agreed.
func delayPeerPaths(fleet *lab.Lab) {
	for i := range fleet.Gateways {
		for j := range fleet.Gateways {
			if i != j {
				fleet.Impair(i, j, lab.Impairment{Delay: 60 * time.Millisecond})
			}
		}
	}
}

// An operator disables a worker or drains a gateway, and another withdraws that at once at a gateway which knows the permit as
// granted while the fleet already has it in use. The entry that would let the permit lapse then comes too late, so the same operator
// call has to return the permit instead.
func TestPermitWithdrawnWhileItTakesEffect(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, lab.Options{Gateways: 3, Halls: 3, Fleet: true, Voters: 3, FleetSettings: twoAtOnce, PeerRelays: true})
	traffic := fleet.Start(mixedLoad)
	awaitSettled(t, fleet)
	delayPeerPaths(fleet)
	worker := fleet.Workers[0].Name()
	for round := range 6 {
		gateway := fleet.Gateways[round%3]
		requestDone := make(chan struct{})
		go func() {
			defer close(requestDone)
			fleet.Gateways[(round+1)%3].SendCommand("disable-server " + worker + " by=anna")
		}()
		awaitAgreed(t, gateway, "worker "+worker+" .*granted")
		text, err := gateway.SendCommand("enable-server " + worker + " by=boris")
		if stillPending := strings.Contains(text, "it may still come"); err != nil || !stillPending && !strings.HasPrefix(text, "SUCCESS") {
			t.Errorf("round %d: enable-server is refused: reply %q, error %v", round, text, err)
		}
		<-requestDone
		awaitStat(t, fleet.Gateways, noneUnavailable)
	}
	for round := range 3 {
		gateway := fleet.Gateways[round]
		requestDone := make(chan struct{})
		go func() {
			defer close(requestDone)
			gateway.SendCommand("drain by=anna")
		}()
		awaitAgreed(t, gateway, "gateway "+gateway.Name+" .*granted")
		mustCall(t, gateway, "resume")
		<-requestDone
		awaitStat(t, fleet.Gateways, noneUnavailable)
		if _, err := awaitReply(gateway, "ready", eventTimeout,
			func(text string) bool { return strings.HasPrefix(text, "SUCCESS") }); err != nil {
			t.Errorf("%s was resumed and does not take clients: %v", gateway.Name, err)
		}
	}
	if totals := endAndCheck(t, fleet, traffic); totals.Unanswered+totals.Unreached > 0 {
		t.Errorf("calls were lost: %+v\n%q", totals, traffic.ErrorSamples())
	}
}
