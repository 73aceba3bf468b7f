// Package lab starts real gateway processes on loopback, surrounds them with stubs and injects faults. The stubs are workers with
// copies, lanes and a cold start, a store of models, a bulletin, relays that drop and delay, and clients that call at a steady rate.
// All counts of a run come from the stubs, never from a gateway. The lab ends only processes that it has started.
package lab

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Options describe a lab. Sizes and times that are 0 get the value of Defaults.
type Options struct {
	Program   []string                   // the command that starts a gateway, with its arguments
	Arguments []string                   // appended to those of Program
	Env       []string                   // added to the environment of all gateways
	EnvOf     func(gateway int) []string // added to that of one gateway, counted from 0; nil for none
	Dir       string                     // for configurations and the gateways' files; it has to exist
	Seed      uint64                     // of all random numbers
	Gateways  int                        // 1 to 250
	Workers   int                        // 1 to 250, spread round robin over the halls
	Halls     int                        // 1 to 8
	Log       io.Writer                  // gets a line for each action on the fleet; nil for none

	Lanes          int           // calls that a copy runs concurrently
	WorkTime       time.Duration // mean duration of a call's work
	LoadTime       time.Duration // how long the store takes to load a copy, without concurrent loads
	KeepAlive      time.Duration // an idle copy is unloaded after this time
	ColdFor        time.Duration // how long a worker is cold after its start
	ColdFrom       float64       // part of its capacity that a worker has at its start; it grows linearly to 1 during ColdFor
	ProbesOff      bool          // gateways may not probe workers
	ClockFile      string        // from which gateways read the step of their wall clock, in ns; empty if clocks are never stepped
	Fleet          bool          // gateways form a fleet and store their state on disk
	PeerRelays     bool          // gateways reach each other through relays, so that they can be partitioned
	Voters         int           // how many gateways are voters of the replicated log: the first ones, spread over the halls; 0 for no log
	FleetSettings  string        // text added to each gateway's fleet.toml
	StoreLimit     int           // more concurrent loads than this overload the store, 0 for no limit
	CallsPerSecond float64       // capacity of a warm worker; a cold one collapses under calls beyond a multiple of its present capacity
}

// Defaults describe a small fleet that starts quickly.
var Defaults = Options{Gateways: 3, Workers: 4, Halls: 2, Lanes: 4, WorkTime: 20 * time.Millisecond, LoadTime: 150 * time.Millisecond,
	KeepAlive: 10 * time.Second, ColdFor: 5 * time.Second, ColdFrom: 0.2, CallsPerSecond: 150}

const (
	collapseMultiple = 2.5             // a cold worker collapses under calls beyond this multiple of its present capacity
	collapseWindow   = 3 * time.Second // over which these calls are counted
	deadline         = 2 * time.Second // of every class
	drainGrace       = 2 * time.Second // how long after a drain was announced calls may still arrive at the worker
	keyWindow        = 8 * time.Second // how long the workers of a hall drop repeats of a key
	maxBulletinDelay = 7 * time.Second // an event of an impaired bulletin counts as announced after this, whether or not it has arrived
	drainAcceptTime  = time.Second     // how long a draining worker still accepts calls
	maxQueue         = 32              // calls that wait for a copy; further ones are rejected
)

// The gateways of a lab share one peer port out of this range, which lies below the kernel's ephemeral ports.
const (
	firstPeerPort = 20_000
	peerPorts     = 12_000
)

// classes maps the first letter of a request's body to its class.
var classes = map[byte]string{'r': "read", 'c': "command", 'o': "once"}

// labCount counts the labs of this process. Each of them has a peer port of its own; a prime step spreads these over the range.
var labCount atomic.Int64

// Lab is a fleet of gateways with its stubs. Its methods may be called from any goroutine.
type Lab struct {
	Options
	Gateways []*Gateway
	Workers  []*Worker

	peerPort          int // at which gateways reach each other
	mu                sync.Mutex
	rng               *rand.Rand
	startedAt         time.Time
	closers           []func()
	runsByRequest     map[string]int       // executions by the request's body
	lastRunByKey      map[string]time.Time // when a key was last executed, by hall and key
	counts            Counts
	store             *store
	paths             [][]*path     // by the indexes of the sending and the receiving gateway; nil without Options.PeerRelays
	bulletinsImpaired bool          // some gateway is cut off from its bulletin, or receives it late
	clockStep         time.Duration // sum of the wall clocks' steps so far

	confinement   *confinement   // nil for none
	hallByRequest map[string]int // where a request was last executed, by its body
	hallBySession map[string]int // where a session was last served, by epoch and function
}

