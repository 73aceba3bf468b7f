// Package lab starts real processes of the gateway among stand-ins on loopback, and breaks them: workers with copies,
// lanes and a cold start, a store of models, a bulletin, relays that lose and delay, clients that call at a steady pace.
// The stand-ins count; what is said of a run is theirs, never a gateway's. It ends only what it has started.
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

// Options say what a lab holds. What is left out has the value of Defaults.
type Options struct {
	Program   []string                   // the command that starts a gateway, with its arguments
	Arguments []string                   // and further ones
	Env       []string                   // added to the environment of gateways,
	EnvOf     func(gateway int) []string // and of one, from 0; nil for none
	Dir       string                     // for configurations and what gateways keep; it has to exist
	Seed      uint64                     // of everything that is drawn
	Gateways  int                        // 1 to 250
	Workers   int                        // 1 to 250, taking turns among the halls
	Halls     int                        // 1 to 8
	Log       io.Writer                  // what is done to the fleet, a line each; nil for nowhere

	Lanes     int           // calls that a copy runs at a time
	Work      time.Duration // of a call, on average
	Load      time.Duration // of a copy from the store, when nobody else loads
	KeepAlive time.Duration // an idle copy stands so long
	ColdFor   time.Duration // a worker that starts is warm after
	ColdFrom  float64       // and begins with this part of its capacity
	Unprobed  bool          // gateways may not probe workers
	ClockFile string        // where gateways read by how much their wall clock has been stepped, in ns; empty where it never is
	Fleet     bool          // gateways know each other and keep their state on disk
	Paths     bool          // gateways reach each other by relays, so that they can be cut from each other
	Voters    int           // gateways that hold the log of what the fleet agrees on, 0 for no agreement; the first ones, of different halls
	Settings  string        // added to each gateway's file of the fleet
	StoreAt   int           // loads at once that push the store over, 0 for never
	PerSecond float64       // calls a second that a warm worker bears: a cold one that gets more falls over
}

// Defaults is a small fleet that is quick to start.
var Defaults = Options{Gateways: 3, Workers: 4, Halls: 2, Lanes: 4, Work: 20 * time.Millisecond, Load: 150 * time.Millisecond,
	KeepAlive: 10 * time.Second, ColdFor: 5 * time.Second, ColdFrom: 0.2, PerSecond: 150}

const (
	fallMultiple = 2.5             // of its present capacity a cold worker bears, over
	fallFor      = 3 * time.Second // so long
	deadline     = 2 * time.Second // of every class
	drainGrace   = 2 * time.Second // after it was told, nothing new may come to a draining worker
	keyWindow    = 8 * time.Second // workers of a hall drop the repeat of a key for so long
	toldWithin   = 7 * time.Second // what the list has to tell counts as told, whether it arrived or not
	acceptsFor   = time.Second     // a worker that drains goes on taking calls for so long
	queueEach    = 32              // calls that wait for a copy; further ones are turned away
)

// Gateways of a lab reach each other at one of these ports, which lie below those that the kernel gives out.
const (
	firstPeerPort = 20_000
	peerPorts     = 12_000
)

// Classes of a lab, by the first letter of a request's body.
var classes = map[byte]string{'r': "read", 'c': "command", 'o': "once"}

// labs counts those of this process: each has a port of its own.
var labs atomic.Int64

// Lab is a fleet of gateways and what they meet. Its methods may be called from any goroutine.
type Lab struct {
	Options
	Gateways []*Gateway
	Workers  []*Worker

	peers         int // the port at which gateways reach each other
	mu            sync.Mutex
	rng           *rand.Rand
	begun         time.Time
	closers       []func()
	runs          map[string]int       // executions by request
	keyed         map[string]time.Time // when a key last ran in a hall
	counts        Counts
	store         *store
	paths         [][]*path     // from a gateway to another
	listsImpaired bool          // some gateway does not hear its bulletin in time
	step          time.Duration // of the wall clocks so far

	confined *confined
	ranAt    map[string]int // halls of requests
	sessions map[string]int // halls of sessions, by epoch and function
}

