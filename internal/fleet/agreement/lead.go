package agreement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

const (
	reportMaxAge       = 1500 * time.Millisecond // an older report may be outdated
	forgetReportAfter  = 10 * time.Minute        // a gateway without a report for this long is no candidate for voter
	leaderProposalWait = 3 * time.Second         // the leader waits this long for its proposals to be applied
)

// receivedReport is the last report of a gateway.
type receivedReport struct {
	Report
	receivedAt time.Duration
}

// leaderState holds what this gateway needs while it is the leader.
type leaderState struct {
	driver              *change.Driver
	reports             map[string]*receivedReport // by gateway
	active              bool                       // this gateway is the leader and ready
	since               time.Duration              // when it became the leader
	noMajorityFor       time.Duration              // how long there was no majority before this gateway became the leader
	unappliedProposals  int                        // own proposals as leader that have not been applied
	proposedAt          time.Duration              // when the leader last checked what to propose
	seemsLostSince      map[string]time.Duration   // by hall, since when it has looked lost
	seemsRecoveredSince map[string]time.Duration   // by hall, since when it has looked recovered
	lostAt              map[string]time.Duration   // by hall, when this gateway, as the leader, last found it lost
	iterations          int                        // calls of maintainVoters
}

func newLeaderState() leaderState {
	return leaderState{reports: map[string]*receivedReport{}, seemsLostSince: map[string]time.Duration{},
		seemsRecoveredSince: map[string]time.Duration{}, lostAt: map[string]time.Duration{}}
}

func (l *leaderState) addReport(a *Agent, r Report) {
	l.reports[r.Name] = &receivedReport{Report: r, receivedAt: a.host.Now()}
}

// runLeader does the leader's work, if this gateway is the leader: it drives releases and permits, halls, voters and
// freezes.
func (a *Agent) runLeader(now time.Duration) {
	lead := &a.lead
	if a.group == nil || !a.group.LeaderReady() {
		if lead.active = false; a.group != nil && !a.group.Leads() {
			lead.noMajorityFor = 0
			if age, ok := a.Age(); ok && a.group.Leader() == 0 {
				lead.noMajorityFor = age
			}
		}
		return
	}
	if !lead.active {
		lead.active, lead.since, lead.unappliedProposals = true, now, 0
		lead.driver = change.NewDriver()
		clear(lead.reports)
		clear(lead.seemsLostSince)
		clear(lead.lostAt)
		for _, hall := range a.State().Site.Down {
			lead.lostAt[hall] = now
		}
		a.log.Info("this gateway leads the agreement", zap.Duration("alone", lead.noMajorityFor))
		a.lead.addReport(a, a.buildReport(now))
	}
	if now-lead.since < 2*reportMaxAge || lead.unappliedProposals > 0 && now-lead.proposedAt < leaderProposalWait {
		return // a new leader waits until all gateways have reported to it
	}
	lead.unappliedProposals, lead.proposedAt = 0, now
	state := a.State()
	for _, proposal := range lead.driver.Drive(state.Change, a.changeView(now)) {
		a.proposeAsLeader(proposal.Kind, proposal.Body)
	}
	lead.noMajorityFor = 0
	a.updateHalls(state, now)
	a.maintainVoters(state, now)
	a.renewSpans(state, now)
}

// proposeAsLeader proposes an entry as part of the leader's work.
func (a *Agent) proposeAsLeader(kind string, body any) {
	a.lead.unappliedProposals++
	a.Propose(kind, "", 0, body, func(uint64, error) { a.lead.unappliedProposals-- })
}

// changeView combines the recent reports into the view that the change driver works on.
func (a *Agent) changeView(now time.Duration) *change.View {
	lead, state := &a.lead, a.State()
	view := &change.View{Context: change.Context{Index: state.Index, At: max(now.Milliseconds(), state.At)}, Self: a.options.Name,
		Subjects: map[change.Subject]change.Observation{}, Samples: map[string]change.Sample{},
		Classes: len(a.options.Classes), NoMajorityMs: lead.noMajorityFor.Milliseconds()}
	view.OnlyCopies = map[change.Subject]int{}
	there, elsewhere := map[string]map[string]bool{}, map[string]map[string]bool{}
	for name, report := range lead.reports {
		if now-report.receivedAt > reportMaxAge {
			continue
		}
		view.Load += report.Load
		health := change.Cold
		switch {
		case !report.Serving:
			health = change.Unavailable
		case report.Warm:
			health = change.Healthy
		}
		view.Subjects[change.NewSubject(change.Gateway, name)] = change.Observation{Hall: report.Hall, Health: health, Incarnation: report.Incarnation,
			Version: report.Version, Config: report.Config, Witnesses: lead.witnesses(state, name, report.Incarnation, now)}
		view.Samples[name] = change.Sample{Hall: report.Hall, Counts: change.Counts{Incarnation: report.Incarnation, Classes: report.Classes}}
		for _, copies := range report.Copies {
			note := func(all map[string]map[string]bool, functions []string) {
				if all[copies.Worker] == nil {
					all[copies.Worker] = map[string]bool{}
				}
				for _, function := range functions {
					all[copies.Worker][function] = true
				}
			}
			note(there, copies.There)
			note(elsewhere, copies.Elsewhere)
		}
	}
	for worker, all := range there {
		for function := range all {
			if !elsewhere[worker][function] {
				view.OnlyCopies[change.NewSubject(change.Worker, worker)]++
			}
		}
	}
	lead.combineWorkerReports(state, view, now)
	clock := a.clock()
	if period := state.Freeze.Forbids("releases", nil, clock); period != nil {
		view.FreezePeriod = period.Name
	}
	for _, period := range state.Freeze.Periods {
		if next, ok := period.NextStart(clock.At); ok && period.Covers("releases", nil) {
			if in := next.Sub(clock.At).Milliseconds() - state.Rules.ClockBoundMs; view.FreezeInMs == 0 || in < view.FreezeInMs {
				view.FreezeInMs = max(1, in)
			}
		}
	}
	return view
}

