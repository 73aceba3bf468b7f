package replog

import (
	"fmt"
	"slices"
	"time"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/freeze"
	"quillrail/internal/fleet/safeguard"
)

// kind is what is known of a kind of entry: the form of its body, what a freeze calls it if operators propose it, and what
// it does.
type kind struct {
	body   func() any
	freeze freeze.Kind
	level  int
	do     func(s *State, c change.Context, e *Entry, body any) error
}

func of[T any](f func(s *State, c change.Context, e *Entry, b *T) error) kind {
	return kind{body: func() any { return new(T) }, level: 1, do: func(s *State, c change.Context, e *Entry, b any) error { return f(s, c, e, b.(*T)) }}
}

func (k kind) forbidden(f freeze.Kind) kind { k.freeze = f; return k }

// step is an entry of package change.
func step[T any](name string) kind {
	return of(func(s *State, c change.Context, e *Entry, b *T) error {
		return change.Apply(s.Change, c, e.From, e.Life, change.Proposal{Kind: name, Body: *b})
	})
}

var kinds = map[string]kind{
	"see": step[change.SeeBody]("see"), "grant": step[change.GrantBody]("grant"), "use": step[change.PermitBody]("use"),
	"lapse": step[change.PermitBody]("lapse"), "return": step[change.PermitBody]("return"), "end": step[change.PermitBody]("end"),
	"stand": step[change.HaltBody]("stand"), "next": step[change.HaltBody]("next"), "halt": step[change.HaltBody]("halt"),
	"ask": of(func(s *State, c change.Context, e *Entry, p *change.Permit) error {
		p.By = e.By
		if k := freeze.Bans; e.By != "" && !p.Emergency && slices.ContainsFunc(p.Things, func(t change.Thing) bool { return t.Kind() == change.Worker }) {
			if err := s.thaw(k, s.hallsOf(p.Things), e); err != nil {
				return err
			}
		}
		return s.Change.Ask(c, p)
	}),
	"word": of(func(s *State, c change.Context, e *Entry, b *change.PermitBody) error {
		return s.Change.Word(c, b.ID, e.By)
	}),
	"forget": of(func(s *State, c change.Context, _ *Entry, b *NameBody) error {
		return s.Change.See(c, []change.Seen{{Thing: change.Thing(b.Name), Forget: true}})
	}),
	"begin": of(func(s *State, c change.Context, e *Entry, r *change.Release) error {
		r.By = e.By
		if err := s.Change.Begin(c, r); err != nil {
			return err
		}
		return s.inTime(r)
	}).forbidden(freeze.Releases),
	"continue": step[change.HaltBody]("continue").forbidden(freeze.Releases),
	"revert": of(func(s *State, c change.Context, e *Entry, b *change.HaltBody) error {
		if e.By != "" {
			if err := s.thaw(freeze.Releases, nil, e); err != nil {
				return err
			}
		}
		return s.Change.RollBack(c, b.ID, b.Reason)
	}),
	"limits": of(func(s *State, _ change.Context, _ *Entry, b *LimitsBody) error {
		if err := b.Limits.Check(); err != nil {
			return err
		}
		s.Change.Limits = b.Limits
		return nil
	}).forbidden(freeze.Limits),
	"rules": of(func(s *State, _ change.Context, _ *Entry, b *RulesBody) error {
		if r := b.Rules; r.ClockBoundMs < 0 || r.ClockBoundMs > 60_000 || r.FreezeAheadMs < r.ClockBoundMs || r.FreezeAheadMs > 86_400_000 {
			return fmt.Errorf("clock_bound_ms is %d, freeze_ahead_s %d", r.ClockBoundMs, r.FreezeAheadMs/1000)
		}
		s.Rules = b.Rules
		return nil
	}).forbidden(freeze.Limits),
	"freeze": of(func(s *State, c change.Context, e *Entry, p *freeze.Period) error {
		p.ID, p.Owner = c.Index, e.By
		return s.Freeze.Declare(p, s.Clock(), s.ahead())
	}),
	"take": of(func(s *State, _ change.Context, e *Entry, b *NameBody) error {
		return s.thaw(freeze.Config, s.hallsOf([]change.Thing{change.Of(change.Gateway, b.Name)}), e)
	}),
	"spans": of(func(s *State, _ change.Context, _ *Entry, b *SpansBody) error {
		s.Freeze.RenewSpans(b.Name, b.Spans, s.Clock().At)
		return nil
	}),
	"except": of(func(s *State, c change.Context, e *Entry, b *ExceptBody) error {
		b.Exception.ID, b.Exception.By[0] = c.Index, e.By
		return s.Freeze.RequestException(&b.Exception, s.Clock())
	}),
	"second": of(func(s *State, _ change.Context, e *Entry, b *SecondBody) error {
		return s.Freeze.ApproveException(b.ID, e.By)
	}),
	"lift": of(func(s *State, _ change.Context, e *Entry, b *EndBody) error {
		return s.Freeze.EndPeriod(b.Name, b.At, e.Except, s.Clock())
	}),
	"restrict":   of(restrict),
	"unrestrict": of(func(s *State, c change.Context, _ *Entry, b *NameBody) error { return s.Site.Lift(b.Name, c.Index) }).forbidden(freeze.Restrictions),
	"widen":      of(func(s *State, _ change.Context, _ *Entry, b *NameBody) error { return s.Site.ApplyLoosening(b.Name) }).forbidden(freeze.Restrictions),
	"lose": of(func(s *State, _ change.Context, e *Entry, b *NameBody) error {
		return s.hall(b.Name, func(h string) error { return s.Site.MarkDown(h, e.By != "") })
	}),
	"back": of(func(s *State, _ change.Context, _ *Entry, b *NameBody) error { return s.hall(b.Name, s.Site.MarkUp) }),
	"open": of(func(s *State, _ change.Context, _ *Entry, b *NameBody) error { return s.hall(b.Name, s.Site.Open) }).forbidden(freeze.Restrictions),
}

