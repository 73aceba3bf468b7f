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

// declarations are the kinds of operators' declarations. Each function reads its options and returns the entry to
// propose.
var declarations = map[string]func(a *Agent, args *arguments) (kind string, body any, err error){
	"release": func(a *Agent, args *arguments) (string, any, error) {
		r := &change.Release{Name: args.text("name"), Why: args.text("why"), VerifyMs: int64(1000 * args.number("prove_s", 0)),
			MaxVerifyMs: int64(1000 * args.number("most_s", 0)), StepTimeoutMs: int64(1000 * args.number("step_s", 0)),
			Alpha: args.number("alpha", 0), MaxFailureRatio: args.number("worse", 0), MaxSlowRatio: args.number("slower", 0),
			AutoRollback: args.choice("on_halt", "stand", "back") == "back",
			OnFreeze:     args.choice("on_freeze", change.FreezeHalts, change.FreezeRollsBack, change.FreezeRefuses)}
		for _, what := range []string{change.Version, change.Config, change.Workers} {
			if v := args.text(what); v != "" && r.What != "" {
				return "", nil, fmt.Errorf("a release is of one thing: %s and %s", r.What, what)
			} else if v != "" {
				r.What, r.To = what, v
			}
		}
		return "begin", r, nil
	},
	"halt": func(a *Agent, args *arguments) (string, any, error) {
		return a.releaseEntry("halt", args, "by the word of "+args.remaining["by"]+" "+args.text("why"))
	},
	"continue": func(a *Agent, args *arguments) (string, any, error) { return a.releaseEntry("continue", args, "") },
	"back": func(a *Agent, args *arguments) (string, any, error) {
		return a.releaseEntry("revert", args, "by the word of "+args.remaining["by"]+" "+args.text("why"))
	},
	"freeze": func(a *Agent, args *arguments) (string, any, error) {
		p := &freeze.Period{Name: args.text("name"), Start: args.text("from"), End: args.text("to"), Zone: args.text("zone"),
			Rule: args.text("rule"), Halls: args.list("halls"),
			Drop: args.choice("after", "take", "drop") == "drop", Owner: args.remaining["by"]}
		for _, k := range args.list("kinds") {
			p.Kinds = append(p.Kinds, freeze.Kind(k))
		}
		for _, h := range p.Halls {
			if !slices.Contains(a.options.Halls, h) {
				return "", nil, fmt.Errorf("hall %q is unknown: %v", h, a.options.Halls)
			}
		}
		if err := p.Check(a.clock().At); err != nil {
			return "", nil, err
		}
		p.FixSpans(a.clock().At)
		return "freeze", p, nil
	},
	"exception": func(a *Agent, args *arguments) (string, any, error) {
		return "except", replog.ExceptBody{Exception: freeze.Exception{Period: args.text("freeze"), What: args.text("for"), Why: args.text("why"),
			Until: a.host.Now().Milliseconds() + int64(1000*args.number("for_s", 3600))}}, nil
	},
	"take": func(a *Agent, args *arguments) (string, any, error) {
		return "take", replog.NameBody{Name: a.options.Name}, nil
	},
	"second": func(a *Agent, args *arguments) (string, any, error) {
		return "second", replog.SecondBody{ID: uint64(args.number("exception", 0))}, nil
	},
	"lift": func(a *Agent, args *arguments) (string, any, error) {
		b := replog.EndBody{Name: args.text("freeze")}
		if s := args.number("in_s", 0); s > 0 {
			b.At = a.host.Now().Milliseconds() + int64(1000*s)
		}
		return "lift", b, nil
	},
	"restriction": func(a *Agent, args *arguments) (string, any, error) {
		r := site.Restriction{Name: args.text("name"), Tenants: args.list("tenants"), Classes: args.list("classes"),
			Functions: args.list("functions"), Sites: args.list("sites"),
			Pin: args.choice("pin", "yes", "no") == "yes"}
		if err := r.Check(site.KnownNames{Tenants: a.options.Tenants, Classes: a.options.Classes, Halls: a.options.Halls}); err != nil {
			return "", nil, err
		}
		return "restrict", replog.RestrictBody{Restriction: r}, nil
	},
	"unrestrict": func(a *Agent, args *arguments) (string, any, error) {
		return "unrestrict", replog.NameBody{Name: args.text("name")}, nil
	},
	"close": func(a *Agent, args *arguments) (string, any, error) {
		return "lose", replog.NameBody{Name: args.text("hall")}, nil
	},
	"open": func(a *Agent, args *arguments) (string, any, error) {
		return "open", replog.NameBody{Name: args.text("hall")}, nil
	},
	"limits": func(a *Agent, args *arguments) (string, any, error) {
		l := a.options.Limits
		if state := a.State(); state != nil {
			l = state.Change.Limits
		}
		l = change.Limits{Gateways: args.limit("gateways", l.Gateways), GatewaysHall: args.limit("gateways_hall", l.GatewaysHall),
			Workers: args.limit("workers", l.Workers), WorkersHall: args.limit("workers_hall", l.WorkersHall),
			OnlyCopies: args.limit("only_copies", l.OnlyCopies), Margin: args.number("margin", l.Margin),
			GatewayCalls: args.number("gateway_calls", l.GatewayCalls), WorkerCalls: args.number("worker_calls", l.WorkerCalls)}
		return "limits", replog.LimitsBody{Limits: l}, l.Check()
	},
	"rules": func(a *Agent, args *arguments) (string, any, error) {
		r := a.options.Rules
		if state := a.State(); state != nil {
			r = state.Rules
		}
		return "rules", replog.RulesBody{Rules: replog.Rules{ClockBoundMs: int64(args.number("clock_bound_ms", float64(r.ClockBoundMs))),
			FreezeAheadMs: int64(1000 * args.number("freeze_ahead_s", float64(r.FreezeAheadMs)/1000))}}, nil
	},
	"ended": func(a *Agent, args *arguments) (string, any, error) {
		return "word", change.PermitBody{ID: uint64(args.number("permit", 0))}, nil
	},
	"gone": func(a *Agent, args *arguments) (string, any, error) {
		return "forget", replog.NameBody{Name: string(change.NewSubject(change.Gateway, args.text("gateway")))}, nil
	},
}

