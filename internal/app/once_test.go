package app

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// callOnce makes calls that must never run twice, on a connection that it keeps while the gateway does, until stop. A call that is
// not answered is not made again. It tells answered of each answer.
func (s *stage) callOnce(client int, stop *atomic.Bool, answered chan<- int) {
	var conn net.Conn
	var in *bufio.Reader
	for n := 0; !stop.Load(); n++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", s.listen); err != nil {
				conn = nil // between two processes, after a kill
				continue
			}
			in = bufio.NewReader(conn)
		}
		fmt.Fprintf(conn, "POST /do/%016x/call HTTP/1.1\r\nX-Class: once\r\nReq-Owner: a\r\nReq-Id: %08x%08x\r\n"+
			"Req-Wait-Ms: 4000\r\nContent-Length: 0\r\n\r\n", n%5, client, n)
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			answered <- resp.StatusCode
		}
		if err != nil || resp.Close {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// Calls that must never run twice do not, though workers run them and reset the connection, and though the gateway is replaced
// by new versions and killed meanwhile.
func TestNeverTwiceThroughUpgrades(t *testing.T) {
	s := newStage(t)
	s.resets = 7
	current := s.start()
	current.line("ready")
	var stop atomic.Bool
	var clients sync.WaitGroup
	answered := make(chan int, 64)
	for i := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.callOnce(i, &stop, answered)
		}()
	}
	statuses := map[int]int{}
	wait := func(n int) {
		for range n {
			statuses[<-answered]++
		}
	}
	for _, end := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL, syscall.SIGTERM} {
		wait(150)
		next := s.start()
		next.line("ready")
		current.line("the new process is ready")
		wait(150)
		current.end(end)
		next.line("the old process has ended")
		current = next
	}
	wait(150)
	stop.Store(true)
	go func() {
		clients.Wait()
		close(answered)
	}()
	for status := range answered {
		statuses[status]++
	}
	calls, twice := 0, 0
	s.ran.Range(func(_, count any) bool {
		if calls++; count.(*atomic.Int64).Load() > 1 {
			twice++
		}
		return true
	})
	t.Logf("figures: calls=%d served=%d failed=%d twice=%d", calls, statuses[http.StatusOK], statuses[http.StatusBadGateway], twice)
	if twice > 0 || statuses[http.StatusOK] == 0 || statuses[http.StatusBadGateway] == 0 {
		t.Errorf("%d of %d calls ran twice; answers %v", twice, calls, statuses)
	}
	if err := current.end(syscall.SIGTERM); err != nil {
		t.Errorf("the last process: %v", err)
	}
}
