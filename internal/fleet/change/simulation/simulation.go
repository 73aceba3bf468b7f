// Package simulation plays releases and drains over fleets of a size that no machine has sockets for, on a clock of its own:
// the permits, batches, comparisons and limits are those of package change; gateways, their calls and those who restart them
// are a few lines each. Same seed, same play.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/change"
)

// Fault is what is wrong with a new version.
type Fault string

// The faults.
const (
	None  Fault = ""
	Crash Fault = "crash" // it ends as soon as it starts
	Fails Fault = "fails" // one class fails for 5 % of its calls
	Slow  Fault = "slow"  // the slowest hundredth takes twice as long
	Tenth Fault = "tenth" // every call takes a tenth longer
)

// Way is how a release goes over the fleet.
type Way string

// The ways: ours, and the baselines.
const (
	Ours      Way = "ours"
	AllAtOnce Way = "all at once"
	ByTime    Way = "fixed batches"
)

// Options say what is played.
type Options struct {
	Seed            uint64
	Gateways, Halls int
	PerSecond       float64 // calls of a gateway
	Fault           Fault
	BadHour         bool // a spell in which everything fails ten times as often and takes half as long again
	Uneven          bool // gateways differ in how often their calls fail and how long they take
	Way             Way
	Release         change.Release
	Limits          change.Limits
	Length          int64 // ms at most
}

// Result is what came of it.
type Result struct {
	Halted    string  // why, "" if it went through
	Reached   float64 // part of the fleet that had the new version at the most
	Took      int64   // ms from the statement to the halt or the end
	BackTook  int64   // ms from the halt until all stood at the former version, 0 without a way back
	LostCalls float64 // calls that were not served in time
	Lost      float64 // part of the worth asked for meanwhile that was not served in time
	Length    int64   // ms from the statement to the end of the play
	MostOut   int
	Entries   int     // in the log
	Bytes     float64 // told by and to a gateway, in all
	Messages  float64
	Completed bool
}

const (
	tick     = 100
	classes  = 3
	aim      = 200.0 // ms, in which an answer is worth something
	failBase = 0.004
	median   = 40.0
	sigma    = 0.6
	down     = 400 // ms that a restart takes
	notice   = 700 // ms until a supervisor acts
)

var shares = [classes]float64{0.55, 0.35, 0.10}

// Play plays a release.
func Play(o Options) Result {
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	var all []*gateway
	s := change.NewState(o.Limits)
	var seen []change.Seen
	for i := range o.Gateways {
		g := &gateway{thing: change.Of(change.Gateway, fmt.Sprintf("g%03d", i)), hall: fmt.Sprint("hall", i%o.Halls), version: "v1", life: 1, bad: 1, slow: 1}
		if o.Uneven {
			g.bad, g.slow = math.Exp(0.3*rng.NormFloat64()), math.Exp(0.05*rng.NormFloat64())
		}
		g.counts = change.Counts{Life: 1, Classes: make([]change.Tally, classes)}
		g.shown = copied(g.counts)
		all = append(all, g)
		seen = append(seen, change.Seen{Thing: g.thing, Known: change.Known{Hall: g.hall, Health: change.Well, Life: 1, Version: "v1"}, Witnesses: []string{"x", "y"}})
	}
	s.See(change.Context{Index: 1, At: 1}, seen)
	d := change.NewDriver()
	p := &play{o: o, rng: rng, all: all, s: s, d: d, index: 1}
	for p.now = tick; p.now <= o.Length; p.now += tick {
		if p.step() {
			break
		}
	}
	return p.result()
}

type play struct {
	o       Options
	rng     *rand.Rand
	all     []*gateway
	s       *change.State
	d       *change.Driver
	now     int64
	index   uint64
	release *change.Release
	res     Result
	asked   float64
	lost    float64
	haltAt  int64
	bytes   float64
	msgs    float64
}

const reportMs = 500

// WarmUp is how long a fleet is played before the release is stated.
const WarmUp = warmUp * time.Millisecond

const warmUp = 60_000