// releaseEntry returns an entry about the release that the options name.
func (a *Agent) releaseEntry(kind string, args *arguments, reason string) (string, any, error) {
	name := args.text("name")
	if state := a.State(); state != nil {
		if release := state.Change.Release(name); release != nil {
			return kind, change.ReleaseBody{ID: release.ID, Reason: strings.TrimSpace(reason)}, nil
		}
	}
	return "", nil, fmt.Errorf("no release %q is known", name)
}

// Declare proposes what an operator declares. done is called once, within a second, with a reply for the operator or
// with the reason for the failure.
func (a *Agent) Declare(kind string, options map[string]string, done func(text string, err error)) {
	if kind == "rebuild" {
		done("", a.Rebuild(options["by"], options["and"]))
		return
	}
	declare := declarations[kind]
	if declare == nil {
		done("", fmt.Errorf("%q can't be declared: %s", kind, strings.Join(append(sortedKeys(declarations), "rebuild"), " ")))
		return
	}
	args := &arguments{remaining: map[string]string{}}
	for k, v := range options {
		args.remaining[k] = v
	}
	entry, body, err := declare(a, args)
	by, except := args.text("by"), uint64(args.number("except", 0))
	if err == nil && by == "" {
		err = fmt.Errorf("by=NAME is needed: who says so")
	}
	if err = errors.Join(err, args.finish()); err != nil {
		done("", errors.New(strings.ReplaceAll(err.Error(), "\n", "; ")))
		return
	}
	a.ProposeForOperator(entry, by, except, body, func(index uint64, err error) {
		if err != nil {
			done("", err)
			return
		}
		done(fmt.Sprintf("entry %d\n", index), nil)
	})
}

// ProposeForOperator proposes an entry for an operator, who gets an answer within a second.
func (a *Agent) ProposeForOperator(kind, by string, except uint64, body any, done func(index uint64, err error)) {
	a.Propose(kind, by, except, body, a.withTimeout(done))
}

// withTimeout wraps the function that answers an operator: done is called once, and with an error if there is no result
// within operatorTimeout.
func (a *Agent) withTimeout(done func(index uint64, err error)) func(index uint64, err error) {
	answered := false
	timer := a.host.Loop().After(operatorTimeout, func() {
		if !answered {
			answered = true
			done(0, fmt.Errorf("it was not agreed in %v: there may be no majority, or it may still come; see agreed", operatorTimeout))
		}
	})
	return func(index uint64, err error) {
		if !answered {
			answered = true
			a.host.Loop().Cancel(timer)
			done(index, err)
		}
	}
}

// RequestPermit requests a permit for a subject on behalf of an operator. The text for the operator says that the permit
// is in use, or why it waits.
func (a *Agent) RequestPermit(subject change.Subject, holder, by, why string, except uint64, emergency bool,
	done func(text string, err error)) {
	permit := &change.Permit{Subjects: []change.Subject{subject}, Holder: holder, Why: why, Emergency: emergency}
	startedAt := a.host.Now()
	a.ProposeForOperator("ask", by, except, permit, func(index uint64, err error) {
		if err != nil {
			done("", err)
			return
		}
		a.awaitPermit(index, startedAt, done)
	})
}

// awaitPermit calls done when a permit is in use, or after operatorTimeout with the reason why it still waits.
func (a *Agent) awaitPermit(id uint64, startedAt time.Duration, done func(text string, err error)) {
	permit := a.State().Change.Permit(id)
	switch {
	case permit == nil:
		done("", fmt.Errorf("permit %d has ended already", id))
	case permit.Phase >= change.InUse:
		done(fmt.Sprintf("permit %d is in use\n", id), nil)
	case a.host.Now()-startedAt > operatorTimeout:
		done(fmt.Sprintf("permit %d waits: %s\n", id, a.WaitReason(permit)), nil)
	default:
		a.host.Loop().After(20*time.Millisecond, func() { a.awaitPermit(id, startedAt, done) })
	}
}
