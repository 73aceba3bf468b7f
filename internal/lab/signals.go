package lab

import (
	"fmt"
	"syscall"
	"time"
)

// earliestKill is how soon after SIGTERM the platform may send SIGKILL: 0.7 s after the longest deadline of the lab's classes.
const earliestKill = deadline + 700*time.Millisecond

// TerminateOrKill ends the process with SIGTERM, and with SIGKILL if it still runs after earliestKill. Until then clients continue to
// use open connections; requests without an answer by then are lost. It reports whether the process exited after SIGTERM.
func (g *Gateway) TerminateOrKill() (exited bool) {
	g.lab.Logf("%s gets SIGTERM", g.Name)
	g.stopRequestedAt.Store(time.Now().UnixNano())
	p := g.Process()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return true
	case <-time.After(earliestKill):
		g.lab.Logf("%s still runs and is killed", g.Name)
		p.End(syscall.SIGKILL)
		return false
	}
}

// Signals sends signals to the gateway's process one after the other, without a pause.
func (g *Gateway) Signals(list ...syscall.Signal) {
	for _, sig := range list {
		g.lab.Logf("%s gets %v", g.Name, sig)
		g.Process().Signal(sig)
	}
}

// Burst connects size clients to a gateway at once, each with one call. It doesn't wait for the answers; Traffic.End does.
func (t *Traffic) Burst(g *Gateway, size int) {
	t.lab.Logf("a burst of %d calls to %s", size, g.Name)
	due := time.Now()
	first := int(t.burstCalls.Add(int64(size))) - size
	for n := range size {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			number := burstBase + first + n
			body := fmt.Sprintf("r%08d", number)
			t.recordEnd(body, t.try(t.burstHTTP, number, 0, n%t.load.Functions, body, g), due, 0)
		}()
	}
}