// Counts are the observations of the stubs.
type Counts struct {
	Kills          int // gateways killed
	Runs           int // executions of calls
	RanTwice       int `json:"Twice"`   // executions beyond the first of a request that is not a read
	DroppedRepeats int `json:"Dropped"` // repeats of a key that workers have dropped, within a hall and keyWindow
	LateSends      int // calls and load orders that reached a worker later than drainGrace after its drain was announced
	Crossed        int // requests that were resent since they had crossed the close of an idle connection
	Rejected       int `json:"TurnedAway"` // calls that a draining worker has rejected
	ColdCollapses  int `json:"Fell"`       // cold workers that collapsed under load
	Loads          int // copies loaded
	StoreOverloads int `json:"Pushed"`  // how often the store was overloaded
	OutsideHalls   int `json:"Outside"` // calls of class command, and loads of their functions, outside of the halls of a confinement
	SplitSessions  int `json:"Split"`   // how often a session changed its hall within one epoch
}

// New creates a lab. Its workers and bulletins listen; its gateways have addresses and configurations, but are not started.
func New(opts Options) (*Lab, error) {
	defaults := Defaults
	opts.Gateways, opts.Workers, opts.Halls, opts.Lanes = cmp.Or(opts.Gateways, defaults.Gateways),
		cmp.Or(opts.Workers, defaults.Workers), cmp.Or(opts.Halls, defaults.Halls), cmp.Or(opts.Lanes, defaults.Lanes)
	opts.WorkTime, opts.LoadTime, opts.KeepAlive, opts.ColdFor = cmp.Or(opts.WorkTime, defaults.WorkTime),
		cmp.Or(opts.LoadTime, defaults.LoadTime), cmp.Or(opts.KeepAlive, defaults.KeepAlive), cmp.Or(opts.ColdFor, defaults.ColdFor)
	opts.ColdFrom, opts.CallsPerSecond = cmp.Or(opts.ColdFrom, defaults.ColdFrom), cmp.Or(opts.CallsPerSecond, defaults.CallsPerSecond)
	if opts.Log == nil {
		opts.Log = io.Discard
	}
	if len(opts.Program) == 0 || opts.Gateways < 1 || opts.Gateways > 250 || opts.Workers < 1 || opts.Workers > 250 ||
		opts.Halls < 1 || opts.Halls > 8 {
		return nil, fmt.Errorf("lab: need a program, 1 to 250 gateways, 1 to 250 workers and 1 to 8 halls; got %d gateways, %d workers, %d halls",
			opts.Gateways, opts.Workers, opts.Halls)
	}
	l := &Lab{Options: opts, peerPort: firstPeerPort + (os.Getpid()+int(labCount.Add(1))*7919)%peerPorts,
		rng: rand.New(rand.NewPCG(opts.Seed, 1)), startedAt: time.Now(), runsByRequest: map[string]int{}, lastRunByKey: map[string]time.Time{},
		hallByRequest: map[string]int{}, hallBySession: map[string]int{}}
	l.store = &store{lab: l}
	for i := range opts.Workers {
		w, err := newWorker(l, i)
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
		l.Workers = append(l.Workers, w)
	}
	for i := range opts.Gateways {
		g, err := newGateway(l, i)
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
		l.Gateways = append(l.Gateways, g)
	}
	if opts.PeerRelays {
		if err := l.createPaths(); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	return l, nil
}

// StartAll starts all gateways concurrently and waits until each accepts calls.
func (l *Lab) StartAll() error { return each(l.Gateways, (*Gateway).Start) }

// each calls do for all items concurrently, waits until all calls have returned and joins their errors.
func each[T any](all []T, do func(T) error) error {
	errs := make(chan error, len(all))
	for _, x := range all {
		go func() { errs <- do(x) }()
	}
	var err error
	for range all {
		err = errors.Join(err, <-errs)
	}
	return err
}

// Close ends all processes and stubs of the lab. It may be called more than once.
func (l *Lab) Close() error {
	for _, g := range l.Gateways {
		g.killAll()
	}
	l.mu.Lock()
	closers := l.closers
	l.closers = nil
	l.mu.Unlock()
	for _, f := range closers {
		f()
	}
	return nil
}

// onClose registers f to be called by Close.
func (l *Lab) onClose(f func()) {
	l.mu.Lock()
	l.closers = append(l.closers, f)
	l.mu.Unlock()
}

// Logf writes a line to Options.Log, with the time since the lab was created.
func (l *Lab) Logf(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.Log, "%7.3fs %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, a...))
}

// Counts returns the counts of the stubs so far.
func (l *Lab) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *Lab) count(f func(*Counts)) {
	l.mu.Lock()
	f(&l.counts)
	l.mu.Unlock()
}

// exp draws a duration from an exponential distribution with this mean.
func (l *Lab) exp(mean time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.ExpFloat64() * float64(mean))
}

// acceptAll accepts connections until the listener is closed, and handles each in a goroutine of its own.
func (l *Lab) acceptAll(ln net.Listener, handle func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go handle(c)
	}
}