// restrict declares a restriction. One that leaves no capacity is refused with figures; one that only loosens may be frozen.
func restrict(s *State, c change.Context, e *Entry, b *RestrictBody) error {
	r := b.Restriction
	r.ID, r.By = c.Index, e.By
	if err := r.Check(s.Names); err != nil {
		return err
	}
	l := s.Change.Limits
	if b.Workers == 0 || l.WorkerCalls > 0 && float64(b.Workers)*l.WorkerCalls < l.Margin*b.Load {
		return fmt.Errorf("%d workers at %v bear %.0f calls/s, and it is for %.0f: with a margin of %.2f that is too little", b.Workers, r.Sites,
			float64(b.Workers)*l.WorkerCalls, b.Load, l.Margin)
	}
	for _, o := range s.Site.Rules {
		if o.Name == r.Name && slices.ContainsFunc(r.Sites, func(h string) bool { return !slices.Contains(o.Sites, h) }) {
			if err := s.thaw(freeze.Restrictions, r.Sites, e); err != nil {
				return err
			}
		}
	}
	return s.Site.Declare(&r)
}

// inTime refuses a release that by its own statement must not be met by a freeze, if one begins before it could end.
func (s *State) inTime(r *change.Release) error {
	if r.Freeze != change.FreezeRefuses {
		return nil
	}
	need := time.Duration(int64(len(r.Batches))*r.ProveMs+int64(len(r.From))*stepUsual) * time.Millisecond
	for _, p := range s.Freeze.Periods {
		if next, ok := p.NextStart(s.Clock().At); ok && p.Covers(freeze.Releases, nil) && next.Sub(s.Clock().At)-s.Clock().Bound < need {
			s.Change.Releases = s.Change.Releases[:len(s.Change.Releases)-1]
			return fmt.Errorf("it takes about %v, and %s begins in %v", need.Round(time.Second), p.Name, next.Sub(s.Clock().At).Round(time.Second))
		}
	}
	return nil
}

// stepUsual is how many ms a step of a release usually takes.
const stepUsual = 5000

func (s *State) hall(name string, f func(string) error) error {
	if !slices.Contains(s.Names.Halls, name) {
		return fmt.Errorf("hall %q is unknown", name)
	}
	return f(name)
}

// hallsOf are the halls of things.
func (s *State) hallsOf(things []change.Thing) (halls []string) {
	for _, t := range things {
		if k := s.Change.Things[t]; k != nil {
			halls = append(halls, k.Hall)
		}
	}
	return halls
}

// thaw reports why a freeze forbids a change now; an exception for it is used up.
func (s *State) thaw(k freeze.Kind, halls []string, e *Entry) error {
	if !safeguard.Enabled("freeze") {
		return nil
	}
	return s.Freeze.Authorize(k, halls, e.Except, s.Clock())
}
