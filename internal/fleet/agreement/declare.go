package agreement

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/freeze"
	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/site"
)

// Kinds of what may be declared, with what each takes.
var declared = map[string]func(a *Agent, w *arguments) (kind string, body any, err error){
	"release": func(a *Agent, w *arguments) (string, any, error) {
		r := &change.Release{Name: w.text("name"), Why: w.text("why"), ProveMs: int64(1000 * w.number("prove_s", 0)), MostMs: int64(1000 * w.number("most_s", 0)),
			StepMs: int64(1000 * w.number("step_s", 0)), Alpha: w.number("alpha", 0), Worse: w.number("worse", 0), Slower: w.number("slower", 0),
			TakeBack: w.one("on_halt", "stand", "back") == "back", Freeze: w.one("on_freeze", change.FreezeHalts, change.FreezeBack, change.FreezeRefuses)}
		for _, what := range []string{change.Version, change.Config, change.Workers} {
			if v := w.text(what); v != "" && r.What != "" {
				return "", nil, fmt.Errorf("a release is of one thing: %s and %s", r.What, what)
			} else if v != "" {
				r.What, r.To = what, v
			}
		}
		return "begin", r, nil
	},
	"halt": func(a *Agent, w *arguments) (string, any, error) {
		return a.ofRelease("halt", w, "by the word of "+w.left["by"]+" "+w.text("why"))
	},
	"continue": func(a *Agent, w *arguments) (string, any, error) { return a.ofRelease("continue", w, "") },
	"back": func(a *Agent, w *arguments) (string, any, error) {
		return a.ofRelease("revert", w, "by the word of "+w.left["by"]+" "+w.text("why"))
	},
	"freeze": func(a *Agent, w *arguments) (string, any, error) {
		p := &freeze.Period{Name: w.text("name"), Start: w.text("from"), End: w.text("to"), Zone: w.text("zone"), Rule: w.text("rule"), Halls: w.list("halls"),
			Drop: w.one("after", "take", "drop") == "drop", Owner: w.left["by"]}
		for _, k := range w.list("kinds") {
			p.Kinds = append(p.Kinds, freeze.Kind(k))
		}
		for _, h := range p.Halls {
			if !slices.Contains(a.o.Halls, h) {
				return "", nil, fmt.Errorf("hall %q is unknown: %v", h, a.o.Halls)
			}
		}
		if err := p.Check(a.clock().At); err != nil {
			return "", nil, err
		}
		p.FixSpans(a.clock().At)
		return "freeze", p, nil
	},
	"exception": func(a *Agent, w *arguments) (string, any, error) {
		return "except", replog.ExceptBody{Exception: freeze.Exception{Period: w.text("freeze"), What: w.text("for"), Why: w.text("why"),
			Until: a.host.Now().Milliseconds() + int64(1000*w.number("for_s", 3600))}}, nil
	},
	"take": func(a *Agent, w *arguments) (string, any, error) {
		return "take", replog.NameBody{Name: a.o.Name}, nil
	},
	"second": func(a *Agent, w *arguments) (string, any, error) {
		return "second", replog.SecondBody{ID: uint64(w.number("exception", 0))}, nil
	},
	"lift": func(a *Agent, w *arguments) (string, any, error) {
		b := replog.EndBody{Name: w.text("freeze")}
		if s := w.number("in_s", 0); s > 0 {
			b.At = a.host.Now().Milliseconds() + int64(1000*s)
		}
		return "lift", b, nil
	},
	"restriction": func(a *Agent, w *arguments) (string, any, error) {
		r := site.Restriction{Name: w.text("name"), Tenants: w.list("tenants"), Classes: w.list("classes"), Functions: w.list("functions"), Sites: w.list("sites"),
			Pin: w.one("pin", "yes", "no") == "yes"}
		if err := r.Check(site.KnownNames{Tenants: a.o.Tenants, Classes: a.o.Classes, Halls: a.o.Halls}); err != nil {
			return "", nil, err
		}
		return "restrict", replog.RestrictBody{Restriction: r}, nil
	},
	"unrestrict": func(a *Agent, w *arguments) (string, any, error) {
		return "unrestrict", replog.NameBody{Name: w.text("name")}, nil
	},
	"close": func(a *Agent, w *arguments) (string, any, error) {
		return "lose", replog.NameBody{Name: w.text("hall")}, nil
	},
	"open": func(a *Agent, w *arguments) (string, any, error) {
		return "open", replog.NameBody{Name: w.text("hall")}, nil
	},
	"limits": func(a *Agent, w *arguments) (string, any, error) {
		l := a.o.Limits
		if st := a.State(); st != nil {
			l = st.Change.Limits
		}
		l = change.Limits{Gateways: w.limit("gateways", l.Gateways), GatewaysHall: w.limit("gateways_hall", l.GatewaysHall), Workers: w.limit("workers", l.Workers),
			WorkersHall: w.limit("workers_hall", l.WorkersHall), Only: w.limit("only_copies", l.Only), Margin: w.number("margin", l.Margin),
			GatewayCalls: w.number("gateway_calls", l.GatewayCalls), WorkerCalls: w.number("worker_calls", l.WorkerCalls)}
		return "limits", replog.LimitsBody{Limits: l}, l.Check()
	},
	"rules": func(a *Agent, w *arguments) (string, any, error) {
		r := a.o.Rules
		if st := a.State(); st != nil {
			r = st.Rules
		}
		return "rules", replog.RulesBody{Rules: replog.Rules{ClockBoundMs: int64(w.number("clock_bound_ms", float64(r.ClockBoundMs))),
			FreezeAheadMs: int64(1000 * w.number("freeze_ahead_s", float64(r.FreezeAheadMs)/1000))}}, nil
	},
	"ended": func(a *Agent, w *arguments) (string, any, error) {
		return "word", change.PermitBody{ID: uint64(w.number("permit", 0))}, nil
	},
	"gone": func(a *Agent, w *arguments) (string, any, error) {
		return "forget", replog.NameBody{Name: string(change.Of(change.Gateway, w.text("gateway")))}, nil
	},
}

