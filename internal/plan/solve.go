package plan

import (
	"cmp"
	"time"
)

// The verdicts.
const (
	Optimal = "optimal"            // no plan is worth more
	Best    = "best found"         // cut off; Bound says how much more one could be worth
	None    = "no plan exists"     // proven; Conflict says why
	Unknown = "none found in time" // neither a plan nor a proof
)

// Options bound the work. The result depends on Steps alone unless the clock ends it first.
type Options struct {
	Steps int64                // 0: defaultSteps
	Clock func() time.Duration // nil: no limit of time
	Limit time.Duration
}

const (
	defaultSteps = 300_000_000 // about a second
	clockEvery   = 100_000     // steps between two looks at the clock
	flowLimit    = 40_000      // demands times workers up to which shares are found by flows
	aloneShare   = 2           // the bounds of single models take this part of the steps,
	greedShare   = 8           // and the greedy placements this;
	greedTries   = 40          // so many at most
	leastShare   = 8           // a conflict's search may take this part of the steps each time
)

// meter counts the work and says when it has to end.
type meter struct {
	steps, most, look int64
	clock             func() time.Duration
	end               time.Duration
	over              bool
}

func (t *meter) step(n int64) bool {
	if t.over {
		return false
	}
	if t.steps += n; t.steps >= t.most {
		t.over = true
	} else if t.clock != nil && t.steps >= t.look {
		t.look = t.steps + clockEvery
		t.over = t.clock() >= t.end
	}
	return !t.over
}

// Solve finds the plan that is worth most, or says why there is none.
func Solve(p *Problem, o Options) *Plan {
	t := &meter{most: cmp.Or(o.Steps, defaultSteps), clock: o.Clock}
	if o.Clock != nil {
		t.end = o.Clock() + o.Limit
	}
	in := number(p)
	start, verdict := in.feasible(nil, t, t.most/leastShare)
	switch verdict {
	case no:
		return &Plan{Verdict: None, Conflict: in.conflict(t), Steps: t.steps}
	case cutOff:
		return &Plan{Verdict: Unknown, Steps: t.steps}
	}
	s := &search{instance: in, meter: t}
	s.begin(start)
	proven := s.score >= s.bound || s.small && s.branch(0)
	for m := range s.x { // the last word on the shares of the best placement
		copy(s.x[m], s.best[m])
	}
	r := s.plan()
	if r.Verdict = Best; proven {
		r.Verdict, r.Bound = Optimal, r.Score
	}
	r.Steps = t.steps
	return r
}
