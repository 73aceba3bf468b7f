package simulation

import (
	"math"
	"math/rand/v2"

	"quillrail/internal/fleet/change"
)

// report and beat are what gateways tell each other besides entries, in the form of package agreement.
type (
	report struct {
		Name, Hall, Version, Config string
		Life, ID                    uint64
		Serving, Warm               bool
		Load                        float64
		Classes                     []change.Tally
	}
	beat struct {
		Index, Hash uint64
		At          int64
		Name        string
	}
)

type gateway struct {
	thing     change.Thing
	hall      string
	version   string
	life      uint64
	upAt      int64 // 0: up
	next      string
	nextAt    int64
	bad, slow float64 // its own way
	counts    change.Counts
	shown     change.Counts // as of the last report
}

// supervise restarts what the log wants restarted, as the gateways' supervisors do.
func (p *play) supervise() {
	for _, g := range p.all {
		q := p.s.PermitOf(g.thing)
		if q != nil && q.Phase == change.Granted && q.Holder != "" {
			p.apply(change.Proposal{Kind: "use", Body: change.PermitBody{ID: q.ID, Holder: g.thing.Name(), Life: g.life}})
		}
		if what, to, _ := p.s.Wanted(g.thing.Name()); what != "" && to != g.version && g.nextAt == 0 {
			g.next, g.nextAt = to, p.now+notice+p.rng.Int64N(500)
		}
		p.restart(g)
	}
}

func (p *play) restart(g *gateway) {
	if g.nextAt != 0 && p.now >= g.nextAt {
		g.nextAt, g.version = 0, g.next
		g.life++
		g.counts = change.Counts{Life: g.life, Classes: make([]change.Tally, classes)}
		g.upAt = p.now + down
		if p.o.Fault == Crash && g.version == "v2" {
			g.upAt = math.MaxInt64
		}
	}
	if g.upAt != 0 && p.now >= g.upAt {
		g.upAt = 0
	}
}

// baseline has all gateways changed at once, or in batches of a tenth each 30 s, by time alone.
func (p *play) baseline() {
	for i, g := range p.all {
		g.next, g.nextAt = "v2", p.now+tick
		if p.o.Way == ByTime {
			g.nextAt += int64(10*i/len(p.all)) * 30_000
		}
	}
}

// serve has a gateway take the calls of a tick.
func (p *play) serve(g *gateway) {
	if p.o.Way != Ours {
		p.restart(g)
	}
	fails, took := failBase*g.bad, g.slow
	if p.o.BadHour && p.now > warmUp+20_000 && p.now < warmUp+60_000 {
		fails, took = 10*fails, 1.5*took
	}
	for n := poisson(p.rng, p.o.PerSecond*tick/1000); n > 0; n-- {
		class, x := 0, p.rng.Float64()
		for x > shares[class] && class < classes-1 {
			x -= shares[class]
			class++
		}
		t := &g.counts.Classes[class]
		p.asked++
		if g.upAt != 0 {
			p.lost++
			continue
		}
		f, ms := fails, took*median*math.Exp(sigma*p.rng.NormFloat64())
		if g.version == "v2" {
			switch p.o.Fault {
			case Fails:
				if class == 1 {
					f += 0.05
				}
			case Slow:
				if p.rng.Float64() < 0.03 { // so that the 99th percentile is twice what it was
					ms = took * median * math.Exp(sigma*2.33) * 2 * (1 + 0.2*p.rng.Float64())
				}
			case Tenth:
				ms *= 1.1
			}
		}
		if p.rng.Float64() < f {
			t.Failed++
			p.lost++
			continue
		}
		t.Served++
		t.Took[change.Bucket(ms)]++
		if ms > aim {
			p.lost++
		}
	}
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for l := rng.ExpFloat64(); l < mean; l += rng.ExpFloat64() {
		n++
	}
	return n
}
