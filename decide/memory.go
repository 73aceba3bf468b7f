package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Snapshot is what a router has learnt, for the next process of its gateway. It holds nothing about requests in flight,
// which stay with the process that accepted them. Its times are of the clock of the process that took it.
type Snapshot struct {
	At             time.Duration      `json:"at"` // when it was taken; 0 if its times are of the next process's clock
	Classes        []ClassSnapshot    `json:"classes"`
	HeldDeficit    []float64          `json:"turn" msgpack:"Turn"`
	Tokens         []float64          `json:"tokens"`
	RefilledAt     []time.Duration    `json:"refilled" msgpack:"Refilled"`
	Arrivals       []time.Duration    `json:"arrivals"`
	Orders         []time.Duration    `json:"orders"`
	HedgeTokens    float64            `json:"seconds" msgpack:"Seconds"`
	ServedRate     float64            `json:"good_rate" msgpack:"GoodRate"`
	ServedAt       time.Duration      `json:"good_at" msgpack:"GoodAt"`
	Lateness       float64            `json:"late" msgpack:"Late"`
	MeanWork       float64            `json:"work" msgpack:"Work"`
	RecentCalls    float64            `json:"calls" msgpack:"Calls"`
	CalledAt       time.Duration      `json:"called_at"`
	OverdueShare   float64            `json:"doubt" msgpack:"Doubt"`
	HomeFactor     float64            `json:"spread" msgpack:"Spread"`
	DefaultDeficit []float64          `json:"unsent" msgpack:"Unsent"` // per tenant: Qw counter at workers that Workers lacks
	Workers        []WorkerSnapshot   `json:"workers"`
	Functions      []FunctionSnapshot `json:"functions" msgpack:"Funcs"`
}

// ClassSnapshot is what is known about a class's warm calls, in ms.
type ClassSnapshot struct{ Mean, Dev, Work float64 }

// WorkerSnapshot is what is known about a worker.
type WorkerSnapshot struct {
	Name         string
	Since        time.Duration // start of the worker, as listed
	StartedAt    time.Duration `json:"Began" msgpack:"Began"` // when it counts as started, 0 for long ago
	Deficit      []float64
	Window       float64
	Losses       float64       `json:"Lost" msgpack:"Lost"`
	LossAt       time.Duration `json:"LostAt" msgpack:"LostAt"`
	LatencyRatio float64       `json:"Part" msgpack:"Part"`
	ShrunkAt     time.Duration
	FailedAt     time.Duration
	FullUntil    time.Duration
	ReadyAt      time.Duration // it was not draining then, as its own answers showed
	StoppedAt    time.Duration
	EjectedUntil []time.Duration `json:"Aside" msgpack:"Aside"` // by class
	EjectedFor   []time.Duration `json:"Length" msgpack:"Length"`
	ColdSends    []time.Duration `json:"Cold" msgpack:"Cold"`
}

// FunctionSnapshot is what is known about a function, and where its copies are assumed to be loaded.
type FunctionSnapshot struct {
	Name        string
	Lanes       int
	UsedAt      time.Duration
	RecentCalls float64 `json:"Calls" msgpack:"Calls"`
	Served      bool
	Placements  []PlacementSnapshot `json:"Places" msgpack:"Places"`
}

// PlacementSnapshot is what is assumed about a function's copy at a worker.
type PlacementSnapshot struct {
	Worker      string
	SentAt      time.Duration `json:"LastSend" msgpack:"LastSend"`
	ConfirmedAt time.Duration `json:"Proven" msgpack:"Proven"`
	Loaded      bool
	OrderEnd    time.Duration `json:"Ordered" msgpack:"Ordered"`
}

