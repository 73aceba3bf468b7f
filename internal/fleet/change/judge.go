package change

import (
	"maps"
	"math"
	"slices"

	"quillrail/internal/fleet/safeguard"
)

// Buckets of latency: each is wider than the one before by the root of two, from 1 ms on; the last has no end.
const Buckets = 34

// Bucket is the one that a latency falls into.
func Bucket(ms float64) int {
	return min(Buckets-1, max(0, int(math.Ceil(2*math.Log2(max(ms, 1e-9))))))
}

// Tally is what a gateway has counted of a class since its process started.
type Tally struct {
	Served, Shed, Failed uint64
	Took                 [Buckets]uint64 // of those served
}

// Counts are what a gateway reports: of each class, and in which life.
type Counts struct {
	Life    uint64
	Classes []Tally
}

// Sample is what is compared: a gateway's counts, its hall, and whether it has been changed.
type Sample struct {
	Hall    string
	Changed bool
	Planned bool // it is out, or its restart is a step: neither its end nor its calls meanwhile count against it
	Counts
}

const (
	shrink    = 20.0 // calls of a kind as many as these are believed before a gateway's own way is
	mostGain  = 3.0  // an interval can at most triple the evidence: one burst proves nothing
	tails     = 3    // quantiles of latency that are watched
	leastGain = 1e-12
)

var (
	quantiles    = [tails]float64{0.5, 0.9, 0.99}
	alternatives = []float64{1.5, 2.5, 5, 12, 40}
)

// Judge compares those changed with those not changed in the same seconds, by class and kind of harm. For each it keeps an
// e-process: given how many calls both groups had in an interval and how many of all went wrong, each that went wrong fell to
// the changed ones with a known chance if these are no worse than they may be; the product of likelihood ratios, mixed over
// how much worse they could be, exceeds 1/alpha with a chance of at most alpha however often it is looked at (Ville). A bad
// hour that hits both groups changes the counts and not the chance. Where a hall has both groups they are compared within it.
type Judge struct {
	alpha, worse, slower float64
	classes              int
	last                 map[string]Counts
	usual                map[string][]Tally // by gateway, before the release
	streams              map[string]*stream
	seen                 []uint64 // calls of changed ones by class
}

// NewJudge returns one that has compared nothing. usual may be nil.
func NewJudge(alpha, worse, slower float64, classes int, usual map[string][]Tally) *Judge {
	j := &Judge{alpha: alpha, worse: worse, slower: slower, classes: classes, last: map[string]Counts{}, usual: map[string][]Tally{},
		streams: map[string]*stream{}, seen: make([]uint64, classes)}
	for g, u := range usual {
		if len(u) == classes {
			j.usual[g] = together(u)
		}
	}
	return j
}

// Seen is how many calls of a class those changed have ended.
func (j *Judge) Seen(class int) uint64 { return j.seen[class] }

// Again has Seen count anew, for another batch.
func (j *Judge) Again() { clear(j.seen) }

func (t Tally) calls() uint64 { return t.Served + t.Shed + t.Failed }

func (t Tally) minus(o Tally) (d Tally, ok bool) {
	if t.Served < o.Served || t.Shed < o.Shed || t.Failed < o.Failed {
		return d, false
	}
	d = Tally{Served: t.Served - o.Served, Shed: t.Shed - o.Shed, Failed: t.Failed - o.Failed}
	for i := range t.Took {
		if t.Took[i] < o.Took[i] {
			return d, false
		}
		d.Took[i] = t.Took[i] - o.Took[i]
	}
	return d, true
}

// Plus adds up.
func (t Tally) Plus(o Tally) Tally {
	t.Served, t.Shed, t.Failed = t.Served+o.Served, t.Shed+o.Shed, t.Failed+o.Failed
	for i := range t.Took {
		t.Took[i] += o.Took[i]
	}
	return t
}