// ofRelease is an entry on the release that is named.
func (a *Agent) ofRelease(kind string, w *arguments, reason string) (string, any, error) {
	name := w.text("name")
	if st := a.State(); st != nil {
		if r := st.Change.Release(name); r != nil {
			return kind, change.HaltBody{ID: r.ID, Reason: strings.TrimSpace(reason)}, nil
		}
	}
	return "", nil, fmt.Errorf("no release %q is known", name)
}

// Declare has something agreed by an operator's word. done is called once, within a second: with what came of it, or with the
// reason why not.
func (a *Agent) Declare(kind string, options map[string]string, done func(text string, err error)) {
	if kind == "rebuild" {
		done("", a.Rebuild(options["by"], options["and"]))
		return
	}
	f := declared[kind]
	if f == nil {
		done("", fmt.Errorf("%q can't be declared: %s", kind, strings.Join(append(sorted(declared), "rebuild"), " ")))
		return
	}
	w := &arguments{left: map[string]string{}}
	for k, v := range options {
		w.left[k] = v
	}
	entry, body, err := f(a, w)
	by, except := w.text("by"), uint64(w.number("except", 0))
	if err == nil && by == "" {
		err = fmt.Errorf("by=NAME is needed: who says so")
	}
	if err = errors.Join(err, w.done()); err != nil {
		done("", errors.New(strings.ReplaceAll(err.Error(), "\n", "; ")))
		return
	}
	a.Agree(entry, by, except, body, func(index uint64, err error) {
		if err != nil {
			done("", err)
			return
		}
		done(fmt.Sprintf("entry %d\n", index), nil)
	})
}

// Agree proposes an entry for an operator, who is answered within a second.
func (a *Agent) Agree(kind, by string, except uint64, body any, done func(index uint64, err error)) {
	a.Propose(kind, by, except, body, a.answerInTime(done))
}

// answerInTime wraps what answers an operator: done is called once, after askOperator at the latest, then with an error.
func (a *Agent) answerInTime(done func(index uint64, err error)) func(index uint64, err error) {
	over := false
	late := a.host.Loop().After(askOperator, func() {
		if !over {
			over = true
			done(0, fmt.Errorf("it was not agreed in %v: there may be no majority, or it may still come; see agreed", askOperator))
		}
	})
	return func(index uint64, err error) {
		if !over {
			over = true
			a.host.Loop().Cancel(late)
			done(index, err)
		}
	}
}

// Ask asks for a permit for a thing, for an operator: text says whether it is in use or why it waits.
func (a *Agent) Ask(t change.Thing, holder, by, why string, except uint64, emergency bool, done func(text string, err error)) {
	p := &change.Permit{Things: []change.Thing{t}, Holder: holder, Why: why, Emergency: emergency}
	begun := a.host.Now()
	a.Agree("ask", by, except, p, func(index uint64, err error) {
		if err != nil {
			done("", err)
			return
		}
		a.await(index, begun, done)
	})
}

// await answers once a permit is in use, or says why it waits.
func (a *Agent) await(id uint64, begun time.Duration, done func(text string, err error)) {
	p := a.State().Change.Permit(id)
	switch {
	case p == nil:
		done("", fmt.Errorf("permit %d has ended already", id))
	case p.Phase >= change.Used:
		done(fmt.Sprintf("permit %d is in use\n", id), nil)
	case a.host.Now()-begun > askOperator:
		done(fmt.Sprintf("permit %d waits: %s\n", id, a.Waits(p)), nil)
	default:
		a.host.Loop().After(20*time.Millisecond, func() { a.await(id, begun, done) })
	}
}
