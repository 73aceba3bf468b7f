package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// discardingGateway is a gateway that records nothing.
type discardingGateway struct{ *fakeGateway }

func (s discardingGateway) Route(uint64, string, time.Duration)  {}
func (s discardingGateway) Refuse(uint64, time.Duration, Reason) {}
func (s discardingGateway) Fail(uint64, Reason)                  {}
func (s discardingGateway) Order(string, string, int)            {}
func (s discardingGateway) Log(Notice)                           {}

// newScaledRouter returns the router of one of 1200 gateways, the target size of a fleet, with a list of the given number of workers.
func newScaledRouter(b *testing.B, workers int) *Router {
	settings := testSettings()
	settings.Classes, settings.Gateways = settings.Classes[:1], 1200
	r, err := New(settings, 1, discardingGateway{&fakeGateway{}})
	if err != nil {
		b.Fatal(err)
	}
	r.Handle(time.Hour, List{Whole: true, Hosts: makeHosts(workers, 15)})
	return r
}

// BenchmarkScale measures the cost of a router by the number of listed workers: a sweep of its timer (timer), also while the
// list is silent (silent), the first call of a function (first) and a later one (next), a call after a change of the list
// (after), a change itself (change), and the memory of the list and of functions (memory).
func BenchmarkScale(b *testing.B) {
	for _, workers := range []int{120, 10_000, 81_000} {
		name := func(what string) string { return fmt.Sprintf("%s/workers=%d", what, workers) }
		all, id := makeHosts(workers, 15), uint64(0)
		call := func(r *Router, fn string) {
			id++
			r.Handle(r.now, Arrival{ID: id, Function: fn, TTL: 4 * time.Second, Lanes: 1})
		}
		answer := func(r *Router) {
			r.Handle(r.now+40*time.Millisecond, Result{ID: id, Outcome: Good, Took: 40 * time.Millisecond, Final: true, Note: FoundWarm})
		}
		change := func(r *Router, i int) {
			h := all[i/2%workers]
			h.State = []HostState{Gone, Ready}[i%2]
			r.Handle(r.now, List{Hosts: []Host{h}})
		}
		b.Run(name("timer"), func(b *testing.B) {
			r := newScaledRouter(b, workers)
			for b.Loop() {
				r.Handle(r.now+sweepInterval, Wake{Token: "sweep"})
			}
		})
		b.Run(name("silent"), func(b *testing.B) { // with a tenth of the workers in use
			r := newScaledRouter(b, workers)
			r.settings.MaxListDelay = 7 * time.Second
			for _, w := range r.ready[:workers/10] {
				r.ownUsage(w)
			}
			for b.Loop() {
				r.Handle(r.now+sweepInterval, Wake{Token: "sweep"})
			}
		})
		b.Run(name("first"), func(b *testing.B) {
			r, i := newScaledRouter(b, workers), 0
			call(r, "before") // the first call of all tops up the deficit counters
			answer(r)
			for b.Loop() {
				i++
				call(r, fmt.Sprint("fn", i))
				answer(r)
			}
		})
		b.Run(name("next"), func(b *testing.B) {
			r := newScaledRouter(b, workers)
			call(r, "fn")
			answer(r)
			for b.Loop() {
				call(r, "fn")
				answer(r)
			}
		})
		b.Run(name("after"), func(b *testing.B) {
			r, i := newScaledRouter(b, workers), 0
			for b.Loop() {
				b.StopTimer()
				change(r, i)
				i++
				b.StartTimer()
				call(r, "fn")
				answer(r)
			}
		})
		b.Run(name("change"), func(b *testing.B) {
			r, i := newScaledRouter(b, workers), 0
			for b.Loop() {
				change(r, i)
				i++
			}
		})
		b.Run(name("memory"), func(b *testing.B) {
			const functions = 200
			for b.Loop() {
				before := heapInUse()
				r := newScaledRouter(b, workers)
				withList := heapInUse()
				for i := range functions {
					call(r, fmt.Sprint("fn", i))
					answer(r)
				}
				b.ReportMetric(float64(withList-before)/(1<<20), "list-MB")
				b.ReportMetric(float64(heapInUse()-withList)/functions/1024, "function-KB")
				runtime.KeepAlive(r)
			}
		})
	}
}

// heapInUse returns the bytes of the heap that are in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
