package lab

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Worker is a stand-in for a machine that runs functions: it loads copies on demand, runs so many calls at a time on
// each, starts cold, and falls over when too much comes while it is.
type Worker struct {
	Hall int
	lab  *Lab
	n    int

	mu        sync.Mutex
	ln        net.Listener
	addr      string
	conns     map[net.Conn]bool
	copies    map[string]*instance
	inflight  int
	loading   int
	started   time.Time // zero: warm for long
	sends     []time.Time
	fallen    bool
	hung      bool      // says nothing more, as a machine that has vanished
	banned    bool      // for good
	drained   time.Time // when all were told that it drains, or count as told, or zero
	drains    time.Time // when it began to drain, or zero
	toldStart int64     // when it was started, as the list tells it
	life      int       // a call of a former life is not answered
}

// instance is the copies of a function at a worker.
type instance struct {
	ready   chan struct{} // closed once loaded
	lanes   chan struct{}
	waiting int
	idle    *time.Timer
}

func newWorker(l *Lab, n int) (*Worker, error) {
	w := &Worker{lab: l, n: n, Hall: n % l.Halls, conns: map[net.Conn]bool{}, copies: map[string]*instance{}}
	l.onClose(func() { w.stop(true) })
	return w, w.listen(fmt.Sprintf("127.78.0.%d:0", n+1))
}

// Name is the worker's name in the list.
func (w *Worker) Name() string { return fmt.Sprintf("s-%08x", w.n+1) }

// at is where the worker listens, or did.
func (w *Worker) at() string {
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
	go w.lab.serve(ln, w.handle)
	return nil
}

// stop ends the worker's process: its connections are reset, or hang where the machine has vanished.
func (w *Worker) stop(reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ln != nil {
		w.ln.Close()
		w.ln = nil
	}
	w.life++
	w.copies, w.inflight, w.loading, w.hung = map[string]*instance{}, 0, 0, !reset
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

// Crash ends the worker at once; nobody is told.
func (w *Worker) Crash() { w.lab.Logf("%s crashes", w.Name()); w.stop(true) }

// Restart starts a worker that was ended, empty and cold, and has the bulletin say so.
func (w *Worker) Restart() error {
	w.stop(true)
	if err := w.listen(w.at()); err != nil {
		return err
	}
	w.mu.Lock()
	w.started, w.sends, w.fallen, w.hung = time.Now(), nil, false, false
	w.drains = time.Time{}
	if !w.banned {
		w.drained = time.Time{}
	}
	at := w.lab.wall(w.started)
	w.toldStart = unixMilli(at)
	w.mu.Unlock()
	w.lab.Logf("%s is started anew", w.Name())
	w.lab.tell(w, 0, at)
	return nil
}

// Drain has the bulletin say that the worker takes nothing new; it goes on with what it has, and for acceptsFor with what
// comes. Then it turns calls away.
func (w *Worker) Drain() {
	told := w.lab.listsTold(time.Now())
	w.mu.Lock()
	w.drains, w.drained = time.Now(), told
	w.mu.Unlock()
	w.lab.Logf("%s drains", w.Name())
	w.lab.tell(w, 1, time.Time{})
}

// Banned notes that operators have left the worker out: what comes to it once the grace is over is counted as for one that
// drains, also after it was started anew.
func (w *Worker) Banned() {
	w.mu.Lock()
	w.drained, w.banned = time.Now(), true
	w.mu.Unlock()
	w.lab.Logf("%s is left out by hand", w.Name())
}
