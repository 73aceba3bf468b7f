package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// drainPlay is workers that drain at random while the list comes and goes, and calls at random.
type drainPlay struct {
	*fake
	rng    *rand.Rand
	began  map[string]time.Duration // when a worker began to drain
	seen   int                      // sends that have been judged
	orders int                      // actions that have been judged
}

// step lets a moment pass: answers come, calls arrive, workers begin to drain, and the list speaks if it can.
func (p *drainPlay) step(heard bool) {
	p.pass(100 * time.Millisecond)
	if heard {
		p.do(Current{AsOf: p.now})
	}
	for range p.rng.IntN(3) {
		p.call(0, 0, fmt.Sprint("f", p.rng.IntN(6)))
	}
	for ; p.seen < len(p.sent); p.seen++ {
		s := p.sent[p.seen]
		p.judge(s.host, s.at)
		if at, drains := p.began[s.host]; drains && p.now-at > p.accepts(s.host) {
			p.result(s, Full, NoNote)
		} else if p.ended[s.id] == "" {
			p.result(s, Good, FoundWarm)
		}
	}
	for ; p.orders < len(p.acts); p.orders++ {
		var at time.Duration
		var text, host, fn string
		if n, _ := fmt.Sscanf(p.acts[p.orders], "%s order %s %s", &text, &host, &fn); n == 3 {
			at, _ = time.ParseDuration(text)
			p.judge(host, at)
		} else if n, _ := fmt.Sscanf(p.acts[p.orders], "probe %s", &host); n == 1 {
			how := Good
			if _, drains := p.began[host]; drains {
				how = Bad
			}
			p.do(Probed{Host: host, Outcome: how})
		}
	}
}

// accepts is how long a worker goes on taking calls while it drains: no longer than gateways may send it some, and 2 s where that is
// less.
func (p *drainPlay) accepts(host string) time.Duration {
	return max(2*sec, p.r.settings.DrainGrace) * time.Duration(len(host)+int(host[1])%3) / 4
}

func (p *drainPlay) judge(host string, at time.Duration) {
	if drain, drains := p.began[host]; drains && at > drain+p.r.settings.MaxListDelay+p.r.settings.DrainGrace {
		p.t.Errorf("%s gets something %v after it began to drain", host, at-drain)
	}
}

// Whatever the calls, whenever the list falls silent and whenever workers begin to drain: none gets a call or an order once
// the drain counts as told and the grace is over. Guards against trusting a list for good that nothing is heard of.
func TestNothingIsSentOnceADrainCountsAsTold(t *testing.T) {
	for seed := range uint64(40) {
		s := leasing()
		s.Probing = seed%2 == 1
		s.DrainGrace = []time.Duration{250 * time.Millisecond, 2 * sec, 6 * sec}[seed%3]
		p := &drainPlay{fake: listed(t, s, 5), rng: rand.New(rand.NewPCG(seed, 1)), began: map[string]time.Duration{}}
		for range 20 {
			p.step(true)
		}
		served := 0
		for i := range 250 {
			if p.rng.IntN(40) == 0 && len(p.began) < 3 {
				p.began[fmt.Sprint("w", p.rng.IntN(5))] = p.now
			}
			p.step(false)
			if i == 200 {
				served = len(p.sent)
			}
		}
		if len(p.sent) == served {
			t.Errorf("seed %d: nothing is sent any more, with %d of 5 workers draining", seed, len(p.began))
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}
