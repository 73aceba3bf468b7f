package change

import (
	"fmt"
	"slices"

	"quillrail/internal/fleet/safeguard"
)

// Ask has a permit wait. One of an emergency is used at once.
func (s *State) Ask(c Context, p *Permit) error {
	if len(p.Things) == 0 || len(p.Things) > maxThings || len(s.Permits) >= maxPermits {
		return fmt.Errorf("a permit for %d things, with %d permits there", len(p.Things), len(s.Permits))
	}
	for i, t := range p.Things {
		if err := t.Check(); err != nil {
			return err
		}
		if s.Things[t] == nil {
			return fmt.Errorf("nothing is known of %s %s", t.Kind(), t.Name())
		}
		if slices.Contains(p.Things[:i], t) {
			return fmt.Errorf("%s is named twice", t.Name())
		}
		if q := s.PermitOf(t); q != nil && !(p.Emergency && q.Phase < Used) {
			return fmt.Errorf("permit %d for %s is there: it %s", q.ID, t.Name(), q.Phase)
		}
	}
	if p.Release == 0 && p.By == "" {
		return fmt.Errorf("a permit needs the name of who asks")
	}
	p.ID, p.At, p.Phase, p.Back, p.Passed = c.Index, c.At, Asked, 0, 0
	if p.Emergency {
		for _, t := range p.Things { // what waited for the same is overtaken by it
			if q := s.PermitOf(t); q != nil {
				s.end(q, "overtaken by an emergency")
			}
		}
		p.Phase = Used
	}
	s.Permits = append(s.Permits, p)
	return nil
}

// Grant gives leave, if it is the permit's turn and the limits allow it.
func (s *State) Grant(c Context, id uint64, m Measure) error {
	p := s.Permit(id)
	if p == nil || p.Phase != Asked {
		return fmt.Errorf("permit %d does not wait", id)
	}
	passes, err := s.turn(p, m)
	if err != nil && safeguard.Enabled("permit limits") {
		return err
	}
	for _, q := range passes {
		q.Passed++
	}
	p.Phase, p.At, p.Only = Granted, c.At, holdsOnly(p.Things, m)
	return nil
}

// Use says that the holder, in one of its lives, takes its things out from now on. Only who has seen this agreed may act.
func (s *State) Use(c Context, id uint64, holder string, life uint64) error {
	p := s.Permit(id)
	switch {
	case p == nil:
		return fmt.Errorf("permit %d has ended", id)
	case p.Phase != Granted && safeguard.Enabled("two steps"):
		return fmt.Errorf("permit %d %s", id, p.Phase)
	case p.Holder != "" && p.Holder != holder:
		return fmt.Errorf("permit %d is held by %s", id, p.Holder)
	}
	if err := s.Fits(s.takes(p), Measure{}); err != nil && p.Phase == Granted && safeguard.Enabled("limits at use") {
		p.Phase, p.At = Asked, c.At // something has gone out since it was granted: it waits again
		return err
	}
	p.Phase, p.Life, p.At = Used, life, c.At
	s.touch(p)
	return nil
}

// Lapse takes back a permit that was not used: nothing is out by it.
func (s *State) Lapse(c Context, id uint64, why string) error {
	p := s.Permit(id)
	if p == nil || p.Phase > Granted {
		return fmt.Errorf("permit %d is in use or has ended", id)
	}
	s.end(p, why)
	return nil
}

// Return says that the things are back, or may be used again. A gateway says so for itself in the life that used the permit,
// or in a later one: an earlier life can't act any more.
func (s *State) Return(c Context, id uint64, holder string, life uint64) error {
	p := s.Permit(id)
	switch {
	case p == nil:
		return fmt.Errorf("permit %d has ended", id)
	case p.Phase != Used:
		return fmt.Errorf("permit %d %s", id, p.Phase)
	case p.Holder != "" && (p.Holder != holder || life < p.Life):
		return fmt.Errorf("permit %d is held by %s, life %d", id, p.Holder, p.Life)
	}
	p.Phase, p.At, p.Back = Returned, c.At, c.Index
	return nil
}

