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
	maxShown   = 100 // subjects that are shown in a list
	shownEnded = 5   // ended permits that are shown, the latest ones
)

// Show describes the agreed state for operators, in lines of text.
func (a *Agent) Show() string {
	var b strings.Builder
	printLine := func(format string, x ...any) { fmt.Fprintf(&b, format+"\n", x...) }
	state := a.State()
	if state == nil {
		printLine("nothing is known to be agreed")
		return b.String()
	}
	age, caughtUp := a.Age()
	switch {
	case !caughtUp:
		printLine("entry %d, from disk: it is not known yet whether that is the newest", state.Index)
	case age > contactTimeout:
		printLine("entry %d, as of %.1f s ago: no majority is heard, and nothing can be agreed", state.Index, age.Seconds())
	default:
		printLine("entry %d, as of %.1f s ago", state.Index, age.Seconds())
	}
	var voters []string
	for _, v := range state.Voters {
		name := v.Name + " in " + v.Hall
		if v.Learner {
			name += " (learning)"
		}
		voters = append(voters, name)
	}
	printLine("held by %s; %s leads", strings.Join(voters, ", "), orNobody(a.leaderName()))
	limits := state.Change.Limits
	printLine("limits gateways=%v gateways_hall=%v workers=%v workers_hall=%v only_copies=%v margin=%v gateway_calls=%v worker_calls=%v",
		limits.Gateways, limits.GatewaysHall, limits.Workers, limits.WorkersHall, limits.OnlyCopies, limits.Margin,
		limits.GatewayCalls, limits.WorkerCalls)
	for i, subject := range state.Change.CountedUnavailable() {
		if i == maxShown {
			printLine("and more")
			break
		}
		known, permit := state.Change.Subjects[subject], state.Change.PermitOf(subject)
		switch {
		case permit != nil && permit.Phase > change.Requested:
			printLine("out: %s %s (%s), permit %d of %s, %s: %s", subject.Kind(), subject.Name(), known.Hall,
				permit.ID, orFleet(permit.By), permit.Phase, permit.Why)
		default:
			printLine("out: %s %s (%s), %s, nobody has asked for it", subject.Kind(), subject.Name(), known.Hall, known.Health)
		}
	}
	for _, permit := range state.Change.Permits {
		if permit.Phase == change.Requested {
			printLine("waits: permit %d of %s for %s: %s", permit.ID, orFleet(permit.By), subjectNames(permit.Subjects), a.WaitReason(permit))
		}
	}
	for _, ended := range state.Change.Ended[max(0, len(state.Change.Ended)-shownEnded):] {
		printLine("ended: permit %d of %s for %s: %s", ended.ID, orFleet(ended.By), subjectNames(ended.Subjects), ended.How)
	}
	for _, release := range state.Change.Releases {
		a.showRelease(state, release, printLine)
	}
	a.showFreezes(state, printLine)
	for _, rule := range state.Site.Rules {
		to := ""
		switch {
		case rule.Lifted:
			to = ", taken back once all have heard"
		case rule.PendingSites != nil:
			to = fmt.Sprintf(", then %s once all have heard", strings.Join(rule.PendingSites, " "))
		}
		printLine("restriction %s of %s: tenants %v classes %v functions %d at %s%s", rule.Name, rule.By,
			rule.Tenants, rule.Classes, len(rule.Functions), strings.Join(rule.Sites, " "), to)
		if rule.Pin {
			printLine("  its sessions are at %s", strings.Join(rule.PinSites, " "))
		}
	}
	if state.Site.Epoch > 0 {
		printLine("epoch %d, down: %s, closed by hand: %s", state.Site.Epoch, orNone(state.Site.Down), orNone(state.Site.ClosedByOperator))
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

func subjectNames(subjects []change.Subject) string {
	var out []string
	for _, subject := range subjects {
		out = append(out, subject.Kind()+" "+subject.Name())
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

// WaitReason returns why a permit waits, as far as this gateway can tell: only the leader knows the measurements.
func (a *Agent) WaitReason(p *change.Permit) string {
	if err := a.State().Change.CheckGrant(p, change.Measurements{}); err != nil {
		return err.Error()
	}
	return "it is its turn, or what stays does not bear the load"
}

func (a *Agent) showRelease(state *replog.State, release *change.Release, printLine func(string, ...any)) {
	line := fmt.Sprintf("release %s of %s: %s to %q, %s", release.Name, release.By, release.What, release.To, release.Status)
	if release.Status < change.Done {
		way := " forwards"
		if release.Backward {
			way = " backwards"
		}
		line += way
		line += fmt.Sprintf(", batch %d of %d", release.Batch+1, len(release.Batches))
	}
	if release.ReachedAt > 0 {
		line += fmt.Sprintf(", proving itself for %.0f s", float64(state.At-release.ReachedAt)/1000)
	}
	if release.Reason != "" {
		line += ": " + release.Reason
	}
	printLine("%s", line)
	if release.What == change.Workers || release.Status >= change.Done {
		return
	}
	at := map[string][]string{}
	for subject := range release.From {
		if known := state.Change.Subjects[subject]; known != nil {
			value := known.Version
			if release.What == change.Config {
				value = known.Config
			}
			at[value] = append(at[value], subject.Name())
		}
	}
	for _, value := range sortedKeys(at) {
		slices.Sort(at[value])
		printLine("  at %q: %s", value, strings.Join(at[value][:min(len(at[value]), maxShown)], " "))
	}
}

func (a *Agent) showFreezes(state *replog.State, printLine func(string, ...any)) {
	clock := a.clock()
	for _, period := range state.Freeze.Periods {
		kinds, halls := "all kinds", "all halls"
		if len(period.Kinds) > 0 {
			kinds = strings.Trim(fmt.Sprint(period.Kinds), "[]")
		}
		if len(period.Halls) > 0 {
			halls = strings.Join(period.Halls, " ")
		}
		when := "not again"
		if until, in := period.InForce(clock.At, clock.Bound); in {
			when = "in force until " + until.UTC().Format(time.RFC3339)
		} else if next, ok := period.NextStart(clock.At); ok {
			when = "next from " + next.UTC().Format(time.RFC3339)
		}
		printLine("freeze %s of %s: %s in %s, %s to %s %s %s: %s", period.Name, period.Owner, kinds, halls,
			period.Start, period.End, period.Zone, period.Rule, when)
	}
	for _, exception := range state.Freeze.Exceptions {
		status := "agreed to by " + exception.By[1]
		switch {
		case exception.Used:
			status = "used"
		case exception.By[1] == "":
			status = "waits for a second operator"
		}
		printLine("exception %d of %s for %s in %s until %s, %s: %s", exception.ID, exception.By[0], exception.What, exception.Period,
			time.UnixMilli(exception.Until).UTC().Format(time.RFC3339), status, exception.Why)
	}
}
