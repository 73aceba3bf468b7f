// Package decide makes the decisions of a gateway for functions that workers load on demand: which worker gets a
// call, and when a call is held, refused or given up. This file is its whole interface: what a gateway configures
// (Settings), what it reports (Event) and what it carries out (Gateway). The decisions begin in decide.go.
package decide

import "time"

// Effect states whether a request may be repeated.
type Effect int

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated any number of times
	Keyed                // workers drop repeats of a key, within a Scope and for the class's Window
	Unsafe               // must never run twice
)

// Scope states which workers drop the repeats of a keyed request.
type Scope int

// The scopes of a key.
const (
	AllWorkers Scope = iota
	SameZone
	SameCell
)

// Class describes a class of requests.
type Class struct {
	Deadline  time.Duration // how long callers wait at most, over all their tries; each tells how long it waits
	Effect    Effect
	KeyScope  Scope
	Window    time.Duration // how long workers remember a key
	Streaming bool          // not used: FirstByte reports it for the request itself
}

// Tenant is a customer and its share of the capacity.
type Tenant struct {
	Share  float64 // not used: a gateway can count calls only against PerSec
	PerSec float64 // allowance in calls per second over all gateways, 0 if there is none
}

// Settings configures a Router. It does not change afterwards.
type Settings struct {
	Classes       []Class
	Tenants       []Tenant      // may be empty
	Gateways      int           // number of gateways that send to these workers
	Self          int           // number of this gateway among them, from 0
	Zone          int           // zone of this gateway
	Subscribe     bool          // the list is published only after Watch
	MaxAttempts   int           // attempts per request
	MaxHeld       int           // requests that may be held at once; 0: no limit but their callers' time
	Parallel      bool          // several attempts of a request may be in flight at once
	Cancelling    bool          // Retract may be used
	Probing       bool          // Probe may be used
	Peers         bool          // SendPeer may be used; not used: routers exchange no messages
	MaxRetryAfter time.Duration // not used here: the gateway shortens longer pauses of refused clients to it
	SendDelay     time.Duration // longest time from Route to the send, while a connection is set up

	AnswerSlack  time.Duration // not used: requests are answered before their deadline
	DrainGrace   time.Duration // time after a published drain in which sends have to stop; used while the list is silent
	MaxListDelay time.Duration // a published change counts as received after this, even if it was not; 0: no leases

	ColdFrom         float64       // share of its capacity with which a worker starts
	ColdFor          time.Duration // time after its start until it has all of it
	CollapseMultiple float64       // a cold worker collapses under more than this multiple of its present capacity
	CollapseAfter    time.Duration // if that lasts for this long

	KeepAlive         time.Duration // an idle copy stays loaded for at least this long
	Orders            bool          // Order and Unload may be used
	LoadsOnMiss       bool          // a worker that gets a call for a function it lacks loads the function
	MarksCold         bool          // results carry a Note
	ReportsContention bool          // results carry Contention; not used
	FreeOrders        float64       // ration of orders: this many,
	OrderShare        float64       // plus this share of the arrivals,
	OrderWindow       time.Duration // within this time; 0: no ration
	OrderTimeout      time.Duration
}

// Event is an observation that the gateway reports. The types below are the only ones.
type Event interface{ event() }

// HostState is the state of a worker in the list.
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
	Weight     float64       // not used: latency shows the present capacity of a worker
	Since      time.Duration // clock time of its last start, 0 for long ago

	SelfReported bool // the worker itself reports its state, not the list: it needs no lease
}

// List reports the list of workers: all of it (Whole) or changes. Failed means that a Watch or Lookup failed.
type List struct {
	Whole, Failed bool
	Hosts         []Host
}

// Current reports that everything published in the list by the clock time AsOf has been received.
type Current struct{ AsOf time.Duration }

