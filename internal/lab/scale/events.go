package scale

import (
	"time"
)

const (
	eventLimit = 75 * time.Second
	restarts   = 5
)

// events plays what befalls a fleet, at its largest size.
func (r *run) events() error {
	if len(r.hollow) < Target.Zones {
		return nil
	}
	steps := []func() (EventResult, error){r.restart, r.loseZone}
	if r.o.CutFor > 0 {
		steps = append(steps, r.cutRegion)
	}
	for _, step := range steps {
		wrong, sent := r.wrong.Load(), r.bytes(0)
		e, err := step()
		e.Gateways, e.Wrong, e.Bytes = len(r.hollow)+realGateways, int(r.wrong.Load()-wrong), float64(r.bytes(0)-sent)
		r.out.Events = append(r.out.Events, e)
		r.o.Log("%s: the others know after %.0f ms, and that it is over after %.0f ms", e.What, e.Ms, e.HealMs)
		if err != nil {
			return err
		}
	}
	return nil
}

// restart ends gateways one after the other as operators do, and starts each anew.
func (r *run) restart() (e EventResult, err error) {
	e.What = "a gateway is restarted (mean of 5)"
	all := int64(len(r.hollow) + realGateways)
	for i := range restarts {
		h := r.hollow[len(r.hollow)-1-i]
		r.gone(h)
		begun := time.Now()
		h.stop()
		if err := r.await(eventLimit, func(h *hollow) bool { return h.alive.Load() < all }); err != nil {
			return e, err
		}
		e.Ms += ms(time.Since(begun)) / restarts
		begun = time.Now()
		h.alive.Store(0)
		h.applied.Store(0)
		h.begin()
		if err := r.await(eventLimit, func(h *hollow) bool { return h.alive.Load() == all && h.applied.Load() > 0 }); err != nil {
			return e, err
		}
		e.HealMs += ms(time.Since(begun)) / restarts
		r.settle()
	}
	return e, nil
}

// gone notes that gateways are not there: to suspect them is right.
func (r *run) gone(gateways ...*hollow) {
	there := map[string]bool{}
	for name := range *r.there.Load() {
		there[name] = true
	}
	for _, h := range gateways {
		delete(there, h.name)
	}
	r.there.Store(&there)
}

// loseZone has all hollow gateways of a zone vanish, and come back with nothing in memory.
func (r *run) loseZone() (e EventResult, err error) {
	e.What = "a zone is lost, and returns"
	var lost []*hollow
	for i, h := range r.hollow {
		if placeOf(i).zone == 1 {
			lost = append(lost, h)
		}
	}
	r.gone(lost...)
	begun := time.Now()
	for _, h := range lost {
		r.network.kill(h.host, true)
	}
	for _, h := range lost {
		go h.stop()
	}
	left := int64(len(r.hollow) + realGateways - len(lost))
	time.Sleep(time.Second)
	if err := r.await(eventLimit, func(h *hollow) bool { return h.alive.Load() <= left }); err != nil {
		return e, err
	}
	e.Ms = ms(time.Since(begun))
	begun = time.Now()
	for _, h := range lost {
		r.network.kill(h.host, false)
		h.alive.Store(0)
		h.begin()
	}
	all := int64(len(r.hollow) + realGateways)
	err = r.await(eventLimit, func(h *hollow) bool { return h.alive.Load() == all })
	e.HealMs = ms(time.Since(begun))
	r.settle()
	return e, err
}

// cutRegion has the gateways of a region reach only each other for a while.
func (r *run) cutRegion() (e EventResult, err error) {
	e.What = "a region is cut off for " + r.o.CutFor.String() + ", and healed"
	inside := map[*hollow]bool{}
	var hosts []string
	for i, h := range r.hollow {
		if placeOf(i).region == Target.Regions-1 {
			inside[h] = true
			hosts = append(hosts, h.host)
		}
	}
	r.there.Store(&map[string]bool{}) // each side is right to give the other up
	begun := time.Now()
	r.network.partition(hosts)
	all := int64(len(r.hollow) + realGateways)
	apart := func(h *hollow) bool { // those inside take longer: who hears nobody doubts itself first
		return inside[h] || h.alive.Load() <= all-int64(len(hosts))
	}
	err = r.await(eventLimit, apart)
	e.Ms = ms(time.Since(begun))
	if err != nil {
		return e, err
	}
	time.Sleep(max(0, r.o.CutFor-time.Since(begun)))
	r.network.partition(nil)
	begun = time.Now()
	err = r.await(eventLimit, func(h *hollow) bool { return h.alive.Load() == all })
	e.HealMs = ms(time.Since(begun))
	r.settle()
	return e, err
}
