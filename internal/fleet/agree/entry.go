package agree

import (
	"errors"
	"fmt"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/freeze"
	"quillrail/internal/fleet/guard"
	"quillrail/internal/fleet/site"
)

// Entry is a decision in the log.
type Entry struct {
	V         int    // of the form
	From      string // the gateway that proposed it,
	Life, Seq uint64 // in which life, and the how-many-eth of that life
	At        int64  // the leader's time, Unix ms
	By        string // the operator's name, "" for the fleet itself
	Except    uint64 // the exception by which it is made in a freeze, 0 for none
	Kind      string
	Body      []byte
}

// Bodies of entries beside those of package change.
type (
	LimitsBody struct{ Limits change.Limits }
	ExceptBody struct{ Exception freeze.Exception }
	SecondBody struct{ ID uint64 }
	EndBody    struct {
		Name string
		At   int64 // Unix ms, 0: now
	}
	SpansBody struct {
		Name  string
		Spans []freeze.Span
	}
	NameBody     struct{ Name string }
	RulesBody    struct{ Rules Rules }
	RestrictBody struct {
		Restriction site.Restriction
		Workers     int     // well ones at its sites, and
		Load        float64 // calls a second that it is for, as who proposes it has measured
	}
)

// kind is what is known of a kind of entry: the form of its body, what a freeze calls it if operators propose it, and what
// it does.
type kind struct {
	body   func() any
	freeze freeze.Kind
	level  int
	do     func(s *State, c change.Ctx, e *Entry, body any) error
}

func of[T any](f func(s *State, c change.Ctx, e *Entry, b *T) error) kind {
	return kind{body: func() any { return new(T) }, level: 1, do: func(s *State, c change.Ctx, e *Entry, b any) error { return f(s, c, e, b.(*T)) }}
}

func (k kind) forbidden(f freeze.Kind) kind { k.freeze = f; return k }

// step is an entry of package change.
func step[T any](name string) kind {
	return of(func(s *State, c change.Ctx, e *Entry, b *T) error {
		return change.Apply(s.Change, c, e.From, e.Life, change.Proposal{Kind: name, Body: *b})
	})
}

