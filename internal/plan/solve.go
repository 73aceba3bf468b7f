package plan

import (
	"cmp"
	"time"
)

// The verdicts of a Plan.
const (
	Optimal   = "optimal"            // no plan has a higher score
	BestFound = "best found"         // not proven optimal; no plan has a score above Bound
	NoPlan    = "no plan exists"     // proven; Conflict lists the limits that can't all be kept
	NoneFound = "none found in time" // the search was cut off before it found a plan or proved that none exists
)

// Options limit the work of Solve. The result depends only on the problem and on MaxSteps, unless the time limit ends the search
// first.
type Options struct {
	MaxSteps  int64                // 0 for defaultSteps
	Clock     func() time.Duration // nil for no time limit
	TimeLimit time.Duration
}

const (
	defaultSteps       = 300_000_000 // take about a second
	clockInterval      = 100_000     // steps between two readings of the clock
	maxFlowSize        = 40_000      // demands times workers, up to which shares are computed as network flows
	singleModelDivisor = 2           // 1/2 of the steps may be spent on the bounds of single models
	greedyDivisor      = 8           // 1/8 of the steps may be spent on greedy placements
	maxGreedyRuns      = 40          // greedy placements that are tried at most
	feasibilityDivisor = 8           // 1/8 of the steps may be spent on a first placement, and as many on finding a conflict
)

// stepBudget counts the steps of the search and ends it at the step limit or at the deadline.
type stepBudget struct {
	steps, maxSteps, nextClockRead int64
	clock                          func() time.Duration
	deadline                       time.Duration
	exhausted                      bool
}

// spend counts n steps and reports whether the search may go on.
func (b *stepBudget) spend(n int64) bool {
	if b.exhausted {
		return false
	}
	if b.steps += n; b.steps >= b.maxSteps {
		b.exhausted = true
	} else if b.clock != nil && b.steps >= b.nextClockRead {
		b.nextClockRead = b.steps + clockInterval
		b.exhausted = b.clock() >= b.deadline
	}
	return !b.exhausted
}

// Solve returns the plan with the highest score that it finds, or the limits that rule out any plan.
func Solve(problem *Problem, options Options) *Plan {
	budget := &stepBudget{maxSteps: cmp.Or(options.MaxSteps, defaultSteps), clock: options.Clock}
	if options.Clock != nil {
		budget.deadline = options.Clock() + options.TimeLimit
	}
	in := newInstance(problem)
	start, verdict := in.findFeasible(nil, budget, budget.maxSteps/feasibilityDivisor)
	switch verdict {
	case infeasible:
		return &Plan{Verdict: NoPlan, Conflict: in.conflict(budget), Steps: budget.steps}
	case cutOff:
		return &Plan{Verdict: NoneFound, Steps: budget.steps}
	}
	s := &search{instance: in, stepBudget: budget}
	s.prepare(start)
	proven := s.score >= s.bound || s.usesFlows && s.branch(0)
	for m := range s.placed { // buildPlan computes the shares of the placement in s.placed
		copy(s.placed[m], s.bestPlaced[m])
	}
	result := s.buildPlan()
	if result.Verdict = BestFound; proven {
		result.Verdict, result.Bound = Optimal, result.Score
	}
	result.Steps = budget.steps
	return result
}
