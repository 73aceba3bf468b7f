package core

import (
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
)

// gateway is the Core as the module sees it: its methods carry out the module's decisions.
type gateway Core

func (g *gateway) Route(id uint64, host string, expireAt time.Duration) {
	c := (*Core)(g)
	r, open := c.requests.Get(Ref(id))
	if !open { // notify the module that nothing was sent
		c.handle(decide.Result{ID: id, Host: host, Outcome: decide.NotSent, Final: true, Contention: -1})
		return
	}
	if r.call.Reply.ClientGone() {
		number := len(r.attempts)
		r.attempts = append(r.attempts, 0)
		c.ClientGone(r.ref)
		c.handle(decide.Result{ID: id, Attempt: number, Host: host, Outcome: decide.NotSent, Final: true, Contention: -1})
		return
	}
	if expireAt <= 0 || expireAt > r.deadline {
		expireAt = r.deadline
	}
	a := &attempt{request: r.ref, number: len(r.attempts), host: host, startedAt: c.loop.Now()}
	ref, ok := c.attempts.Put(a)
	r.attempts, r.lastHost = append(r.attempts, ref), host
	if !ok || expireAt <= c.loop.Now() {
		c.attempts.Free(ref)
		c.handle(decide.Result{ID: id, Attempt: a.number, Host: host, Outcome: decide.NotSent, Contention: -1})
		return
	}
	a.ref = ref
	a.timer = c.loop.Set(expireAt, func() { c.abandon(a, decide.TimedOut) })
	c.workers.Send(Attempt{Ref: ref, Host: host, Call: &r.call, Deadline: expireAt})
}

func (c *Core) abandon(a *attempt, outcome decide.Outcome) {
	c.workers.Cancel(a.host, a.ref)
	c.Ended(a.ref, AttemptResult{Outcome: outcome})
}

func (g *gateway) Retract(id uint64, number int) {
	c := (*Core)(g)
	var found *attempt
	if r, ok := c.requests.Get(Ref(id)); ok {
		if number >= 0 && number < len(r.attempts) {
			found, _ = c.attempts.Get(r.attempts[number])
		}
	} else { // the request has ended, which is rare here: search all attempts for the one that it left
		c.attempts.Each(func(_ Ref, a *attempt) {
			if a.request == Ref(id) && a.number == number {
				found = a
			}
		})
	}
	if found != nil {
		c.abandon(found, decide.Cancelled)
	}
}

func (g *gateway) Refuse(id uint64, retryAfter time.Duration, reason decide.Reason) {
	c := (*Core)(g)
	if r, ok := c.requests.Get(Ref(id)); ok {
		c.traceGivenUp(r, "refused", reason)
		c.close(r, "refused")
		r.call.Reply.Refused(min(max(0, retryAfter), c.maxRetryAfter), "")
		c.withdrawUnwritten(r)
	}
}

func (g *gateway) Fail(id uint64, reason decide.Reason) {
	c := (*Core)(g)
	if r, ok := c.requests.Get(Ref(id)); ok {
		c.traceGivenUp(r, "failed", reason)
		c.close(r, "failed")
		failure := GivenUp
		if c.loop.Now() >= r.deadline {
			failure = TimedOut
		}
		r.call.Reply.Failed(failure)
		c.withdrawUnwritten(r)
	}
}

func (g *gateway) Order(host, function string, copies int) {
	c := (*Core)(g)
	o := &order{host: host, function: function, sentAt: c.loop.Now()}
	ref, ok := c.orders.Put(o)
	if !ok {
		c.handle(decide.Loaded{Host: host, Function: function, Outcome: decide.TimedOut})
		return
	}
	o.timer = c.loop.After(c.orderTimeout, func() {
		c.workers.Forget(host, ref)
		c.Loaded(ref, decide.TimedOut, 0)
	})
	c.workers.Load(ref, host, function, copies)
}

func (g *gateway) Unload(host, function string) { g.workers.Unload(host, function) }

func (g *gateway) Release(host string) { g.workers.Release(host) }

func (g *gateway) WakeAt(after time.Duration, token string) {
	c := (*Core)(g)
	c.loop.After(after, func() { c.handle(decide.Wake{Token: token}) })
}

func (g *gateway) Probe(host string) {
	if c := (*Core)(g); !c.probe(host, nil) {
		c.handle(decide.Probed{Host: host, Outcome: decide.NotSent})
	}
}

// Probe checks whether a worker answers, for callers other than the module. done is called once, on the event loop.
func (c *Core) Probe(host string, done func(good bool)) {
	if !c.probe(host, done) {
		done(false)
	}
}

// probe sends a probe, and reports false if the table of orders is full.
func (c *Core) probe(host string, done func(good bool)) bool {
	o := &order{host: host, sentAt: c.loop.Now(), done: done}
	ref, ok := c.orders.Put(o)
	if !ok {
		return false
	}
	o.timer = c.loop.After(probeTimeout, func() {
		c.workers.Forget(host, ref)
		c.Probed(ref, decide.TimedOut, nil)
	})
	c.workers.Probe(ref, host)
	return true
}

// SendPeer only logs an error, since the site does not allow the module to message other gateways. Watch and Lookup do nothing, since
// the bulletin sends its updates unasked.
func (g *gateway) SendPeer(peer int, content []byte) {
	g.log.Error("module would talk to a gateway", zap.Int("peer", peer))
}

func (g *gateway) Watch(on bool) {}

func (g *gateway) Lookup() {}
