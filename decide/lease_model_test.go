package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// drainScenario simulates calls at random times to workers that begin to drain at random times, with a list that is
// confirmed in some steps only.
type drainScenario struct {
	*fakeGateway
	rng            *rand.Rand
	drainStart     map[string]time.Duration // when each draining worker began to drain
	checkedSends   int                      // number of sends checked so far
	checkedActions int                      // number of actions checked so far
}

// step advances the clock by 100 ms, confirms the list if listConfirmed, adds calls, and answers sends and probes. Orders
// and sends are checked.
func (d *drainScenario) step(listConfirmed bool) {
	d.advance(100 * time.Millisecond)
	if listConfirmed {
		d.handle(Current{AsOf: d.now})
	}
	for range d.rng.IntN(3) {
		d.call(0, 0, fmt.Sprint("f", d.rng.IntN(6)))
	}
	for ; d.checkedSends < len(d.sent); d.checkedSends++ {
		s := d.sent[d.checkedSends]
		d.checkSend(s.host, s.at)
		if at, drains := d.drainStart[s.host]; drains && d.now-at > d.acceptsFor(s.host) {
			d.reportResult(s, Full, NoNote)
		} else if d.ended[s.id] == "" {
			d.reportResult(s, Good, FoundWarm)
		}
	}
	for ; d.checkedActions < len(d.actions); d.checkedActions++ {
		var at time.Duration
		var text, host, fn string
		if n, _ := fmt.Sscanf(d.actions[d.checkedActions], "%s order %s %s", &text, &host, &fn); n == 3 {
			at, _ = time.ParseDuration(text)
			d.checkSend(host, at)
		} else if n, _ := fmt.Sscanf(d.actions[d.checkedActions], "probe %s", &host); n == 1 {
			outcome := Good
			if _, drains := d.drainStart[host]; drains {
				outcome = Bad
			}
			d.handle(Probed{Host: host, Outcome: outcome})
		}
	}
}

// acceptsFor returns how long a draining worker goes on accepting calls: at most the grace in which gateways may still
// send calls, or 2 s if that is longer.
func (d *drainScenario) acceptsFor(host string) time.Duration {
	return max(2*sec, d.router.settings.DrainGrace) * time.Duration(len(host)+int(host[1])%3) / 4
}

// checkSend fails the test if a call or order was sent to a worker that must have been known to drain by then.
func (d *drainScenario) checkSend(host string, at time.Duration) {
	if drain, drains := d.drainStart[host]; drains && at > drain+d.router.settings.MaxListDelay+d.router.settings.DrainGrace {
		d.t.Errorf("%s was sent a call or order %v after it began to drain", host, at-drain)
	}
}

// A worker gets no call or order once its drain counts as announced by the list and the grace is over, whatever the calls
// and whenever the list becomes silent and workers begin to drain. Guards against trusting a list indefinitely that is
// no longer confirmed.
func TestNothingIsSentAfterDrainNoticeAndGrace(t *testing.T) {
	for seed := range uint64(40) {
		settings := leaseSettings()
		settings.Probing = seed%2 == 1
		settings.DrainGrace = []time.Duration{250 * time.Millisecond, 2 * sec, 6 * sec}[seed%3]
		scenario := &drainScenario{fakeGateway: newFakeWithFreshList(t, settings, 5), rng: rand.New(rand.NewPCG(seed, 1)),
			drainStart: map[string]time.Duration{}}
		for range 20 {
			scenario.step(true)
		}
		sentEarlier := 0
		for i := range 250 {
			if scenario.rng.IntN(40) == 0 && len(scenario.drainStart) < 3 {
				scenario.drainStart[fmt.Sprint("w", scenario.rng.IntN(5))] = scenario.now
			}
			scenario.step(false)
			if i == 200 {
				sentEarlier = len(scenario.sent)
			}
		}
		if len(scenario.sent) == sentEarlier {
			t.Errorf("seed %d: no call is sent in the last steps though only %d of 5 workers drain", seed, len(scenario.drainStart))
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
