package lab

import (
	"net/http"
	"sync"
	"time"
)

const (
	watchInterval = 20 * time.Millisecond
	noticeTime    = 4 * time.Second // an unplanned outage counts only after this, since the fleet has to notice it first
)

// Watch polls the readiness of every gateway, as a load balancer would, and counts the unavailable ones.
type Watch struct {
	lab            *Lab
	limit          int
	stop           chan struct{}
	wg             sync.WaitGroup
	mu             sync.Mutex
	states         []gatewayState // by the index of the gateway
	maxUnavailable int            // the most at any time when a gateway became unavailable as planned
	violations     int            // how often more than limit were unavailable then
	planned        int            // how often a gateway became unavailable as planned
}

// gatewayState is the last observation of a gateway.
type gatewayState struct {
	unavailable bool
	planned     bool // it is not ready or changes its version, and was not killed or paused
	since       time.Time
}

// Watch starts to poll. When a gateway becomes unavailable as planned, at most limit of them may be unavailable, itself included.
func (l *Lab) Watch(limit int) *Watch {
	w := &Watch{lab: l, limit: limit, stop: make(chan struct{}), states: make([]gatewayState, len(l.Gateways))}
	for i, g := range l.Gateways {
		w.wg.Add(1)
		go w.watch(i, g)
	}
	return w
}

// watch polls one gateway until End.
func (w *Watch) watch(i int, g *Gateway) {
	defer w.wg.Done()
	poll(g, watchInterval, w.stop, func(status int) {
		unavailable := status != http.StatusOK || g.changingVersion.Load() // while it changes its version, a second process takes over
		w.record(i, gatewayState{unavailable: unavailable, planned: unavailable && g.downSince.Load() == 0})
	})
}

// record stores the observation of a gateway. If the gateway has become unavailable as planned, it checks that no more than limit are.
func (w *Watch) record(i int, now gatewayState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.states[i]
	if now.since = old.since; now.unavailable != old.unavailable || now.planned != old.planned {
		now.since = time.Now()
	}
	w.states[i] = now
	if !now.planned || old.unavailable {
		return
	}
	count := 0
	for _, s := range w.states {
		if s.unavailable && (s.planned || time.Since(s.since) > noticeTime) {
			count++
		}
	}
	w.planned++
	if w.maxUnavailable = max(w.maxUnavailable, count); count > w.limit {
		w.violations++
		w.lab.Logf("%s becomes unavailable as number %d, at most %d are allowed: %+v", w.lab.Gateways[i].Name, count, w.limit, w.states)
	}
}

// End stops polling. It returns how often a gateway became unavailable as planned, the most that were unavailable at such a time, and
// how often these were more than the limit.
func (w *Watch) End() (planned, maxUnavailable, violations int) {
	close(w.stop)
	w.wg.Wait()
	return w.planned, w.maxUnavailable, w.violations
}
