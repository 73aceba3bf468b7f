package core

import (
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/roster"
)

const (
	maxRequests = 8192                   // open at once; further ones are refused
	maxOrders   = 1024                   // orders to load that wait for their end
	backstop    = 12 * time.Millisecond  // past its deadline, a request that the module left open is failed
	probeLimit  = 250 * time.Millisecond // a probe that is not answered by then has failed
)

// Core carries out what the module decides. It owns the tables of requests, attempts and orders.
type Core struct {
	loop     *Loop
	log      *zap.Logger
	router   *decide.Router
	workers  Workers
	observe  Observer
	maxPause time.Duration
	timeout  time.Duration // of orders

	requests *Table[*request]
	ids      map[string]Ref // of the open requests, as the clients wrote them
	attempts *Table[*attempt]
	orders   *Table[*order] // and probes, which name no function
	roster   *roster.Roster
	counts   []Counts
	tries    uint64
	trace    Trace

	queue  []decide.Event // events raised while the module handles one
	inside bool
}

type request struct {
	ref      Ref
	call     Call
	start    time.Duration
	deadline time.Duration
	over     *Deadline
	shots    []Ref // attempts by number
	last     string
}

type attempt struct {
	ref  Ref
	req  Ref
	shot int
	host string
	at   time.Duration
	over *Deadline
}

type order struct {
	host, function string
	at             time.Duration
	over           *Deadline
	done           func(good bool) // of a probe that the module has not asked for
}

// New returns a Core on loop. observe may be nil.
func New(loop *Loop, set decide.Settings, seed uint64, workers Workers, observe Observer, log *zap.Logger) (*Core, error) {
	c := &Core{loop: loop, log: log, workers: workers, observe: observe, maxPause: set.MaxRetryAfter,
		timeout: set.OrderTimeout, requests: NewTable[*request](maxRequests), ids: map[string]Ref{},
		attempts: NewTable[*attempt](maxRequests * max(1, set.MaxAttempts)), orders: NewTable[*order](maxOrders), roster: roster.New(),
		counts: make([]Counts, len(set.Classes))}
	c.inside = true
	var err error
	c.router, err = decide.New(set, seed, (*gateway)(c))
	c.inside = false
	return c, err
}

// handle feeds the module one event, and then those that carrying out its decisions has raised.
func (c *Core) handle(ev decide.Event) {
	c.queue = append(c.queue, ev)
	if c.inside {
		return
	}
	c.inside = true
	for i := 0; i < len(c.queue); i++ {
		c.router.Handle(c.loop.Now(), c.queue[i])
	}
	clear(c.queue)
	c.queue, c.inside = c.queue[:0], false
}

// Open is the number of requests that have no final answer yet.
func (c *Core) Open() int { return c.requests.Len() }

// List passes on what the bulletin says of the workers, to the module as the bans have it.
func (c *Core) List(whole bool, members []Member) {
	c.workers.List(whole, members)
	hosts := make([]decide.Host, len(members))
	for i, m := range members {
		hosts[i] = m.Host
	}
	c.change(c.roster.List(whole, hosts))
}

// change tells the module of workers that have changed. What is still unwritten to those that may get nothing new is taken
// back afterwards, so that the module doesn't choose them again for it.
func (c *Core) change(ev decide.List) {
	if len(ev.Hosts) == 0 && !ev.Whole {
		return
	}
	c.handle(ev)
	c.workers.Withdraw(c.roster.Usable)
}

