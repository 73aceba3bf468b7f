package core

import (
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
)

// gateway is the side of Core that the module sees.
type gateway Core

func (g *gateway) Route(id uint64, host string, expireAt time.Duration) {
	c := (*Core)(g)
	r, open := c.requests.Get(Ref(id))
	if !open { // the module is told that nothing was sent
		c.handle(decide.Result{ID: id, Host: host, Outcome: decide.Nop, Final: true, Crowd: -1})
		return
	}
	if r.call.Reply.Left() {
		shot := len(r.shots)
		r.shots = append(r.shots, 0)
		c.Gone(r.ref)
		c.handle(decide.Result{ID: id, Shot: shot, Host: host, Outcome: decide.Nop, Final: true, Crowd: -1})
		return
	}
	if expireAt <= 0 || expireAt > r.deadline {
		expireAt = r.deadline
	}
	a := &attempt{req: r.ref, shot: len(r.shots), host: host, at: c.loop.Now()}
	ref, ok := c.attempts.Put(a)
	r.shots, r.last = append(r.shots, ref), host
	if !ok || expireAt <= c.loop.Now() {
		c.attempts.Free(ref)
		c.handle(decide.Result{ID: id, Shot: a.shot, Host: host, Outcome: decide.Nop, Crowd: -1})
		return
	}
	a.ref = ref
	a.over = c.loop.Set(expireAt, func() { c.giveUp(a, decide.Late) })
	c.workers.Send(Attempt{Ref: ref, Host: host, Call: &r.call, Deadline: expireAt})
}

func (c *Core) giveUp(a *attempt, how decide.Outcome) {
	c.workers.Cancel(a.host, a.ref)
	c.Ended(a.ref, End{How: how})
}

func (g *gateway) Retract(id uint64, shot int) {
	c := (*Core)(g)
	var found *attempt
	if r, ok := c.requests.Get(Ref(id)); ok {
		if shot >= 0 && shot < len(r.shots) {
			found, _ = c.attempts.Get(r.shots[shot])
		}
	} else { // the request has ended: its attempts are few, and this is off the common path
		c.attempts.Each(func(_ Ref, a *attempt) {
			if a.req == Ref(id) && a.shot == shot {
				found = a
			}
		})
	}
	if found != nil {
		c.giveUp(found, decide.Cancelled)
	}
}

func (g *gateway) Refuse(id uint64, pause time.Duration, why decide.Reason) {
	c := (*Core)(g)
	if r, ok := c.requests.Get(Ref(id)); ok {
		c.gaveUp(r, "refused", why)
		c.close(r, "refused")
		r.call.Reply.Refused(min(max(0, pause), c.maxPause), "")
		c.unsend(r)
	}
}

func (g *gateway) Lose(id uint64, why decide.Reason) {
	c := (*Core)(g)
	if r, ok := c.requests.Get(Ref(id)); ok {
		c.gaveUp(r, "failed", why)
		c.close(r, "failed")
		failure := Broken
		if c.loop.Now() >= r.deadline {
			failure = TimedOut
		}
		r.call.Reply.Failed(failure)
		c.unsend(r)
	}
}

func (g *gateway) Order(host, function string, copies int) {
	c := (*Core)(g)
	o := &order{host: host, function: function, at: c.loop.Now()}
	ref, ok := c.orders.Put(o)
	if !ok {
		c.handle(decide.Loaded{Host: host, Function: function, Outcome: decide.Late})
		return
	}
	o.over = c.loop.After(c.timeout, func() {
		c.workers.Forget(host, ref)
		c.Loaded(ref, decide.Late, 0)
	})
	c.workers.Load(ref, host, function, copies)
}

func (g *gateway) Shelve(host, function string) { g.workers.Unload(host, function) }

func (g *gateway) Release(host string) { g.workers.Release(host) }

func (g *gateway) WakeAt(after time.Duration, token string) {
	c := (*Core)(g)
	c.loop.After(after, func() { c.handle(decide.Wake{Token: token}) })
}

func (g *gateway) Probe(host string) {
	if c := (*Core)(g); !c.probe(host, nil) {
		c.handle(decide.Probed{Host: host, Outcome: decide.Nop})
	}
}

// Probe asks a worker whether it answers; done is called once, on the turn. It is for others than the module.
func (c *Core) Probe(host string, done func(good bool)) {
	if !c.probe(host, done) {
		done(false)
	}
}

// probe reports whether there is room to ask.
func (c *Core) probe(host string, done func(good bool)) bool {
	o := &order{host: host, at: c.loop.Now(), done: done}
	ref, ok := c.orders.Put(o)
	if !ok {
		return false
	}
	o.over = c.loop.After(probeLimit, func() {
		c.workers.Forget(host, ref)
		c.Probed(ref, decide.Late, nil)
	})
	c.workers.Probe(ref, host)
	return true
}

// The site allows no talk among gateways, and the bulletin comes by itself.
func (g *gateway) Tell(peer int, content []byte) {
	g.log.Error("module would talk to a gateway", zap.Int("peer", peer))
}

func (g *gateway) Watch(on bool) {}

func (g *gateway) Lookup() {}