func copied(c change.Counts) change.Counts {
	return change.Counts{Life: c.Life, Classes: append([]change.Tally(nil), c.Classes...)}
}

// step plays a tick, and reports whether the play is over.
func (p *play) step() bool {
	for _, g := range p.all {
		p.serve(g)
	}
	if p.now == warmUp {
		r := p.o.Release
		p.release = &r
		switch p.o.Way {
		case Ours:
			p.apply(change.Proposal{Kind: "begin", Body: &r})
		default:
			p.baseline()
		}
	}
	if p.now%reportMs == 0 {
		for _, g := range p.all {
			g.shown = copied(g.counts)
			p.tell(report{Name: g.thing.Name(), Hall: g.hall, Version: g.version, Life: g.life, Serving: true, Warm: true, Load: p.o.PerSecond,
				Classes: g.shown.Classes}, 2) // to the voter that it follows, and on to who leads
			p.tell(beat{Index: p.index, Hash: 1 << 62, At: p.now, Name: "leader"}, 1)
		}
	}
	if p.o.Way == Ours {
		for _, x := range p.d.Drive(p.s, p.view()) {
			p.apply(x)
		}
		p.supervise()
	}
	return p.judge()
}

// tell counts what a message costs, told so often.
func (p *play) tell(v any, times int) {
	b, _ := msgpack.Marshal(v)
	p.bytes += float64(len(b) * times)
	p.msgs += float64(times)
}

func (p *play) view() *change.View {
	v := &change.View{Context: change.Context{Index: p.index, At: p.now}, Self: "leader", Things: map[change.Thing]change.Observation{},
		Samples: map[string]change.Sample{}, Classes: classes}
	for _, g := range p.all {
		v.Load += p.o.PerSecond
		h := change.Well
		if g.upAt != 0 {
			h = change.Out
		}
		v.Things[g.thing] = change.Observation{Hall: g.hall, Health: h, Life: g.life, Version: g.version, Witnesses: []string{"x", "y"}}
		v.Samples[g.thing.Name()] = change.Sample{Hall: g.hall, Counts: g.shown}
	}
	return v
}

// apply applies an entry, which goes to every gateway.
func (p *play) apply(x change.Proposal) {
	p.index++
	c := change.Context{Index: p.index, At: p.now}
	if change.Apply(p.s, c, "leader", 1, x) == nil {
		p.res.Entries++
		p.tell(x, len(p.all))
	}
}

// judge notes how far it has come, and reports whether the play is over.
func (p *play) judge() bool {
	out, have, old := 0, 0, 0
	for _, g := range p.all {
		if g.upAt != 0 {
			out++
		}
		if g.version == "v2" {
			have++
		} else {
			old++
		}
	}
	p.res.MostOut = max(p.res.MostOut, out)
	p.res.Reached = max(p.res.Reached, float64(have)/float64(len(p.all)))
	if p.now < warmUp {
		p.asked, p.lost = 0, 0
		return false
	}
	if p.o.Way != Ours {
		p.res.Took = p.now - warmUp
		p.res.Completed = have == len(p.all)
		return p.res.Completed && p.now-warmUp > 300_000
	}
	r := p.s.Releases[len(p.s.Releases)-1]
	if p.haltAt == 0 && (r.Course != change.Running || r.Backward) {
		p.haltAt, p.res.Took = p.now, p.now-warmUp
		p.res.Halted, p.res.Completed = r.Reason, r.Course == change.Done
		if p.res.Completed {
			p.res.Halted = ""
		}
	}
	if r.Course == change.Undone && old == len(p.all) && out == 0 {
		p.res.BackTook = p.now - p.haltAt
		return true
	}
	return r.Course == change.Done || p.haltAt != 0 && !r.TakeBack
}

func (p *play) result() Result {
	p.res.LostCalls, p.res.Lost = p.lost, p.lost/max(1, p.asked)
	p.res.Length = p.now - warmUp
	p.res.Bytes, p.res.Messages = p.bytes/float64(len(p.all)), p.msgs/float64(len(p.all))
	return p.res
}
