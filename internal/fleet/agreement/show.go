package agreement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

const (
	most       = 100 // things of a kind that are shown
	shownEnded = 5   // permits that have ended, the last ones
)

// Show words what is agreed, for operators: a line each.
func (a *Agent) Show() string {
	var b strings.Builder
	say := func(format string, x ...any) { fmt.Fprintf(&b, format+"\n", x...) }
	st := a.State()
	if st == nil {
		say("nothing is known to be agreed")
		return b.String()
	}
	age, caught := a.Age()
	switch {
	case !caught:
		say("entry %d, from disk: it is not known yet whether that is the newest", st.Index)
	case age > lonely:
		say("entry %d, as of %.1f s ago: no majority is heard, and nothing can be agreed", st.Index, age.Seconds())
	default:
		say("entry %d, as of %.1f s ago", st.Index, age.Seconds())
	}
	var voters []string
	for _, v := range st.Voters {
		name := v.Name + " in " + v.Hall
		if v.Learner {
			name += " (learning)"
		}
		voters = append(voters, name)
	}
	say("held by %s; %s leads", strings.Join(voters, ", "), orNobody(a.leads()))
	l := st.Change.Limits
	say("limits gateways=%v gateways_hall=%v workers=%v workers_hall=%v only_copies=%v margin=%v gateway_calls=%v worker_calls=%v",
		l.Gateways, l.GatewaysHall, l.Workers, l.WorkersHall, l.Only, l.Margin, l.GatewayCalls, l.WorkerCalls)
	for i, t := range st.Change.Outs() {
		if i == most {
			say("and more")
			break
		}
		k, p := st.Change.Things[t], st.Change.PermitOf(t)
		switch {
		case p != nil && p.Phase > change.Asked:
			say("out: %s %s (%s), permit %d of %s, %s: %s", t.Kind(), t.Name(), k.Hall, p.ID, orFleet(p.By), p.Phase, p.Why)
		default:
			say("out: %s %s (%s), %s, nobody has asked for it", t.Kind(), t.Name(), k.Hall, k.Health)
		}
	}
	for _, p := range st.Change.Permits {
		if p.Phase == change.Asked {
			say("waits: permit %d of %s for %s: %s", p.ID, orFleet(p.By), thingNames(p.Things), a.Waits(p))
		}
	}
	for _, e := range st.Change.Ended[max(0, len(st.Change.Ended)-shownEnded):] {
		say("ended: permit %d of %s for %s: %s", e.ID, orFleet(e.By), thingNames(e.Things), e.How)
	}
	for _, r := range st.Change.Releases {
		a.showRelease(st, r, say)
	}
	a.showFreezes(st, say)
	for _, r := range st.Site.Rules {
		to := ""
		switch {
		case r.Lifted:
			to = ", taken back once all have heard"
		case r.PendingSites != nil:
			to = fmt.Sprintf(", then %s once all have heard", strings.Join(r.PendingSites, " "))
		}
		say("restriction %s of %s: tenants %v classes %v functions %d at %s%s", r.Name, r.By, r.Tenants, r.Classes, len(r.Functions), strings.Join(r.Sites, " "), to)
		if r.Pin {
			say("  its sessions are at %s", strings.Join(r.PinSites, " "))
		}
	}
	if st.Site.Epoch > 0 {
		say("epoch %d, down: %s, closed by hand: %s", st.Site.Epoch, orNone(st.Site.Down), orNone(st.Site.ClosedByOperator))
	}
	return b.String()
}

func orNobody(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}

func orFleet(by string) string {
	if by == "" {
		return "the fleet"
	}
	return by
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}

func thingNames(things []change.Thing) string {
	var out []string
	for _, t := range things {
		out = append(out, t.Kind()+" "+t.Name())
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// Waits is why a permit waits, as far as this gateway can tell: what is measured is known to who leads alone.
func (a *Agent) Waits(p *change.Permit) string {
	if err := a.State().Change.Turn(p, change.Measure{}); err != nil {
		return err.Error()
	}
	return "it is its turn, or what stays does not bear the load"
}

func (a *Agent) showRelease(st *replog.State, r *change.Release, say func(string, ...any)) {
	line := fmt.Sprintf("release %s of %s: %s to %q, %s", r.Name, r.By, r.What, r.To, r.Course)
	if r.Course < change.Done {
		way := " forwards"
		if r.Backward {
			way = " backwards"
		}
		line += way
		line += fmt.Sprintf(", batch %d of %d", r.Batch+1, len(r.Batches))
	}
	if r.Stood > 0 {
		line += fmt.Sprintf(", proving itself for %.0f s", float64(st.At-r.Stood)/1000)
	}
	if r.Reason != "" {
		line += ": " + r.Reason
	}
	say("%s", line)
	if r.What == change.Workers || r.Course >= change.Done {
		return
	}
	at := map[string][]string{}
	for t := range r.From {
		if k := st.Change.Things[t]; k != nil {
			v := k.Version
			if r.What == change.Config {
				v = k.Config
			}
			at[v] = append(at[v], t.Name())
		}
	}
	for _, v := range sorted(at) {
		slices.Sort(at[v])
		say("  at %q: %s", v, strings.Join(at[v][:min(len(at[v]), most)], " "))
	}
}

func (a *Agent) showFreezes(st *replog.State, say func(string, ...any)) {
	c := a.clock()
	for _, p := range st.Freeze.Periods {
		kinds, halls := "all kinds", "all halls"
		if len(p.Kinds) > 0 {
			kinds = strings.Trim(fmt.Sprint(p.Kinds), "[]")
		}
		if len(p.Halls) > 0 {
			halls = strings.Join(p.Halls, " ")
		}
		when := "not again"
		if until, in := p.InForce(c.At, c.Bound); in {
			when = "in force until " + until.UTC().Format(time.RFC3339)
		} else if next, ok := p.NextStart(c.At); ok {
			when = "next from " + next.UTC().Format(time.RFC3339)
		}
		say("freeze %s of %s: %s in %s, %s to %s %s %s: %s", p.Name, p.Owner, kinds, halls, p.Start, p.End, p.Zone, p.Rule, when)
	}
	for _, e := range st.Freeze.Exceptions {
		state := "agreed to by " + e.By[1]
		switch {
		case e.Used:
			state = "used"
		case e.By[1] == "":
			state = "waits for a second operator"
		}
		say("exception %d of %s for %s in %s until %s, %s: %s", e.ID, e.By[0], e.What, e.Period, time.UnixMilli(e.Until).UTC().Format(time.RFC3339), state, e.Why)
	}
}
