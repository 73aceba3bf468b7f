package agreement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

const (
	fresh      = 1500 * time.Millisecond // a report that is older says nothing of now
	forgetLead = 10 * time.Minute        // a gateway that was not heard of for so long is no candidate
	driveFor   = 3 * time.Second         // for what was proposed to be applied
)

// lastReport is the last report of a gateway.
type lastReport struct {
	Report
	at time.Duration
}

// leader is what this gateway knows while it leads.
type leader struct {
	driver  *change.Driver
	reports map[string]*lastReport
	leads   bool
	since   time.Duration
	alone   time.Duration // without a majority before
	waits   int           // proposals of the driver that have not been applied
	asked   time.Duration
	empty   map[string]time.Duration // halls in which nobody has seen a worker answer, since when
	busy    map[string]time.Duration // and those in which somebody has
	lost    map[string]time.Duration // when this gateway, as it led, has found a hall lost
	turn    int
}

func newLead() leader {
	return leader{reports: map[string]*lastReport{}, empty: map[string]time.Duration{}, busy: map[string]time.Duration{}, lost: map[string]time.Duration{}}
}

func (l *leader) take(a *Agent, r Report) {
	l.reports[r.Name] = &lastReport{Report: r, at: a.host.Now()}
}

// drive makes the fleet go on, where this gateway leads.
func (a *Agent) drive(now time.Duration) {
	l := &a.lead
	if a.group == nil || !a.group.Caught() {
		if l.leads = false; a.group != nil && !a.group.Leads() {
			l.alone = 0
			if age, ok := a.Age(); ok && a.group.Leader() == 0 {
				l.alone = age
			}
		}
		return
	}
	if !l.leads {
		l.leads, l.since, l.waits = true, now, 0
		l.driver = change.NewDriver()
		clear(l.reports)
		clear(l.empty)
		clear(l.lost)
		for _, h := range a.State().Site.Down {
			l.lost[h] = now
		}
		a.log.Info("this gateway leads the agreement", zap.Duration("alone", l.alone))
		a.lead.take(a, a.seen(now))
	}
	if now-l.since < 2*fresh || l.waits > 0 && now-l.asked < driveFor { // until all have reported to it
		return
	}
	l.waits, l.asked = 0, now
	st := a.State()
	for _, p := range l.driver.Drive(st.Change, a.view(now)) {
		a.put(p.Kind, p.Body)
	}
	l.alone = 0
	a.sites(st, now)
	a.seats(st, now)
	a.spans(st, now)
}

// put proposes something of the driver's own.
func (a *Agent) put(kind string, body any) {
	a.lead.waits++
	a.Propose(kind, "", 0, body, func(uint64, error) { a.lead.waits-- })
}

// view is what all reports come to.
func (a *Agent) view(now time.Duration) *change.View {
	l, st := &a.lead, a.State()
	v := &change.View{Context: change.Context{Index: st.Index, At: max(now.Milliseconds(), st.At)}, Self: a.o.Name, Things: map[change.Thing]change.Observation{},
		Samples: map[string]change.Sample{}, Classes: len(a.o.Classes), Lonely: l.alone.Milliseconds()}
	v.Only = map[change.Thing]int{}
	there, elsewhere := map[string]map[string]bool{}, map[string]map[string]bool{}
	for name, r := range l.reports {
		if now-r.at > fresh {
			continue
		}
		v.Load += r.Load
		h := change.Cold
		switch {
		case !r.Serving:
			h = change.Out
		case r.Warm:
			h = change.Well
		}
		v.Things[change.Of(change.Gateway, name)] = change.Observation{Hall: r.Hall, Health: h, Life: r.Life, Version: r.Version, Config: r.Config,
			Witnesses: l.witnesses(st, name, r.Life, now)}
		v.Samples[name] = change.Sample{Hall: r.Hall, Counts: change.Counts{Life: r.Life, Classes: r.Classes}}
		for _, c := range r.Copies {
			note := func(all map[string]map[string]bool, functions []string) {
				if all[c.Worker] == nil {
					all[c.Worker] = map[string]bool{}
				}
				for _, f := range functions {
					all[c.Worker][f] = true
				}
			}
			note(there, c.There)
			note(elsewhere, c.Elsewhere)
		}
	}
	for w, all := range there {
		for f := range all {
			if !elsewhere[w][f] {
				v.Only[change.Of(change.Worker, w)]++
			}
		}
	}
	l.workers(st, v, now)
	c := a.clock()
	if p := st.Freeze.Forbids("releases", nil, c); p != nil {
		v.Frozen = p.Name
	}
	for _, p := range st.Freeze.Periods {
		if next, ok := p.NextStart(c.At); ok && p.Covers("releases", nil) {
			if in := next.Sub(c.At).Milliseconds() - st.Rules.ClockBoundMs; v.FreezeIn == 0 || in < v.FreezeIn {
				v.FreezeIn = max(1, in)
			}
		}
	}
	return v
}

