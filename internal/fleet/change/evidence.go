package change

import (
	"fmt"
	"math"
)

type stream struct {
	log   []float64 // log likelihood ratio of each alternative
	mix   float64
	total float64 // with what an interval could gain at most
}

// cell is what one gateway did in an interval, of one class and kind of harm.
type cell struct {
	n, x, usual float64 // calls, those that went wrong, how much more often than elsewhere they usually do
}

// harm is a kind of harm: of a tally, how many calls it is looked for in, and how many of these it befell.
type harm struct {
	slow  bool
	count func(t Tally) (n, x float64)
}

// harms are the kinds of a class: refused, failed, and slower than the quantiles of all that are compared, in this interval.
// They have to be of both groups together: the quantiles of one alone would be nearer to its own calls than to the other's.
func (j *Judge) harms(class int, both []string, delta map[string][]Tally) map[string]harm {
	var sum Tally
	for _, g := range both {
		sum = sum.Plus(delta[g][class])
	}
	of := fmt.Sprintf("class %d", class)
	if class == j.classes {
		of = "all classes"
	}
	h := map[string]harm{
		of + " refused": {count: func(t Tally) (float64, float64) { return float64(t.calls()), float64(t.Shed) }},
		of + " failed":  {count: func(t Tally) (float64, float64) { return float64(t.calls()), float64(t.Failed) }},
	}
	for _, q := range quantiles {
		cut, below := 0, uint64(0)
		for ; cut < Buckets-1; cut++ {
			if below += sum.Took[cut]; float64(below) >= q*float64(sum.Served) {
				break
			}
		}
		h[fmt.Sprintf("%s slow at %g%%", of, 100*q)] = harm{slow: true, count: func(t Tally) (float64, float64) {
			above := uint64(0)
			for _, n := range t.Took[cut+1:] {
				above += n
			}
			return float64(t.Served), float64(above)
		}}
	}
	return h
}

func (j *Judge) cells(class int, names []string, delta map[string][]Tally, of harm, n, x float64) (out []cell) {
	for _, g := range names {
		c := cell{usual: 1}
		c.n, c.x = of.count(delta[g][class])
		if u, ok := j.usual[g]; ok && n > 0 {
			a, b := of.count(u[class])
			c.usual = (b + shrink) / (a*x/n + shrink)
		}
		out = append(out, c)
	}
	return out
}

// usually is how often a harm befalls the fleet's calls in its usual course.
func (j *Judge) usually(class int, of harm) (n, x float64) {
	for _, u := range j.usual {
		a, b := of.count(u[class])
		n, x = n+a, x+b
	}
	return n, x
}

func (j *Judge) stream(name string) *stream {
	s := j.streams[name]
	if s == nil {
		s = &stream{log: make([]float64, len(alternatives))}
		j.streams[name] = s
	}
	return s
}

// evidence adds the log likelihood ratios of one stratum in one interval.
func evidence(gain []float64, allowed float64, changed, control []cell) {
	var n1, n0, x1, x0 float64
	for _, c := range changed {
		n1, x1 = n1+c.n*c.usual, x1+c.x
	}
	for _, c := range control {
		n0, x0 = n0+c.n*c.usual, x0+c.x
	}
	if n1 == 0 || n0 == 0 || x1+x0 == 0 {
		return
	}
	chance := func(times float64) float64 { return n1 * times / (n0 + n1*times) }
	none := chance(allowed)
	for i, a := range alternatives {
		some := chance(allowed * a)
		gain[i] += x1*math.Log(some/none) + x0*math.Log(max(leastGain, (1-some)/(1-none)))
	}
}

func (s *stream) take(gain []float64) {
	most := math.Inf(-1)
	for i, g := range gain {
		s.log[i] += g
		most = max(most, s.log[i])
	}
	sum := 0.0
	for _, l := range s.log {
		sum += math.Exp(l-most) / float64(len(s.log))
	}
	mix := most + math.Log(sum)
	s.total += min(math.Log(mostGain), mix-s.mix)
	s.mix = mix
}
