// Package decide makes the decisions of a router for functions loaded on demand. This file is its
// whole interface: what a gateway states at start (Settings), what it reports (Event) and what it is
// asked to do (Gateway). decide.go is where the decisions begin.
package decide

import "time"

// Effect says what repeating a request may do.
type Effect int

// The three kinds of effect.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // workers of one group drop repeats for a while
	Unsafe               // must never run twice
)

// Scope says which workers drop the repeats of a keyed request.
type Scope int

// The scopes of a key.
const (
	AllWorkers Scope = iota
	SameZone
	SameCell
)

// Class describes one class of request.
type Class struct {
	Aim, Deadline time.Duration // wanted within; given up after
	Worth         float64       // not used: weighing lateness by it gained nothing
	LateWorth     float64       // share of Worth that an answer after Aim still earns; not used
	Effect        Effect
	Group         Scope
	Window        time.Duration // how long a key is remembered
	Streaming     bool          // not used: a FirstByte says it of the request itself
}

// Tenant is one customer and its share.
type Tenant struct {
	Share  float64 // not used: PerSec is what a gateway can count against
	PerSec float64 // allowance over all gateways, 0 if none is told
}

// Settings is what holds for the whole life of a Router.
type Settings struct {
	Classes       []Class
	Tenants       []Tenant      // may be empty
	Gateways      int           // instances that send to these workers
	Self          int           // this one's number among them, from 0
	Zone          int           // this gateway's zone
	Subscribe     bool          // the list must be watched to be told
	MaxAttempts   int           // attempts for one request
	Parallel      bool          // two attempts of a request may be out at once
	Cancelling    bool          // Retract may be used
	Probing       bool          // Probe may be used
	Peers         bool          // Tell may be used; not used: gateways do not talk to each other
	MaxRetryAfter time.Duration // not used: pauses asked of refused clients lost worth
	SendDelay     time.Duration // what is routed may leave so much later, once its connection is up

	AnswerSlack  time.Duration // not used: answers are given before the deadline
	DrainGrace   time.Duration // after a drain was told, in which sends have to stop; used only where the list is silent
	ToldWithin   time.Duration // what the list has to tell counts as told by then, come or not; 0: the list's age is not told
	ColdFrom     float64       // a started worker begins at this share of its capacity
	ColdFor      time.Duration // and is warm after this
	FallMultiple float64       // more than this multiple of its capacity
	FallFor      time.Duration // for this long breaks a cold worker

	KeepAlive    time.Duration // an idle copy stands at least this long
	Orders       bool          // Order and Shelve may be used
	LoadsOnMiss  bool          // a worker loads a function it lacks by itself
	MarksCold    bool          // results carry a Note
	TellsCrowd   bool          // results carry a Crowd; not used
	FreeOrders   float64       // ration: this many orders
	OrderShare   float64       // plus this share of arrivals
	OrderWindow  time.Duration // within this window; 0: no ration
	OrderTimeout time.Duration
}

// Event is one observation. The types below are all there are.
type Event interface{ event() }

// HostState is what the list says of a worker.
type HostState int

// The states of a listed worker.
const (
	Ready HostState = iota
	Draining
	Gone
)

// Host is one entry of the list.
type Host struct {
	Name       string
	Zone, Cell int
	State      HostState
	Weight     float64       // not used: latency tells a worker's size as it is now
	Since      time.Duration // clock time of its last start, 0 for long ago

	SelfReported bool // its state is its own word and not the list's: it needs no lease
}

// List reports the list of workers: all of it (Whole) or changes; Failed says a Watch or Lookup failed.
type List struct {
	Whole, Failed bool
	Hosts         []Host
}

// Current says that the list was complete at a clock time: whatever it had to tell by then has been told.
type Current struct{ AsOf time.Duration }

// Arrival is a new request. Each is owed one final answer.
type Arrival struct {
	ID            uint64
	Class, Tenant int
	Function      string
	TTL           time.Duration
	Work          time.Duration // rough hint, 0 if none
	MemoryMB      float64       // not used: what memory bears is learnt from copies not found
	Lanes         int           // requests that one copy runs at once
	LoadTime      time.Duration // rough hint, 0 if none
	Repeat        bool          // the client marks it as a retry; not used
	Zones         []int         // where alone it may run; none for anywhere
}

// ClientGone says the client of a request has left.
type ClientGone struct{ ID uint64 }

// Outcome is how an attempt, order or probe ended.
type Outcome int

// The outcomes. Full, NoConn, Nop and Miss prove that nothing ran.
const (
	Good Outcome = iota
	Bad
	Full
	Late
	NoConn
	Reset
	Cancelled
	Nop
	Miss
	OutcomesNumber // how many outcomes there are
)

// Report is a worker's load report, late and a little noisy; values not told are negative.
type Report struct {
	InFlight float64 // requests it holds
	Queue    float64 // of these, waiting
	Loads    float64 // loads under way or waiting
	Memory   float64 // share of its memory that can't be freed
}

// Result ends one attempt. Final says that the request has ended too.
type Result struct {
	ID      uint64
	Shot    int // attempts of a request count from 0 in the order of Route
	Host    string
	Outcome Outcome
	Took    time.Duration
	Final   bool
	Note    Note
	Crowd   int     // requests for the function found there, -1 if not told; not used: no gain over shares
	Report  *Report // nil if none came
}

// FirstByte says that a streamed answer has begun.
type FirstByte struct {
	ID   uint64
	Shot int
}

// Loaded answers an Order.
type Loaded struct {
	Host, Function string
	Outcome        Outcome
	Took           time.Duration
	Copies         int
}

// Probed answers a Probe. Good says that the worker's process answers, not that it is well.
type Probed struct {
	Host    string
	Outcome Outcome
	Took    time.Duration
	Report  *Report
}

// Peer is a message of another gateway: one of its router's Tell. The router sends none and takes no notice.
type Peer struct {
	From    int
	Content []byte
}

// Wake is a timer that came due.
type Wake struct{ Token string }

func (List) event()       {}
func (Current) event()    {}
func (Arrival) event()    {}
func (ClientGone) event() {}
func (Result) event()     {}
func (FirstByte) event()  {}
func (Loaded) event()     {}
func (Probed) event()     {}
func (Peer) event()       {}
func (Wake) event()       {}

// Gateway carries out what the Router decides, in the order of the calls. Its methods are called from
// within Handle and New and must not call back.
type Gateway interface {
	// Route sends an attempt; expireAt is its clock time-out, 0 for the client's own.
	Route(id uint64, host string, expireAt time.Duration)
	// Retract stops waiting for an attempt.
	Retract(id uint64, shot int)
	// Refuse answers finally that nothing has run; pause asks the client to stay away.
	Refuse(id uint64, pause time.Duration, why Reason)
	// Lose answers finally and promises nothing.
	Lose(id uint64, why Reason)
	// Order asks that a worker hold at least so many copies; 0 only asks.
	Order(host, function string, copies int)
	// Shelve unloads a function's idle copies; not called: copies lapse by themselves.
	Shelve(host, function string)
	// Probe examines a worker; one Probed follows.
	Probe(host string)
	// Tell sends a message to a peer, to all where it is below 0; not called.
	Tell(peer int, content []byte)
	// Watch subscribes to changes of the list.
	Watch(on bool)
	// Lookup asks for the whole list once; not called: Watch brings it.
	Lookup()
	// Release closes idle connections to a worker; not called: they close by themselves.
	Release(host string)
	// WakeAt asks for a Wake.
	WakeAt(after time.Duration, token string)
	// Log notes something for the operators.
	Log(n Notice)
}
