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

// wakeRetryPause is the pause before waking the poller is retried after a failure.
const wakeRetryPause = 5 * time.Millisecond

// pollerQueue runs close requests on the poller goroutine, which it wakes by a byte on a socket pair. Closing a descriptor on any other
// goroutine is unsafe: the number may be reused for a new connection while the poller still has an event of the old one to process, and
// the poller would then close the new connection because the old one's peer hung up.
type pollerQueue struct {
	writing *sync.Mutex // held while a write may close a descriptor

	mu                 sync.Mutex
	closeRequests      []closeRequest
	waiting            []chan struct{} // released after two wake-ups of the poller
	wokenOnce          []chan struct{} // released after the next wake-up
	wakePending        bool            // a wake-up has been sent and not processed
	ended              bool            // the poller has stopped
	wakeWriter         *os.File        // a byte written to it wakes the poller
	testBeforeShutdown func()          // set by tests: called between the check for new data and the shutdown
}

// closeRequest is a request to close a connection.
type closeRequest struct {
	conn        *nbio.Conn
	session     *session
	ifNoNewData bool // close only if Data was called no more than delivered times and nothing is unread
	delivered   int64
}

// open returns the connection on which the poller receives the wake-ups.
func (q *pollerQueue) open() (*nbio.Conn, error) {
	var fds [2]int
	err := transient.Retry(bindTimeout, func() (err error) {
		fds, err = unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
		return err
	})
	if err != nil {
		return nil, err
	}
	q.wakeWriter = os.NewFile(uintptr(fds[0]), "ring")
	wakeReader := os.NewFile(uintptr(fds[1]), "bell")
	defer wakeReader.Close()
	std, err := net.FileConn(wakeReader)
	if err != nil {
		q.wakeWriter.Close()
		return nil, err
	}
	c, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		q.wakeWriter.Close()
		return nil, err
	}
	s := new(session)
	s.setHandler(q, false)
	c.SetSession(s)
	return c, nil
}

// close queues a close request.
func (q *pollerQueue) close(request closeRequest) {
	q.mu.Lock()
	q.closeRequests = append(q.closeRequests, request)
	q.wake()
	q.mu.Unlock()
}

// awaitCurrentEvents waits until the poller has processed all events that it had fetched when the call was made. It waits for two
// wake-ups: the first may be among those events, but the second is fetched after them.
func (q *pollerQueue) awaitCurrentEvents() {
	done := make(chan struct{})
	q.mu.Lock()
	if q.ended {
		q.mu.Unlock()
		return
	}
	q.waiting = append(q.waiting, done)
	q.wake()
	q.mu.Unlock()
	<-done
}

// wake has the poller call Data soon. The caller holds q.mu.
func (q *pollerQueue) wake() {
	if q.wakePending || q.ended {
		return
	}
	q.wakePending = true
	if _, err := q.wakeWriter.Write([]byte{0}); err != nil {
		time.AfterFunc(wakeRetryPause, q.wakeAgain)
	}
}

// wakeAgain retries a wake-up that could not be written.
func (q *pollerQueue) wakeAgain() {
	q.mu.Lock()
	q.wakePending = false
	q.wake()
	q.mu.Unlock()
}

// Data runs on the poller goroutine and carries out the close requests. Shutting a connection down gives the poller an event of that
// connection, and only while processing it does the poller close the descriptor.
func (q *pollerQueue) Data([]byte) error {
	q.mu.Lock()
	requests, finished := q.closeRequests, q.wokenOnce
	q.closeRequests, q.wokenOnce, q.waiting = nil, q.waiting, nil
	if q.wakePending = false; len(q.wokenOnce) > 0 {
		q.wake()
	}
	q.mu.Unlock()
	release(finished)
	for _, request := range requests {
		q.shutdown(request)
	}
	return nil
}

// shutdown shuts a connection down. A connection that is closed already is skipped, since its descriptor number may have been reused.
func (q *pollerQueue) shutdown(request closeRequest) {
	q.writing.Lock()
	defer q.writing.Unlock()
	if closed, _ := request.conn.IsClosed(); closed || request.hasNewData() {
		return
	}
	if q.testBeforeShutdown != nil {
		q.testBeforeShutdown()
	}
	request.session.closedHere = true // before the shutdown: bytes received since the check are still read after it, and must be dropped
	unix.Shutdown(request.conn.Hash(), unix.SHUT_RDWR)
}

// release lets waiting goroutines continue.
func release(waiting []chan struct{}) {
	for _, done := range waiting {
		close(done)
	}
}

// hasNewData reports whether a connection that is to be closed only without new data has received some.
func (r closeRequest) hasNewData() bool {
	if !r.ifNoNewData {
		return false
	}
	unread, err := unix.IoctlGetInt(r.conn.Hash(), unix.TIOCINQ)
	return r.session.delivered.Load() != r.delivered || err == nil && unread > 0
}

// Closed is called when the engine stops. It releases all waiting goroutines and closes the writing end of the socket pair.
func (q *pollerQueue) Closed(error) {
	q.mu.Lock()
	q.ended = true
	waiting := append(q.waiting, q.wokenOnce...)
	q.waiting, q.wokenOnce = nil, nil
	q.mu.Unlock()
	release(waiting)
	q.wakeWriter.Close()
}
