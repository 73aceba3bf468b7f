package core

// The ends of requests that the module does not decide: clients that leave, deadlines, and the end of the process.

import (
	"go.uber.org/zap"

	"quillrail/decide"
)

// abort closes a request that the module has not answered, notifies the module and withdraws the unwritten attempts.
func (c *Core) abort(r *request, answer string) {
	c.close(r, answer)
	if answer != "gone" {
		r.call.Reply.Failed(TimedOut)
	}
	c.handle(decide.ClientGone{ID: uint64(r.ref)})
	c.withdrawUnwritten(r)
}

// withdrawUnwritten withdraws the attempts of an ended request that have not been written yet. It does so also at sites
// without cancelling, where attempts that have been written run on.
func (c *Core) withdrawUnwritten(r *request) {
	for _, ref := range r.attempts {
		if a, pending := c.attempts.Get(ref); pending && c.workers.WithdrawAttempt(a.host, ref) {
			c.Ended(ref, AttemptResult{Outcome: decide.NotSent})
		}
	}
}

// expire fails a request that the module has not answered in time. It is the last safeguard for the rule that every request gets an
// answer in time.
func (c *Core) expire(r *request) {
	c.log.Error("request left open past its deadline", zap.String("id", r.call.ID), zap.Int("attempts", len(r.attempts)))
	c.abort(r, "failed")
}

// FailAll ends every request in flight, before the process ends: a request that was never sent is refused, since it may be sent again
// elsewhere, and any other fails.
func (c *Core) FailAll() {
	c.requests.Each(func(_ Ref, r *request) {
		if len(r.attempts) == 0 {
			c.refuseUnsent(r)
			return
		}
		c.abort(r, "failed")
	})
}

// refuseUnsent closes a request without an attempt, and notifies the module.
func (c *Core) refuseUnsent(r *request) {
	c.close(r, "refused")
	r.call.Reply.Refused(0, "")
	c.handle(decide.ClientGone{ID: uint64(r.ref)})
}

func (c *Core) close(r *request, answer string) {
	c.loop.Cancel(r.timer)
	c.requests.Free(r.ref)
	delete(c.refsByID, r.call.ID)
	c.Count(r.call.Class, answer)
	if c.observe != nil {
		c.observe(Record{Call: &r.call, Bytes: len(r.call.Body), Start: r.start, End: c.loop.Now(), Answer: answer,
			Attempts: len(r.attempts), Host: r.lastHost})
	}
}
