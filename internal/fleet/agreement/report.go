package agreement

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/replog"
)

const (
	reportTicks = 5               // a gateway reports each so many ticks
	loadFor     = 5 * time.Second // over which the load is measured
	mostSeen    = 4096            // things in a report
)

// Report is what a gateway tells the one that leads. What it does not name is as the log has it, for all that it can see.
type Report struct {
	Name            string
	Life, ID        uint64
	Hall            string
	Serving, Warm   bool
	Left            bool
	Version, Config string
	Level           int
	Index           uint64  // of the last entry that it has applied
	Load            float64 // calls a second
	Classes         []change.Tally
	Uses            []float64 // calls a second by tenant and class: tenant * classes + class
	Gateways        []GatewaySeen
	Workers         []WorkerSeen
	Copies          []CopiesSeen
	Halls           []string // in which a worker has answered of late,
	Dark            []string // and those in which none has, and one is avoided
}

// GatewaySeen is what it sees of another gateway, WorkerSeen of a worker.
type GatewaySeen struct {
	Name    string
	Life    uint64
	Serving bool
}

// WorkerSeen is what it sees of a worker.
type WorkerSeen struct {
	ID, Hall string
	Start    uint64 // Unix ms, as the list has it
	Health   change.Health
	ByList   bool // it is out by the list, or by hand
}

// CopiesSeen is what it believes of the functions at a worker: those that stand there, and of these those that stand elsewhere.
type CopiesSeen struct {
	Worker           string
	There, Elsewhere []string
}

// report tells the one that leads what this gateway sees.
func (a *Agent) report(now time.Duration) {
	a.observed.measure(now)
	r := a.seen(now)
	if a.group != nil && a.group.Leads() {
		a.lead.take(a, r)
		return
	}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		a.log.Error("a report can't be told", zap.Error(err))
		return
	}
	to := a.leads()
	if a.group == nil && a.from != "" { // by way of the voter that is followed, so that not all talk to one
		to = a.from
	}
	if to != "" && to != a.o.Name {
		a.send(to, message{Kind: messageReport, Body: b})
	}
}

// reported takes a report, or passes it on to who leads.
func (a *Agent) reported(from string, x message) {
	if a.group == nil {
		return
	}
	if !a.group.Leads() {
		if to := a.leads(); to != "" && to != a.o.Name && to != from {
			a.send(to, message{Kind: messageReport, Body: x.Body})
		}
		return
	}
	var r Report
	if err := msgpack.Unmarshal(x.Body, &r); err != nil || r.Name == "" || len(r.Gateways)+len(r.Workers) > mostSeen {
		a.log.Warn("a report is not understood", zap.String("gateway", from), zap.Error(err))
		return
	}
	a.lead.take(a, r)
}

// seen is this gateway's report.
func (a *Agent) seen(now time.Duration) Report {
	st := a.State()
	r := Report{Name: a.o.Name, Life: a.host.Incarnation().Number, ID: a.id, Hall: a.o.Hall, Serving: a.gw.Serving(), Warm: a.gw.Warm(), Version: a.o.Version,
		Config: a.o.Config, Level: replog.Level, Load: a.observed.load, Classes: append([]change.Tally(nil), a.observed.tallies...), Uses: append([]float64(nil), a.observed.use...)}
	if st == nil {
		return r
	}
	r.Index = st.Index
	for _, e := range a.host.View().Peers() {
		t := change.Of(change.Gateway, e.Metadata.Name)
		k, serving := st.Change.Things[t], e.State == member.Serving
		if k == nil || k.Health != change.Well || !serving || k.Life != e.Metadata.Incarnation.Number || st.Change.PermitOf(t) != nil {
			r.Gateways = append(r.Gateways, GatewaySeen{e.Metadata.Name, e.Metadata.Incarnation.Number, serving})
		}
	}
	halls, dark := map[string]bool{}, map[string]bool{}
	for name, m := range a.observed.members {
		t := change.Of(change.Worker, name)
		w := a.worker(name, m, now)
		if at, ok := a.observed.answered[name]; ok && now-at < a.o.Lost {
			halls[w.Hall] = true
		} else if ready(m) && a.gw.Avoids(name) {
			dark[w.Hall] = true
		}
		if k := st.Change.Things[t]; k == nil || k.Health != w.Health || k.Life != w.Start || st.Change.PermitOf(t) != nil {
			r.Workers = append(r.Workers, w)
		}
	}
	for t, k := range st.Change.Things {
		if _, listed := a.observed.members[t.Name()]; t.Kind() == change.Worker && !listed && k.Health != change.Out {
			r.Workers = append(r.Workers, WorkerSeen{ID: t.Name(), Hall: k.Hall, Start: k.Life, ByList: true})
		}
	}
	for _, h := range a.o.Halls {
		if halls[h] {
			r.Halls = append(r.Halls, h)
		} else if dark[h] {
			r.Dark = append(r.Dark, h)
		}
	}
	for _, p := range st.Change.Permits {
		for _, t := range p.Things {
			if p.Phase == change.Asked && t.Kind() == change.Worker && len(r.Copies) < 4 {
				c := CopiesSeen{Worker: t.Name()}
				c.There, c.Elsewhere = a.gw.Copies(t.Name())
				r.Copies = append(r.Copies, c)
			}
		}
	}
	return r
}

// worker is how this gateway sees a worker: out by the list or by its own judgement, cold by its start, else well; where it
// has begun anew, once it has answered since.
func (a *Agent) worker(name string, m core.Member, now time.Duration) WorkerSeen {
	w := WorkerSeen{ID: name, Hall: a.hallName(m.Zone), Start: uint64(max(0, m.Since.Milliseconds())), Health: change.Well}
	at, answered := a.observed.answered[name]
	switch {
	case m.State != decide.Ready || a.held.banned[name]:
		w.Health, w.ByList = change.Out, true
	case a.gw.Avoids(name):
		w.Health = change.Out
	case m.Since > 0 && now-m.Since < a.o.ColdFor:
		w.Health = change.Cold
	case m.Since > 0 && (!answered || at < m.Since):
		w.Health = change.Cold                                                // nothing has been seen of it yet
		a.gw.Probe(name, func() { a.observed.answered[name] = a.host.Now() }) // nobody may have a call for it
	}
	return w
}