// Delta is what a gateway has counted since its last report; false if it was started anew.
func Delta(now, last Counts) (out []Tally, ok bool) {
	if now.Life != last.Life || len(now.Classes) != len(last.Classes) {
		return nil, false
	}
	for i := range now.Classes {
		d, ok := now.Classes[i].minus(last.Classes[i])
		if !ok {
			return nil, false
		}
		out = append(out, d)
	}
	return out, true
}

// together adds all classes, as one more.
func together(d []Tally) []Tally {
	var sum Tally
	for _, t := range d {
		sum = sum.Plus(t)
	}
	return append(slices.Clone(d), sum)
}

// Feed takes the reports of an interval, by gateway.
func (j *Judge) Feed(all map[string]Sample) {
	type group struct{ changed, control []string }
	halls := map[string]*group{}
	delta := map[string][]Tally{}
	restarts := map[string]cell{}
	for _, g := range slices.Sorted(maps.Keys(all)) {
		s := all[g]
		old, known := j.last[g]
		j.last[g] = s.Counts
		if !known || s.Planned {
			continue
		}
		d, ok := Delta(s.Counts, old)
		restarts[g] = cell{n: 1, usual: 1}
		if s.Life != old.Life {
			restarts[g] = cell{n: 1, x: 1, usual: 1}
		}
		if !ok || len(d) != j.classes {
			d = make([]Tally, j.classes)
		}
		delta[g] = together(d)
		if halls[s.Hall] == nil {
			halls[s.Hall] = &group{}
		}
		if h := halls[s.Hall]; s.Changed {
			h.changed = append(h.changed, g)
			for k, t := range delta[g] {
				if k < j.classes {
					j.seen[k] += t.calls()
				}
			}
		} else {
			h.control = append(h.control, g)
		}
	}
	var strata []group
	var rest group
	for _, h := range slices.Sorted(maps.Keys(halls)) {
		if g := halls[h]; len(g.changed) > 0 && len(g.control) > 0 {
			strata = append(strata, *g)
		} else {
			rest.changed, rest.control = append(rest.changed, g.changed...), append(rest.control, g.control...)
		}
	}
	if len(rest.changed) > 0 && len(rest.control) > 0 {
		strata = append(strata, rest)
	} else if len(rest.changed) > 0 { // all others are in halls of both kinds: they serve once more as what is compared with
		for _, g := range strata {
			rest.control = append(rest.control, g.control...)
		}
		strata = append(strata, rest)
	}
	if !safeguard.Enabled("control group") { // against what was before
		for i := range strata {
			strata[i].control = nil
			for _, g := range strata[i].changed {
				if u, ok := j.usual[g]; ok {
					strata[i].control, delta["before "+g] = append(strata[i].control, "before "+g), u
				}
			}
		}
	}
	gain := map[string][]float64{}
	add := func(name string, allowed float64, changed, control []cell) {
		s := j.stream(name)
		if gain[name] == nil {
			gain[name] = make([]float64, len(s.log))
		}
		evidence(gain[name], allowed, changed, control)
	}
	for _, g := range strata {
		for k := range j.classes + 1 {
			for name, of := range j.harms(k, slices.Concat(g.changed, g.control), delta) {
				allowed := j.worse
				if of.slow {
					allowed = j.slower
				}
				n, x := j.usually(k, of)
				add(name, allowed, j.cells(k, g.changed, delta, of, n, x), j.cells(k, g.control, delta, of, n, x))
			}
		}
		pick := func(names []string) (out []cell) {
			for _, n := range names {
				out = append(out, restarts[n])
			}
			return out
		}
		add("restarts", j.worse, pick(g.changed), pick(g.control))
	}
	for name, g := range gain {
		j.streams[name].take(g)
	}
}

// Verdict is the kind of harm that those changed do, "" if none is proven.
func (j *Judge) Verdict() string {
	limit := math.Log(float64((j.classes+1)*(2+tails)+1) / j.alpha)
	for _, name := range slices.Sorted(maps.Keys(j.streams)) {
		if j.streams[name].total > limit {
			return name
		}
	}
	return ""
}
