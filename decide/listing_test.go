package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// audit holds what is kept as it changes against a plain scan of all workers.
func (f *fake) audit() {
	f.t.Helper()
	l := &f.r.listing
	idle, inflight, loading, parts, positive := 0, 0, 0, 0.0, make([]int, len(l.positiveDeficits))
	for _, w := range l.workers {
		if is := w.host.State == Ready; is != w.ready || is != slices.Contains(l.ready, w) {
			f.t.Fatalf("%s: state %d, listed as ready %v", w.host.Name, w.host.State, w.ready)
		}
		if w.usage == l.unused {
			idle += map[bool]int{true: 1}[w.ready]
			continue
		}
		unfit := slices.ContainsFunc(w.health, func(h health) bool { return h.ejected || h.ejectedUntil > f.now })
		if unfit && !slices.Contains(l.suspects, w) || !slices.Contains(l.used, w) {
			f.t.Fatalf("%s is not among those set aside, or those used", w.host.Name)
		}
		if !w.ready {
			continue
		}
		inflight, loading, parts = inflight+w.inflight, loading+w.loads, parts+w.latencyRatio
		for t, d := range w.deficit {
			positive[t] += map[bool]int{true: 1}[d > 0]
		}
	}
	if idle != l.unusedReady || inflight != l.inflight || loading != l.loading || math.Abs(parts-l.latencySum) > 1e-9 || !slices.Equal(positive, l.positiveDeficits) {
		f.t.Fatalf("kept: %d unused, %d in flight, %d loading, %v, %v positive; there are %d, %d, %d, %v, %v", l.unusedReady, l.inflight, l.loading,
			l.latencySum, l.positiveDeficits, idle, inflight, loading, parts, positive)
	}
	if l.index.Len() != len(l.ready) || !slices.IsSortedFunc(l.ready, func(a, b *worker) int { return map[bool]int{true: 1, false: -1}[a.host.Name > b.host.Name] }) {
		f.t.Fatalf("%d ranked, %d ready", l.index.Len(), len(l.ready))
	}
}

// many opens a router of a gateway that is told of n workers in so many zones.
func many(t *testing.T, self, n, zones int) *fake {
	t.Helper()
	s := site()
	s.Gateways, s.Self, s.Zone = 1200, self, self%zones
	f := open(t, s, 0)
	f.do(List{Whole: true, Hosts: hosts(n, zones)})
	return f
}

func hosts(n, zones int) (out []Host) {
	for i := range n {
		out = append(out, Host{Name: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Zone: i % zones, Cell: i / 40})
	}
	return out
}

// home is where a call of a function goes that nobody has called before.
func (f *fake) home(fn string) string {
	id := f.call(0, 0, fn)
	host := f.of(id)[0].host
	f.result(f.of(id)[0], Good, BeganLoad)
	return host
}

// Gateways that are told of thousands of workers agree on the homes of rare functions without asking, also where some miss a
// part of the list, and a worker that goes takes no more than its own functions with it.
func TestGatewaysAgreeOnHomesAmongManyWorkers(t *testing.T) {
	const workers, functions, missing = 8000, 400, 40
	a, b := many(t, 1, workers, 15), many(t, 700, workers, 15)
	all := hosts(workers, 15)
	for i := range missing { // b has not heard of some, and a not yet that others have gone
		h := all[i*workers/missing]
		h.State = Gone
		b.do(List{Hosts: []Host{h}})
	}
	b.audit()
	differ, used := 0, map[string]int{}
	for i := range functions {
		fn := fmt.Sprintf("fn%d", i)
		x, y := a.home(fn), b.home(fn)
		if x != y {
			differ++
		}
		used[x]++
		a.now, b.now = a.now+20*time.Millisecond, b.now+20*time.Millisecond
	}
	t.Logf("figures: workers=%d functions=%d missing=%d homes_differ=%d busiest=%d", workers, functions, missing, differ, slices.Max(values(used)))
	if most := 4 * functions * missing / workers; differ > most {
		t.Errorf("%d of %d homes differ where %d of %d workers do: %d at most", differ, functions, missing, workers, most)
	}
	a.audit()
}

func values(m map[string]int) (out []int) {
	for _, n := range m {
		out = append(out, n)
	}
	return out
}

