package replog

import (
	"fmt"
	"slices"
	"time"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/freeze"
	"quillrail/internal/fleet/safeguard"
)

// kind describes a kind of entry: the type of its body, the kind of change under which a freeze forbids it, the level
// from which on it is understood, and its effect.
type kind struct {
	body       func() any
	freezeKind freeze.Kind
	level      int
	apply      func(s *State, c change.Context, e *Entry, body any) error
}

// kindOf describes an entry with a body of type T.
func kindOf[T any](f func(s *State, c change.Context, e *Entry, b *T) error) kind {
	return kind{body: func() any { return new(T) }, level: 1,
		apply: func(s *State, c change.Context, e *Entry, b any) error { return f(s, c, e, b.(*T)) }}
}

// forbiddenBy returns k as a kind of entry that a freeze forbids if it covers changes of kind f.
func (k kind) forbiddenBy(f freeze.Kind) kind { k.freezeKind = f; return k }

// changeKind describes an entry that package change applies.
func changeKind[T any](name string) kind {
	return kindOf(func(s *State, c change.Context, e *Entry, b *T) error {
		return change.Apply(s.Change, c, e.From, e.Incarnation, change.Proposal{Kind: name, Body: *b})
	})
}

var kinds = map[string]kind{
	"see": changeKind[change.StatusUpdateBody]("see"), "grant": changeKind[change.GrantBody]("grant"), "use": changeKind[change.PermitBody]("use"),
	"lapse": changeKind[change.PermitBody]("lapse"), "return": changeKind[change.PermitBody]("return"),
	"end":   changeKind[change.PermitBody]("end"),
	"stand": changeKind[change.ReleaseBody]("stand"), "next": changeKind[change.ReleaseBody]("next"), "halt": changeKind[change.ReleaseBody]("halt"),
	"ask": kindOf(func(s *State, c change.Context, e *Entry, p *change.Permit) error {
		p.By = e.By
		if k := freeze.Bans; e.By != "" && !p.Emergency &&
			slices.ContainsFunc(p.Subjects, func(t change.Subject) bool { return t.Kind() == change.Worker }) {
			if err := s.checkFreeze(k, s.hallsOf(p.Subjects), e); err != nil {
				return err
			}
		}
		return s.Change.Request(c, p)
	}),
	"word": kindOf(func(s *State, c change.Context, e *Entry, b *change.PermitBody) error {
		return s.Change.EndByOperator(c, b.ID, e.By)
	}),
	"forget": kindOf(func(s *State, c change.Context, _ *Entry, b *NameBody) error {
		return s.Change.UpdateStatuses(c, []change.StatusUpdate{{Subject: change.Subject(b.Name), Forget: true}})
	}),
	"begin": kindOf(func(s *State, c change.Context, e *Entry, r *change.Release) error {
		r.By = e.By
		if err := s.Change.Begin(c, r); err != nil {
			return err
		}
		return s.endsBeforeFreeze(r)
	}).forbiddenBy(freeze.Releases),
	"continue": changeKind[change.ReleaseBody]("continue").forbiddenBy(freeze.Releases),
	"revert": kindOf(func(s *State, c change.Context, e *Entry, b *change.ReleaseBody) error {
		if e.By != "" {
			if err := s.checkFreeze(freeze.Releases, nil, e); err != nil {
				return err
			}
		}
		return s.Change.RollBack(c, b.ID, b.Reason)
	}),
	"limits": kindOf(func(s *State, _ change.Context, _ *Entry, b *LimitsBody) error {
		if err := b.Limits.Check(); err != nil {
			return err
		}
		s.Change.Limits = b.Limits
		return nil
	}).forbiddenBy(freeze.Limits),
	"rules": kindOf(func(s *State, _ change.Context, _ *Entry, b *RulesBody) error {
		if r := b.Rules; r.ClockBoundMs < 0 || r.ClockBoundMs > 60_000 || r.FreezeAheadMs < r.ClockBoundMs || r.FreezeAheadMs > 86_400_000 {
			return fmt.Errorf("clock_bound_ms is %d, freeze_ahead_s %d", r.ClockBoundMs, r.FreezeAheadMs/1000)
		}
		s.Rules = b.Rules
		return nil
	}).forbiddenBy(freeze.Limits),
	"freeze": kindOf(func(s *State, c change.Context, e *Entry, p *freeze.Period) error {
		p.ID, p.Owner = c.Index, e.By
		return s.Freeze.Declare(p, s.Clock(), s.freezeNotice())
	}),
	"take": kindOf(func(s *State, _ change.Context, e *Entry, b *NameBody) error {
		return s.checkFreeze(freeze.Config, s.hallsOf([]change.Subject{change.NewSubject(change.Gateway, b.Name)}), e)
	}),
	"spans": kindOf(func(s *State, _ change.Context, _ *Entry, b *SpansBody) error {
		s.Freeze.RenewSpans(b.Name, b.Spans, s.Clock().At)
		return nil
	}),
	"except": kindOf(func(s *State, c change.Context, e *Entry, b *ExceptBody) error {
		b.Exception.ID, b.Exception.By[0] = c.Index, e.By
		return s.Freeze.RequestException(&b.Exception, s.Clock())
	}),
	"second": kindOf(func(s *State, _ change.Context, e *Entry, b *SecondBody) error {
		return s.Freeze.ApproveException(b.ID, e.By)
	}),
	"lift": kindOf(func(s *State, _ change.Context, e *Entry, b *EndBody) error {
		return s.Freeze.EndPeriod(b.Name, b.At, e.Except, s.Clock())
	}),
	"restrict": kindOf(restrict),
	"unrestrict": kindOf(func(s *State, c change.Context, _ *Entry, b *NameBody) error {
		return s.Site.Lift(b.Name, c.Index)
	}).forbiddenBy(freeze.Restrictions),
	"widen": kindOf(func(s *State, _ change.Context, _ *Entry, b *NameBody) error {
		return s.Site.ApplyLoosening(b.Name)
	}).forbiddenBy(freeze.Restrictions),
	"lose": kindOf(func(s *State, _ change.Context, e *Entry, b *NameBody) error {
		return s.withKnownHall(b.Name, func(h string) error { return s.Site.MarkDown(h, e.By != "") })
	}),
	"back": kindOf(func(s *State, _ change.Context, _ *Entry, b *NameBody) error {
		return s.withKnownHall(b.Name, s.Site.MarkUp)
	}),
	"open": kindOf(func(s *State, _ change.Context, _ *Entry, b *NameBody) error {
		return s.withKnownHall(b.Name, s.Site.Open)
	}).forbiddenBy(freeze.Restrictions),
}

