package change

import (
	"fmt"
	"slices"

	"quillrail/internal/fleet/safeguard"
)

// Request adds a permit, which waits to be granted. An emergency permit is in use at once and replaces permits that are not in
// use yet for the same subjects.
func (s *State) Request(c Context, p *Permit) error {
	if len(p.Subjects) == 0 || len(p.Subjects) > maxSubjects || len(s.Permits) >= maxPermits {
		return fmt.Errorf("a permit for %d things, with %d permits there", len(p.Subjects), len(s.Permits))
	}
	for i, subject := range p.Subjects {
		if err := subject.Check(); err != nil {
			return err
		}
		if s.Subjects[subject] == nil {
			return fmt.Errorf("nothing is known of %s %s", subject.Kind(), subject.Name())
		}
		if slices.Contains(p.Subjects[:i], subject) {
			return fmt.Errorf("%s is named twice", subject.Name())
		}
		if q := s.PermitOf(subject); q != nil && !(p.Emergency && q.Phase < InUse) {
			return fmt.Errorf("permit %d for %s is there: it %s", q.ID, subject.Name(), q.Phase)
		}
	}
	if p.Release == 0 && p.By == "" {
		return fmt.Errorf("a permit needs the name of who asks")
	}
	p.ID, p.At, p.Phase, p.ReturnIndex, p.Overtaken = c.Index, c.At, Requested, 0, 0
	if p.Emergency {
		for _, subject := range p.Subjects { // ends the permits that it replaces
			if q := s.PermitOf(subject); q != nil {
				s.endPermit(q, "overtaken by an emergency")
			}
		}
		p.Phase = InUse
	}
	s.Permits = append(s.Permits, p)
	return nil
}

// Grant grants a waiting permit if the limits and the order of the requests allow it.
func (s *State) Grant(c Context, id uint64, m Measurements) error {
	p := s.Permit(id)
	if p == nil || p.Phase != Requested {
		return fmt.Errorf("permit %d is not waiting to be granted", id)
	}
	overtaken, err := s.checkGrant(p, m)
	if err != nil && safeguard.Enabled("permit limits") {
		return err
	}
	for _, q := range overtaken {
		q.Overtaken++
	}
	p.Phase, p.At, p.HeldOnlyCopies = Granted, c.At, holdOnlyCopies(p.Subjects, m)
	return nil
}

// Use records that the holder, in the given incarnation, may take the permit's subjects out of service from now on. The holder
// may act only once this entry has been applied at its own gateway.
func (s *State) Use(c Context, id uint64, holder string, incarnation uint64) error {
	p := s.Permit(id)
	switch {
	case p == nil:
		return fmt.Errorf("permit %d has ended", id)
	case p.Phase != Granted && safeguard.Enabled("two steps"):
		return fmt.Errorf("permit %d %s", id, p.Phase)
	case p.Holder != "" && p.Holder != holder:
		return fmt.Errorf("permit %d is held by %s", id, p.Holder)
	}
	if err := s.CheckLimits(s.newlyUnavailable(p), Measurements{}); err != nil && p.Phase == Granted && safeguard.Enabled("limits at use") {
		p.Phase, p.At = Requested, c.At // another subject has become unavailable since the grant: the permit waits again
		return err
	}
	p.Phase, p.Incarnation, p.At = InUse, incarnation, c.At
	s.markTouched(p)
	return nil
}

// Lapse ends a permit that was not used, so that none of its subjects has been taken out of service.
func (s *State) Lapse(c Context, id uint64, why string) error {
	p := s.Permit(id)
	if p == nil || p.Phase > Granted {
		return fmt.Errorf("permit %d is in use or has ended", id)
	}
	s.endPermit(p, why)
	return nil
}

// Return records that the subjects are back in service, or may be used again. The holder must have the incarnation that used the
// permit or a later one; entries of an earlier incarnation are rejected, as that process can't act any more.
func (s *State) Return(c Context, id uint64, holder string, incarnation uint64) error {
	p := s.Permit(id)
	switch {
	case p == nil:
		return fmt.Errorf("permit %d has ended", id)
	case p.Phase != InUse:
		return fmt.Errorf("permit %d %s", id, p.Phase)
	case p.Holder != "" && (p.Holder != holder || incarnation < p.Incarnation):
		return fmt.Errorf("permit %d is held by %s, life %d", id, p.Holder, p.Incarnation)
	}
	p.Phase, p.At, p.ReturnIndex = Returned, c.At, c.Index
	return nil
}

