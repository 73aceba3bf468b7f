package change

import (
	"fmt"
	"math"
)

// eProcess accumulates the evidence for one kind of harm in one class. All values are logarithms.
type eProcess struct {
	logRatios  []float64 // likelihood ratio of each alternative
	logMixture float64   // mean of the likelihood ratios
	total      float64   // the mixture with the gain of each interval limited to maxIntervalGain
}

// cell holds the calls of one gateway in one interval for one class and kind of harm.
type cell struct {
	// baselineRatio is this gateway's rate of harmed calls before the release, divided by the fleet's average rate.
	calls, harmed, baselineRatio float64
}

// harm is a kind of harm. count returns how many calls of a tally could have been harmed, and how many were.
type harm struct {
	slow  bool
	count func(t Tally) (calls, harmed float64)
}

// harms returns the kinds of harm in a class: refused, failed, and slower than each of the quantiles of latency in this interval.
// The quantiles are those of both groups together: those of one group alone would fit its own calls better than the other's.
func (c *Comparator) harms(class int, gateways []string, delta map[string][]Tally) map[string]harm {
	var sum Tally
	for _, g := range gateways {
		sum = sum.Plus(delta[g][class])
	}
	label := fmt.Sprintf("class %d", class)
	if class == c.classes {
		label = "all classes"
	}
	h := map[string]harm{
		label + " refused": {count: func(t Tally) (float64, float64) { return float64(t.calls()), float64(t.Shed) }},
		label + " failed":  {count: func(t Tally) (float64, float64) { return float64(t.calls()), float64(t.Failed) }},
	}
	for _, q := range quantiles {
		quantileBucket, below := 0, uint64(0)
		for ; quantileBucket < Buckets-1; quantileBucket++ {
			if below += sum.Latency[quantileBucket]; float64(below) >= q*float64(sum.Served) {
				break
			}
		}
		h[fmt.Sprintf("%s slow at %g%%", label, 100*q)] = harm{slow: true, count: func(t Tally) (float64, float64) {
			above := uint64(0)
			for _, n := range t.Latency[quantileBucket+1:] {
				above += n
			}
			return float64(t.Served), float64(above)
		}}
	}
	return h
}

// cells returns the calls of the given gateways. fleetCalls and fleetHarmed are the results of fleetBaseline.
func (c *Comparator) cells(class int, gateways []string, delta map[string][]Tally, kind harm,
	fleetCalls, fleetHarmed float64) (out []cell) {
	for _, g := range gateways {
		result := cell{baselineRatio: 1}
		result.calls, result.harmed = kind.count(delta[g][class])
		if before, ok := c.baseline[g]; ok && fleetCalls > 0 {
			calls, harmed := kind.count(before[class])
			result.baselineRatio = (harmed + priorHarmedCalls) / (calls*fleetHarmed/fleetCalls + priorHarmedCalls)
		}
		out = append(out, result)
	}
	return out
}

// fleetBaseline returns the fleet's calls and harmed calls from before the release.
func (c *Comparator) fleetBaseline(class int, kind harm) (calls, harmed float64) {
	for _, before := range c.baseline {
		a, b := kind.count(before[class])
		calls, harmed = calls+a, harmed+b
	}
	return calls, harmed
}

func (c *Comparator) eProcess(name string) *eProcess {
	s := c.eProcesses[name]
	if s == nil {
		s = &eProcess{logRatios: make([]float64, len(alternatives))}
		c.eProcesses[name] = s
	}
	return s
}

// addEvidence adds the log likelihood ratios of one stratum in one interval to gain. allowed is how many times as often as
// the control group the changed gateways may harm calls. n is calls weighted by baselineRatio, x harmed calls; 1 is the changed
// group, 0 the control group.
func addEvidence(gain []float64, allowed float64, changed, control []cell) {
	var n1, n0, x1, x0 float64
	for _, c := range changed {
		n1, x1 = n1+c.calls*c.baselineRatio, x1+c.harmed
	}
	for _, c := range control {
		n0, x0 = n0+c.calls*c.baselineRatio, x0+c.harmed
	}
	if n1 == 0 || n0 == 0 || x1+x0 == 0 {
		return
	}
	// changedShare is the probability that a harmed call belongs to the changed group, if that group harms calls the given number
	// of times as often as the control group.
	changedShare := func(times float64) float64 { return n1 * times / (n0 + n1*times) }
	nullShare := changedShare(allowed)
	for i, a := range alternatives {
		altShare := changedShare(allowed * a)
		gain[i] += x1*math.Log(altShare/nullShare) + x0*math.Log(max(minLikelihoodRatio, (1-altShare)/(1-nullShare)))
	}
}

// add adds the log likelihood ratios of one interval.
func (s *eProcess) add(gain []float64) {
	largest := math.Inf(-1)
	for i, g := range gain {
		s.logRatios[i] += g
		largest = max(largest, s.logRatios[i])
	}
	sum := 0.0
	for _, l := range s.logRatios {
		sum += math.Exp(l-largest) / float64(len(s.logRatios))
	}
	mixture := largest + math.Log(sum)
	s.total += min(math.Log(maxIntervalGain), mixture-s.logMixture)
	s.logMixture = mixture
}
