package lab

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Worker is the stub of a machine that runs functions. It loads copies on demand, runs a call in each lane of a copy, is cold after a
// restart, and collapses if it gets too many calls while it is cold.
type Worker struct {
	Hall  int
	lab   *Lab
	index int

	mu               sync.Mutex
	ln               net.Listener
	addr             string
	conns            map[net.Conn]bool
	copies           map[string]*copySet
	inflight         int         // calls
	loading          int         // copies
	startedAt        time.Time   // of the last restart; zero before it, when the worker is warm
	recentSends      []time.Time // arrivals of calls within the last collapseWindow, while the worker is cold
	collapsed        bool        // answers no calls and loads until the next restart
	hung             bool        // answers no calls and loads, and leaves connections open, as a machine that has vanished
	banned           bool        // by operators; the lab never lifts a ban
	drainAnnouncedAt time.Time   // when its drain or ban counts as announced to all gateways, or zero
	drainingSince    time.Time   // when it started to drain, or zero
	listedStart      int64       // its start time in the list, in Unix ms
	incarnation      int         // counts restarts and crashes; calls of an earlier incarnation are not answered
}

// copySet is the copies of a function at a worker, loaded or being loaded.
type copySet struct {
	ready       chan struct{} // closed once loaded
	lanes       chan struct{} // holds an element for each lane in use
	waiting     int           // calls that wait for a lane
	unloadTimer *time.Timer   // unloads the copies after Options.KeepAlive
}

func newWorker(l *Lab, n int) (*Worker, error) {
	w := &Worker{lab: l, index: n, Hall: n % l.Halls, conns: map[net.Conn]bool{}, copies: map[string]*copySet{}}
	l.onClose(func() { w.stop(true) })
	return w, w.listen(fmt.Sprintf("127.78.0.%d:0", n+1))
}

// Name returns the worker's name in the list.
func (w *Worker) Name() string { return fmt.Sprintf("s-%08x", w.index+1) }

// address returns where the worker listens, or last listened.
func (w *Worker) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

func (w *Worker) listen(at string) error {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.ln, w.addr = ln, ln.Addr().String()
	w.mu.Unlock()
	go w.lab.acceptAll(ln, w.handle)
	return nil
}

// stop ends the worker's process. With reset its connections are reset; without it they hang, as if the machine had vanished.
func (w *Worker) stop(reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ln != nil {
		w.ln.Close()
		w.ln = nil
	}
	w.incarnation++
	w.copies, w.inflight, w.loading, w.hung = map[string]*copySet{}, 0, 0, !reset
	for c := range w.conns {
		if reset {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	if reset {
		clear(w.conns)
	}
}

// Crash ends the worker at once, without an event in the bulletin.
func (w *Worker) Crash() { w.lab.Logf("%s crashes", w.Name()); w.stop(true) }

// Restart starts the worker empty and cold, and announces it in the bulletin.
func (w *Worker) Restart() error {
	w.stop(true)
	if err := w.listen(w.address()); err != nil {
		return err
	}
	w.mu.Lock()
	w.startedAt, w.recentSends, w.collapsed, w.hung = time.Now(), nil, false, false
	w.drainingSince = time.Time{}
	if !w.banned {
		w.drainAnnouncedAt = time.Time{}
	}
	at := w.lab.wallTime(w.startedAt)
	w.listedStart = unixMilli(at)
	w.mu.Unlock()
	w.lab.Logf("%s restarts", w.Name())
	w.lab.publish(w, 0, at)
	return nil
}

// Drain announces in the bulletin that the worker drains. The worker finishes its calls, and still accepts new ones for
// drainAcceptTime; then it rejects them.
func (w *Worker) Drain() {
	announcedAt := w.lab.announcedAt(time.Now())
	w.mu.Lock()
	w.drainingSince, w.drainAnnouncedAt = time.Now(), announcedAt
	w.mu.Unlock()
	w.lab.Logf("%s drains", w.Name())
	w.lab.publish(w, 1, time.Time{})
}

// MarkBanned records that operators have banned the worker: calls that arrive after the grace are counted as they are for a draining
// worker, also after a restart.
func (w *Worker) MarkBanned() {
	w.mu.Lock()
	w.drainAnnouncedAt, w.banned = time.Now(), true
	w.mu.Unlock()
	w.lab.Logf("%s is banned", w.Name())
}
