package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Memory is what a router has learnt, to be handed on to the next process of its gateway. It holds nothing of open
// requests: these stay with the process that took them. Times are of the clock of the process that hands it on.
type Memory struct {
	At       time.Duration    `json:"at"` // of that clock, when it was handed on; 0 where its times are of the next process's clock
	Classes  []ClassMemory    `json:"classes"`
	Turn     []float64        `json:"turn"`
	Tokens   []float64        `json:"tokens"`
	Refilled []time.Duration  `json:"refilled"`
	Arrivals []time.Duration  `json:"arrivals"`
	Orders   []time.Duration  `json:"orders"`
	Seconds  float64          `json:"seconds"`
	GoodRate float64          `json:"good_rate"`
	GoodAt   time.Duration    `json:"good_at"`
	Late     float64          `json:"late"`
	Work     float64          `json:"work"`
	Calls    float64          `json:"calls"`
	CalledAt time.Duration    `json:"called_at"`
	Doubt    float64          `json:"doubt"`
	Spread   float64          `json:"spread"`
	Unsent   []float64        `json:"unsent"` // counters at workers that are not named
	Workers  []WorkerMemory   `json:"workers"`
	Funcs    []FunctionMemory `json:"functions"`
}

// ClassMemory is what is known of a class's warm calls, in ms.
type ClassMemory struct{ Mean, Dev, Work float64 }

// WorkerMemory is what is known of a worker.
type WorkerMemory struct {
	Name      string
	Since     time.Duration // as the list has it
	Began     time.Duration // it counts as started then, 0 for long ago
	Deficit   []float64
	Window    float64
	Lost      float64
	LostAt    time.Duration
	Part      float64
	ShrunkAt  time.Duration
	FailedAt  time.Duration
	FullUntil time.Duration
	ReadyAt   time.Duration // did not drain then, by its own word
	StoppedAt time.Duration
	Aside     []time.Duration // by class
	Length    []time.Duration
	Cold      []time.Duration
}

// FunctionMemory is what is known of a function, and where its copies are believed to stand.
type FunctionMemory struct {
	Name   string
	Lanes  int
	UsedAt time.Duration
	Calls  float64
	Served bool
	Places []PlaceMemory
}

// PlaceMemory is a worker that is believed to hold a function.
type PlaceMemory struct {
	Worker   string
	LastSend time.Duration
	Proven   time.Duration
	Loaded   bool
	Ordered  time.Duration
}

// Remember returns what the router has learnt.
func (r *Router) Remember() *Memory {
	m := &Memory{At: r.now, Turn: slices.Clone(r.turn), Tokens: slices.Clone(r.tokens), Refilled: slices.Clone(r.refilled),
		Arrivals: slices.Clone(r.arrivals), Orders: slices.Clone(r.orders), Seconds: r.seconds, GoodRate: r.goodRate,
		GoodAt: r.goodAt, Late: r.late, Work: r.work, Calls: r.calls, CalledAt: r.calledAt, Doubt: r.doubt, Spread: r.spread}
	for _, c := range r.classes {
		m.Classes = append(m.Classes, ClassMemory{c.mean, c.dev, c.work})
	}
	m.Unsent = slices.Clone(r.unused.deficit)
	used := r.notable()
	slices.SortFunc(used, func(a, b *worker) int { return cmp.Compare(a.host.Name, b.host.Name) })
	for _, w := range used {
		if w.host.State == Gone {
			continue
		}
		o := WorkerMemory{Name: w.host.Name, Since: w.host.Since, Began: w.began, Deficit: slices.Clone(w.deficit), Window: w.window, Lost: w.lost,
			LostAt: w.lostAt, Part: w.part, ShrunkAt: w.shrunkAt, FailedAt: w.failedAt, FullUntil: w.fullUntil, ReadyAt: w.readyAt, StoppedAt: w.stoppedAt,
			Cold: sentTimes(w.cold)}
		for _, h := range w.health {
			o.Aside, o.Length = append(o.Aside, h.aside), append(o.Length, h.length)
		}
		m.Workers = append(m.Workers, o)
	}
	for _, name := range slices.Sorted(maps.Keys(r.funcs)) {
		f := r.funcs[name]
		o := FunctionMemory{Name: name, Lanes: f.lanes, UsedAt: f.usedAt, Calls: f.calls, Served: f.served}
		for _, p := range f.places {
			if p.w.host.State != Gone {
				o.Places = append(o.Places, PlaceMemory{p.w.host.Name, p.lastSend, p.proven, p.loaded, p.ordered})
			}
		}
		m.Funcs = append(m.Funcs, o)
	}
	return m
}

// notable are the workers of which something is known that the list does not tell: those that were used, and those that count as
// cold, whose start the list may have by a clock that was stepped since. Of the latter no more than there is room for: a large
// fleet may have thousands.
func (r *Router) notable() []*worker {
	all := slices.Clone(r.used)
	room := min(memoryCold, memoryWorkers-len(all))
	for _, w := range r.ready {
		if room <= 0 {
			break
		}
		if w.use == r.unused && w.began > 0 && r.now-w.began < r.set.ColdFor {
			all, room = append(all, w), room-1
		}
	}
	return all
}

