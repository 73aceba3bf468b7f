package app

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// load is a set of clients that send calls without a pause. One half opens a new connection for each call, the other half keeps a
// connection for as long as the gateway does. A refusal counts as an answer: a worker whose ban was lifted is cold and can serve
// little.
type load struct {
	stop     atomic.Bool
	clients  sync.WaitGroup
	answered atomic.Int64
	mu       sync.Mutex
	failures []string
	progress chan struct{} // receives a value when a call has ended
}

func (env *environment) load(clients int) *load {
	l := &load{progress: make(chan struct{}, 1)}
	for i := range clients {
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			var conn net.Conn
			var reader *bufio.Reader
			for n := 0; !l.stop.Load(); n++ {
				if conn != nil && i%2 == 0 {
					conn.Close()
					conn = nil
				}
				reused := conn != nil
				err := errors.New("not sent")
				for attempt := 0; attempt < 2 && err != nil; attempt++ {
					if conn == nil {
						if conn, err = net.Dial("tcp", env.listen); err != nil {
							break
						}
						reader = bufio.NewReader(conn)
					}
					fmt.Fprintf(conn, "POST /do/%016x/call HTTP/1.1\r\nX-Class: read\r\nReq-Owner: a\r\nReq-Id: %08x%08x\r\n"+
						"Req-Wait-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi", n%5, i, n)
					var response *http.Response
					if response, err = http.ReadResponse(reader, nil); err == nil {
						var body []byte
						if body, err = io.ReadAll(response.Body); err == nil && response.StatusCode != 503 &&
							(response.StatusCode != 200 || string(body) != "hi") {
							err = fmt.Errorf("status %d, body %q", response.StatusCode, body)
							break
						}
						if response.Close || err != nil {
							conn.Close()
							conn = nil
						}
					} else {
						conn.Close()
						if conn = nil; !reused || attempt > 0 { // only a request that crossed the close of an idle connection may be sent again
							break
						}
					}
				}
				if err != nil {
					l.mu.Lock()
					l.failures = append(l.failures, err.Error())
					l.mu.Unlock()
					if conn != nil {
						conn.Close()
						conn = nil
					}
				}
				l.answered.Add(1)
				select {
				case l.progress <- struct{}{}:
				default:
				}
			}
			if conn != nil {
				conn.Close()
			}
		}()
	}
	return l
}

// waitForCalls waits until n more calls have ended.
func (l *load) waitForCalls(n int64) {
	for until := l.answered.Load() + n; l.answered.Load() < until; {
		<-l.progress
	}
}

// stopAndCheck stops the clients and fails the test if any call failed.
func (l *load) stopAndCheck(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.clients.Wait()
	if len(l.failures) > 0 {
		t.Errorf("%d of %d calls failed, the first with: %s", len(l.failures), l.answered.Load(), l.failures[0])
	}
}
