package change

import (
	"fmt"
)

// releaseSteps returns the entries that move a release on now, in either direction.
func (d *Driver) releaseSteps(s *State, r *Release, v *View) (out []Proposal) {
	halt := func(format string, a ...any) []Proposal {
		return append(out, Proposal{"halt", ReleaseBody{r.ID, fmt.Sprintf(format, a...)}})
	}
	if r.Status == Halted {
		return out
	}
	if reason := d.haltReason(s, r, v); reason != "" {
		out = halt("%s", reason)
		if r.AutoRollback && !r.Backward && v.FreezePeriod == "" {
			out = append(out, Proposal{"revert", ReleaseBody{r.ID, reason}})
		}
		return out
	}
	if !r.Backward && r.OnFreeze == FreezeRollsBack && v.FreezeInMs > 0 && v.FreezeInMs < v.At-r.Begun+r.StepTimeoutMs {
		return append(out, Proposal{"revert", ReleaseBody{r.ID, "a freeze begins, and there is just time to go back"}})
	}
	reached := true
	for _, subject := range r.CurrentBatch() {
		if s.AtTarget(r, subject) {
			continue
		}
		reached = false
		if s.PermitOf(subject) != nil {
			continue
		}
		p := &Permit{Subjects: []Subject{subject}, Release: r.ID, Why: "release " + r.Name}
		unavailable := v.Subjects[subject].Health == Unavailable
		if subject.Kind() == Gateway && !unavailable {
			p.Holder = subject.Name()
		}
		if !unavailable || r.Backward { // a rollback doesn't wait for unavailable subjects, as the change may be what made them so
			out = append(out, Proposal{"ask", p})
		}
	}
	switch {
	case !reached && r.ReachedAt > 0: // a subject is no longer at its target; the loop above deals with it
	case reached && r.ReachedAt == 0:
		out = append(out, Proposal{"stand", ReleaseBody{ID: r.ID}})
	case reached && (r.Backward || d.verified(r, v)):
		out = append(out, Proposal{"next", ReleaseBody{ID: r.ID}})
	}
	return out
}

// haltReason returns why a release has to halt, "" if it need not.
func (d *Driver) haltReason(s *State, r *Release, v *View) string {
	if v.NoMajorityMs > maxNoMajorityMs {
		return fmt.Sprintf("there was no majority for %.1f s", float64(v.NoMajorityMs)/1000)
	}
	if v.FreezePeriod != "" && !(r.Backward && r.OnFreeze == FreezeRollsBack) {
		return "the freeze " + v.FreezePeriod + " has begun"
	}
	lost := 0
	for subject := range r.From {
		if status := s.Subjects[subject]; subject.Kind() == Gateway && status != nil &&
			status.UnplannedStart >= max(r.Begun, r.ResumedAt, v.At-unplannedStartWindowMs) {
			lost++
		}
	}
	if lost > 1 && 2*lost > len(r.From) {
		return fmt.Sprintf("%d of %d gateways have lost power, or were started anew by others", lost, len(r.From))
	}
	for _, subject := range r.CurrentBatch() {
		permit, status := s.PermitOf(subject), s.Subjects[subject]
		if status == nil {
			continue
		}
		switch {
		case permit != nil && permit.Release == r.ID && permit.Phase >= InUse && v.At-permit.At > r.StepTimeoutMs:
			return fmt.Sprintf("%s did not come to %q in %d s", subject.Name(), r.Target(subject), r.StepTimeoutMs/1000)
		case permit == nil && r.Touched[subject] && !r.Backward && status.Health == Healthy && !s.AtTarget(r, subject):
			return fmt.Sprintf("%s came back at %q", subject.Name(), status.current(r.What))
		case permit == nil && status.Health != Healthy && v.At-status.At > r.StepTimeoutMs:
			return fmt.Sprintf("%s is %s for %d s", subject.Name(), status.Health, (v.At-status.At)/1000)
		}
	}
	if r.Backward || r.What == Workers {
		return ""
	}
	return d.compare(s, r, v)
}

// compare feeds the comparator and returns a reason to halt if the changed gateways do worse than the others, "" if not.
func (d *Driver) compare(s *State, r *Release, v *View) string {
	if d.comparator == nil || d.comparedRelease != r.ID {
		d.comparator = NewComparator(r.Alpha, r.MaxFailureRatio, r.MaxSlowRatio, v.Classes, d.baseline)
		d.comparedRelease = r.ID
	}
	if d.comparedBatch != r.Batch { // the evidence carries over to the next batch; only the count of calls starts again
		d.comparedBatch = r.Batch
		d.comparator.ResetChangedCalls()
	}
	if v.At-d.comparedAt < compareEveryMs {
		return ""
	}
	d.comparedAt = v.At
	all := map[string]Sample{}
	for g, x := range v.Samples {
		x.Changed, x.Planned = r.Touched[NewSubject(Gateway, g)], s.PermitOf(NewSubject(Gateway, g)) != nil
		all[g] = x
	}
	d.comparator.Feed(all)
	if what := d.comparator.Verdict(); what != "" {
		return "those changed do worse than the others: " + what
	}
	return ""
}

// verified reports whether the batch has been observed for VerifyMs and with enough calls of each class, or for MaxVerifyMs. For
// workers the time alone counts.
func (d *Driver) verified(r *Release, v *View) bool {
	observed := v.At - r.ReachedAt
	if r.What == Workers || observed < r.VerifyMs || d.comparator == nil || d.comparedBatch != r.Batch {
		return r.What == Workers && observed >= r.VerifyMs
	}
	if observed >= r.MaxVerifyMs {
		return true
	}
	for k := range v.Classes {
		if d.comparator.ChangedCalls(k) < enoughCalls {
			return false
		}
	}
	return true
}

// enoughCalls is how many calls of each class the changed gateways must have finished before the next batch begins. For a class
// with few calls the release waits for MaxVerifyMs at most.
const enoughCalls = 100

// unplannedStartWindowMs is how long an unplanned start counts as part of a common loss of power, in ms.
const unplannedStartWindowMs = 60_000
