package change

import (
	"maps"
	"math"
	"slices"

	"quillrail/internal/fleet/safeguard"
)

// Buckets is the number of latency buckets. The upper bound of the first is 1 ms, each further bound is larger by a factor of the
// square root of two, and the last bucket has no bound.
const Buckets = 34

// Bucket returns the index of the bucket that contains a latency.
func Bucket(ms float64) int {
	return min(Buckets-1, max(0, int(math.Ceil(2*math.Log2(max(ms, 1e-9))))))
}

// Tally holds a gateway's counts of the calls of one class since its process started.
type Tally struct {
	Served, Shed, Failed uint64
	Latency              [Buckets]uint64 `msgpack:"Took"` // served calls by latency bucket
}

// Counts are the tallies that a gateway reports, one for each class, and the incarnation that counted them.
type Counts struct {
	Incarnation uint64
	Classes     []Tally
}

// Sample is the input of a comparison from one gateway: its counts, its hall, and whether the release has changed it.
type Sample struct {
	Hall    string
	Changed bool
	Planned bool // it has a permit: neither its restart nor its calls meanwhile count against it
	Counts
}

const (
	// priorHarmedCalls is the weight, in harmed calls, of the fleet's average against a gateway's own baseline. A gateway with few
	// harmed calls in its baseline is taken for an average one.
	priorHarmedCalls   = 20.0
	maxIntervalGain    = 3.0   // one interval at most triples the evidence, so that a single burst doesn't halt a release
	quantileCount      = 3     // compared quantiles of latency
	minLikelihoodRatio = 1e-12 // keeps the logarithm finite
)

var (
	quantiles = [quantileCount]float64{0.5, 0.9, 0.99}
	// alternatives are the tested factors by which harm at the changed gateways exceeds the allowed ratio.
	alternatives = []float64{1.5, 2.5, 5, 12, 40}
)

// Comparator compares changed with unchanged gateways over the same seconds, by class and kind of harm. For each pair it keeps an
// e-process. Its null hypothesis is that the changed gateways harm calls at most as often as the allowed ratio permits. Given the
// calls of both groups in an interval and the number of harmed ones, each harmed call then belongs to the changed group with a
// known probability. The product of the likelihood ratios, as a mixture over the alternatives, exceeds 1/alpha with a probability
// of at most alpha, however often it is checked (Ville's inequality). A disturbance that affects both groups alike changes the
// counts but not this probability. Where a hall has gateways of both groups these are compared with each other.
type Comparator struct {
	alpha, maxFailureRatio, maxSlowRatio float64
	classes                              int
	lastCounts                           map[string]Counts
	baseline                             map[string][]Tally // by gateway, counts from before the release
	eProcesses                           map[string]*eProcess
	changedCalls                         []uint64 // calls that changed gateways have finished, by class
}

// NewComparator returns a comparator without evidence. baseline holds each gateway's counts from before the release and may be nil.
func NewComparator(alpha, maxFailureRatio, maxSlowRatio float64, classes int, baseline map[string][]Tally) *Comparator {
	c := &Comparator{alpha: alpha, maxFailureRatio: maxFailureRatio, maxSlowRatio: maxSlowRatio, classes: classes,
		lastCounts: map[string]Counts{}, baseline: map[string][]Tally{}, eProcesses: map[string]*eProcess{},
		changedCalls: make([]uint64, classes)}
	for g, u := range baseline {
		if len(u) == classes {
			c.baseline[g] = withTotal(u)
		}
	}
	return c
}

// ChangedCalls returns how many calls of a class the changed gateways have finished since the last reset.
func (c *Comparator) ChangedCalls(class int) uint64 { return c.changedCalls[class] }

// ResetChangedCalls sets the counts of ChangedCalls to 0 for the next batch.
func (c *Comparator) ResetChangedCalls() { clear(c.changedCalls) }

func (t Tally) calls() uint64 { return t.Served + t.Shed + t.Failed }

func (t Tally) minus(o Tally) (d Tally, ok bool) {
	if t.Served < o.Served || t.Shed < o.Shed || t.Failed < o.Failed {
		return d, false
	}
	d = Tally{Served: t.Served - o.Served, Shed: t.Shed - o.Shed, Failed: t.Failed - o.Failed}
	for i := range t.Latency {
		if t.Latency[i] < o.Latency[i] {
			return d, false
		}
		d.Latency[i] = t.Latency[i] - o.Latency[i]
	}
	return d, true
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	t.Served, t.Shed, t.Failed = t.Served+o.Served, t.Shed+o.Shed, t.Failed+o.Failed
	for i := range t.Latency {
		t.Latency[i] += o.Latency[i]
	}
	return t
}

