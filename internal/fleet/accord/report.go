package accord

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet/agree"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/member"
)

const (
	reportTicks = 5                // a gateway reports each so many ticks
	answerOld   = 10 * time.Second // a worker that has answered within it serves
	loadFor     = 5 * time.Second  // over which the load is measured
	mostSeen    = 4096             // things in a report
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
	Halls           []string // in which a worker has answered of late
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

// sight is what this gateway sees.
type sight struct {
	members  map[string]core.Member
	answered map[string]time.Duration
	tallies  []change.Tally
	uses     []float64
	calls    float64
	load     float64
	use      []float64
	at       time.Duration
}

func newSight() sight {
	return sight{members: map[string]core.Member{}, answered: map[string]time.Duration{}}
}

func (s *sight) told(whole bool, members []core.Member) {
	if whole {
		clear(s.members)
	}
	for _, m := range members {
		if m.State == decide.Gone {
			delete(s.members, m.Name)
			delete(s.answered, m.Name)
		} else {
			s.members[m.Name] = m
		}
	}
}

func (s *sight) observe(a *Accord, r core.Record) {
	t := s.count(a, r.Call.Class, r.Answer)
	if t == nil {
		return
	}
	if i := r.Call.Tenant*len(a.o.Classes) + r.Call.Class; i >= 0 && i < len(s.uses) {
		s.uses[i]++
	}
	if r.Answer == "served" {
		t.Took[change.Bucket(float64(r.End-r.Start)/float64(time.Millisecond))]++
		s.answered[r.Host] = r.End
	}
}

// count notes how a call was answered, and returns the tally of its class, nil if it has none.
func (s *sight) count(a *Accord, class int, answer string) *change.Tally {
	if s.tallies == nil {
		s.tallies = make([]change.Tally, len(a.o.Classes))
		s.uses = make([]float64, len(a.o.Classes)*max(1, len(a.o.Tenants)))
	}
	if class < 0 || class >= len(s.tallies) {
		return nil
	}
	t := &s.tallies[class]
	s.calls++
	switch answer {
	case "served":
		t.Served++
	case "refused":
		t.Shed++
	case "failed":
		t.Failed++
	}
	return t
}

// measure brings the load up to date.
func (s *sight) measure(now time.Duration) {
	d := (now - s.at).Seconds()
	if s.at == 0 || d <= 0 {
		s.at = now
		return
	}
	part := min(1, d/loadFor.Seconds())
	s.load += part * (s.calls/d - s.load)
	if s.use == nil {
		s.use = make([]float64, len(s.uses))
	}
	for i := range s.use {
		s.use[i] += part * (s.uses[i]/d - s.use[i])
		s.uses[i] = 0
	}
	s.calls, s.at = 0, now
}

// report tells the one that leads what this gateway sees.
func (a *Accord) report(now time.Duration) {
	a.sight.measure(now)
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
		a.send(to, note{Kind: noteReport, Body: b})
	}
}

// reported takes a report, or passes it on to who leads.
func (a *Accord) reported(from string, x note) {
	if a.group == nil {
		return
	}
	if !a.group.Leads() {
		if to := a.leads(); to != "" && to != a.o.Name && to != from {
			a.send(to, note{Kind: noteReport, Body: x.Body})
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
func (a *Accord) seen(now time.Duration) Report {
	st := a.State()
	r := Report{Name: a.o.Name, Life: a.h.Life().N, ID: a.id, Hall: a.o.Hall, Serving: a.gw.Serving(), Warm: a.gw.Warm(), Version: a.o.Version,
		Config: a.o.Config, Level: agree.Level, Load: a.sight.load, Classes: append([]change.Tally(nil), a.sight.tallies...), Uses: append([]float64(nil), a.sight.use...)}
	if st == nil {
		return r
	}
	r.Index = st.Index
	for _, e := range a.h.View().Others() {
		t := change.Of(change.Gateway, e.Card.Name)
		k, serving := st.Change.Things[t], e.State == member.Serving
		if k == nil || k.Health != change.Well || !serving || k.Life != e.Card.Life.N || st.Change.PermitOf(t) != nil {
			r.Gateways = append(r.Gateways, GatewaySeen{e.Card.Name, e.Card.Life.N, serving})
		}
	}
	halls := map[string]bool{}
	for name, m := range a.sight.members {
		t := change.Of(change.Worker, name)
		w := a.worker(name, m, now)
		if at, ok := a.sight.answered[name]; ok && now-at < answerOld {
			halls[w.Hall] = true
		}
		if k := st.Change.Things[t]; k == nil || k.Health != w.Health || k.Life != w.Start || st.Change.PermitOf(t) != nil {
			r.Workers = append(r.Workers, w)
		}
	}
	for t, k := range st.Change.Things {
		if _, listed := a.sight.members[t.Name()]; t.Kind() == change.Worker && !listed && k.Health != change.Out {
			r.Workers = append(r.Workers, WorkerSeen{ID: t.Name(), Hall: k.Hall, Start: k.Life, ByList: true})
		}
	}
	for _, h := range a.o.Halls {
		if halls[h] {
			r.Halls = append(r.Halls, h)
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
func (a *Accord) worker(name string, m core.Member, now time.Duration) WorkerSeen {
	w := WorkerSeen{ID: name, Hall: a.hallName(m.Zone), Start: uint64(max(0, m.Since.Milliseconds())), Health: change.Well}
	at, answered := a.sight.answered[name]
	switch {
	case m.State != decide.Ready || a.held.banned[name]:
		w.Health, w.ByList = change.Out, true
	case a.gw.Avoids(name):
		w.Health = change.Out
	case m.Since > 0 && now-m.Since < a.o.ColdFor:
		w.Health = change.Cold
	case m.Since > 0 && (!answered || at < m.Since):
		w.Health = change.Cold // nothing has been seen of it yet
	}
	return w
}
