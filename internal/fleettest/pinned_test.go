package fleettest

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// pinnedLoad is a load in which commands have functions of their own. With sessionByFunction the calls of a function are one session.
var pinnedLoad = lab.Load{Rate: 180, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.4, Tries: 3, SeparateCommands: true}

// sessionByFunction holds the settings by which the calls of a function form a session, and a hall counts as lost after 1.5 s.
const sessionByFunction = "[site]\nsession = \"function\"\nlost_after_s = 1.5\n"

// sessionHalls returns the hall of each session, by epoch and function.
func sessionHalls(fleet *lab.Lab) map[int]map[int]int {
	hallsByEpoch := map[int]map[int]int{}
	for key, hall := range fleet.Sessions() {
		epoch, name, _ := strings.Cut(key, " ")
		number, _ := strconv.Atoi(epoch)
		function, _ := strconv.Atoi(name)
		if hallsByEpoch[number] == nil {
			hallsByEpoch[number] = map[int]int{}
		}
		hallsByEpoch[number][function] = hall
	}
	return hallsByEpoch
}

// setHallDown crashes all workers of a hall, or restarts them if down is false.
func setHallDown(t *testing.T, fleet *lab.Lab, hall int, down bool) {
	t.Helper()
	for _, w := range fleet.Workers {
		if w.Hall == hall && down {
			w.Crash()
		} else if w.Hall == hall {
			if err := w.Restart(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// runHallLoss restricts commands to two halls, and then loses and restores the first of these, with one gateway partitioned off while the
// hall is lost. It returns the part of the worth served for commands before the loss and after it, and for reads after it. With the
// guard "restrictions" disabled it ends before the loss.
func runHallLoss(t *testing.T, disabledGuard string) (fleet *lab.Lab, traffic *lab.Traffic, worth [3]float64) {
	options := sevenGateways(sessionByFunction)
	options.PeerRelays = true
	if disabledGuard != "" {
		options.Env = []string{"QUILLRAIL_TEST_GUARD=" + disabledGuard}
	}
	fleet = startFleet(t, options)
	traffic = fleet.Start(pinnedLoad)
	awaitSettled(t, fleet)
	mustCall(t, fleet.Gateways[3], "declare restriction name=near by=anna classes=command sites=hall1,hall2 pin=yes")
	awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.restrictions:1|g" })
	fleet.Confine(0, 1)
	traffic.AwaitServed(500, eventTimeout)
	if disabledGuard == "restrictions" {
		return fleet, traffic, worth
	}
	worth[0] = traffic.WorthServed(time.Now().Add(-2*time.Second), 2*time.Second, 1)
	fleet.Partition([]int{3}, []int{0, 1, 2, 4, 5, 6}) // gateway 3 keeps using the epoch that it knows
	begun := time.Now()
	setHallDown(t, fleet, 0, true)
	awaitAgreed(t, fleet.Gateways[1], "down: hall1")
	lost := time.Since(begun)
	traffic.AwaitServed(300, eventTimeout)
	fleet.Heal()
	awaitAgreed(t, fleet.Gateways[3], "down: hall1")
	traffic.AwaitServed(400, eventTimeout)
	worth[1] = traffic.WorthServed(time.Now().Add(-2*time.Second), 2*time.Second, 1)
	worth[2] = traffic.WorthServed(time.Now().Add(-2*time.Second), 2*time.Second, 0)
	setHallDown(t, fleet, 0, false)
	awaitAgreed(t, fleet.Gateways[1], "epoch \\d+, down: none")
	traffic.AwaitServed(300, eventTimeout)
	t.Logf("the loss of the hall was agreed after %v", lost.Round(time.Millisecond))
	return fleet, traffic, worth
}

// Restricted calls, the loads made for them and their retries stay in two of three halls, whatever fails, and in an epoch each session
// is in one of these. When a hall is lost, its sessions move and all others stay. None moves back by itself, only once an operator
// opens the hall again.
func TestPinnedCallsMoveOnlyFromALostHall(t *testing.T) {
	runInParallel(t)
	fleet, traffic, worth := runHallLoss(t, "")
	before := sessionHalls(fleet)
	var newestBefore int
	for e := range before {
		newestBefore = max(newestBefore, e)
	}
	mustCall(t, fleet.Gateways[5], "declare open hall=hall1 by=anna")
	traffic.AwaitServed(700, eventTimeout)
	totals := endAndCheck(t, fleet, traffic)
	all := sessionHalls(fleet)
	oldest, moved, stayed, back := 1, 0, 0, 0
	newest := 0
	for e := range all {
		newest = max(newest, e)
	}
	for e := range all {
		if oldest == 0 || e < oldest {
			oldest = e
		}
	}
	for fn, hall := range all[oldest] {
		current, known := before[newestBefore][fn]
		switch {
		case !known:
		case hall == 0 && current == 1:
			moved++
		case hall == current:
			stayed++
		default:
			t.Errorf("session %d was in hall %d and is in hall %d after the loss", fn, hall+1, current+1)
		}
		if final, ok := all[newest][fn]; ok && final != hall {
			t.Errorf("session %d was in hall %d and is in hall %d after an operator opened the lost hall", fn, hall+1, final+1)
		} else if ok && hall == 0 {
			back++
		}
	}
	counts := fleet.Counts()
	t.Logf("figures: gateways=7 outside=%d split_sessions=%d moved=%d stayed=%d back=%d worth_pinned=%.2f "+
		"worth_pinned_hall_lost=%.2f worth_free_hall_lost=%.2f unanswered=%d twice=%d",
		counts.OutsideHalls, counts.SplitSessions, moved, stayed, back, worth[0], worth[1], worth[2], totals.Unanswered, counts.RanTwice)
	if moved == 0 || stayed == 0 || back == 0 || newest == newestBefore {
		t.Errorf("%d sessions moved, %d stayed, %d moved back, want 1 or more of each; epoch %d before the hall was opened, %d after",
			moved, stayed, back, newestBefore, newest)
	}
	requireNoLostCalls(t, totals, traffic)
	fleet.Close()
	guards := []string{"restrictions"}
	if os.Getenv("QUILLRAIL_FLEET_LONG") != "" {
		guards = append(guards, "session epoch")
	}
	for _, guard := range guards {
		fleet, traffic, _ := runHallLoss(t, guard)
		traffic.End()
		counts := fleet.Counts()
		if t.Logf("without the guard %q: outside=%d split_sessions=%d", guard, counts.OutsideHalls,
			counts.SplitSessions); counts.OutsideHalls+counts.SplitSessions == 0 {
			t.Errorf("with the guard %q disabled no call is outside its halls and no session is split", guard)
		}
		fleet.Close()
	}
}

// A restriction is declared and tightened while its calls are in flight and gateways are partitioned off: as soon as each gateway knows
// it, no call runs outside it. A restriction that leaves too little capacity is refused with numbers. One that is loosened takes effect
// only when all gateways know it.
func TestPinnedRestrictionTightenedAndLoosened(t *testing.T) {
	runInParallel(t)
	options := sevenGateways(sessionByFunction + "[change]\nworker_calls = 50.0\n")
	options.PeerRelays = true
	fleet := startFleet(t, options)
	traffic := fleet.Start(pinnedLoad)
	awaitSettled(t, fleet)
	traffic.AwaitServed(600, eventTimeout) // time for the gateways to measure the load
	mustCall(t, fleet.Gateways[3], "declare restriction name=near by=anna classes=command sites=hall1,hall2")
	if text, _ := fleet.Gateways[2].SendCommand(
		"declare restriction name=far by=anna classes=read,command,once sites=hall3"); !regexp.MustCompile(
		`3 workers at .* bear 150 calls/s, and it is for \d+`).MatchString(text) {
		t.Errorf("a restriction that leaves too little capacity is not refused with numbers: %s", text)
	}
	if text, _ := fleet.Gateways[2].SendCommand("declare restriction name=odd by=anna tenants=nobody sites=hall3"); !strings.Contains(text,
		`tenant "nobody" is unknown`) {
		t.Errorf("a restriction for an unknown tenant is not refused: %s", text)
	}
	awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.restrictions:1|g" })
	fleet.Confine(0, 1)
	fleet.Partition([]int{0, 3, 4, 5, 6}, []int{1}, []int{2}) // gateways 1 and 2 have no majority
	traffic.AwaitServed(200, eventTimeout)
	fleet.Heal()
	awaitAgreed(t, fleet.Gateways[1], "as of [0-2]\\.")
	mustCall(t, fleet.Gateways[4], "declare restriction name=near by=anna classes=command sites=hall1")
	for _, g := range fleet.Gateways {
		awaitAgreed(t, g, `command\] functions 0 at hall1\n`)
	}
	fleet.Confine(0)
	traffic.AwaitServed(300, eventTimeout)
	fleet.Partition([]int{5}, []int{0, 1, 2, 3, 4, 6})
	awaitAgreed(t, fleet.Gateways[5], "no majority is heard")
	mustCall(t, fleet.Gateways[0], "declare restriction name=near by=anna classes=command sites=hall1,hall3")
	awaitAgreed(t, fleet.Gateways[0], "then hall1 hall3 once all have heard")
	traffic.AwaitServed(300, eventTimeout) // gateway 5 does not know it yet, so all keep to the former restriction
	fleet.Confine()
	fleet.Heal()
	for _, g := range fleet.Gateways {
		awaitAgreed(t, g, `command\] functions 0 at hall1 hall3\n`)
	}
	fleet.Confine(0, 2)
	traffic.AwaitServed(300, eventTimeout)
	totals := endAndCheck(t, fleet, traffic)
	t.Logf("figures: gateways=7 outside=%d unanswered=%d twice=%d", fleet.Counts().OutsideHalls, totals.Unanswered, fleet.Counts().RanTwice)
	requireNoLostCalls(t, totals, traffic)
}
