package fleettest

import (
	"strings"
	"testing"
)

// Cut off from a majority no gateway is drained but by an emergency word, which all hear of once the cut is over.
func TestAgreedChangeWithoutMajority(t *testing.T) {
	beside(t)
	o := seven("")
	o.PeerRelays = true
	l := start(t, o)
	tr := l.Start(mixed)
	settled(t, l)
	l.Partition([]int{0}, []int{1, 2, 3, 4, 5, 6})
	saying(t, l.Gateways[0], "no majority is heard")
	if text, err := l.Gateways[0].SendCommand("drain by=anna"); err != nil || !strings.HasPrefix(text, "FAILURE it was not agreed") {
		t.Errorf("a drain without a majority: %q, %v", text, err)
	}
	if text, _ := l.Gateways[0].SendCommand("ready"); !strings.HasPrefix(text, "SUCCESS") {
		t.Errorf("it is drained all the same: %s", text)
	}
	asked(t, l.Gateways[0], "drain emergency by=anna why=it burns")
	if text, _ := l.Gateways[0].SendCommand("ready"); strings.HasPrefix(text, "SUCCESS") {
		t.Errorf("an emergency word did not go through: %s", text)
	}
	if second := asked(t, l.Gateways[4], "drain by=boris"); !strings.Contains(second, "waits: 1 of at most 1 gateways are out: gw1") {
		t.Errorf("one that hears nothing does not count as out: %s", second)
	}
	l.Heal()
	t.Log(saying(t, l.Gateways[3], "gw1 .*permit .* of anna, out: it burns"))
	asked(t, l.Gateways[0], "resume")
	if _, err := l.Gateways[4].Process().Await("drained by what was agreed", eventLimit); err != nil {
		t.Fatal(err)
	}
	asked(t, l.Gateways[4], "resume")
	until(t, l.Gateways, nobodyOut)
	answered(t, verdict(t, l, tr), tr)
}

// Power is lost by all gateways in the middle of a release, and half of the disks are lost with it: the release stands still,
// nobody is changed meanwhile, and it goes on by an operator's word.
func TestAgreedChangePowerLoss(t *testing.T) {
	beside(t)
	l := start(t, seven(two))
	tr := l.Start(mixed)
	settled(t, l)
	l.Supervise(versionsOf(""))
	asked(t, l.Gateways[5], "declare release name=two by=anna version=v2 prove_s=3 most_s=4 step_s=20")
	saying(t, l.Gateways[1], "batch 2 of 5")
	l.PowerLoss(l.Gateways, nil)
	for _, i := range []int{1, 4, 6} { // one of the three voters among them
		if err := l.Gateways[i].AlterDisk("empty"); err != nil {
			t.Fatal(err)
		}
	}
	if err := l.PowerRestore(l.Gateways, nil); err != nil {
		t.Fatal(err)
	}
	t.Log(saying(t, l.Gateways[3], "halted forwards.*(lost power|majority)"))
	until(t, l.Gateways, nobodyOut)
	asked(t, l.Gateways[3], "declare continue name=two by=boris")
	saying(t, l.Gateways[2], "release two .* done")
	until(t, l.Gateways, nobodyOut)
	if n := verdict(t, l, tr); n.Unanswered > 0 {
		t.Errorf("calls were lost: %+v\n%q", n, tr.ErrorSamples())
	}
}
