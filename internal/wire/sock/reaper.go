package sock

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"quillrail/internal/transient"
)

// ringAgain is the pause after a wake-up of the poller that failed.
const ringAgain = 5 * time.Millisecond

// reaper ends connections on the goroutine that polls them. A descriptor that is closed on another may be another
// connection's by the time that the poller comes to an event of the old one, which it has in hand already: it would
// close the new one because the old one's peer hung up.
type reaper struct {
	writing *sync.Mutex // held while a write may close a descriptor

	mu      sync.Mutex
	due     []closing
	waiting []chan struct{} // for the poller to be woken twice
	woken   []chan struct{} // it has been woken once since
	rung    bool            // a wake-up is on its way
	ended   bool            // the poller ends
	ring    *os.File        // wakes the poller
	checked func()          // a test's, called between the look into a socket and its end; else nil
}

// closing is a connection that is to be closed.
type closing struct {
	c      *nbio.Conn
	s      *session
	unless bool  // unless more has come than
	taken  int64 // so many calls of Data
}

// open returns the connection that the poller hears the ring by.
func (r *reaper) open() (*nbio.Conn, error) {
	var fds [2]int
	err := transient.Retry(bindFor, func() (err error) {
		fds, err = unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
		return err
	})
	if err != nil {
		return nil, err
	}
	r.ring = os.NewFile(uintptr(fds[0]), "ring")
	far := os.NewFile(uintptr(fds[1]), "bell")
	defer far.Close()
	std, err := net.FileConn(far)
	if err != nil {
		r.ring.Close()
		return nil, err
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		r.ring.Close()
		return nil, err
	}
	s := new(session)
	s.set(r, false)
	c.SetSession(s)
	return c, nil
}

func (r *reaper) close(c closing) {
	r.mu.Lock()
	r.due = append(r.due, c)
	r.wake()
	r.mu.Unlock()
}

// passed waits until the poller has been through all events that it had in hand as of the call. The wake-up may be one of
// them itself, and the next one cannot be.
func (r *reaper) passed() {
	done := make(chan struct{})
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		return
	}
	r.waiting = append(r.waiting, done)
	r.wake()
	r.mu.Unlock()
	<-done
}

// wake has Data called soon. r.mu is held.
func (r *reaper) wake() {
	if r.rung || r.ended {
		return
	}
	r.rung = true
	if _, err := r.ring.Write([]byte{0}); err != nil {
		time.AfterFunc(ringAgain, r.wakeAgain)
	}
}

// wakeAgain follows a wake-up that the system did not take.
func (r *reaper) wakeAgain() {
	r.mu.Lock()
	r.rung = false
	r.wake()
	r.mu.Unlock()
}

// Data runs on the poller's goroutine. A connection that is shut down there shows the poller its end, as an event of its
// own, and only then is its descriptor closed.
func (r *reaper) Data([]byte) error {
	r.mu.Lock()
	due, over := r.due, r.woken
	r.due, r.woken, r.waiting = nil, r.waiting, nil
	if r.rung = false; len(r.woken) > 0 {
		r.wake()
	}
	r.mu.Unlock()
	release(over)
	for _, d := range due {
		r.shutdown(d)
	}
	return nil
}

// shutdown ends a connection, unless it has ended meanwhile: then its descriptor may be another's.
func (r *reaper) shutdown(d closing) {
	r.writing.Lock()
	defer r.writing.Unlock()
	if closed, _ := d.c.IsClosed(); closed || d.more() {
		return
	}
	if r.checked != nil {
		r.checked()
	}
	d.s.shut = true // before the call: what has come since the look is still given out after it, and is not to be taken
	unix.Shutdown(d.c.Hash(), unix.SHUT_RDWR)
}

func release(waiting []chan struct{}) {
	for _, done := range waiting {
		close(done)
	}
}

// more reports whether a connection that was to be closed only if nothing has come has had more.
func (d closing) more() bool {
	if !d.unless {
		return false
	}
	waiting, err := unix.IoctlGetInt(d.c.Hash(), unix.TIOCINQ)
	return d.s.delivered.Load() != d.taken || err == nil && waiting > 0
}

// Closed ends the ring with the engine.
func (r *reaper) Closed(error) {
	r.mu.Lock()
	r.ended = true
	waiting := append(r.waiting, r.woken...)
	r.waiting, r.woken = nil, nil
	r.mu.Unlock()
	release(waiting)
	r.ring.Close()
}