// Snapshot returns what the router has learnt.
func (r *Router) Snapshot() *Snapshot {
	snap := &Snapshot{At: r.now, HeldDeficit: slices.Clone(r.heldDeficit), Tokens: slices.Clone(r.tokens),
		RefilledAt: slices.Clone(r.refilledAt), Arrivals: slices.Clone(r.arrivals), Orders: slices.Clone(r.orders),
		HedgeTokens: r.hedgeTokens, ServedRate: r.servedRate, ServedAt: r.servedAt, Lateness: delayShare(r.delay), MeanWork: r.meanWork,
		RecentCalls: r.recentCalls, CalledAt: r.calledAt, OverdueShare: r.overdueShare, HomeFactor: r.homeFactor}
	for _, c := range r.classes {
		snap.Classes = append(snap.Classes, ClassSnapshot{c.mean, c.dev, c.work})
	}
	snap.DefaultDeficit = slices.Clone(r.unused.deficit)
	used := r.workersToSave()
	slices.SortFunc(used, func(a, b *worker) int { return cmp.Compare(a.host.Name, b.host.Name) })
	for _, w := range used {
		if w.host.State == Gone {
			continue
		}
		saved := WorkerSnapshot{Name: w.host.Name, Since: w.host.Since, StartedAt: w.startedAt, Deficit: slices.Clone(w.deficit),
			Window: w.window, Losses: w.losses, LossAt: w.lossAt, LatencyRatio: delayShare(w.delay), ShrunkAt: w.shrunkAt,
			FailedAt: w.failedAt, FullUntil: w.fullUntil, ReadyAt: w.readyAt, StoppedAt: w.stoppedAt,
			ColdSends: sentTimes(w.coldSends)}
		for _, h := range w.health {
			saved.EjectedUntil, saved.EjectedFor = append(saved.EjectedUntil, h.ejectedUntil), append(saved.EjectedFor, h.ejectedFor)
		}
		snap.Workers = append(snap.Workers, saved)
	}
	for _, name := range slices.Sorted(maps.Keys(r.funcs)) {
		f := r.funcs[name]
		saved := FunctionSnapshot{Name: name, Lanes: f.lanes, UsedAt: f.usedAt, RecentCalls: f.recentCalls, Served: f.served}
		for _, p := range f.placements {
			if p.worker.host.State != Gone {
				saved.Placements = append(saved.Placements,
					PlacementSnapshot{p.worker.host.Name, p.sentAt, p.confirmedAt, p.loaded, p.orderEnd})
			}
		}
		snap.Functions = append(snap.Functions, saved)
	}
	return snap
}

// workersToSave returns the workers about which more is known than the list publishes: those that were used, and those
// that count as cold, since the list may have their start by a clock that has been stepped in the meantime. The number of
// cold ones is limited, as a large fleet may have thousands.
func (r *Router) workersToSave() []*worker {
	all := slices.Clone(r.used)
	room := min(maxSnapshotCold, maxSnapshotWorkers-len(all))
	for _, w := range r.ready {
		if room <= 0 {
			break
		}
		if w.usage == r.unused && w.startedAt > 0 && r.now-w.startedAt < r.settings.ColdFor {
			all, room = append(all, w), room-1
		}
	}
	return all
}

// Rate returns the recent number of calls served per second.
func (s *Snapshot) Rate(now time.Duration) float64 {
	return fade(s.ServedRate, now-s.ServedAt, rateFadeTime)
}

// AssumeRate raises the rate of calls served to at least perSec calls per second, from which it fades as usual. A gateway
// that restarts knows this rate from before, and needs it to estimate how many calls cold workers can serve. It also
// limits this gateway's own loads in flight to loads, until the next call; 0 for no limit.
func (r *Router) AssumeRate(now time.Duration, perSec float64, loads int) {
	r.now, r.maxLoads = max(r.now, now), loads
	if perSec > r.recentRate() {
		r.servedRate, r.servedAt = perSec, r.now
	}
}

