package fleettest

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// operatorCalls are the calls of operators that any gateway takes, with the id of a worker of the lab.
var operatorCalls = []string{"ready", "show-stat", "disable-server s-00000001", "enable-server s-00000001", "drain", "resume"}

// sendUntil sends operators' calls to the process that is started last, one after the other, until stop is closed. It returns how many
// were answered.
func sendUntil(g *lab.Gateway, stop <-chan struct{}) (answered int) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return answered
		default:
		}
		g.Signals(syscall.SIGHUP)
		if reply, err := g.SendCommand(operatorCalls[n%len(operatorCalls)]); err == nil && reply != "" {
			answered++
		}
	}
}

// A gateway of a fleet that starts must take operators' calls and SIGHUP in every phase, from the first that it can be reached in until it
// serves: none of them may end it.
func TestOperatorCallsWhileGatewayStarts(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, lab.Options{Fleet: true})
	g := fleet.Gateways[0]
	for range 3 {
		g.Kill()
		stop, answered := make(chan struct{}), make(chan int)
		go func() { answered <- sendUntil(g, stop) }()
		err := g.Start()
		close(stop)
		if n := <-answered; err != nil || n == 0 {
			t.Fatalf("%d calls were answered during the start, which ended with %v", n, err)
		}
		if reply, err := g.SendCommand("show-stat"); err != nil || !strings.HasSuffix(reply, "EOT\n") {
			t.Errorf("show-stat after the start: %q, %v", reply, err)
		}
	}
}

// SIGTERM while a gateway of a fleet starts must end it without a failure.
func TestTerminationWhileGatewayStarts(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, lab.Options{Fleet: true})
	g := fleet.Gateways[0]
	for range 3 {
		g.Kill()
		killed, started := g.Process(), make(chan error, 1)
		go func() { started <- g.Start() }()
		for g.Process() == killed {
			time.Sleep(time.Millisecond)
		}
		if reply, _ := g.SendCommand("ready"); !strings.HasPrefix(reply, "FAILURE not ready") {
			t.Errorf("ready: %q, want the start not to have ended", reply)
		}
		if err := g.Terminate(); err != nil {
			t.Errorf("the process ended with %v:\n%s", err, g.Process().Log())
		}
		<-started
	}
}
