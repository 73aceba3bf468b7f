package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// httpLoad is a steady load of HTTP calls. Every client has one connection, on which it makes one call at a time.
type httpLoad struct {
	record *record
	addr   string
	stop   chan struct{}
	wg     sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int // calls by outcome
}

const (
	httpClients   = 40
	callInterval  = 330 * time.Millisecond // of one client
	httpFunctions = 60
)

func startLoad(rec *record, addr string) *httpLoad {
	l := &httpLoad{record: rec, addr: addr, stop: make(chan struct{}), counts: map[string]int{}}
	for n := range httpClients {
		l.wg.Add(1)
		go l.client(n)
	}
	return l
}

// end stops all clients after their present calls, and returns the calls by outcome.
func (l *httpLoad) end() map[string]int {
	close(l.stop)
	l.wg.Wait()
	return l.counts
}

func (l *httpLoad) client(n int) {
	defer l.wg.Done()
	var c net.Conn
	var in *bufio.Reader
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	ticker := time.NewTicker(callInterval)
	defer ticker.Stop()
	for call := n; ; call += httpClients {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		for try := 0; ; try++ {
			reused := c != nil
			if c == nil {
				var err error
				if c, err = net.DialTimeout("tcp", l.addr, time.Second); err != nil {
					c = nil
					l.count("unreached")
					break
				}
				in = bufio.NewReader(c)
			}
			sent := time.Now()
			outcome, keep := l.call(c, in, call)
			if !keep {
				c.Close()
				c = nil
			}
			// A call that crosses the close of a resting connection within 50 ms is sent once more, on a new connection.
			if outcome == "unanswered" && reused && try == 0 && time.Since(sent) <= 50*time.Millisecond {
				continue
			}
			l.count(outcome)
			break
		}
	}
}

func (l *httpLoad) count(outcome string) {
	l.mu.Lock()
	l.counts[outcome]++
	l.mu.Unlock()
}

// call makes one call and returns its outcome, and whether the connection can be used again.
func (l *httpLoad) call(c net.Conn, in *bufio.Reader, n int) (outcome string, keep bool) {
	k := classes[n%len(classes)]
	id := fmt.Sprintf("%016x", rand.Uint64())
	head := fmt.Sprintf("POST /do/%016x/call HTTP/1.1\r\nHost: backend.local\r\nX-Class: %s\r\nReq-Id: %s\r\nReq-Wait-Ms: %.0f\r\n"+
		"Req-Owner: %s\r\nReq-Cost: 40\r\nX-Tags: memory_mb:2500;lanes:4;load_ms:150\r\n", 0x7f3a0000+n%httpFunctions, k.name, id,
		k.deadline*1000, tenants[n%len(tenants)])
	if k.effect == "deduplicated" {
		head += fmt.Sprintf("Req-Token: %016x%016x\r\n", rand.Uint64(), rand.Uint64())
	}
	c.SetDeadline(time.Now().Add(time.Duration((k.deadline + 0.5) * float64(time.Second))))
	l.record.logf("client sends %s %s", id, k.name)
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(id), id); err != nil {
		return "unanswered", false
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		l.record.logf("client gets no answer to %s: %v", id, err)
		return "unanswered", false
	}
	body, err := io.ReadAll(resp.Body)
	l.record.logf("client gets %d for %s", resp.StatusCode, id)
	switch {
	case err != nil:
		return "unanswered", false
	case resp.StatusCode == 200 && string(body) != "ran "+id:
		outcome = "wrong"
	case resp.StatusCode == 200:
		outcome = "served"
	case resp.StatusCode == 503 || resp.StatusCode == 429:
		outcome = "refused"
	default:
		outcome = "failed"
	}
	return outcome, !resp.Close
}
