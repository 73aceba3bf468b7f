package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// checkListing compares the sums and sets that the listing updates incrementally with a plain scan of all workers.
func (f *fakeGateway) checkListing() {
	f.t.Helper()
	list := &f.router.listing
	unused, inflight, loading, idle, delaySum, positive := 0, 0, 0, 0, 0.0, make([]int, len(list.positiveDeficits))
	for _, w := range list.workers {
		if is := w.host.State == Ready; is != w.ready || is != slices.Contains(list.ready, w) {
			f.t.Fatalf("%s: state %d, marked as ready %v, among the ready workers %v", w.host.Name, w.host.State, w.ready,
				slices.Contains(list.ready, w))
		}
		if w.usage == list.unused {
			unused += map[bool]int{true: 1}[w.ready]
			continue
		}
		unfit := slices.ContainsFunc(w.health, func(h health) bool { return h.ejected || h.ejectedUntil > f.now })
		if unfit && !slices.Contains(list.suspects, w) || !slices.Contains(list.used, w) {
			f.t.Fatalf("%s is not among the workers that may be ejected, or not among those used", w.host.Name)
		}
		if !w.ready {
			continue
		}
		inflight, loading, delaySum = inflight+w.inflight, loading+w.loads, delaySum+w.delay
		idle += map[bool]int{true: 1}[w.inflight == 0]
		for tenant, deficit := range w.deficit {
			positive[tenant] += map[bool]int{true: 1}[deficit > 0]
		}
	}
	if unused != list.unusedReady || inflight != list.inflight || loading != list.loading || idle != list.idle || math.Abs(delaySum-list.delaySum) > 1e-9 ||
		!slices.Equal(positive, list.positiveDeficits) {
		f.t.Fatalf("stored: %d unused, %d in flight, %d loading, %d idle, sum of delays %v, %v positive; by a scan: %d, %d, %d, %d, %v, %v",
			list.unusedReady, list.inflight, list.loading, list.idle, list.delaySum, list.positiveDeficits, unused, inflight, loading, idle, delaySum,
			positive)
	}
	if list.index.Len() != len(list.ready) || !slices.IsSortedFunc(list.ready, func(a, b *worker) int {
		return map[bool]int{true: 1, false: -1}[a.host.Name > b.host.Name]
	}) {
		f.t.Fatalf("%d workers in the index and %d ready, want as many, with the ready ones sorted by name", list.index.Len(),
			len(list.ready))
	}
}

// newFakeInLargeFleet returns the router of gateway number self of 1200, with a list of n workers in the given number of
// zones.
func newFakeInLargeFleet(t *testing.T, self, n, zones int) *fakeGateway {
	t.Helper()
	settings := testSettings()
	settings.Gateways, settings.Self, settings.Zone = 1200, self, self%zones
	f := newFakeWithoutRecount(t, settings, 0)
	f.handle(List{Whole: true, Hosts: makeHosts(n, zones)})
	return f
}

// makeHosts returns n ready workers, spread over the zones, in cells of 40.
func makeHosts(n, zones int) (out []Host) {
	for i := range n {
		out = append(out, Host{Name: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Zone: i % zones, Cell: i / 40})
	}
	return out
}

// firstHome calls a function that was not called before and returns the worker that the call is sent to.
func (f *fakeGateway) firstHome(fn string) string {
	id := f.call(0, 0, fn)
	host := f.sendsOf(id)[0].host
	f.reportResult(f.sendsOf(id)[0], Good, BeganLoad)
	return host
}

// Gateways with a list of thousands of workers agree on the homes of rarely called functions without communicating, also
// if some lack a part of the list. When a worker leaves, only the functions that had their home there get another one.
func TestGatewaysAgreeOnHomesAmongManyWorkers(t *testing.T) {
	const workers, functions, missing = 8000, 400, 40
	first, second := newFakeInLargeFleet(t, 1, workers, 15), newFakeInLargeFleet(t, 700, workers, 15)
	all := makeHosts(workers, 15)
	for i := range missing { // these workers have left in the second gateway's list, but not yet in the first one's
		h := all[i*workers/missing]
		h.State = Gone
		second.handle(List{Hosts: []Host{h}})
	}
	second.checkListing()
	differ, used := 0, map[string]int{}
	for i := range functions {
		fn := fmt.Sprintf("fn%d", i)
		firstHome, secondHome := first.firstHome(fn), second.firstHome(fn)
		if firstHome != secondHome {
			differ++
		}
		used[firstHome]++
		first.now, second.now = first.now+20*time.Millisecond, second.now+20*time.Millisecond
	}
	t.Logf("figures: workers=%d functions=%d missing=%d homes_differ=%d busiest=%d", workers, functions, missing, differ,
		slices.Max(values(used)))
	if most := 4 * functions * missing / workers; differ > most {
		t.Errorf("%d of %d homes differ where %d of %d workers differ, want at most %d", differ, functions, missing, workers, most)
	}
	first.checkListing()
}