// restrict declares a restriction. A restriction that leaves too little capacity is rejected with the numbers. One that
// adds sites to an existing restriction may be forbidden by a freeze.
func restrict(s *State, c change.Context, e *Entry, b *RestrictBody) error {
	r := b.Restriction
	r.ID, r.By = c.Index, e.By
	if err := r.Check(s.Names); err != nil {
		return err
	}
	limits := s.Change.Limits
	if b.Workers == 0 || limits.WorkerCalls > 0 && float64(b.Workers)*limits.WorkerCalls < limits.Margin*b.Load {
		return fmt.Errorf("%d workers at %v bear %.0f calls/s, and it is for %.0f: with a margin of %.2f that is too little", b.Workers, r.Sites,
			float64(b.Workers)*limits.WorkerCalls, b.Load, limits.Margin)
	}
	for _, other := range s.Site.Rules {
		if other.Name == r.Name && slices.ContainsFunc(r.Sites, func(site string) bool { return !slices.Contains(other.Sites, site) }) {
			if err := s.checkFreeze(freeze.Restrictions, r.Sites, e); err != nil {
				return err
			}
		}
	}
	return s.Site.Declare(&r)
}

// endsBeforeFreeze rejects a release that declares that no freeze may begin while it runs, if a freeze begins before the
// release could end.
func (s *State) endsBeforeFreeze(r *change.Release) error {
	if r.OnFreeze != change.FreezeRefuses {
		return nil
	}
	needed := time.Duration(int64(len(r.Batches))*r.VerifyMs+int64(len(r.From))*usualStepMs) * time.Millisecond
	for _, period := range s.Freeze.Periods {
		if next, ok := period.NextStart(s.Clock().At); ok && period.Covers(freeze.Releases, nil) &&
			next.Sub(s.Clock().At)-s.Clock().Bound < needed {
			s.Change.Releases = s.Change.Releases[:len(s.Change.Releases)-1]
			return fmt.Errorf("it takes about %v, and %s begins in %v", needed.Round(time.Second), period.Name,
				next.Sub(s.Clock().At).Round(time.Second))
		}
	}
	return nil
}

// usualStepMs is how long one step of a release usually takes, in ms.
const usualStepMs = 5000

// withKnownHall calls f with the name of a hall, if that hall is known.
func (s *State) withKnownHall(name string, f func(string) error) error {
	if !slices.Contains(s.Names.Halls, name) {
		return fmt.Errorf("hall %q is unknown", name)
	}
	return f(name)
}

// hallsOf returns the halls of the given subjects, as far as they are known.
func (s *State) hallsOf(subjects []change.Subject) (halls []string) {
	for _, subject := range subjects {
		if known := s.Change.Subjects[subject]; known != nil {
			halls = append(halls, known.Hall)
		}
	}
	return halls
}

// checkFreeze returns an error if a freeze forbids a change now. It uses up the exception under which the entry is made.
func (s *State) checkFreeze(k freeze.Kind, halls []string, e *Entry) error {
	if !safeguard.Enabled("freeze") {
		return nil
	}
	return s.Freeze.Authorize(k, halls, e.Except, s.Clock())
}