// AddCopy records that at a given time other gateways found a copy of a function at a worker that was started at since.
// What is known about an earlier start of that worker is dropped.
func (s *Snapshot) AddCopy(function, worker string, since, at time.Duration) {
	if at < since {
		return
	}
	i := slices.IndexFunc(s.Workers, func(w WorkerSnapshot) bool { return w.Name == worker })
	if i < 0 || s.Workers[i].Since < since {
		w := WorkerSnapshot{Name: worker, Since: since, Window: maxWindow, Deficit: make([]float64, len(s.HeldDeficit)),
			EjectedUntil: make([]time.Duration, len(s.Classes)), EjectedFor: make([]time.Duration, len(s.Classes))}
		if i < 0 {
			s.Workers = append(s.Workers, w)
		} else {
			s.Workers[i] = w
			for k := range s.Functions {
				s.Functions[k].Placements = slices.DeleteFunc(s.Functions[k].Placements,
					func(p PlacementSnapshot) bool { return p.Worker == worker })
			}
		}
	}
	k := slices.IndexFunc(s.Functions, func(f FunctionSnapshot) bool { return f.Name == function })
	if k < 0 {
		k = len(s.Functions)
		s.Functions = append(s.Functions, FunctionSnapshot{Name: function, Lanes: 1, Served: true, UsedAt: at})
	}
	f := &s.Functions[k]
	j := slices.IndexFunc(f.Placements, func(p PlacementSnapshot) bool { return p.Worker == worker })
	if j < 0 {
		j = len(f.Placements)
		f.Placements = append(f.Placements, PlacementSnapshot{Worker: worker})
	}
	if p := &f.Placements[j]; at >= p.SentAt || !p.Loaded {
		p.SentAt, p.ConfirmedAt, p.Loaded = max(at, p.SentAt), max(at, p.ConfirmedAt), true
	}
}

// Restore starts a new router with what another has learnt. It has to be called before the first event. The workers count
// as gone until the list names them; what is known about a worker is dropped if it has restarted. A snapshot that is
// invalid or does not fit the settings is rejected and changes nothing. If the machine's clock was stepped between the
// starts of the two processes, the times are moved to the new clock, in snap as well.
func (r *Router) Restore(snap *Snapshot, now time.Duration) error {
	if skew := now - snap.At; snap.At > 0 && (skew > maxClockSkew || skew < -maxClockSkew) {
		snap.shift(skew)
	}
	if err := r.checkSnapshot(snap, now); err != nil {
		return err
	}
	r.now = now
	r.heldDeficit, r.tokens, r.refilledAt = slices.Clone(snap.HeldDeficit), slices.Clone(snap.Tokens), slices.Clone(snap.RefilledAt)
	r.arrivals, r.orders = slices.Clone(snap.Arrivals), slices.Clone(snap.Orders)
	copy(r.unused.deficit, snap.DefaultDeficit)
	r.hedgeTokens, r.servedRate, r.servedAt, r.delay, r.meanWork =
		snap.HedgeTokens, snap.ServedRate, snap.ServedAt, delayOf(snap.Lateness), snap.MeanWork
	r.delayedAt = now
	r.recentCalls, r.calledAt, r.overdueShare, r.homeFactor = snap.RecentCalls, snap.CalledAt, snap.OverdueShare, snap.HomeFactor
	for i, c := range snap.Classes {
		r.classes[i] = restoreClass(c, r.delay, now)
	}
	for _, saved := range snap.Workers {
		u := &usage{deficit: slices.Clone(saved.Deficit), window: saved.Window, losses: saved.Losses, lossAt: saved.LossAt,
			delay: delayOf(saved.LatencyRatio), shrunkAt: saved.ShrunkAt, failedAt: saved.FailedAt, fullUntil: saved.FullUntil,
			coldSends: meanSends(saved.ColdSends), health: make([]health, len(r.classes)),
			evidence: evidence{readyAt: saved.ReadyAt, stoppedAt: saved.StoppedAt}}
		for k := range u.health {
			u.health[k] = health{ejectedUntil: saved.EjectedUntil[k], ejectedFor: saved.EjectedFor[k]}
		}
		w := &worker{host: Host{Name: saved.Name, State: Gone, Since: saved.Since}, hash: hashOf(saved.Name),
			startedAt: saved.StartedAt, usage: u}
		r.workers[saved.Name], r.used, r.departed = w, append(r.used, w), append(r.departed, w)
	}
	r.recount()
	for _, saved := range snap.Functions {
		f := &function{name: saved.Name, hash: hashOf(saved.Name), lanes: saved.Lanes, usedAt: saved.UsedAt,
			recentCalls: saved.RecentCalls, served: saved.Served}
		for _, p := range saved.Placements {
			if w := r.workers[p.Worker]; w != nil {
				*r.ensurePlacement(f, w) = placement{worker: w, sentAt: p.SentAt, confirmedAt: p.ConfirmedAt,
					loaded: p.Loaded, orderEnd: p.OrderEnd}
			}
		}
		r.funcs[saved.Name] = f
	}
	return nil
}
