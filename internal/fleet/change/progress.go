package change

import (
	"fmt"
	"slices"
)

// Target returns the value that a subject is to reach by a release, in its present direction. It is "" for workers while these are
// restarted and not rolled back.
func (r *Release) Target(subject Subject) string {
	if r.Backward {
		return r.From[subject]
	}
	return r.To
}

// AtTarget reports whether a subject has reached the target of a release, is healthy and has no permit any more. A restart of
// workers can't be undone, so a rollback counts them as at their target and takes no further steps.
func (s *State) AtTarget(r *Release, subject Subject) bool {
	status := s.Subjects[subject]
	switch {
	case status == nil: // it has left the fleet
		return true
	case r.What == Workers:
		return r.Backward || fmt.Sprint(status.Incarnation) != r.From[subject] && status.Health == Healthy && s.PermitOf(subject) == nil
	}
	return status.current(r.What) == r.Target(subject) && status.Health == Healthy && s.PermitOf(subject) == nil
}

// CurrentBatch returns the subjects of a release's current batch, during a rollback only those that the release has touched.
func (r *Release) CurrentBatch() []Subject {
	if r.Batch < 0 || r.Batch >= len(r.Batches) {
		return nil
	}
	w := slices.Clone(r.Batches[r.Batch])
	if r.Backward {
		w = slices.DeleteFunc(w, func(subject Subject) bool { return !r.Touched[subject] })
	}
	return w
}

// markTouched records that the step of a permit has begun. It is called when the permit is used.
func (s *State) markTouched(p *Permit) {
	for _, r := range s.Releases {
		if r.ID == p.Release {
			for _, subject := range p.Subjects {
				r.Touched[subject] = true
			}
		}
	}
}

// unfinishedRelease returns the release with an ID, and an error if it has ended or is not known.
func (s *State) unfinishedRelease(id uint64) (*Release, error) {
	for _, r := range s.Releases {
		if r.ID == id && r.Status < Done {
			return r, nil
		}
	}
	return nil, fmt.Errorf("no release %d is under way", id)
}

// MarkReached records that the whole current batch has reached its target. Its observation period begins now.
func (s *State) MarkReached(c Context, id uint64) error {
	r, err := s.unfinishedRelease(id)
	if err != nil || r.Status != Running {
		return fmt.Errorf("release %d is not running", id)
	}
	for _, subject := range r.CurrentBatch() {
		if !s.AtTarget(r, subject) {
			return fmt.Errorf("%s has not reached its target %q, or is not healthy, or has a permit", subject.Name(), r.Target(subject))
		}
	}
	r.ReachedAt = c.At
	return nil
}

// NextBatch moves on to the next batch, or ends the release after the last one. Except in a rollback, the current batch must have
// been at its target for VerifyMs.
func (s *State) NextBatch(c Context, id uint64) error {
	r, err := s.unfinishedRelease(id)
	switch {
	case err != nil:
		return err
	case r.Status != Running || r.ReachedAt == 0:
		return fmt.Errorf("batch %d of release %s is not running, or has not reached its target", r.Batch+1, r.Name)
	case !r.Backward && c.At-r.ReachedAt < r.VerifyMs:
		return fmt.Errorf("batch %d of release %s has been at its target for %d ms, expected at least %d ms", r.Batch+1, r.Name,
			c.At-r.ReachedAt, r.VerifyMs)
	}
	r.ReachedAt = 0
	if r.Backward {
		if r.Batch--; r.Batch < 0 {
			r.Status, r.Reason = RolledBack, ""
		}
	} else if r.Batch++; r.Batch >= len(r.Batches) {
		r.Status, r.Reason = Done, ""
	}
	return nil
}

// Halt stops a release at its current batch. Its permits that are not in use lapse; subjects that are out of service finish their
// steps and come back.
func (s *State) Halt(c Context, id uint64, reason string) error {
	r, err := s.unfinishedRelease(id)
	if err != nil {
		return err
	}
	r.Status, r.Reason, r.ReachedAt = Halted, reason, 0
	s.lapsePermitsOf(r, "its release was halted")
	return nil
}

func (s *State) lapsePermitsOf(r *Release, why string) {
	for _, p := range slices.Clone(s.Permits) {
		if p.Release == r.ID && p.Phase <= Granted {
			s.endPermit(p, why)
		}
	}
}

// Continue resumes a halted release.
func (s *State) Continue(c Context, id uint64) error {
	r, err := s.unfinishedRelease(id)
	if err != nil {
		return err
	}
	if r.Status != Halted {
		return fmt.Errorf("release %s is %s", r.Name, r.Status)
	}
	r.Status, r.Reason, r.ReachedAt, r.ResumedAt = Running, "", 0, c.At
	return nil
}

// RollBack starts the rollback of a release: exactly the subjects that it has touched return to their former values, batch by batch
// from the current one back to the first. A release that is done can be rolled back too.
func (s *State) RollBack(c Context, id uint64, reason string) error {
	var r *Release
	for _, o := range s.Releases {
		if o.ID == id {
			r = o
		}
	}
	switch {
	case r == nil:
		return fmt.Errorf("no release %d is known", id)
	case r.Status == RolledBack:
		return fmt.Errorf("release %s has been taken back", r.Name)
	case s.Current() != nil && s.Current() != r:
		return fmt.Errorf("release %s is %s: one at a time", s.Current().Name, s.Current().Status)
	case r.Backward && r.Status == Running:
		return fmt.Errorf("release %s is being taken back", r.Name)
	}
	s.lapsePermitsOf(r, "its release is taken back")
	for _, p := range s.Permits { // steps in flight now head for the former value; their timeouts start again
		if p.Release == r.ID {
			p.At = c.At
		}
	}
	r.Batch = min(r.Batch, len(r.Batches)-1)
	r.Backward, r.Status, r.Reason, r.ReachedAt, r.ResumedAt = true, Running, reason, 0, c.At
	return nil
}

// PendingChange returns the change that a gateway is to make, which is the step whose permit is in use or returned. what is ""
// if there is none.
func (s *State) PendingChange(gateway string) (what, to string, permit uint64) {
	p := s.PermitOf(NewSubject(Gateway, gateway))
	if p == nil || p.Phase < InUse || p.Release == 0 {
		return "", "", 0
	}
	for _, r := range s.Releases {
		if r.ID == p.Release && r.What != Workers {
			return r.What, r.Target(p.Subjects[0]), p.ID
		}
	}
	return "", "", 0
}
