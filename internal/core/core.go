package core

import (
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/roster"
)

const (
	maxRequests  = 8192                   // in flight at once; further ones are refused
	maxOrders    = 1024                   // load orders and probes that wait for their result
	overdueGrace = 12 * time.Millisecond  // after its deadline, until a request that the module has not answered is failed
	probeTimeout = 250 * time.Millisecond // a probe without an answer by then has failed
)

// Core carries out the decisions of the module (package decide). It owns the tables of requests, attempts and orders.
type Core struct {
	loop          *Loop
	log           *zap.Logger
	router        *decide.Router
	workers       Workers
	observe       Observer
	maxRetryAfter time.Duration
	orderTimeout  time.Duration // of load orders

	requests        *Table[*request]
	refsByID        map[string]Ref // requests in flight, by the ID that the client sent
	attempts        *Table[*attempt]
	orders          *Table[*order] // load orders, and probes, which have no function
	roster          *roster.Roster
	counts          []Counts
	attemptsWritten uint64
	outcomes        OutcomeCounts

	queue    []decide.Event // events raised while the module handles another one
	handling bool           // an event is being handled
}

type request struct {
	ref      Ref
	call     Call
	start    time.Duration
	deadline time.Duration
	timer    *Deadline
	attempts []Ref // by number
	lastHost string
}

type attempt struct {
	ref       Ref
	request   Ref
	number    int
	host      string
	startedAt time.Duration
	timer     *Deadline
}

type order struct {
	host, function string
	sentAt         time.Duration
	timer          *Deadline
	done           func(good bool) // set for a probe that the module did not request
}

// New returns a Core that runs on loop. observe may be nil.
func New(loop *Loop, settings decide.Settings, seed uint64, workers Workers, observe Observer, log *zap.Logger) (*Core, error) {
	c := &Core{loop: loop, log: log, workers: workers, observe: observe, maxRetryAfter: settings.MaxRetryAfter,
		orderTimeout: settings.OrderTimeout, requests: NewTable[*request](maxRequests), refsByID: map[string]Ref{},
		attempts: NewTable[*attempt](maxRequests * max(1, settings.MaxAttempts)), orders: NewTable[*order](maxOrders),
		roster: roster.New(), counts: make([]Counts, len(settings.Classes))}
	c.handling = true
	var err error
	c.router, err = decide.New(settings, seed, (*gateway)(c))
	c.handling = false
	return c, err
}

// handle passes an event to the module, and then the events that were raised while its decisions were carried out.
func (c *Core) handle(event decide.Event) {
	c.queue = append(c.queue, event)
	if c.handling {
		return
	}
	c.handling = true
	for i := 0; i < len(c.queue); i++ {
		c.router.Handle(c.loop.Now(), c.queue[i])
	}
	clear(c.queue)
	c.queue, c.handling = c.queue[:0], false
}

// InFlight returns the number of requests that have no final answer yet.
func (c *Core) InFlight() int { return c.requests.Len() }

// ApplyList passes an update of the worker list to the link, and to the module with operators' bans applied.
func (c *Core) ApplyList(complete bool, members []Member) {
	c.workers.ApplyList(complete, members)
	hosts := make([]decide.Host, len(members))
	for i, m := range members {
		hosts[i] = m.Host
	}
	c.applyChange(c.roster.ApplyList(complete, hosts))
}

// applyChange passes changed workers to the module. Only then does it withdraw what has not been written yet to workers that may
// get nothing new, so that the module doesn't choose the same workers for it again.
func (c *Core) applyChange(change decide.List) {
	if len(change.Hosts) == 0 && !change.Whole {
		return
	}
	c.handle(change)
	c.workers.WithdrawUnwritten(c.roster.Usable)
}

// Submit starts a request. It returns a zero Ref if the request was answered at once.
func (c *Core) Submit(call Call) Ref {
	r := &request{call: call, start: c.loop.Now(), deadline: call.deadline(c.loop.Now())}
	if _, open := c.refsByID[call.ID]; open { // workers could not tell the two apart, and their answers would be mixed up
		c.Count(call.Class, "failed")
		call.Reply.Failed(Duplicate)
		return 0
	}
	ref, ok := c.requests.Put(r)
	if !ok {
		c.Count(call.Class, "refused")
		call.Reply.Refused(0, "")
		return 0
	}
	r.ref, c.refsByID[call.ID] = ref, ref
	r.timer = c.loop.Set(r.deadline+overdueGrace, func() { c.expire(r) })
	c.handle(decide.Arrival{ID: uint64(ref), Class: call.Class, Tenant: call.Tenant, Function: call.Function,
		TTL: r.deadline - c.loop.Now(), Work: call.Work, MemoryMB: call.MemoryMB, Lanes: call.Lanes, LoadTime: call.LoadTime,
		Repeat: call.Repeat, Zones: call.Zones})
	if _, open := c.requests.Get(ref); !open {
		return 0
	}
	return ref
}

// ClientGone ends a request whose client has stopped waiting.
func (c *Core) ClientGone(ref Ref) {
	if r, ok := c.requests.Get(ref); ok {
		c.abort(r, "gone")
	}
}

// Ended handles the result of an attempt. A second result, or one that comes after the attempt was abandoned, finds no slot and is
// dropped.
func (c *Core) Ended(ref Ref, result AttemptResult) {
	a, ok := c.attempts.Get(ref)
	if !ok {
		return
	}
	c.loop.Cancel(a.timer)
	c.attempts.Free(ref)
	r, open := c.requests.Get(a.request)
	served := open && result.Outcome == decide.Good
	if served {
		r.lastHost = a.host
		c.close(r, "served")
		r.call.Reply.Served(result.Body)
		open = false
	}
	c.traceAttempt(r, a, result)
	c.handle(decide.Result{ID: uint64(a.request), Attempt: a.number, Host: a.host, Outcome: result.Outcome,
		Took: c.loop.Now() - a.startedAt, Final: !open, Note: result.Note, Contention: -1, Report: result.Report})
	if served {
		c.withdrawUnwritten(r)
	}
}

// finishOrder removes and returns an order or a probe, or returns nil if it has ended before.
func (c *Core) finishOrder(ref Ref) *order {
	o, ok := c.orders.Get(ref)
	if !ok {
		return nil
	}
	c.loop.Cancel(o.timer)
	c.orders.Free(ref)
	return o
}

// Loaded handles the result of a load order.
func (c *Core) Loaded(ref Ref, outcome decide.Outcome, copies int) {
	o := c.finishOrder(ref)
	if o == nil {
		return
	}
	c.handle(decide.Loaded{Host: o.host, Function: o.function, Outcome: outcome, Took: c.loop.Now() - o.sentAt, Copies: copies})
}

// Probed handles the result of a probe.
func (c *Core) Probed(ref Ref, outcome decide.Outcome, report *decide.Report) {
	o := c.finishOrder(ref)
	if o == nil {
		return
	}
	if o.done != nil {
		o.done(outcome == decide.Good)
		return
	}
	c.handle(decide.Probed{Host: o.host, Outcome: outcome, Took: c.loop.Now() - o.sentAt, Report: report})
}