// witnesses returns the gateways that observe another gateway as serving in a given incarnation. A gateway whose report
// does not mention it observes it in its agreed state.
func (l *leaderState) witnesses(state *replog.State, name string, incarnation uint64, now time.Duration) (out []string) {
	subject := change.NewSubject(change.Gateway, name)
	known := state.Change.Subjects[subject]
	agreed := known != nil && known.Health == change.Healthy && known.Incarnation == incarnation && state.Change.PermitOf(subject) == nil
	for other, report := range l.reports {
		if other == name || now-report.receivedAt > reportMaxAge {
			continue
		}
		i := slices.IndexFunc(report.Gateways, func(g GatewayObservation) bool { return g.Name == name })
		if i >= 0 && report.Gateways[i].Serving && report.Gateways[i].Incarnation == incarnation || i < 0 && agreed {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	return out
}

// combineWorkerReports combines the observations of workers. A worker is unavailable if it is so by any gateway's worker
// list, or if at least half of the reporting gateways observe it as unavailable. It is cold if any gateway observes it
// as cold and fewer than two observe it as healthy.
func (l *leaderState) combineWorkerReports(state *replog.State, view *change.View, now time.Duration) {
	type tally struct {
		witnesses                  []string
		cold, unavailable, reports int
		byList                     bool
		last                       WorkerObservation
	}
	seen := map[string]*tally{}
	reports := 0
	for _, name := range sortedKeys(l.reports) {
		report := l.reports[name]
		if now-report.receivedAt > reportMaxAge {
			continue
		}
		reports++
		for _, worker := range report.Workers {
			t := seen[worker.ID]
			if t == nil {
				t = &tally{}
				seen[worker.ID] = t
			}
			if worker.Start >= t.last.Start {
				t.last = worker
			}
			t.reports++
			switch {
			case worker.ByList:
				t.byList = true
			case worker.Health == change.Unavailable:
				t.unavailable++
			case worker.Health == change.Cold:
				t.cold++
			default:
				t.witnesses = append(t.witnesses, name)
			}
		}
	}
	for subject, known := range state.Change.Subjects {
		if subject.Kind() != change.Worker {
			continue
		}
		if _, named := seen[subject.Name()]; !named && reports > 0 {
			view.Subjects[subject] = change.Observation{Hall: known.Hall, Health: known.Health, Incarnation: known.Incarnation}
			if known.Health == change.Healthy {
				observation := view.Subjects[subject]
				observation.Witnesses = sortedKeys(l.reports)
				view.Subjects[subject] = observation
			}
		}
	}
	for id, t := range seen {
		known := state.Change.Subjects[change.NewSubject(change.Worker, id)]
		observation := change.Observation{Hall: t.last.Hall, Incarnation: t.last.Start, Health: change.Healthy, Witnesses: t.witnesses}
		silent := reports - t.reports // gateways that observe the worker in its agreed state do not report it
		if known != nil && known.Health == change.Healthy && state.Change.PermitOf(change.NewSubject(change.Worker, id)) == nil &&
			known.Incarnation == t.last.Start {
			for _, name := range sortedKeys(l.reports) {
				if report := l.reports[name]; now-report.receivedAt <= reportMaxAge &&
					!slices.ContainsFunc(report.Workers, func(worker WorkerObservation) bool { return worker.ID == id }) {
					observation.Witnesses = append(observation.Witnesses, name)
				}
			}
		}
		switch {
		case t.byList, 2*t.unavailable >= max(1, t.reports+silent):
			observation.Health = change.Unavailable
		case t.cold > 0 && len(observation.Witnesses) < 2:
			observation.Health = change.Cold
		}
		view.Subjects[change.NewSubject(change.Worker, id)] = observation
	}
}
