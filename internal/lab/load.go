package lab

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load describes the clients. Only persistent clients wait for an answer before they send the next request.
type Load struct {
	Rate              float64       // requests per second over the whole fleet, besides those of persistent clients
	PersistentClients int           // for each gateway; each sends one request after the other on one connection
	Functions         int           // number of functions, of which the first are called most
	Wait              time.Duration // for the answer to one try
	Unsafe            float64       // part of the requests that must not run twice (class once)
	Keyed             float64       // part of the requests that carry a key (class command)
	SeparateCommands  bool          // calls of class command have functions of their own, from commandFunctionBase on
	Tries             int           // most tries of a request; it is tried again only if it was refused or unreached
}

// Traffic is a running load of clients.
type Traffic struct {
	lab       *Lab
	load      Load
	stop      chan struct{}
	wg        sync.WaitGroup
	http      *http.Client
	burstHTTP *http.Client // for requests of bursts

	burstCalls atomic.Int64 // calls of bursts so far

	mu           sync.Mutex
	totals       Totals
	latency      *hdrhistogram.Histogram // microseconds, from the intended start to a served answer
	lateness     *hdrhistogram.Histogram // microseconds from when a request was due until its client began
	waiters      []waiter
	milestones   []Milestone
	begun        time.Time
	bins         [][3]bin          // by the time at which requests were due, in steps of binLength, and by class
	lastErrors   map[string]string // the last connection error of requests in flight, by the request's body
	errorSamples []string          // errors of the first maxErrorSamples unanswered requests
}

// Start starts clients, which send requests until Traffic.End is called.
func (l *Lab) Start(load Load) *Traffic {
	transport := &http.Transport{DisableKeepAlives: true}
	t := &Traffic{lab: l, load: load, stop: make(chan struct{}),
		http:       &http.Client{Transport: transport},
		burstHTTP:  &http.Client{Transport: resendTransport{RoundTripper: transport, lab: l, burst: true}},
		lastErrors: map[string]string{}, latency: hdrhistogram.New(1, 60_000_000, 3), lateness: hdrhistogram.New(1, 60_000_000, 3)}
	t.begun = time.Now()
	if load.Rate > 0 {
		t.wg.Add(1)
		go t.sendAtRate(rand.New(rand.NewPCG(l.Seed, 2)), t.begun)
	}
	if l.Voters > 0 {
		for _, g := range l.Gateways {
			t.wg.Add(1)
			go t.watchReadiness(g)
		}
	}
	for i := range load.PersistentClients * len(l.Gateways) {
		t.wg.Add(1)
		go t.persistentClient(i, rand.New(rand.NewPCG(l.Seed, 3+uint64(i))))
	}
	return t
}

// sendAtRate starts a request at each due time of a Poisson process with Load.Rate. Requests that it starts late keep their due
// times, so that lateness is measured. It also records a milestone every 100 ms.
func (t *Traffic) sendAtRate(rng *rand.Rand, begun time.Time) {
	defer t.wg.Done()
	due := begun
	lastMilestone := begun
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / t.load.Rate * float64(time.Second)))
		select {
		case <-t.stop:
			return
		case <-time.After(time.Until(due)):
		}
		if time.Since(lastMilestone) > 100*time.Millisecond {
			lastMilestone = time.Now()
			t.mu.Lock()
			t.milestones = append(t.milestones, Milestone{lastMilestone.Sub(begun), t.totals})
			t.mu.Unlock()
		}
		class, fn := t.draw(rng)
		t.wg.Add(1)
		go t.request(n, class, fn, rng.IntN(len(t.lab.Gateways)), due)
	}
}

// draw returns a random class (its letter) and function for a request.
func (t *Traffic) draw(rng *rand.Rand) (class byte, fn int) {
	class = 'r'
	if x := rng.Float64(); x < t.load.Unsafe {
		class = 'o'
	} else if x < t.load.Unsafe+t.load.Keyed {
		class = 'c'
	}
	if fn = int(min(rng.ExpFloat64()/4, 0.999) * float64(t.load.Functions)); t.load.SeparateCommands && class == 'c' {
		fn += commandFunctionBase
	}
	return class, fn
}

// End stops the clients, waits for the requests in flight, and returns the counts.
func (t *Traffic) End() Totals {
	close(t.stop)
	t.wg.Wait()
	return t.Totals()
}
