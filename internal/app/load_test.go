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

// load is clients that call without a pause, each on a connection that it keeps while the gateway does, or on a new one
// each time. A refusal is an answer: a worker that is called back is cold, and bears little.
type load struct {
	stop   atomic.Bool
	wg     sync.WaitGroup
	done   atomic.Int64
	mu     sync.Mutex
	faults []string
	more   chan struct{} // one for each call served
}

func (s *stage) load(clients int) *load {
	l := &load{more: make(chan struct{}, 1)}
	for i := range clients {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			var conn net.Conn
			var r *bufio.Reader
			for n := 0; !l.stop.Load(); n++ {
				if conn != nil && i%2 == 0 {
					conn.Close()
					conn = nil
				}
				kept := conn != nil
				err := errors.New("none")
				for try := 0; try < 2 && err != nil; try++ {
					if conn == nil {
						if conn, err = net.Dial("tcp", s.listen); err != nil {
							break
						}
						r = bufio.NewReader(conn)
					}
					fmt.Fprintf(conn, "POST /do/%016x/call HTTP/1.1\r\nX-Class: read\r\nReq-Owner: a\r\nReq-Id: %08x%08x\r\n"+
						"Req-Wait-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi", n%5, i, n)
					var resp *http.Response
					if resp, err = http.ReadResponse(r, nil); err == nil {
						var body []byte
						if body, err = io.ReadAll(resp.Body); err == nil && resp.StatusCode != 503 && (resp.StatusCode != 200 || string(body) != "hi") {
							err = fmt.Errorf("status %d, body %q", resp.StatusCode, body)
							break
						}
						if resp.Close || err != nil {
							conn.Close()
							conn = nil
						}
					} else {
						conn.Close()
						if conn = nil; !kept || try > 0 { // only a request that crossed the close of an idle connection may go again
							break
						}
					}
				}
				if err != nil {
					l.mu.Lock()
					l.faults = append(l.faults, err.Error())
					l.mu.Unlock()
					if conn != nil {
						conn.Close()
						conn = nil
					}
				}
				l.done.Add(1)
				select {
				case l.more <- struct{}{}:
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

// calls waits until so many more have been answered.
func (l *load) calls(n int64) {
	for until := l.done.Load() + n; l.done.Load() < until; {
		<-l.more
	}
}

// end stops the clients and reports their faults.
func (l *load) end(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.wg.Wait()
	if len(l.faults) > 0 {
		t.Errorf("%d of %d calls failed, first: %s", len(l.faults), l.done.Load(), l.faults[0])
	}
}
