package lab

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load says what clients ask for. They do not wait for answers before they go on, but for those of Lines.
type Load struct {
	Rate      float64       // requests a second over the whole fleet, 0 for none but those of Lines
	Lines     int           // connections at each gateway on which one request follows the other for as long as they stay open
	Functions int           // of which the first are called most
	Wait      time.Duration // how long a client waits for one try
	Unsafe    float64       // part of the requests that must not run twice
	Keyed     float64       // part that carries a key
	Apart     bool          // commands have functions of their own
	Tries     int           // of a request at most; again only where it was refused or nobody was there to take it
}

// Traffic is clients at work.
type Traffic struct {
	lab   *Lab
	load  Load
	stop  chan struct{}
	wg    sync.WaitGroup
	http  *http.Client
	crowd *http.Client // of those that come at once

	crowded atomic.Int64 // calls of crowds so far

	mu      sync.Mutex
	totals  Totals
	latency *hdrhistogram.Histogram // microseconds, from the intended start to a served answer
	late    *hdrhistogram.Histogram // microseconds that clients began after they meant to
	waits   []waiter
	marks   []Milestone
	begun   time.Time
	bins    [][3]bin          // of 0.1 s by when requests were due, by class
	met     map[string]string // what clients last met instead of an answer, by the request's body
	faults  []string          // of these, the first few that were left without an answer
}

// Start has clients call until the traffic is ended.
func (l *Lab) Start(o Load) *Traffic {
	each := &http.Transport{DisableKeepAlives: true}
	t := &Traffic{lab: l, load: o, stop: make(chan struct{}),
		http:  &http.Client{Transport: each},
		crowd: &http.Client{Transport: crossing{RoundTripper: each, lab: l, crowd: true}},
		met:   map[string]string{}, latency: hdrhistogram.New(1, 60_000_000, 3), late: hdrhistogram.New(1, 60_000_000, 3)}
	t.begun = time.Now()
	if o.Rate > 0 {
		t.wg.Add(1)
		go t.pace(rand.New(rand.NewPCG(l.Seed, 2)), t.begun)
	}
	if l.Voters > 0 {
		for _, g := range l.Gateways {
			t.wg.Add(1)
			go t.front(g)
		}
	}
	for i := range o.Lines * len(l.Gateways) {
		t.wg.Add(1)
		go t.line(i, rand.New(rand.NewPCG(l.Seed, 3+uint64(i))))
	}
	return t
}

// pace begins a request whenever one is due, however late it comes to it.
func (t *Traffic) pace(rng *rand.Rand, begun time.Time) {
	defer t.wg.Done()
	due := begun
	mark := begun
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / t.load.Rate * float64(time.Second)))
		select {
		case <-t.stop:
			return
		case <-time.After(time.Until(due)):
		}
		if time.Since(mark) > 100*time.Millisecond {
			mark = time.Now()
			t.mu.Lock()
			t.marks = append(t.marks, Milestone{mark.Sub(begun), t.totals})
			t.mu.Unlock()
		}
		kind, fn := t.draw(rng)
		t.wg.Add(1)
		go t.request(n, kind, fn, rng.IntN(len(t.lab.Gateways)), due)
	}
}

// draw returns a request's class and function.
func (t *Traffic) draw(rng *rand.Rand) (kind byte, fn int) {
	kind = 'r'
	if x := rng.Float64(); x < t.load.Unsafe {
		kind = 'o'
	} else if x < t.load.Unsafe+t.load.Keyed {
		kind = 'c'
	}
	if fn = int(min(rng.ExpFloat64()/4, 0.999) * float64(t.load.Functions)); t.load.Apart && kind == 'c' {
		fn += apart
	}
	return kind, fn
}

// End has no more requests begin, waits for those that are out, and returns the counts.
func (t *Traffic) End() Totals {
	close(t.stop)
	t.wg.Wait()
	return t.Totals()
}