// Take takes in a request. The Ref it returns is zero when the request was answered at once.
func (c *Core) Take(call Call) Ref {
	r := &request{call: call, start: c.loop.Now(), deadline: call.deadline(c.loop.Now())}
	if _, open := c.ids[call.ID]; open { // two would be one to the workers, and each take the other's answer
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
	r.ref, c.ids[call.ID] = ref, ref
	r.over = c.loop.Set(r.deadline+backstop, func() { c.expire(r) })
	c.handle(decide.Arrival{ID: uint64(ref), Class: call.Class, Tenant: call.Tenant, Function: call.Function,
		TTL: r.deadline - c.loop.Now(), Work: call.Work, MemoryMB: call.MemoryMB, Lanes: call.Lanes, LoadTime: call.LoadTime,
		Repeat: call.Repeat, Zones: call.Zones})
	if _, open := c.requests.Get(ref); !open {
		return 0
	}
	return ref
}

// Gone says that nobody waits for a request any more.
func (c *Core) Gone(ref Ref) {
	if r, ok := c.requests.Get(ref); ok {
		c.end(r, "gone")
	}
}

// end closes a request that the module has not answered, tells it so and takes back what has not left.
func (c *Core) end(r *request, answer string) {
	c.close(r, answer)
	if answer != "gone" {
		r.call.Reply.Failed(TimedOut)
	}
	c.handle(decide.ClientGone{ID: uint64(r.ref)})
	c.unsend(r)
}

// unsend takes back the attempts of an ended request that have not been written yet, also where the site has no cancelling.
func (c *Core) unsend(r *request) {
	for _, ref := range r.shots {
		if a, out := c.attempts.Get(ref); out && c.workers.Unsend(a.host, ref) {
			c.Ended(ref, End{How: decide.Nop})
		}
	}
}

// expire is the last guard on the rule that each request has its answer in time.
func (c *Core) expire(r *request) {
	c.log.Error("request left open past its deadline", zap.String("id", r.call.ID), zap.Int("attempts", len(r.shots)))
	c.end(r, "failed")
}

// FailAll gives every open request its final answer, before the process ends.
func (c *Core) FailAll() {
	c.requests.Each(func(_ Ref, r *request) { c.end(r, "failed") })
}

func (c *Core) close(r *request, answer string) {
	c.loop.Cancel(r.over)
	c.requests.Free(r.ref)
	delete(c.ids, r.call.ID)
	c.Count(r.call.Class, answer)
	if c.observe != nil {
		c.observe(Record{Call: &r.call, Bytes: len(r.call.Body), Start: r.start, End: c.loop.Now(), Answer: answer, Attempts: len(r.shots),
			Host: r.last})
	}
}

// Ended says how an attempt has ended. A second end, or one after the attempt was given up, finds no slot
// and is dropped.
func (c *Core) Ended(ref Ref, e End) {
	a, ok := c.attempts.Get(ref)
	if !ok {
		return
	}
	c.loop.Cancel(a.over)
	c.attempts.Free(ref)
	r, open := c.requests.Get(a.req)
	served := open && e.How == decide.Good
	if served {
		r.last = a.host
		c.close(r, "served")
		r.call.Reply.Served(e.Body)
		open = false
	}
	c.attempted(r, a, e)
	c.handle(decide.Result{ID: uint64(a.req), Shot: a.shot, Host: a.host, Outcome: e.How,
		Took: c.loop.Now() - a.at, Final: !open, Note: e.Note, Crowd: -1, Report: e.Report})
	if served {
		c.unsend(r)
	}
}

// takeOrder ends an order or a probe; nil if it has ended before.
func (c *Core) takeOrder(ref Ref) *order {
	o, ok := c.orders.Get(ref)
	if !ok {
		return nil
	}
	c.loop.Cancel(o.over)
	c.orders.Free(ref)
	return o
}

// Loaded says how an order to load has ended.
func (c *Core) Loaded(ref Ref, how decide.Outcome, copies int) {
	o := c.takeOrder(ref)
	if o == nil {
		return
	}
	c.handle(decide.Loaded{Host: o.host, Function: o.function, Outcome: how, Took: c.loop.Now() - o.at, Copies: copies})
}

// Probed says how a probe has ended.
func (c *Core) Probed(ref Ref, how decide.Outcome, report *decide.Report) {
	o := c.takeOrder(ref)
	if o == nil {
		return
	}
	if o.done != nil {
		o.done(how == decide.Good)
		return
	}
	c.handle(decide.Probed{Host: o.host, Outcome: how, Took: c.loop.Now() - o.at, Report: report})
}
