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

// sendAtMostOnceCalls sends calls that must never run twice until stop is set, on a connection that it keeps for as long as the
// gateway does. It doesn't repeat a call that was not answered. It sends the status of each answer to answered.
func (env *environment) sendAtMostOnceCalls(client int, stop *atomic.Bool, answered chan<- int) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; !stop.Load(); n++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", env.listen); err != nil {
				conn = nil // no process listens between a kill and the next start
				continue
			}
			reader = bufio.NewReader(conn)
		}
		fmt.Fprintf(conn, "POST /do/%016x/call HTTP/1.1\r\nX-Class: once\r\nReq-Owner: a\r\nReq-Id: %08x%08x\r\n"+
			"Req-Wait-Ms: 4000\r\nContent-Length: 0\r\n\r\n", n%5, client, n)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			answered <- response.StatusCode
		}
		if err != nil || response.Close {
			conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// No at-most-once call may run twice, even though workers reset connections after they have run a call, and the gateway is upgraded
// and killed meanwhile.
func TestAtMostOnceCallsRunOnceThroughUpgrades(t *testing.T) {
	env := newEnvironment(t)
	env.resetEvery = 7
	current := env.start()
	current.waitForLog("ready")
	var stop atomic.Bool
	var clients sync.WaitGroup
	answered := make(chan int, 64)
	for i := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			env.sendAtMostOnceCalls(i, &stop, answered)
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
		next := env.start()
		next.waitForLog("ready")
		current.waitForLog("the new process is ready")
		wait(150)
		current.signalAndWait(end)
		next.waitForLog("the old process has ended")
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
	env.runsByID.Range(func(_, count any) bool {
		if calls++; count.(*atomic.Int64).Load() > 1 {
			twice++
		}
		return true
	})
	t.Logf("figures: calls=%d served=%d failed=%d twice=%d", calls, statuses[http.StatusOK], statuses[http.StatusBadGateway], twice)
	if twice > 0 || statuses[http.StatusOK] == 0 || statuses[http.StatusBadGateway] == 0 {
		t.Errorf("%d of %d calls ran twice; want none, and answers of both kinds: %v", twice, calls, statuses)
	}
	if err := current.signalAndWait(syscall.SIGTERM); err != nil {
		t.Errorf("the last process: %v", err)
	}
}