func values(m map[string]int) (out []int) {
	for _, n := range m {
		out = append(out, n)
	}
	return out
}

// With many workers, calls that are restricted to zones are sent only there, also when the worker of their function drains.
func TestRestrictedCallsStayInZonesAmongManyWorkers(t *testing.T) {
	f := newFakeInLargeFleet(t, 3, 6000, 15)
	for i := range 60 {
		f.lastID++
		f.handle(Arrival{ID: f.lastID, Function: fmt.Sprint("fn", i%20), TTL: 4 * sec, Lanes: 1, Zones: []int{4, 9}})
		sends := f.sendsOf(f.lastID)
		if len(sends) != 1 {
			t.Fatalf("call %d was sent %d times, want 1", i, len(sends))
		}
		w := f.router.workers[sends[0].host]
		if zone := w.host.Zone; zone != 4 && zone != 9 {
			t.Errorf("sent to zone %d, want 4 or 9", zone)
		}
		f.reportResult(sends[0], Good, BeganLoad)
		if i%3 == 0 {
			h := w.host
			h.State = Draining
			f.handle(List{Hosts: []Host{h}})
		}
		f.advance(sweepInterval)
		f.checkListing()
	}
}

// A zone of many workers leaves the list and returns with all of them cold. Calls continue, none is sent to the workers
// that left, and calls to the cold workers are bounded as for a single one.
func TestZoneOfManyWorkersIsLostAndReturns(t *testing.T) {
	f := newFakeInLargeFleet(t, 5, 6000, 15)
	zone := makeHosts(6000, 15)
	zone = slices.DeleteFunc(zone, func(h Host) bool { return h.Zone != 2 })
	listZone := func(state HostState, since time.Duration) {
		for i := range zone {
			zone[i].State, zone[i].Since = state, since
		}
		f.handle(List{Hosts: zone})
		f.checkListing()
	}
	sendCalls := func(calls int) (toZone int) {
		for i := range calls {
			id := f.call(0, 0, fmt.Sprint("fn", i))
			for _, s := range f.sendsOf(id) {
				if f.router.workers[s.host].host.Zone == 2 {
					toZone++
				}
				f.reportResult(s, Good, BeganLoad)
			}
			f.advance(sweepInterval)
		}
		return toZone
	}
	before := sendCalls(300)
	listZone(Gone, 0)
	if n := sendCalls(300); n > 0 || before == 0 {
		t.Errorf("%d calls were sent to the zone after it left the list, want 0; %d before, want some", n, before)
	}
	listZone(Ready, f.now)
	cold := sendCalls(300)
	sent := map[string]int{}
	for _, w := range f.router.used {
		if w.ready && w.host.Zone == 2 {
			sent[w.host.Name] += len(w.coldSends)
		}
	}
	for name, n := range sent {
		if n > 2 {
			t.Errorf("%s was sent %d calls while cold, want at most 2", name, n)
		}
	}
	t.Logf("figures: calls=300 to_zone_before=%d to_zone_cold=%d", before, cold)
}

// When all workers that this gateway has used become unfit together, none is ejected, and calls continue.
func TestCallsGoOnWhenAllUsedWorkersAreUnfit(t *testing.T) {
	f := newFakeInLargeFleet(t, 5, 2000, 4)
	for _, w := range f.router.ready {
		f.router.ownUsage(w)
		f.router.eject(w, 0)
	}
	f.advance(sweepInterval)
	f.checkListing()
	if id := f.call(0, 0, "fn"); len(f.sendsOf(id)) != 1 {
		t.Errorf("the call was sent %d times, want 1", len(f.sendsOf(id)))
	}
}

// Of the many homes that a hot function has among many workers, a gateway uses a part, those in its own zone first. The
// gateways of a fleet do not all use the same homes.
func TestHotFunctionAmongManyWorkers(t *testing.T) {
	const zones = 15
	used := map[string]int{}
	for _, self := range []int{0, 15, 30, 45, 60, 75} { // all of these gateways are in zone 0
		f := newFakeInLargeFleet(t, self, 6000, zones)
		f.router.settings.Orders = false // else a home is used only once its copy is loaded
		homes, inZone := map[string]bool{}, 0
		done := 0 // sends answered so far
		for range 1500 {
			f.call(0, 0, "hot")
			f.advance(sweepInterval)
			for ; done < len(f.sent) && f.sent[done].at <= f.now-300*time.Millisecond; done++ {
				if f.reportResult(f.sent[done], Good, FoundWarm); done > 800 { // by then the function has its homes
					homes[f.sent[done].host] = true
					inZone += map[bool]int{true: 1}[f.router.workers[f.sent[done].host].host.Zone == 0]
				}
			}
		}
		f.checkListing()
		if len(homes) > 64 || len(homes) < 8 || inZone < 550 {
			t.Errorf("gateway %d uses %d workers, want 8 to 64; %d of the last 600 calls stayed in its zone, want at least 550", self,
				len(homes), inZone)
		}
		for name := range homes {
			used[name]++
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