// End ends a permit by evidence: its holder has said that its things are back, and others have seen each of them well since.
func (s *State) End(c Context, id uint64) error {
	p := s.Permit(id)
	if p == nil || p.Phase != Returned && safeguard.Enabled("holder's word") {
		return fmt.Errorf("permit %d does not come back", id)
	}
	for _, t := range p.Things {
		if !safeguard.Enabled("evidence of return") {
			break
		}
		if k := s.Things[t]; k != nil && (k.Health != Well || k.Index <= p.Back) {
			return fmt.Errorf("%s has not been seen well since it came back", t.Name())
		}
	}
	s.end(p, "seen serving")
	return nil
}

// Word ends a permit by an operator's word.
func (s *State) Word(c Context, id uint64, by string) error {
	p := s.Permit(id)
	if p == nil {
		return fmt.Errorf("permit %d has ended", id)
	}
	if by == "" {
		return fmt.Errorf("a permit is ended by an operator with a name")
	}
	s.end(p, "by the word of "+by)
	return nil
}

func (s *State) end(p *Permit, how string) {
	s.Permits = slices.DeleteFunc(s.Permits, func(q *Permit) bool { return q == p })
	if s.Ended = append(s.Ended, Ended{*p, how}); len(s.Ended) > maxEnded {
		s.Ended = s.Ended[1:]
	}
}

// Seen is what somebody has seen of a thing.
type Seen struct {
	Thing Thing
	Known
	Witnesses []string // gateways that see it well
	Forget    bool     // it is no part of the fleet any more
}

// See takes what has been seen. That a thing is well needs witnesses other than itself.
func (s *State) See(c Context, all []Seen) error {
	var refused error
	for _, x := range all {
		if err := x.Thing.Check(); err != nil || len(s.Things) >= 2*4096 {
			refused = fmt.Errorf("%d things are known; %w", len(s.Things), err)
			continue
		}
		if x.Forget {
			if s.PermitOf(x.Thing) == nil {
				delete(s.Things, x.Thing)
			}
			continue
		}
		if x.Health == Well && s.missing(x) > 0 {
			refused = fmt.Errorf("%s is seen well by %d others, %d more are needed", x.Thing.Name(), len(x.Witnesses), s.missing(x))
			continue
		}
		k, old := x.Known, s.Things[x.Thing]
		k.Index, k.At, k.Sudden = c.Index, c.At, 0
		if old != nil {
			if k.Sudden = old.Sudden; k.Life > old.Life && old.Life > 0 && s.PermitOf(x.Thing) == nil {
				k.Sudden = c.At
			}
		}
		s.Things[x.Thing] = &k
	}
	return refused
}

// missing is how many witnesses are too few: two, or as many as there are other gateways.
func (s *State) missing(x Seen) int {
	others, seen := 0, map[string]bool{}
	for t := range s.Things {
		if t.Kind() == Gateway && t != x.Thing {
			others++
		}
		if others >= witnesses { // that there are more changes nothing: each entry is applied at every gateway
			break
		}
	}
	for _, w := range x.Witnesses {
		if Of(Gateway, w) != x.Thing {
			seen[w] = true
		}
	}
	return max(0, min(witnesses, others)-len(seen))
}

// Apply applies a proposal of a driver or a holder. from and life are of the gateway that proposes it.
func Apply(s *State, c Context, from string, life uint64, p Proposal) error {
	switch b := p.Body.(type) {
	case SeeBody:
		return s.See(c, b.Seen)
	case *Permit:
		return s.Ask(c, b)
	case *Release:
		return s.Begin(c, b)
	case GrantBody:
		return s.Grant(c, b.ID, b.Measure)
	case PermitBody:
		switch p.Kind {
		case "use":
			return s.Use(c, b.ID, b.Holder, b.Life)
		case "lapse":
			return s.Lapse(c, b.ID, b.Why)
		case "return":
			return s.Return(c, b.ID, b.Holder, b.Life)
		case "end":
			return s.End(c, b.ID)
		case "word":
			return s.Word(c, b.ID, b.Why)
		}
	case HaltBody:
		switch p.Kind {
		case "stand":
			return s.Stand(c, b.ID)
		case "next":
			return s.Next(c, b.ID)
		case "halt":
			return s.Pause(c, b.ID, b.Reason)
		case "continue":
			return s.Continue(c, b.ID)
		case "revert":
			return s.RollBack(c, b.ID, b.Reason)
		}
	}
	return fmt.Errorf("change: no entry %q", p.Kind)
}