// Arrival is a new request. Each request gets exactly one final answer.
type Arrival struct {
	ID            uint64
	Class, Tenant int
	Function      string
	TTL           time.Duration
	Work          time.Duration // rough hint, 0 if none
	MemoryMB      float64       // not used: the memory of workers is learnt from copies that calls did not find
	Lanes         int           // requests that one copy runs at once
	LoadTime      time.Duration // rough hint, 0 if none
	Repeat        bool          // the client marks it as a retry; not used
	Zones         []int         // the only zones in which it may run; empty for any
}

// ClientGone reports that the client of a request has disconnected.
type ClientGone struct{ ID uint64 }

// Outcome is how an attempt, order or probe ended.
type Outcome int

// The outcomes. After Full, NoConn, NotSent and Miss it is certain that nothing ran.
const (
	Good Outcome = iota
	Bad
	Full
	TimedOut
	NoConn
	Reset
	Cancelled
	NotSent
	Miss
	OutcomeCount // number of outcomes
)

// Report is a worker's load report, which is late and slightly noisy. Values that it lacks are negative.
type Report struct {
	InFlight float64 // requests at the worker
	Queue    float64 // requests among them that wait
	Loads    float64 // loads in progress or waiting
	Memory   float64 // share of its memory that can't be freed
}

// Result ends one attempt. Final means that the request has ended too.
type Result struct {
	ID         uint64
	Attempt    int // attempts of a request count from 0 in the order of Route
	Host       string
	Outcome    Outcome
	Took       time.Duration
	Final      bool
	Note       Note
	Contention int     // requests for the function at the worker, -1 if unknown; not used: own calls and delays stand for it
	Report     *Report // nil if there was none
}

// FirstByte reports that a streamed answer has begun.
type FirstByte struct {
	ID      uint64
	Attempt int
}

// Loaded answers an Order.
type Loaded struct {
	Host, Function string
	Outcome        Outcome
	Took           time.Duration
	Copies         int
}

// Probed answers a Probe. Good means that the worker's process answers, not that it is healthy.
type Probed struct {
	Host    string
	Outcome Outcome
	Took    time.Duration
	Report  *Report
}

// PeerMessage is a message that the router of another gateway sent by SendPeer. Routers send none and ignore it.
type PeerMessage struct {
	From    int
	Content []byte
}

// Wake reports that a timer set by WakeAt has expired.
type Wake struct{ Token string }

func (List) event()        {}
func (Current) event()     {}
func (Arrival) event()     {}
func (ClientGone) event()  {}
func (Result) event()      {}
func (FirstByte) event()   {}
func (Loaded) event()      {}
func (Probed) event()      {}
func (PeerMessage) event() {}
func (Wake) event()        {}

// Gateway carries out what the Router decides, in the order of the calls. Its methods are called from within
// Handle and New and must not call the Router.
type Gateway interface {
	// Route sends an attempt; expireAt is the clock time at which it times out, 0 for the client's own.
	Route(id uint64, host string, expireAt time.Duration)
	// Retract stops waiting for an attempt.
	Retract(id uint64, attempt int)
	// Refuse is the final answer that repeating the request is harmless; pause is how long the client should wait.
	Refuse(id uint64, pause time.Duration, why Reason)
	// Fail is the final answer that the request failed; it may have run.
	Fail(id uint64, why Reason)
	// Order asks a worker to hold at least this many copies; 0 only queries it.
	Order(host, function string, copies int)
	// Unload unloads a function's idle copies; not called: idle copies expire by themselves.
	Unload(host, function string)
	// Probe checks a worker; one Probed event follows.
	Probe(host string)
	// SendPeer sends a message to a peer, or to all if peer is negative; not called.
	SendPeer(peer int, content []byte)
	// Watch subscribes to changes of the list.
	Watch(on bool)
	// Lookup requests the whole list once; not called: Watch delivers it too.
	Lookup()
	// Release closes idle connections to a worker; not called: they close by themselves.
	Release(host string)
	// WakeAt requests a Wake event after the given time.
	WakeAt(after time.Duration, token string)
	// Log writes a notice to the operators' log.
	Log(n Notice)
}
