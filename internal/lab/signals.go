package lab

import (
	"fmt"
	"syscall"
	"time"
)

// earliestKill is how long after SIGTERM the platform may send SIGKILL: the longest deadline of the lab's classes, and 0.7 s.
const earliestKill = deadline + 700*time.Millisecond

// TerminateBy ends the process with SIGTERM, and with SIGKILL as early as that may come. Clients go on on open connections
// until then; what has no answer by then is lost. It reports whether the process ended by itself.
func (g *Gateway) TerminateBy() (itself bool) {
	g.lab.Logf("%s is asked to end", g.Name)
	g.ending.Store(time.Now().UnixNano())
	p := g.Process()
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.over:
		return true
	case <-time.After(earliestKill):
		g.lab.Logf("%s is still there and is killed", g.Name)
		p.End(syscall.SIGKILL)
		return false
	}
}

// Signals sends signals to the process one after the other.
func (g *Gateway) Signals(list ...syscall.Signal) {
	for _, sig := range list {
		g.lab.Logf("%s gets %v", g.Name, sig)
		g.Process().Signal(sig)
	}
}

// Crowd has so many clients connect to a gateway at once, each with one call, and waits for their ends.
func (t *Traffic) Crowd(g *Gateway, size int) {
	t.lab.Logf("a crowd of %d calls at %s", size, g.Name)
	due := time.Now()
	first := int(t.crowded.Add(int64(size))) - size
	for n := range size {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			number := crowdBase + first + n
			body := fmt.Sprintf("r%08d", number)
			t.ended(body, t.try(t.crowd, number, 0, n%t.load.Functions, body, g), due, 0)
		}()
	}
}
