package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// silent is a gateway that keeps nothing.
type silent struct{ *fake }

func (s silent) Route(uint64, string, time.Duration)  {}
func (s silent) Refuse(uint64, time.Duration, Reason) {}
func (s silent) Fail(uint64, Reason)                  {}
func (s silent) Order(string, string, int)            {}
func (s silent) Log(Notice)                           {}

// scaled is a router of a gateway of the target's fleet that is told of so many workers.
func scaled(b *testing.B, workers int) *Router {
	s := site()
	s.Classes, s.Gateways = s.Classes[:1], 1200
	r, err := New(s, 1, silent{&fake{}})
	if err != nil {
		b.Fatal(err)
	}
	r.Handle(time.Hour, List{Whole: true, Hosts: hosts(workers, 15)})
	return r
}

// BenchmarkScale is what a router costs that is told of many workers, by size: a turn of its timer, also while the list is silent, the first call of a
// function and the next, a call after a change of the list, one change of it, and the memory of both.
func BenchmarkScale(b *testing.B) {
	for _, workers := range []int{120, 10_000, 81_000} {
		name := func(what string) string { return fmt.Sprintf("%s/workers=%d", what, workers) }
		all, id := hosts(workers, 15), uint64(0)
		call := func(r *Router, fn string) {
			id++
			r.Handle(r.now, Arrival{ID: id, Function: fn, TTL: 4 * time.Second, Lanes: 1})
		}
		end := func(r *Router) { // the call is answered
			r.Handle(r.now+40*time.Millisecond, Result{ID: id, Outcome: Good, Took: 40 * time.Millisecond, Final: true, Note: FoundWarm})
		}
		change := func(r *Router, i int) {
			h := all[i/2%workers]
			h.State = []HostState{Gone, Ready}[i%2]
			r.Handle(r.now, List{Hosts: []Host{h}})
		}
		b.Run(name("timer"), func(b *testing.B) {
			r := scaled(b, workers)
			for b.Loop() {
				r.Handle(r.now+sweepInterval, Wake{Token: "sweep"})
			}
		})
		b.Run(name("silent"), func(b *testing.B) { // the same while the list is silent, with a tenth of the workers in use
			r := scaled(b, workers)
			r.settings.MaxListDelay = 7 * time.Second
			for _, w := range r.ready[:workers/10] {
				r.ownUsage(w)
			}
			for b.Loop() {
				r.Handle(r.now+sweepInterval, Wake{Token: "sweep"})
			}
		})
		b.Run(name("first"), func(b *testing.B) {
			r, i := scaled(b, workers), 0
			call(r, "before") // the first of all tops the counters up
			end(r)
			for b.Loop() {
				i++
				call(r, fmt.Sprint("fn", i))
				end(r)
			}
		})
		b.Run(name("next"), func(b *testing.B) {
			r := scaled(b, workers)
			call(r, "fn")
			end(r)
			for b.Loop() {
				call(r, "fn")
				end(r)
			}
		})
		b.Run(name("after"), func(b *testing.B) {
			r, i := scaled(b, workers), 0
			for b.Loop() {
				b.StopTimer()
				change(r, i)
				i++
				b.StartTimer()
				call(r, "fn")
				end(r)
			}
		})
		b.Run(name("change"), func(b *testing.B) {
			r, i := scaled(b, workers), 0
			for b.Loop() {
				change(r, i)
				i++
			}
		})
		b.Run(name("memory"), func(b *testing.B) {
			const functions = 200
			for b.Loop() {
				before := heapInUse()
				r := scaled(b, workers)
				list := heapInUse()
				for i := range functions {
					call(r, fmt.Sprint("fn", i))
					end(r)
				}
				b.ReportMetric(float64(list-before)/(1<<20), "list-MB")
				b.ReportMetric(float64(heapInUse()-list)/functions/1024, "function-KB")
				runtime.KeepAlive(r)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