// Delta returns what a gateway has counted since its last report. ok is false if it was restarted or a count went down.
func Delta(now, last Counts) (out []Tally, ok bool) {
	if now.Incarnation != last.Incarnation || len(now.Classes) != len(last.Classes) {
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

// withTotal appends the sum of all classes as one more class.
func withTotal(d []Tally) []Tally {
	var sum Tally
	for _, t := range d {
		sum = sum.Plus(t)
	}
	return append(slices.Clone(d), sum)
}

// Feed adds the evidence of one interval. all holds the samples by gateway name.
func (c *Comparator) Feed(all map[string]Sample) {
	type group struct{ changed, control []string }
	halls := map[string]*group{}
	delta := map[string][]Tally{}
	restarts := map[string]cell{}
	for _, g := range slices.Sorted(maps.Keys(all)) {
		s := all[g]
		old, known := c.lastCounts[g]
		c.lastCounts[g] = s.Counts
		if !known || s.Planned {
			continue
		}
		d, ok := Delta(s.Counts, old)
		restarts[g] = cell{calls: 1, baselineRatio: 1}
		if s.Incarnation != old.Incarnation {
			restarts[g] = cell{calls: 1, harmed: 1, baselineRatio: 1}
		}
		if !ok || len(d) != c.classes {
			d = make([]Tally, c.classes)
		}
		delta[g] = withTotal(d)
		if halls[s.Hall] == nil {
			halls[s.Hall] = &group{}
		}
		if h := halls[s.Hall]; s.Changed {
			h.changed = append(h.changed, g)
			for k, t := range delta[g] {
				if k < c.classes {
					c.changedCalls[k] += t.calls()
				}
			}
		} else {
			h.control = append(h.control, g)
		}
	}
	var strata []group // gateways that are compared with each other: those of one hall, or all that remain
	var remaining group
	for _, h := range slices.Sorted(maps.Keys(halls)) {
		if g := halls[h]; len(g.changed) > 0 && len(g.control) > 0 {
			strata = append(strata, *g)
		} else {
			remaining.changed, remaining.control = append(remaining.changed, g.changed...), append(remaining.control, g.control...)
		}
	}
	if len(remaining.changed) > 0 && len(remaining.control) > 0 {
		strata = append(strata, remaining)
	} else if len(remaining.changed) > 0 { // every unchanged gateway is in another stratum already and is the control here too
		for _, g := range strata {
			remaining.control = append(remaining.control, g.control...)
		}
		strata = append(strata, remaining)
	}
	if !safeguard.Enabled("control group") { // for tests: compares with the baseline from before the release instead
		for i := range strata {
			strata[i].control = nil
			for _, g := range strata[i].changed {
				if before, ok := c.baseline[g]; ok {
					strata[i].control, delta["before "+g] = append(strata[i].control, "before "+g), before
				}
			}
		}
	}
	gain := map[string][]float64{}
	add := func(name string, allowed float64, changed, control []cell) {
		s := c.eProcess(name)
		if gain[name] == nil {
			gain[name] = make([]float64, len(s.logRatios))
		}
		addEvidence(gain[name], allowed, changed, control)
	}
	for _, g := range strata {
		for k := range c.classes + 1 {
			for name, kind := range c.harms(k, slices.Concat(g.changed, g.control), delta) {
				allowed := c.maxFailureRatio
				if kind.slow {
					allowed = c.maxSlowRatio
				}
				fleetCalls, fleetHarmed := c.fleetBaseline(k, kind)
				add(name, allowed, c.cells(k, g.changed, delta, kind, fleetCalls, fleetHarmed),
					c.cells(k, g.control, delta, kind, fleetCalls, fleetHarmed))
			}
		}
		restartCells := func(names []string) (out []cell) {
			for _, n := range names {
				out = append(out, restarts[n])
			}
			return out
		}
		add("restarts", c.maxFailureRatio, restartCells(g.changed), restartCells(g.control))
	}
	for name, g := range gain {
		c.eProcesses[name].add(g)
	}
}

// Verdict returns the first kind of harm for which the evidence against the changed gateways exceeds the threshold, "" if there is
// none. alpha is divided among all kinds of harm of all classes, and restarts.
func (c *Comparator) Verdict() string {
	threshold := math.Log(float64((c.classes+1)*(2+quantileCount)+1) / c.alpha)
	for _, name := range slices.Sorted(maps.Keys(c.eProcesses)) {
		if c.eProcesses[name].total > threshold {
			return name
		}
	}
	return ""
}