// Restricted calls stay at their sites among many workers, and have another worker there when theirs drains.
func TestRestrictedCallsAmongManyWorkers(t *testing.T) {
	f := many(t, 3, 6000, 15)
	for i := range 60 {
		f.next++
		f.do(Arrival{ID: f.next, Function: fmt.Sprint("fn", i%20), TTL: 4 * sec, Lanes: 1, Zones: []int{4, 9}})
		s := f.of(f.next)
		if len(s) != 1 {
			t.Fatalf("call %d was sent %d times", i, len(s))
		}
		w := f.r.workers[s[0].host]
		if z := w.host.Zone; z != 4 && z != 9 {
			t.Errorf("sent to zone %d", z)
		}
		f.result(s[0], Good, BeganLoad)
		if i%3 == 0 {
			h := w.host
			h.State = Draining
			f.do(List{Hosts: []Host{h}})
		}
		f.pass(sweepInterval)
		f.audit()
	}
}

// A zone of many workers is lost, then returns with all of them cold: calls go on, none to the lost ones, and what the cold ones
// get is bounded as for few.
func TestZoneOfManyWorkersIsLostAndReturns(t *testing.T) {
	f := many(t, 5, 6000, 15)
	zone := hosts(6000, 15)
	zone = slices.DeleteFunc(zone, func(h Host) bool { return h.Zone != 2 })
	tell := func(state HostState, since time.Duration) {
		for i := range zone {
			zone[i].State, zone[i].Since = state, since
		}
		f.do(List{Hosts: zone})
		f.audit()
	}
	play := func(calls int) (lost int) {
		for i := range calls {
			id := f.call(0, 0, fmt.Sprint("fn", i))
			for _, s := range f.of(id) {
				if f.r.workers[s.host].host.Zone == 2 {
					lost++
				}
				f.result(s, Good, BeganLoad)
			}
			f.pass(sweepInterval)
		}
		return lost
	}
	before := play(300)
	tell(Gone, 0)
	if n := play(300); n > 0 || before == 0 {
		t.Errorf("%d calls went to the lost zone, %d before", n, before)
	}
	tell(Ready, f.now)
	cold := play(300)
	sent := map[string]int{}
	for _, w := range f.r.used {
		if w.ready && w.host.Zone == 2 {
			sent[w.host.Name] += len(w.coldSends)
		}
	}
	for name, n := range sent {
		if n > 2 {
			t.Errorf("%s was sent %d calls while cold", name, n)
		}
	}
	t.Logf("figures: calls=300 to_zone_before=%d to_zone_cold=%d", before, cold)
}

// All workers that this gateway has used become unfit together: nobody counts as unfit, and calls go on.
func TestManyWorkersUnfitTogether(t *testing.T) {
	f := many(t, 5, 2000, 4)
	for _, w := range f.r.ready {
		f.r.ownUsage(w)
		f.r.eject(w, 0)
	}
	f.pass(sweepInterval)
	f.audit()
	if id := f.call(0, 0, "fn"); len(f.of(id)) != 1 {
		t.Error("the call was not sent")
	}
}

// A hot function among many workers: a gateway uses a part of its many homes, of its own zone first, and the gateways of a
// fleet do not all use the same ones.
func TestHotFunctionAmongManyWorkers(t *testing.T) {
	const zones = 15
	used := map[string]int{}
	for _, self := range []int{0, 15, 30, 45, 60, 75} { // all of zone 0
		f := many(t, self, 6000, zones)
		f.r.settings.Orders = false // else a home is used once its copy stands
		at, near := map[string]bool{}, 0
		done := 0
		for range 1500 {
			f.call(0, 0, "hot")
			f.pass(sweepInterval)
			for ; done < len(f.sent) && f.sent[done].at <= f.now-300*time.Millisecond; done++ {
				if f.result(f.sent[done], Good, FoundWarm); done > 800 { // once it has its homes
					at[f.sent[done].host] = true
					near += map[bool]int{true: 1}[f.r.workers[f.sent[done].host].host.Zone == 0]
				}
			}
		}
		f.audit()
		if len(at) > 64 || len(at) < 8 || near < 550 {
			t.Errorf("gateway %d uses %d workers; %d of the last 600 calls stayed in its zone", self, len(at), near)
		}
		for h := range at {
			used[h]++
		}
	}
	shared := 0
	for _, n := range used {
		if n == 6 {
			shared++
		}
	}
	t.Logf("figures: gateways=6 homes_used=%d used_by_all=%d", len(used), shared)
}