// Rate is how many calls a second were served of late.
func (m *Memory) Rate(now time.Duration) float64 { return fade(m.GoodRate, now-m.GoodAt, lately) }

// AssumeRate has the rate of calls served count as at least perSec from now on: what a gateway that comes back is known to have
// served, by which it judges what cold workers bear. It fades like any rate. At most so many loads of its own are under way
// until it is told otherwise, 0 for any number.
func (r *Router) AssumeRate(now time.Duration, perSec float64, loads int) {
	r.now, r.most = max(r.now, now), loads
	if perSec > r.rate() {
		r.goodRate, r.goodAt = perSec, r.now
	}
}

// Stand notes that others have found a copy of a function at a worker, which was started at since, at a time at. What is
// known of that worker from before it was started anew is dropped.
func (m *Memory) Stand(fn, worker string, since, at time.Duration) {
	if at < since {
		return
	}
	i := slices.IndexFunc(m.Workers, func(w WorkerMemory) bool { return w.Name == worker })
	if i < 0 || m.Workers[i].Since < since {
		w := WorkerMemory{Name: worker, Since: since, Window: windowMost, Deficit: make([]float64, len(m.Turn)),
			Aside: make([]time.Duration, len(m.Classes)), Length: make([]time.Duration, len(m.Classes))}
		if i < 0 {
			m.Workers = append(m.Workers, w)
		} else {
			m.Workers[i] = w
			for k := range m.Funcs {
				m.Funcs[k].Places = slices.DeleteFunc(m.Funcs[k].Places, func(p PlaceMemory) bool { return p.Worker == worker })
			}
		}
	}
	k := slices.IndexFunc(m.Funcs, func(f FunctionMemory) bool { return f.Name == fn })
	if k < 0 {
		k = len(m.Funcs)
		m.Funcs = append(m.Funcs, FunctionMemory{Name: fn, Lanes: 1, Served: true, UsedAt: at})
	}
	f := &m.Funcs[k]
	j := slices.IndexFunc(f.Places, func(p PlaceMemory) bool { return p.Worker == worker })
	if j < 0 {
		j = len(f.Places)
		f.Places = append(f.Places, PlaceMemory{Worker: worker})
	}
	if p := &f.Places[j]; at >= p.LastSend || !p.Loaded {
		p.LastSend, p.Proven, p.Loaded = max(at, p.LastSend), max(at, p.Proven), true
	}
}

// Recall has a new router begin with what another has learnt, before its first event. The workers count as gone until
// the list names them; one that was started anew since is forgotten then. A memory that does not fit the settings, or
// that none can have, is refused and changes nothing. Where the two processes' clocks are apart, since the machine's was stepped
// between their starts, the times are moved to the new one's, in m as well.
func (r *Router) Recall(m *Memory, now time.Duration) error {
	if apart := now - m.At; m.At > 0 && (apart > clockApart || apart < -clockApart) {
		m.shift(apart)
	}
	if err := r.fits(m, now); err != nil {
		return err
	}
	r.now = now
	r.turn, r.tokens, r.refilled = slices.Clone(m.Turn), slices.Clone(m.Tokens), slices.Clone(m.Refilled)
	r.arrivals, r.orders = slices.Clone(m.Arrivals), slices.Clone(m.Orders)
	copy(r.unused.deficit, m.Unsent)
	r.seconds, r.goodRate, r.goodAt, r.late, r.work = m.Seconds, m.GoodRate, m.GoodAt, m.Late, m.Work
	r.calls, r.calledAt, r.doubt, r.spread = m.Calls, m.CalledAt, m.Doubt, m.Spread
	for i, c := range m.Classes {
		r.classes[i] = classStat{c.Mean, c.Dev, c.Work}
	}
	for _, o := range m.Workers {
		u := &use{deficit: slices.Clone(o.Deficit), window: o.Window, lost: o.Lost, lostAt: o.LostAt, part: o.Part,
			shrunkAt: o.ShrunkAt, failedAt: o.FailedAt, fullUntil: o.FullUntil, cold: sentAt(o.Cold), health: make([]health, len(r.classes)),
			proof: proof{readyAt: o.ReadyAt, stoppedAt: o.StoppedAt}}
		for k := range u.health {
			u.health[k] = health{aside: o.Aside[k], length: o.Length[k]}
		}
		w := &worker{host: Host{Name: o.Name, State: Gone, Since: o.Since}, hash: hashOf(o.Name), began: o.Began, use: u}
		r.workers[o.Name], r.used, r.departed = w, append(r.used, w), append(r.departed, w)
	}
	r.recount()
	for _, o := range m.Funcs {
		f := &function{name: o.Name, hash: hashOf(o.Name), lanes: o.Lanes, usedAt: o.UsedAt, calls: o.Calls,
			served: o.Served}
		for _, p := range o.Places {
			if w := r.workers[p.Worker]; w != nil {
				*r.place(f, w) = place{w: w, lastSend: p.LastSend, proven: p.Proven, loaded: p.Loaded, ordered: p.Ordered}
			}
		}
		r.funcs[o.Name] = f
	}
	return nil
}
