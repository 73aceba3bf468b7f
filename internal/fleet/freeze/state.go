package freeze

import (
	"fmt"
	"slices"
	"time"
)

// Exception is leave for one change within a period.
type Exception struct {
	ID     uint64
	Period string
	What   string // the change: a kind, or lift
	Why    string
	By     [2]string // two different operators; the second is empty until the other has agreed
	Until  int64     // Unix ms
	Used   bool
}

// Lift is what an exception names that is for ending or shortening the period itself.
const Lift = "lift"

const maxExceptions = 256

// State is what is declared. It is changed by the log's entries alone.
type State struct {
	Periods    []*Period
	Exceptions []*Exception
}

// Clock is a time of the log with the bound on how far clocks may be off.
type Clock struct {
	At    time.Time
	Bound time.Duration
}

// Declare adds a period; it has to begin no sooner than after ahead, so that all can know of it. One that is under way by
// its rule is declared from its next begin on.
func (s *State) Declare(p *Period, c Clock, ahead time.Duration) error {
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
		return fmt.Errorf("it would be in force now, until %v: declare it %v before it begins", until.UTC(), ahead)
	}
	next, ok := p.Next(c.At)
	if !ok {
		return fmt.Errorf("it lies in the past")
	}
	if next.Sub(c.At) < ahead+c.Bound {
		return fmt.Errorf("it begins in %v: declare it %v before", next.Sub(c.At).Round(time.Second), ahead+c.Bound)
	}
	s.Periods = append(s.Periods, p)
	return nil
}

// Forbids returns the period that forbids a change, nil if none does. halls are those that it touches, none for all.
func (s *State) Forbids(k Kind, halls []string, c Clock) *Period {
	for _, p := range s.Periods {
		if p.Covers(k, halls) {
			if _, in := p.InForce(c.At, c.Bound); in {
				return p
			}
		}
	}
	return nil
}

// InForce are the periods that are.
func (s *State) InForce(c Clock) (out []*Period) {
	for _, p := range s.Periods {
		if _, in := p.InForce(c.At, c.Bound); in {
			out = append(out, p)
		}
	}
	return out
}

// Take reports whether a change may be made: no period forbids it, or each that does has an exception for it, which is
// used up. except is the exception's ID, 0 for none.
func (s *State) Take(k Kind, halls []string, except uint64, c Clock) error {
	p := s.Forbids(k, halls, c)
	if p == nil {
		return nil
	}
	e := s.exception(except)
	if err := e.check(p.Name, string(k), c); err != nil {
		return fmt.Errorf("%s of %s forbids %s now: %w", p.Name, p.Owner, k, err)
	}
	for _, o := range s.Periods { // one exception is from one period
		if _, in := o.InForce(c.At, c.Bound); in && o != p && o.Covers(k, halls) {
			return fmt.Errorf("%s of %s forbids %s as well", o.Name, o.Owner, k)
		}
	}
	e.Used = true
	return nil
}

func (s *State) exception(id uint64) *Exception {
	for _, e := range s.Exceptions {
		if e.ID == id && id > 0 {
			return e
		}
	}
	return nil
}

// check reports why an exception is not for a change.
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

// Except asks for an exception, which another operator has to agree to.
func (s *State) Except(e *Exception, c Clock) error {
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
	s.Exceptions = slices.DeleteFunc(s.Exceptions, func(o *Exception) bool { return o.Until < c.At.Add(-ahead).UnixMilli() })
	if len(s.Exceptions) >= maxExceptions {
		return fmt.Errorf("%d exceptions are remembered already", maxExceptions)
	}
	e.By[1], e.Used = "", false
	s.Exceptions = append(s.Exceptions, e)
	return nil
}

// Second has another operator agree to an exception.
func (s *State) Second(id uint64, by string) error {
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

// End takes a period back that is not in force. One that is ends at a time, this occurrence of it, and by exception only.
func (s *State) End(name string, at int64, except uint64, c Clock) error {
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
		p.Cut = Span{c.At.UnixMilli(), max(at, c.At.UnixMilli())}
		return nil
	}
	s.Periods = slices.Delete(s.Periods, i, i+1)
	return nil
}

// Renew puts down occurrences to come anew, as the leader's zone data have them; those that were put down before and are
// not over stay, so that nobody's period gets shorter.
func (s *State) Renew(name string, spans []Span, now time.Time) {
	for _, p := range s.Periods {
		if p.Name != name {
			continue
		}
		for _, o := range p.Spans {
			if o.To > now.UnixMilli() && !slices.Contains(spans, o) {
				spans = append(spans, o)
			}
		}
		slices.SortFunc(spans, func(a, b Span) int { return int(a.From - b.From) })
		p.Spans = spans[:min(len(spans), 2*maxSpans)]
	}
}
