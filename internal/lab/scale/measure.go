package scale

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"quillrail/internal/fleet/change"
)

// measure brings the fleet to a size and measures it.
func (r *run) measure(size int) (f FleetResult, err error) {
	f.Gateways = size
	r.o.Log("%d gateways: starting", size)
	own, at := usage(), time.Now()
	defer func() {
		if err != nil { // what it cost is told all the same
			spent := usage().since(own).perSecond(time.Since(at))
			f.CorePart, f.MemoryMB = spent.Core/float64(size), (spent.MemoryMB-r.idle.MemoryMB)/float64(size)
		}
	}()
	if err := r.grow(size); err != nil {
		return f, err
	}
	begun := time.Now()
	if err := r.await(joinLimit, func(h *hollow) bool { return h.alive.Load() == int64(size) }); err != nil {
		return f, err
	}
	f.JoinMs = ms(time.Since(begun))
	if err := r.await(joinLimit, func(h *hollow) bool { return h.applied.Load() > 0 }); err != nil {
		return f, err
	}
	r.o.Log("%d gateways: all know of all after %.1f s; measuring", size, f.JoinMs/1000)
	time.Sleep(r.o.Settle)
	runtime.GC()
	debug.FreeOSMemory()
	wrong, lost, sent, got := r.wrong.Load(), r.lost(), r.bytes(0), r.bytes(1)
	roles := r.roles()
	own, at = usage(), time.Now()
	var force [3][]float64
	for range r.o.Changes {
		next := time.Now().Add(r.o.Window / time.Duration(r.o.Changes))
		t, err := r.change()
		if err != nil {
			r.o.Log("%d gateways: %v", size, err)
			f.Late++
			continue
		}
		for i := range t {
			force[i] = append(force[i], t[i])
		}
		if t[2] > ms(Target.InForce) {
			f.Late++
		}
		time.Sleep(time.Until(next))
	}
	passed := time.Since(at)
	n := float64(len(r.hollow))
	now := usage()
	spent := now.since(own).perSecond(passed)
	f.CorePart = max(0, spent.Core-r.idle.Core) / n
	f.MemoryMB = (now.MemoryMB - r.idle.MemoryMB) / n
	f.SentPerSec, f.GotPerSec = float64(r.bytes(0)-sent)/passed.Seconds()/n, float64(r.bytes(1)-got)/passed.Seconds()/n
	f.Wrong, f.Lost = int(r.wrong.Load()-wrong), int(r.lost()-lost)
	f.Voters = r.rolesSince(roles, passed)
	for i := range force {
		if len(force[i]) > 0 {
			f.ForceMs[i] = median(force[i])
		}
	}
	return f, nil
}

// change has a change of the fleet's settings agreed and returns the ms until it is in force at 50, 99 and 100 % of the
// hollow gateways, of which each looks every 100 ms.
func (r *run) change() (t [3]float64, err error) {
	r.changes++
	limits := change.DefaultLimits
	limits.Margin += float64(r.changes%7) / 1000
	entry, failed := make(chan uint64, 1), make(chan error, 1)
	begun := time.Now()
	r.hollow[r.changes%len(r.hollow)].propose(limits, func(index uint64, err error) {
		if err != nil {
			failed <- err
		} else {
			entry <- index
		}
	})
	var index uint64
	select {
	case index = <-entry:
	case err := <-failed:
		return t, err
	case <-time.After(forceLimit):
		return t, errLate
	}
	for step, part := range []float64{0.5, 0.99, 1} {
		for {
			have, all := 0, 0
			for _, h := range r.hollow {
				if h.running.Load() {
					all++
					if h.applied.Load() >= index {
						have++
					}
				}
			}
			if float64(have) >= part*float64(all) {
				break
			}
			if time.Since(begun) > forceLimit {
				return t, fmt.Errorf("%w: a change is in force at %d of %d", errLate, have, all)
			}
			time.Sleep(pollEvery)
		}
		t[step] = ms(time.Since(begun))
	}
	return t, nil
}

func (r *run) lost() (n int64) {
	for _, h := range r.hollow {
		n += h.lost.Load()
	}
	return n
}

func (r *run) bytes(way int) (n int64) {
	for _, h := range r.hollow {
		n += h.bytes[way].Load()
	}
	return n
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