// End ends a permit whose holder has returned it, once others have observed each of its subjects as healthy since then.
func (s *State) End(c Context, id uint64) error {
	p := s.Permit(id)
	if p == nil || p.Phase != Returned && safeguard.Enabled("holder's word") {
		return fmt.Errorf("permit %d has not been returned by its holder", id)
	}
	for _, subject := range p.Subjects {
		if !safeguard.Enabled("evidence of return") {
			break
		}
		if status := s.Subjects[subject]; status != nil && (status.Health != Healthy || status.Index <= p.ReturnIndex) {
			return fmt.Errorf("%s has not been observed as healthy since its permit was returned", subject.Name())
		}
	}
	s.endPermit(p, "seen serving")
	return nil
}

// EndByOperator ends a permit at an operator's request, without evidence that its subjects are back.
func (s *State) EndByOperator(c Context, id uint64, by string) error {
	p := s.Permit(id)
	if p == nil {
		return fmt.Errorf("permit %d has ended", id)
	}
	if by == "" {
		return fmt.Errorf("a permit is ended by an operator with a name")
	}
	s.endPermit(p, "by the word of "+by)
	return nil
}

func (s *State) endPermit(p *Permit, how string) {
	s.Permits = slices.DeleteFunc(s.Permits, func(q *Permit) bool { return q == p })
	if s.Ended = append(s.Ended, EndedPermit{*p, how}); len(s.Ended) > maxEnded {
		s.Ended = s.Ended[1:]
	}
}

// StatusUpdate is an observed status of a subject.
type StatusUpdate struct {
	Subject Subject `msgpack:"Thing"`
	SubjectStatus
	Witnesses []string // gateways that observe it as healthy
	Forget    bool     // the subject has left the fleet
}

// UpdateStatuses records observed statuses. A subject becomes healthy only if witnesses other than itself confirm it. Updates that
// are rejected don't prevent the others; the error is that of the last one.
func (s *State) UpdateStatuses(c Context, all []StatusUpdate) error {
	var rejected error
	for _, update := range all {
		if err := s.checkKnowable(update.Subject); err != nil {
			rejected = err
			continue
		}
		if update.Forget {
			if s.PermitOf(update.Subject) == nil {
				delete(s.Subjects, update.Subject)
			}
			continue
		}
		if update.Health == Healthy && s.missingWitnesses(update) > 0 {
			rejected = fmt.Errorf("%s is observed as healthy by %d witnesses, %d more are needed", update.Subject.Name(), len(update.Witnesses),
				s.missingWitnesses(update))
			continue
		}
		status, old := update.SubjectStatus, s.Subjects[update.Subject]
		status.Index, status.At, status.UnplannedStart = c.Index, c.At, 0
		if old != nil {
			if status.UnplannedStart = old.UnplannedStart; status.Incarnation > old.Incarnation && old.Incarnation > 0 &&
				s.PermitOf(update.Subject) == nil {
				status.UnplannedStart = c.At
			}
		}
		s.Subjects[update.Subject] = &status
	}
	return rejected
}

// missingWitnesses returns how many more witnesses an update needs: requiredWitnesses are needed in all, or as many as there are
// other gateways if these are fewer.
func (s *State) missingWitnesses(update StatusUpdate) int {
	others, seen := 0, map[string]bool{}
	for subject := range s.Subjects {
		if subject.Kind() == Gateway && subject != update.Subject {
			others++
		}
		if others >= requiredWitnesses { // further gateways don't change the result; stops early as every gateway applies each entry
			break
		}
	}
	for _, w := range update.Witnesses {
		if NewSubject(Gateway, w) != update.Subject {
			seen[w] = true
		}
	}
	return max(0, min(requiredWitnesses, others)-len(seen))
}

// Apply applies a proposal of a driver or a holder. from and incarnation identify the gateway that proposed it.
func Apply(s *State, c Context, from string, incarnation uint64, p Proposal) error {
	switch b := p.Body.(type) {
	case StatusUpdateBody:
		return s.UpdateStatuses(c, b.Updates)
	case *Permit:
		return s.Request(c, b)
	case *Release:
		return s.Begin(c, b)
	case GrantBody:
		return s.Grant(c, b.ID, b.Measurements)
	case PermitBody:
		switch p.Kind {
		case "use":
			return s.Use(c, b.ID, b.Holder, b.Incarnation)
		case "lapse":
			return s.Lapse(c, b.ID, b.Why)
		case "return":
			return s.Return(c, b.ID, b.Holder, b.Incarnation)
		case "end":
			return s.End(c, b.ID)
		case "word":
			return s.EndByOperator(c, b.ID, b.Why)
		}
	case ReleaseBody:
		switch p.Kind {
		case "stand":
			return s.MarkReached(c, b.ID)
		case "next":
			return s.NextBatch(c, b.ID)
		case "halt":
			return s.Halt(c, b.ID, b.Reason)
		case "continue":
			return s.Continue(c, b.ID)
		case "revert":
			return s.RollBack(c, b.ID, b.Reason)
		}
	}
	return fmt.Errorf("change: entry kind %q is unknown or has a body of type %T", p.Kind, p.Body)
}
