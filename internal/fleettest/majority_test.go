package fleettest

import (
	"strings"
	"testing"

	"quillrail/internal/lab"
)

// A gateway without a majority is drained only by an emergency drain, which all gateways learn of once the partition is healed.
func TestAgreedChangeWithoutMajorityNeedsEmergency(t *testing.T) {
	runInParallel(t)
	options := sevenGateways("")
	options.PeerRelays = true
	fleet := startFleet(t, options)
	traffic := fleet.Start(mixedLoad)
	awaitSettled(t, fleet)
	fleet.Partition([]int{0}, []int{1, 2, 3, 4, 5, 6})
	awaitAgreed(t, fleet.Gateways[0], "no majority is heard")
	if text, err := fleet.Gateways[0].SendCommand("drain by=anna"); err != nil || !strings.HasPrefix(text, "FAILURE it was not agreed") {
		t.Errorf("a drain without a majority is not refused: reply %q, error %v", text, err)
	}
	if text, _ := fleet.Gateways[0].SendCommand("ready"); !strings.HasPrefix(text, "SUCCESS") {
		t.Errorf("the gateway is drained although the drain was refused: %s", text)
	}
	mustCall(t, fleet.Gateways[0], "drain emergency by=anna why=it burns")
	if text, _ := fleet.Gateways[0].SendCommand("ready"); strings.HasPrefix(text, "SUCCESS") {
		t.Errorf("the gateway is not drained by the emergency drain: %s", text)
	}
	if reply := mustCall(t, fleet.Gateways[4], "drain by=boris"); !strings.Contains(reply, "waits: 1 of at most 1 gateways are out: gw1") {
		t.Errorf("the isolated gateway does not count as unavailable: %s", reply)
	}
	fleet.Heal()
	t.Log(awaitAgreed(t, fleet.Gateways[3], "gw1 .*permit .* of anna, out: it burns"))
	mustCall(t, fleet.Gateways[0], "resume")
	if _, err := fleet.Gateways[4].Process().Await("drained by what was agreed", eventTimeout); err != nil {
		t.Fatal(err)
	}
	mustCall(t, fleet.Gateways[4], "resume")
	awaitStat(t, fleet.Gateways, noneUnavailable)
	requireNoLostCalls(t, endAndCheck(t, fleet, traffic), traffic)
}

// All gateways lose power in the middle of a release, and three of the seven disks are lost: the release halts, no gateway is changed
// meanwhile, and it goes on once an operator continues it.
func TestAgreedChangeReleaseHaltsAfterPowerLoss(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, sevenGateways(twoAtOnce))
	traffic := fleet.Start(mixedLoad)
	awaitSettled(t, fleet)
	fleet.Supervise(versionEnv(""))
	mustCall(t, fleet.Gateways[5], "declare release name=two by=anna version=v2 prove_s=3 most_s=4 step_s=20")
	awaitAgreed(t, fleet.Gateways[1], "batch 2 of 5")
	fleet.PowerLoss(fleet.Gateways, nil)
	for _, i := range []int{1, 4, 6} { // one of the three voters among them
		if err := fleet.Gateways[i].AlterDisk("empty"); err != nil {
			t.Fatal(err)
		}
	}
	if err := fleet.PowerRestore(fleet.Gateways, nil); err != nil {
		t.Fatal(err)
	}
	t.Log(awaitAgreed(t, fleet.Gateways[3], "halted forwards.*(lost power|majority)"))
	awaitStat(t, fleet.Gateways, noneUnavailable)
	mustCall(t, fleet.Gateways[3], "declare continue name=two by=boris")
	awaitAgreed(t, fleet.Gateways[2], "release two .* done")
	awaitStat(t, fleet.Gateways, noneUnavailable)
	if totals := endAndCheck(t, fleet, traffic); totals.Unanswered > 0 {
		t.Errorf("calls were lost: %+v\n%q", totals, traffic.ErrorSamples())
	}
}

// Guards against a drain that comes after its operator has taken it back: a gateway that hears no majority can't tell whether its drain is
// agreed later, and resume has to withdraw it whether or not it is.
func TestResumeWithdrawsADrainThatMayStillCome(t *testing.T) {
	for _, test := range []struct {
		name, drain, reply string
		heard              bool // the others hear the gateway, which hears none of them
	}{
		{"cut off", "drain by=anna", undecidedReply, false},
		{"heard, and agreed meanwhile", "drain by=anna", undecidedReply, true},
		{"cut off, emergency", "drain emergency by=anna why=it burns", "SUCCESS", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runInParallel(t)
			fleet := startFleet(t, lab.Options{Gateways: 3, Halls: 3, Fleet: true, Voters: 3, FleetSettings: twoAtOnce, PeerRelays: true})
			traffic := fleet.Start(mixedLoad)
			awaitSettled(t, fleet)
			gateway := fleet.Gateways[0]
			fleet.Partition([]int{0}, []int{1, 2})
			if test.heard {
				for other := 1; other < len(fleet.Gateways); other++ {
					fleet.Impair(0, other, lab.Impairment{})
				}
			}
			awaitAgreed(t, gateway, "no majority is heard")
			if text, err := gateway.SendCommand(test.drain); err != nil || !strings.HasPrefix(text, test.reply) {
				t.Fatalf("reply %q, error %v, want %q", text, err, test.reply)
			}
			if test.heard {
				awaitAgreed(t, fleet.Gateways[1], "(out: gateway|for gateway) gw1 .*anna|of anna for gateway gw1")
			}
			mustCall(t, gateway, "resume")
			fleet.Heal()
			mustCall(t, gateway, "declare limits by=boris gateways=1")
			awaitServed(t, traffic, 300) // several times as long as a proposal takes that is sent again
			if text, err := gateway.SendCommand("ready"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
				t.Errorf("the gateway is drained although that was taken back: reply %q, error %v\n%s", text, err, gateway.Process().Log())
			}
			awaitStat(t, fleet.Gateways, noneUnavailable)
			awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.permits:0|g" })
			requireNoLostCalls(t, endAndCheck(t, fleet, traffic), traffic)
		})
	}
}
