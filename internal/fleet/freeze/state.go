package freeze

import (
	"fmt"
	"slices"
	"time"
)

// Exception permits one change within a freeze period.
type Exception struct {
	ID     uint64
	Period string
	What   string // the change it permits: a Kind, or Lift
	Why    string
	By     [2]string // the operator who requested it, and another who approved it; the second is empty until then
	Until  int64     // end of its validity, in Unix milliseconds
	Used   bool      // its change has been made
}

// Lift is the What of an exception that permits ending or shortening the period itself.
const Lift = "lift"

const maxExceptions = 256

// State holds the declared periods and exceptions. Only entries of the replicated log change it.
type State struct {
	Periods    []*Period
	Exceptions []*Exception
}

// Clock is a time of the replicated log, with the bound on how far clocks may be off.
type Clock struct {
	At    time.Time
	Bound time.Duration
}

// Declare adds a period. Its next start must be at least leadTime ahead, so that all gateways receive it before. A recurring
// period of which an occurrence is in force now has to be declared with a later first occurrence.
func (s *State) Declare(p *Period, c Clock, leadTime time.Duration) error {
	if err := p.Check(c.At); err != nil {
		return err
	}
	if len(s.Periods) >= maxPeriods {
		return fmt.Errorf("%d periods are declared already", maxPeriods)
	}
	if slices.ContainsFunc(s.Periods, func(o *Period) bool { return o.Name == p.Name }) {
		return fmt.Errorf("a period %s is declared already", p.Name)
	}
	if until, in := p.InForce(c.At, c.Bound); in {
		return fmt.Errorf("it would be in force now, until %v: declare it %v before it begins", until.UTC(), leadTime)
	}
	next, ok := p.NextStart(c.At)
	if !ok {
		return p.noStartError(c.At)
	}
	if next.Sub(c.At) < leadTime+c.Bound {
		return fmt.Errorf("it begins in %v: declare it %v before", next.Sub(c.At).Round(time.Second), leadTime+c.Bound)
	}
	s.Periods = append(s.Periods, p)
	return nil
}

// Forbids returns the first period in force that forbids a change of a kind, nil if none does. halls are those that the change
// concerns; empty means all.
func (s *State) Forbids(kind Kind, halls []string, c Clock) *Period {
	for _, p := range s.Periods {
		if p.Covers(kind, halls) {
			if _, in := p.InForce(c.At, c.Bound); in {
				return p
			}
		}
	}
	return nil
}

// InForce returns the periods that are in force.
func (s *State) InForce(c Clock) (out []*Period) {
	for _, p := range s.Periods {
		if _, in := p.InForce(c.At, c.Bound); in {
			out = append(out, p)
		}
	}
	return out
}

// Authorize returns nil if a change may be made: if no period forbids it, or if only one does and the exception is for that period
// and this change. It marks the exception as used. except is the ID of the exception, 0 for none.
func (s *State) Authorize(kind Kind, halls []string, except uint64, c Clock) error {
	period := s.Forbids(kind, halls, c)
	if period == nil {
		return nil
	}
	exception := s.exception(except)
	if err := exception.check(period.Name, string(kind), c); err != nil {
		return fmt.Errorf("%s of %s forbids %s now: %w", period.Name, period.Owner, kind, err)
	}
	for _, other := range s.Periods { // an exception applies to one period only
		if _, in := other.InForce(c.At, c.Bound); in && other != period && other.Covers(kind, halls) {
			return fmt.Errorf("%s of %s forbids %s as well", other.Name, other.Owner, kind)
		}
	}
	exception.Used = true
	return nil
}

// exception returns the exception with an ID, nil if there is none.
func (s *State) exception(id uint64) *Exception {
	for _, e := range s.Exceptions {
		if e.ID == id && id > 0 {
			return e
		}
	}
	return nil
}

