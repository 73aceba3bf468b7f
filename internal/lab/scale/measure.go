package scale

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"quillrail/internal/fleet/change"
)

// measure grows the fleet to a size and measures it.
func (r *run) measure(size int) (result FleetResult, err error) {
	result.Gateways = size
	r.opts.Log("%d gateways: starting", size)
	before, measuredFrom := ownUsage(), time.Now()
	defer func() {
		if err != nil { // the cost so far is reported nevertheless
			spent := ownUsage().since(before).perSecond(time.Since(measuredFrom))
			result.CorePart, result.MemoryMB = spent.CoreSeconds/float64(size), (spent.MemoryMB-r.baseline.MemoryMB)/float64(size)
		}
	}()
	if err := r.grow(size); err != nil {
		return result, err
	}
	begun := time.Now()
	if err := r.await(joinTimeout, func(h *hollow) bool { return h.aliveCount.Load() == int64(size) }); err != nil {
		return result, err
	}
	result.JoinMs = ms(time.Since(begun))
	if err := r.await(joinTimeout, func(h *hollow) bool { return h.appliedIndex.Load() > 0 }); err != nil {
		return result, err
	}
	r.opts.Log("%d gateways: each knows all others after %.1f s; measuring", size, result.JoinMs/1000)
	time.Sleep(r.opts.Settle)
	runtime.GC()
	debug.FreeOSMemory()
	wrongBefore, lostBefore, sentBefore, gotBefore := r.wrongSuspicions.Load(), r.lostMessages(), r.transferred(0), r.transferred(1)
	usageBefore := r.gatewayUsages()
	before, measuredFrom = ownUsage(), time.Now()
	var inForce [3][]float64
	for range r.opts.Changes {
		next := time.Now().Add(r.opts.Window / time.Duration(r.opts.Changes))
		times, err := r.change()
		if err != nil {
			r.opts.Log("%d gateways: %v", size, err)
			result.LateChanges++
			continue
		}
		for i := range times {
			inForce[i] = append(inForce[i], times[i])
		}
		if times[2] > ms(Target.InForce) {
			result.LateChanges++
		}
		time.Sleep(time.Until(next))
	}
	passed := time.Since(measuredFrom)
	count := float64(len(r.hollowGateways))
	now := ownUsage()
	spent := now.since(before).perSecond(passed)
	result.CorePart = max(0, spent.CoreSeconds-r.baseline.CoreSeconds) / count
	result.MemoryMB = (now.MemoryMB - r.baseline.MemoryMB) / count
	result.SentPerSec, result.ReceivedPerSec = float64(r.transferred(0)-sentBefore)/passed.Seconds()/count,
		float64(r.transferred(1)-gotBefore)/passed.Seconds()/count
	result.WrongSuspicions, result.MessagesLost = int(r.wrongSuspicions.Load()-wrongBefore), int(r.lostMessages()-lostBefore)
	result.Voters = r.usageSince(usageBefore, passed)
	for i := range inForce {
		if len(inForce[i]) > 0 {
			result.InForceMs[i] = median(inForce[i])
		}
	}
	return result, nil
}

// change proposes a change of the fleet's limits and returns the ms until it is in force at 50, 99 and 100 % of the running hollow
// gateways. Each gateway publishes its applied index every 100 ms, which bounds the resolution.
func (r *run) change() (times [3]float64, err error) {
	r.changes++
	limits := change.DefaultLimits
	limits.Margin += float64(r.changes%7) / 1000
	entry, failed := make(chan uint64, 1), make(chan error, 1)
	begun := time.Now()
	r.hollowGateways[r.changes%len(r.hollowGateways)].propose(limits, func(index uint64, err error) {
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
		return times, err
	case <-time.After(inForceTimeout):
		return times, errTimeout
	}
	for i, share := range []float64{0.5, 0.99, 1} {
		for {
			inForce, running := 0, 0
			for _, h := range r.hollowGateways {
				if h.running.Load() {
					running++
					if h.appliedIndex.Load() >= index {
						inForce++
					}
				}
			}
			if float64(inForce) >= share*float64(running) {
				break
			}
			if time.Since(begun) > inForceTimeout {
				return times, fmt.Errorf("%w: a change is in force at %d of %d gateways", errTimeout, inForce, running)
			}
			time.Sleep(pollInterval)
		}
		times[i] = ms(time.Since(begun))
	}
	return times, nil
}

// lostMessages returns how many messages the hollow gateways have dropped.
func (r *run) lostMessages() (n int64) {
	for _, h := range r.hollowGateways {
		n += h.droppedMessages.Load()
	}
	return n
}

// transferred returns how many bytes the hollow gateways have sent (direction 0) or received (1).
func (r *run) transferred(direction int) (n int64) {
	for _, h := range r.hollowGateways {
		n += h.bytes[direction].Load()
	}
	return n
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