var kinds = map[string]kind{
	"see": step[change.SeeBody]("see"), "grant": step[change.GrantBody]("grant"), "use": step[change.PermitBody]("use"),
	"lapse": step[change.PermitBody]("lapse"), "return": step[change.PermitBody]("return"), "end": step[change.PermitBody]("end"),
	"stand": step[change.HaltBody]("stand"), "next": step[change.HaltBody]("next"), "halt": step[change.HaltBody]("halt"),
	"ask": of(func(s *State, c change.Ctx, e *Entry, p *change.Permit) error {
		p.By = e.By
		if k := freeze.Bans; e.By != "" && !p.Emergency && slices.ContainsFunc(p.Things, func(t change.Thing) bool { return t.Kind() == change.Worker }) {
			if err := s.thaw(k, s.hallsOf(p.Things), e); err != nil {
				return err
			}
		}
		return s.Change.Ask(c, p)
	}),
	"word": of(func(s *State, c change.Ctx, e *Entry, b *change.PermitBody) error {
		return s.Change.Word(c, b.ID, e.By)
	}),
	"begin": of(func(s *State, c change.Ctx, e *Entry, r *change.Release) error {
		r.By = e.By
		return s.Change.Begin(c, r)
	}).forbidden(freeze.Releases),
	"continue": step[change.HaltBody]("continue").forbidden(freeze.Releases),
	"revert": of(func(s *State, c change.Ctx, e *Entry, b *change.HaltBody) error {
		if e.By != "" {
			if err := s.thaw(freeze.Releases, nil, e); err != nil {
				return err
			}
		}
		return s.Change.Revert(c, b.ID, b.Reason)
	}),
	"limits": of(func(s *State, _ change.Ctx, _ *Entry, b *LimitsBody) error {
		if err := b.Limits.Check(); err != nil {
			return err
		}
		s.Change.Limits = b.Limits
		return nil
	}).forbidden(freeze.Limits),
	"rules": of(func(s *State, _ change.Ctx, _ *Entry, b *RulesBody) error {
		if r := b.Rules; r.ClockBoundMs < 0 || r.ClockBoundMs > 60_000 || r.FreezeAheadMs < r.ClockBoundMs || r.FreezeAheadMs > 86_400_000 {
			return fmt.Errorf("clock_bound_ms is %d, freeze_ahead_s %d", r.ClockBoundMs, r.FreezeAheadMs/1000)
		}
		s.Rules = b.Rules
		return nil
	}).forbidden(freeze.Limits),
	"freeze": of(func(s *State, c change.Ctx, e *Entry, p *freeze.Period) error {
		p.ID, p.Owner = c.Index, e.By
		return s.Freeze.Declare(p, s.Clock(), s.ahead())
	}),
	"spans": of(func(s *State, _ change.Ctx, _ *Entry, b *SpansBody) error {
		s.Freeze.Renew(b.Name, b.Spans, s.Clock().At)
		return nil
	}),
	"except": of(func(s *State, c change.Ctx, e *Entry, b *ExceptBody) error {
		b.Exception.ID, b.Exception.By[0] = c.Index, e.By
		return s.Freeze.Except(&b.Exception, s.Clock())
	}),
	"second": of(func(s *State, _ change.Ctx, e *Entry, b *SecondBody) error { return s.Freeze.Second(b.ID, e.By) }),
	"lift": of(func(s *State, _ change.Ctx, e *Entry, b *EndBody) error {
		return s.Freeze.End(b.Name, b.At, e.Except, s.Clock())
	}),
	"restrict":   of(restrict),
	"unrestrict": of(func(s *State, _ change.Ctx, _ *Entry, b *NameBody) error { return s.Site.Lift(b.Name) }).forbidden(freeze.Restrictions),
	"widen":      of(func(s *State, _ change.Ctx, _ *Entry, b *NameBody) error { return s.Site.Widen(b.Name) }).forbidden(freeze.Restrictions),
	"lose":       of(func(s *State, _ change.Ctx, _ *Entry, b *NameBody) error { return s.hall(b.Name, s.Site.Lose) }),
	"back":       of(func(s *State, _ change.Ctx, _ *Entry, b *NameBody) error { return s.hall(b.Name, s.Site.Back) }),
	"open":       of(func(s *State, _ change.Ctx, _ *Entry, b *NameBody) error { return s.hall(b.Name, s.Site.Open) }).forbidden(freeze.Restrictions),
}

// restrict declares a restriction. One that leaves no capacity is refused with figures; one that only loosens may be frozen.
func restrict(s *State, c change.Ctx, e *Entry, b *RestrictBody) error {
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
	if !guard.On("freeze") {
		return nil
	}
	return s.Freeze.Take(k, halls, e.Except, s.Clock())
}

// ErrTwice says that an entry has been applied before.
var ErrTwice = errors.New("applied before")

// Apply applies the entry at an index and returns what came of it: an error is the reason why it changed nothing.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index, s.At = index, max(s.At, e.At)
	if !s.once(e.From, e.Life, e.Seq) {
		return ErrTwice
	}
	k, known := kinds[e.Kind]
	if !known || k.level > s.Level {
		return fmt.Errorf("no entry %q is known at level %d", e.Kind, s.Level)
	}
	body := k.body()
	if err := msgpack.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("entry %s: %w", e.Kind, err)
	}
	if k.freeze != "" {
		if err := s.thaw(k.freeze, nil, e); err != nil {
			return err
		}
	}
	return k.do(s, change.Ctx{Index: index, At: s.At}, e, body)
}

// Check reports what no entry can be, before it is proposed.
func (e *Entry) Check() error {
	k, known := kinds[e.Kind]
	switch {
	case !known:
		return fmt.Errorf("no entry %q is known", e.Kind)
	case e.From == "" || e.Life == 0 || e.Seq == 0 || len(e.From) > 64 || len(e.By) > 64:
		return fmt.Errorf("an entry of %q, life %d, number %d", e.From, e.Life, e.Seq)
	case len(e.Body) > maxEntry:
		return fmt.Errorf("an entry of %d bytes", len(e.Body))
	}
	return msgpack.Unmarshal(e.Body, k.body())
}