// Counts is what the stand-ins have seen.
type Counts struct {
	Kills      int // gateways killed
	Runs       int // executions of calls
	Twice      int // requests that ran twice though their class forbids it, keyed ones within a hall and its window
	Dropped    int // repeats of a key that workers dropped
	LateSends  int // calls and orders that came to a worker later than the grace after its drain was told
	Crossed    int // requests sent again since they had crossed the close of an idle connection
	TurnedAway int // calls that came to a worker that drains
	Fell       int // cold workers pushed over
	Loads      int // copies loaded
	Pushed     int // times that the store was pushed over
	Outside    int // commands, and loads for them, at a hall where they may not be
	Split      int // sessions that were at two halls in one epoch
}

// New prepares a lab: workers listen, bulletins are ready, gateways have their addresses and are not started yet.
func New(o Options) (*Lab, error) {
	d := Defaults
	o.Gateways, o.Workers, o.Halls, o.Lanes = cmp.Or(o.Gateways, d.Gateways), cmp.Or(o.Workers, d.Workers), cmp.Or(o.Halls, d.Halls),
		cmp.Or(o.Lanes, d.Lanes)
	o.Work, o.Load, o.KeepAlive, o.ColdFor = cmp.Or(o.Work, d.Work), cmp.Or(o.Load, d.Load), cmp.Or(o.KeepAlive, d.KeepAlive),
		cmp.Or(o.ColdFor, d.ColdFor)
	o.ColdFrom, o.PerSecond = cmp.Or(o.ColdFrom, d.ColdFrom), cmp.Or(o.PerSecond, d.PerSecond)
	if o.Log == nil {
		o.Log = io.Discard
	}
	if len(o.Program) == 0 || o.Gateways < 1 || o.Gateways > 250 || o.Workers < 1 || o.Workers > 250 || o.Halls < 1 || o.Halls > 8 {
		return nil, fmt.Errorf("lab: a program, 1 to 250 gateways and workers and 1 to 8 halls are needed: %d, %d, %d",
			o.Gateways, o.Workers, o.Halls)
	}
	l := &Lab{Options: o, peers: firstPeerPort + (os.Getpid()+int(labs.Add(1))*7919)%peerPorts, rng: rand.New(rand.NewPCG(o.Seed, 1)), begun: time.Now(), runs: map[string]int{}, keyed: map[string]time.Time{},
		ranAt: map[string]int{}, sessions: map[string]int{}}
	l.store = &store{lab: l}
	for i := range o.Workers {
		w, err := newWorker(l, i)
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
		l.Workers = append(l.Workers, w)
	}
	for i := range o.Gateways {
		g, err := newGateway(l, i)
		if err != nil {
			return nil, errors.Join(err, l.Close())
		}
		l.Gateways = append(l.Gateways, g)
	}
	if o.Paths {
		if err := l.lay(); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
	return l, nil
}

// StartAll starts every gateway and waits until each takes calls.
func (l *Lab) StartAll() error { return each(l.Gateways, (*Gateway).Start) }

// each does something to all at once and waits for the last.
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

// Close ends all that the lab has started. It may be called more than once.
func (l *Lab) Close() error {
	for _, g := range l.Gateways {
		g.end()
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

// onClose has f called when the lab ends.
func (l *Lab) onClose(f func()) {
	l.mu.Lock()
	l.closers = append(l.closers, f)
	l.mu.Unlock()
}

// Logf notes a line of what is done, with the time since the lab began.
func (l *Lab) Logf(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.Log, "%7.3fs %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, a...))
}

// Counts returns what the stand-ins have counted so far.
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

// exp draws a time from an exponential distribution.
func (l *Lab) exp(mean time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rng.ExpFloat64() * float64(mean))
}

// serve accepts connections at an address until the lab ends.
func (l *Lab) serve(ln net.Listener, handle func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go handle(c)
	}
}
