package scale

import (
	"time"
)

const (
	eventTimeout = 75 * time.Second // for all gateways to notice an event or its end
	restartCount = 5
)

// measureEvents measures restarts, the loss of a zone and the partition of a region, at the fleet's largest size. It does nothing if
// there are fewer hollow gateways than zones.
func (r *run) measureEvents() error {
	if len(r.hollowGateways) < Target.Zones {
		return nil
	}
	steps := []func() (EventResult, error){r.restartGateways, r.loseZone}
	if r.opts.PartitionFor > 0 {
		steps = append(steps, r.partitionRegion)
	}
	for _, step := range steps {
		wrongBefore, sentBefore := r.wrongSuspicions.Load(), r.transferred(0)
		event, err := step()
		event.Gateways, event.WrongSuspicions, event.Bytes = len(r.hollowGateways)+realGateways, int(r.wrongSuspicions.Load()-wrongBefore),
			float64(r.transferred(0)-sentBefore)
		r.result.Events = append(r.result.Events, event)
		r.opts.Log("%s: noticed by the others after %.0f ms, its end after %.0f ms", event.What, event.NoticedMs, event.HealedMs)
		if err != nil {
			return err
		}
	}
	return nil
}

// restartGateways stops gateways one after the other as operators do, and starts each again with nothing in memory.
func (r *run) restartGateways() (event EventResult, err error) {
	event.What = "a gateway is restarted (mean of 5)"
	all := int64(len(r.hollowGateways) + realGateways)
	for i := range restartCount {
		h := r.hollowGateways[len(r.hollowGateways)-1-i]
		r.expectGone(h)
		begun := time.Now()
		h.stop()
		if err := r.await(eventTimeout, func(h *hollow) bool { return h.aliveCount.Load() < all }); err != nil {
			return event, err
		}
		event.NoticedMs += ms(time.Since(begun)) / restartCount
		begun = time.Now()
		h.aliveCount.Store(0)
		h.appliedIndex.Store(0)
		h.start()
		if err := r.await(eventTimeout, func(h *hollow) bool { return h.aliveCount.Load() == all && h.appliedIndex.Load() > 0 }); err != nil {
			return event, err
		}
		event.HealedMs += ms(time.Since(begun)) / restartCount
		r.expectAll()
	}
	return event, nil
}

// expectGone removes gateways from the expected ones, so that a suspicion of them is not counted as wrong.
func (r *run) expectGone(gateways ...*hollow) {
	expected := map[string]bool{}
	for name := range *r.expected.Load() {
		expected[name] = true
	}
	for _, h := range gateways {
		delete(expected, h.name)
	}
	r.expected.Store(&expected)
}

// loseZone disconnects all hollow gateways of a zone at once, and starts them again with nothing in memory.
func (r *run) loseZone() (event EventResult, err error) {
	event.What = "a zone is lost, and returns"
	var lost []*hollow
	for i, h := range r.hollowGateways {
		if placeOf(i).zone == 1 {
			lost = append(lost, h)
		}
	}
	r.expectGone(lost...)
	begun := time.Now()
	for _, h := range lost {
		r.network.setDead(h.host, true)
	}
	for _, h := range lost {
		go h.stop()
	}
	remaining := int64(len(r.hollowGateways) + realGateways - len(lost))
	time.Sleep(time.Second)
	if err := r.await(eventTimeout, func(h *hollow) bool { return h.aliveCount.Load() <= remaining }); err != nil {
		return event, err
	}
	event.NoticedMs = ms(time.Since(begun))
	begun = time.Now()
	for _, h := range lost {
		r.network.setDead(h.host, false)
		h.aliveCount.Store(0)
		h.start()
	}
	all := int64(len(r.hollowGateways) + realGateways)
	err = r.await(eventTimeout, func(h *hollow) bool { return h.aliveCount.Load() == all })
	event.HealedMs = ms(time.Since(begun))
	r.expectAll()
	return event, err
}

// partitionRegion partitions the hollow gateways of a region from all others for Options.PartitionFor.
func (r *run) partitionRegion() (event EventResult, err error) {
	event.What = "a region is cut off for " + r.opts.PartitionFor.String() + ", and healed"
	inside := map[*hollow]bool{}
	var hosts []string
	for i, h := range r.hollowGateways {
		if placeOf(i).region == Target.Regions-1 {
			inside[h] = true
			hosts = append(hosts, h.host)
		}
	}
	r.expected.Store(&map[string]bool{}) // each side is right to suspect the other
	begun := time.Now()
	r.network.partition(hosts)
	all := int64(len(r.hollowGateways) + realGateways)
	separated := func(h *hollow) bool { // not awaited inside, where it takes longer: a gateway that receives nothing suspects itself first
		return inside[h] || h.aliveCount.Load() <= all-int64(len(hosts))
	}
	err = r.await(eventTimeout, separated)
	event.NoticedMs = ms(time.Since(begun))
	if err != nil {
		return event, err
	}
	time.Sleep(max(0, r.opts.PartitionFor-time.Since(begun)))
	r.network.partition(nil)
	begun = time.Now()
	err = r.await(eventTimeout, func(h *hollow) bool { return h.aliveCount.Load() == all })
	event.HealedMs = ms(time.Since(begun))
	r.expectAll()
	return event, err
}