// witnesses are the gateways that see another one serve in a life.
func (l *leader) witnesses(st *replog.State, name string, life uint64, now time.Duration) (out []string) {
	t := change.Of(change.Gateway, name)
	k := st.Change.Things[t]
	agreed := k != nil && k.Health == change.Well && k.Life == life && st.Change.PermitOf(t) == nil
	for other, r := range l.reports {
		if other == name || now-r.at > fresh {
			continue
		}
		i := slices.IndexFunc(r.Gateways, func(g GatewaySeen) bool { return g.Name == name })
		if i >= 0 && r.Gateways[i].Serving && r.Gateways[i].Life == life || i < 0 && agreed {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	return out
}

// workers puts together what is seen of workers: out by the list of anybody, or by the judgement of half of those who
// report; cold if anybody finds it so.
func (l *leader) workers(st *replog.State, v *change.View, now time.Duration) {
	type tally struct {
		well           []string
		cold, out, all int
		byList         bool
		last           WorkerSeen
	}
	seen := map[string]*tally{}
	reports := 0
	for _, name := range sorted(l.reports) {
		r := l.reports[name]
		if now-r.at > fresh {
			continue
		}
		reports++
		for _, w := range r.Workers {
			t := seen[w.ID]
			if t == nil {
				t = &tally{}
				seen[w.ID] = t
			}
			if w.Start >= t.last.Start {
				t.last = w
			}
			t.all++
			switch {
			case w.ByList:
				t.byList = true
			case w.Health == change.Out:
				t.out++
			case w.Health == change.Cold:
				t.cold++
			default:
				t.well = append(t.well, name)
			}
		}
	}
	for t, k := range st.Change.Things {
		if t.Kind() != change.Worker {
			continue
		}
		if _, named := seen[t.Name()]; !named && reports > 0 {
			v.Things[t] = change.Observation{Hall: k.Hall, Health: k.Health, Life: k.Life}
			if k.Health == change.Well {
				x := v.Things[t]
				x.Witnesses = sorted(l.reports)
				v.Things[t] = x
			}
		}
	}
	for id, t := range seen {
		k := st.Change.Things[change.Of(change.Worker, id)]
		x := change.Observation{Hall: t.last.Hall, Life: t.last.Start, Health: change.Well, Witnesses: t.well}
		silent := reports - t.all // they see what the log has
		if k != nil && k.Health == change.Well && st.Change.PermitOf(change.Of(change.Worker, id)) == nil && k.Life == t.last.Start {
			for _, name := range sorted(l.reports) {
				if r := l.reports[name]; now-r.at <= fresh && !slices.ContainsFunc(r.Workers, func(w WorkerSeen) bool { return w.ID == id }) {
					x.Witnesses = append(x.Witnesses, name)
				}
			}
		}
		switch {
		case t.byList, 2*t.out >= max(1, t.all+silent):
			x.Health = change.Out
		case t.cold > 0 && len(x.Witnesses) < 2:
			x.Health = change.Cold
		}
		v.Things[change.Of(change.Worker, id)] = x
	}
}
