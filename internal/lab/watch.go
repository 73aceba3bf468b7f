package lab

import (
	"net/http"
	"sync"
	"time"
)

const (
	watchEvery = 20 * time.Millisecond
	noticed    = 4 * time.Second // what is out against its will for so long, the fleet has had the time to see
)

// Watch looks at the readiness of every gateway, as a front before them would, and counts those that are out.
type Watch struct {
	lab   *Lab
	limit int
	over  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	out   []state
	most  int
	broke int
	times int
}

// state is how a gateway was last seen.
type state struct {
	out     bool
	purpose bool // it says so itself, or is being changed
	since   time.Time
}

// Watch begins to look. At most limit gateways may be out where one goes out on purpose.
func (l *Lab) Watch(limit int) *Watch {
	w := &Watch{lab: l, limit: limit, over: make(chan struct{}), out: make([]state, len(l.Gateways))}
	for i, g := range l.Gateways {
		w.wg.Add(1)
		go w.look(i, g)
	}
	return w
}

func (w *Watch) look(i int, g *Gateway) {
	defer w.wg.Done()
	poll(g, watchEvery, w.over, func(status int) {
		out := status != http.StatusOK || g.changing.Load() // changing: a process beside it takes over
		w.see(i, state{out: out, purpose: out && g.unwilling.Load() == 0})
	})
}

// see takes how a gateway is now. One that goes out on purpose is one too many if with it more are out than may be.
func (w *Watch) see(i int, now state) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.out[i]
	if now.since = old.since; now.out != old.out || now.purpose != old.purpose {
		now.since = time.Now()
	}
	w.out[i] = now
	if !now.purpose || old.out {
		return
	}
	n := 0
	for _, s := range w.out {
		if s.out && (s.purpose || time.Since(s.since) > noticed) {
			n++
		}
	}
	w.times++
	if w.most = max(w.most, n); n > w.limit {
		w.broke++
		w.lab.Logf("%s goes out as number %d, %d at most: %+v", w.lab.Gateways[i].Name, n, w.limit, w.out)
	}
}

// End stops looking. It returns how often a gateway went out on purpose, how many were out at most then, and how often that
// were too many.
func (w *Watch) End() (times, most, over int) {
	close(w.over)
	w.wg.Wait()
	return w.times, w.most, w.broke
}
