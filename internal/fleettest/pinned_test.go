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

// pins is load in which commands have functions of their own; a session is the calls of a function.
var pins = lab.Load{Rate: 180, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.4, Tries: 3, SeparateCommands: true}

const byFunction = "[site]\nsession = \"function\"\nlost_after_s = 1.5\n"

// epochs reads which halls the sessions of each epoch were at.
func epochs(l *lab.Lab) map[int]map[int]int {
	out := map[int]map[int]int{}
	for key, hall := range l.Sessions() {
		epoch, fn, _ := strings.Cut(key, " ")
		e, _ := strconv.Atoi(epoch)
		f, _ := strconv.Atoi(fn)
		if out[e] == nil {
			out[e] = map[int]int{}
		}
		out[e][f] = hall
	}
	return out
}

// hallDown ends, or starts anew, all workers of a hall.
func hallDown(t *testing.T, l *lab.Lab, hall int, down bool) {
	t.Helper()
	for _, w := range l.Workers {
		if w.Hall == hall && down {
			w.Crash()
		} else if w.Hall == hall {
			if err := w.Restart(); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// pinned plays the loss and the return of a hall of two at which commands may run, with a gateway cut off while the hall is lost.
func pinned(t *testing.T, without string) (l *lab.Lab, tr *lab.Traffic, worth [3]float64) {
	o := seven(byFunction)
	o.PeerRelays = true
	if without != "" {
		o.Env = []string{"QUILLRAIL_TEST_GUARD=" + without}
	}
	l = start(t, o)
	tr = l.Start(pins)
	settled(t, l)
	asked(t, l.Gateways[3], "declare restriction name=near by=anna classes=command sites=hall1,hall2 pin=yes")
	until(t, l.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.restrictions:1|g" })
	l.Confine(0, 1)
	tr.AwaitServed(500, eventLimit)
	if without == "restrictions" {
		return l, tr, worth
	}
	worth[0] = tr.WorthServed(time.Now().Add(-2*time.Second), 2*time.Second, 1)
	l.Partition([]int{3}, []int{0, 1, 2, 4, 5, 6}) // it keeps to the epoch that it knows
	begun := time.Now()
	hallDown(t, l, 0, true)
	saying(t, l.Gateways[1], "down: hall1")
	lost := time.Since(begun)
	tr.AwaitServed(300, eventLimit)
	l.Heal()
	saying(t, l.Gateways[3], "down: hall1")
	tr.AwaitServed(400, eventLimit)
	worth[1] = tr.WorthServed(time.Now().Add(-2*time.Second), 2*time.Second, 1)
	worth[2] = tr.WorthServed(time.Now().Add(-2*time.Second), 2*time.Second, 0)
	hallDown(t, l, 0, false)
	saying(t, l.Gateways[1], "epoch \\d+, down: none")
	tr.AwaitServed(300, eventLimit)
	t.Logf("hall lost for all after %v", lost.Round(time.Millisecond))
	return l, tr, worth
}

// Restricted calls, the loads made for them and their repeats stay at two of three halls, whatever fails; each session is at one
// of them in an epoch. As one is lost its sessions move, all others stay, and none goes back by itself; an operator opens it.
func TestPinnedCalls(t *testing.T) {
	beside(t)
	l, tr, worth := pinned(t, "")
	before := epochs(l)
	var last int
	for e := range before {
		last = max(last, e)
	}
	asked(t, l.Gateways[5], "declare open hall=hall1 by=anna")
	tr.AwaitServed(700, eventLimit)
	n := verdict(t, l, tr)
	all := epochs(l)
	first, moved, stayed, back := 1, 0, 0, 0
	newest := 0
	for e := range all {
		newest = max(newest, e)
	}
	for e := range all {
		if first == 0 || e < first {
			first = e
		}
	}
	for fn, hall := range all[first] {
		now, known := before[last][fn]
		switch {
		case !known:
		case hall == 0 && now == 1:
			moved++
		case hall == now:
			stayed++
		default:
			t.Errorf("session %d was at hall %d, and is at %d", fn, hall+1, now+1)
		}
		if again, ok := all[newest][fn]; ok && again != hall {
			t.Errorf("session %d was at hall %d, and after it was opened at %d", fn, hall+1, again+1)
		} else if ok && hall == 0 {
			back++
		}
	}
	c := l.Counts()
	t.Logf("figures: gateways=7 outside=%d split_sessions=%d moved=%d stayed=%d back=%d worth_pinned=%.2f worth_pinned_hall_lost=%.2f worth_free_hall_lost=%.2f unanswered=%d twice=%d",
		c.OutsideHalls, c.SplitSessions, moved, stayed, back, worth[0], worth[1], worth[2], n.Unanswered, c.RanTwice)
	if moved == 0 || stayed == 0 || back == 0 || newest == last {
		t.Errorf("%d sessions moved, %d stayed, %d were back; epochs %d and %d", moved, stayed, back, last, newest)
	}
	answered(t, n, tr)
	l.Close()
	guards := []string{"restrictions"}
	if os.Getenv("QUILLRAIL_FLEET_LONG") != "" {
		guards = append(guards, "session epoch")
	}
	for _, g := range guards {
		l, tr, _ := pinned(t, g)
		tr.End()
		c := l.Counts()
		if t.Logf("without the guard %q: outside=%d split_sessions=%d", g, c.OutsideHalls, c.SplitSessions); c.OutsideHalls+c.SplitSessions == 0 {
			t.Errorf("without the guard %q nothing is found", g)
		}
		l.Close()
	}
}

// A restriction is tightened while its calls are out and a gateway is cut off: from the moment that each knows of it nothing of
// it is outside. One that leaves too little is refused with figures; one that is loosened waits until all have heard.
func TestPinnedTightened(t *testing.T) {
	beside(t)
	o := seven(byFunction + "[change]\nworker_calls = 50.0\n")
	o.PeerRelays = true
	l := start(t, o)
	tr := l.Start(pins)
	settled(t, l)
	tr.AwaitServed(600, eventLimit) // the load is measured
	asked(t, l.Gateways[3], "declare restriction name=near by=anna classes=command sites=hall1,hall2")
	if text, _ := l.Gateways[2].SendCommand("declare restriction name=far by=anna classes=read,command,once sites=hall3"); !regexp.MustCompile(`3 workers at .* bear 150 calls/s, and it is for \d+`).MatchString(text) {
		t.Errorf("a restriction that leaves too little: %s", text)
	}
	if text, _ := l.Gateways[2].SendCommand("declare restriction name=odd by=anna tenants=nobody sites=hall3"); !strings.Contains(text, `tenant "nobody" is unknown`) {
		t.Errorf("an unknown tenant: %s", text)
	}
	until(t, l.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.restrictions:1|g" })
	l.Confine(0, 1)
	l.Partition([]int{0, 3, 4, 5, 6}, []int{1}, []int{2}) // the others have no majority
	tr.AwaitServed(200, eventLimit)
	l.Heal()
	saying(t, l.Gateways[1], "as of [0-2]\\.")
	asked(t, l.Gateways[4], "declare restriction name=near by=anna classes=command sites=hall1")
	for _, g := range l.Gateways {
		saying(t, g, `command\] functions 0 at hall1\n`)
	}
	l.Confine(0)
	tr.AwaitServed(300, eventLimit)
	l.Partition([]int{5}, []int{0, 1, 2, 3, 4, 6})
	saying(t, l.Gateways[5], "no majority is heard")
	asked(t, l.Gateways[0], "declare restriction name=near by=anna classes=command sites=hall1,hall3")
	saying(t, l.Gateways[0], "then hall1 hall3 once all have heard")
	tr.AwaitServed(300, eventLimit) // one has not: all keep to what was
	l.Confine()
	l.Heal()
	for _, g := range l.Gateways {
		saying(t, g, `command\] functions 0 at hall1 hall3\n`)
	}
	l.Confine(0, 2)
	tr.AwaitServed(300, eventLimit)
	n := verdict(t, l, tr)
	t.Logf("figures: gateways=7 outside=%d unanswered=%d twice=%d", l.Counts().OutsideHalls, n.Unanswered, l.Counts().RanTwice)
	answered(t, n, tr)
}