// check returns an error if an exception, which may be nil, does not permit a change now.
func (e *Exception) check(period, what string, c Clock) error {
	switch {
	case e == nil:
		return fmt.Errorf("an exception is needed")
	case e.Period != period || e.What != what:
		return fmt.Errorf("exception %d is for %s in %s", e.ID, e.What, e.Period)
	case e.By[1] == "":
		return fmt.Errorf("exception %d waits for a second operator", e.ID)
	case e.Used:
		return fmt.Errorf("exception %d has been used", e.ID)
	case c.At.Add(c.Bound).UnixMilli() >= e.Until:
		return fmt.Errorf("exception %d is over", e.ID)
	}
	return nil
}

// RequestException adds an exception, which has no effect until another operator approves it.
func (s *State) RequestException(e *Exception, c Clock) error {
	switch {
	case e.By[0] == "" || e.Why == "":
		return fmt.Errorf("an exception needs an operator's name and a reason")
	case !slices.ContainsFunc(s.Periods, func(p *Period) bool { return p.Name == e.Period }):
		return fmt.Errorf("no period %s is declared", e.Period)
	case e.What != Lift && !slices.Contains(Kinds, Kind(e.What)):
		return fmt.Errorf("an exception is for one of %v or for %s", Kinds, Lift)
	case e.Until <= c.At.UnixMilli():
		return fmt.Errorf("an exception needs an end that is to come")
	}
	s.Exceptions = slices.DeleteFunc(s.Exceptions, func(old *Exception) bool { return old.Until < c.At.Add(-horizon).UnixMilli() })
	if len(s.Exceptions) >= maxExceptions {
		return fmt.Errorf("%d exceptions are remembered already", maxExceptions)
	}
	e.By[1], e.Used = "", false
	s.Exceptions = append(s.Exceptions, e)
	return nil
}

// ApproveException records that an operator approves an exception that another has requested.
func (s *State) ApproveException(id uint64, by string) error {
	e := s.exception(id)
	switch {
	case e == nil:
		return fmt.Errorf("no exception %d", id)
	case by == "" || by == e.By[0]:
		return fmt.Errorf("exception %d needs another operator than %s", id, e.By[0])
	case e.By[1] != "":
		return fmt.Errorf("%s has agreed to exception %d already", e.By[1], id)
	}
	e.By[1] = by
	return nil
}

// EndPeriod removes a period that is not in force. If it is in force, only the present occurrence is ended, at the time at in Unix
// milliseconds but not before now, and an exception for it is needed.
func (s *State) EndPeriod(name string, at int64, except uint64, c Clock) error {
	i := slices.IndexFunc(s.Periods, func(p *Period) bool { return p.Name == name })
	if i < 0 {
		return fmt.Errorf("no period %s is declared", name)
	}
	p := s.Periods[i]
	if _, in := p.InForce(c.At, c.Bound); in {
		e := s.exception(except)
		if err := e.check(name, Lift, c); err != nil {
			return fmt.Errorf("%s is in force, and forbids its own end: %w", name, err)
		}
		e.Used = true
		p.Shortened = Span{c.At.UnixMilli(), max(at, c.At.UnixMilli())}
		return nil
	}
	s.Periods = slices.Delete(s.Periods, i, i+1)
	return nil
}

// RenewSpans replaces a period's stored occurrences by spans, the coming ones by the leader's zone data. Stored occurrences that are
// not over stay, so that the period does not get shorter for any gateway.
func (s *State) RenewSpans(name string, spans []Span, now time.Time) {
	for _, p := range s.Periods {
		if p.Name != name {
			continue
		}
		for _, stored := range p.Spans {
			if stored.To > now.UnixMilli() && !slices.Contains(spans, stored) {
				spans = append(spans, stored)
			}
		}
		slices.SortFunc(spans, func(a, b Span) int { return int(a.From - b.From) })
		p.Spans = spans[:min(len(spans), 2*maxFixedSpans)]
	}
}
