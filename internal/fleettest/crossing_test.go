package fleettest

import (
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// slowPaths has every message between gateways take a while: an operator's word at one of them then crosses what the fleet has
// agreed meanwhile.
func slowPaths(l *lab.Lab) {
	for i := range l.Gateways {
		for j := range l.Gateways {
			if i != j {
				l.Impair(i, j, lab.Impairment{Delay: 60 * time.Millisecond})
			}
		}
	}
}

// An operator asks for a worker or a gateway to be out and another takes that back at once, at a gateway to which the permit
// is granted while the fleet has it in use already: the entry by which it would lapse comes behind. It has to be returned then,
// by the same word.
func TestWordCrossesTheUseOfAPermit(t *testing.T) {
	beside(t)
	l := start(t, lab.Options{Gateways: 3, Halls: 3, Fleet: true, Voters: 3, FleetSettings: two, PeerRelays: true})
	tr := l.Start(mixed)
	settled(t, l)
	slowPaths(l)
	worker := l.Workers[0].Name()
	for round := range 6 {
		g := l.Gateways[round%3]
		asking := make(chan struct{})
		go func() {
			defer close(asking)
			l.Gateways[(round+1)%3].SendCommand("disable-server " + worker + " by=anna")
		}()
		saying(t, g, "worker "+worker+" .*granted")
		text, err := g.SendCommand("enable-server " + worker + " by=boris")
		if late := strings.Contains(text, "it may still come"); err != nil || !late && !strings.HasPrefix(text, "SUCCESS") {
			t.Errorf("round %d: the worker is called back: %q, %v", round, text, err)
		}
		<-asking
		until(t, l.Gateways, nobodyOut)
	}
	for round := range 3 {
		g := l.Gateways[round]
		asking := make(chan struct{})
		go func() {
			defer close(asking)
			g.SendCommand("drain by=anna")
		}()
		saying(t, g, "gateway "+g.Name+" .*granted")
		asked(t, g, "resume")
		<-asking
		until(t, l.Gateways, nobodyOut)
		if _, err := await(g, "ready", eventLimit, func(text string) bool { return strings.HasPrefix(text, "SUCCESS") }); err != nil {
			t.Errorf("%s was resumed and does not take clients: %v", g.Name, err)
		}
	}
	if n := verdict(t, l, tr); n.Unanswered+n.Unreached > 0 {
		t.Errorf("calls were lost: %+v\n%q", n, tr.ErrorSamples())
	}
}
