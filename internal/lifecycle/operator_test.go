package lifecycle

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/lifecycle/handover"
)

// startWithOperators runs a gateway on loopback with an operator listener until the test ends. It waits until the gateway accepts
// clients: operator calls have priority in the event loop and would otherwise run before the start.
func startWithOperators(t *testing.T) *Gateway {
	t.Helper()
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:1",
		`"listen":`, `"operator":"127.0.0.1:0","listen":`).Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	c.Extensions = &Extensions{}
	g, err := Start(c, core.WallClock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, g)
	begun := make(chan struct{})
	g.loop.Post(func() { close(begun) })
	<-begun
	return g
}

// runLoop runs a gateway's event loop until the test ends, and then closes its sockets and ends the writes to its folder, which the test
// removes.
func runLoop(t *testing.T, g *Gateway) {
	end, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-end:
				return
			default:
				g.loop.Wait()
				g.loop.RunOnce()
			}
		}
	}()
	t.Cleanup(func() {
		close(end)
		g.loop.Post(func() {})
		<-ended
		if g.upgrade != nil && !g.upgrade.ended {
			g.upgrade.stop() // waits until the last state is written
		}
		g.net.Stop()
		if g.operatorNet != nil {
			g.operatorNet.Stop()
		}
	})
}

// operatorCall makes one operator call on a real socket and returns the reply.
func operatorCall(t *testing.T, g *Gateway, call string) string {
	t.Helper()
	conn, err := net.Dial("tcp", g.operatorNet.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "%s\n", call)
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(got)
}

// Operator calls on real sockets have the expected replies and effects on readiness, and show-stat lists all metrics by name.
func TestOperatorCallsOverSocket(t *testing.T) {
	g := startWithOperators(t)
	for _, step := range [][2]string{
		{"ready", "SUCCESS\n"},
		{"disable-server s-00c41f7a", "SUCCESS\n"},
		{"disable-server s-00c41f7a", "SUCCESS\n"},
		{"disable-server s-ffffffff", "FAILURE no such worker\n"},
		{"show-stat", "SUCCESS\nsvc.responses.read.ok:0|c\nsvc.responses.read.shed:0|c\nsvc.responses.read.errors:0|c\n" +
			"svc.tries:0|c\nsvc.attempts.ok:0|c\nsvc.attempts.error:0|c\nsvc.attempts.full:0|c\nsvc.attempts.timeout:0|c\n" +
			"svc.attempts.no_connection:0|c\nsvc.attempts.reset:0|c\nsvc.attempts.cancelled:0|c\nsvc.attempts.not_sent:0|c\n" +
			"svc.attempts.miss:0|c\nsvc.given_up.over_share:0|c\nsvc.given_up.no_time:0|c\nsvc.given_up.no_attempts:0|c\n" +
			"svc.given_up.may_have_run:0|c\nsvc.given_up.no_zone:0|c\nsvc.given_up.too_late:0|c\nsvc.given_up.list_outdated:0|c\n" +
			"svc.active:0|g\nsvc.pool_size:1|g\nsvc.pool_ejected:1|g\n" +
			"svc.config_applied:0|c\nsvc.config_rejected:0|c\nEOT\n"},
		{"enable-server s-00c41f7a", "SUCCESS\n"},
		{"drain", "SUCCESS\n"},
		{"drain", "SUCCESS\n"},
		{"ready", "FAILURE not ready\n"},
		{"resume", "SUCCESS\n"},
		{"ready", "SUCCESS\n"},
	} {
		if got := operatorCall(t, g, step[0]); got != step[1] {
			t.Errorf("%s: %q, want %q", step[0], got, step[1])
		}
	}
	done := make(chan struct{})
	g.loop.Post(func() { // SIGHUP with an unreadable configuration, SIGHUP with a valid one, then SIGTERM
		g.reload(nil, io.ErrUnexpectedEOF)
		g.reload(g.conf, nil)
		g.done = func() {}
		g.drain()
		close(done)
	})
	<-done
	if got := operatorCall(t, g, "show-stat"); !strings.Contains(got, "svc.config_applied:1|c\nsvc.config_rejected:1|c\n") {
		t.Errorf("metrics after two reloads: %q", got)
	}
	for _, call := range []string{"ready", "resume"} {
		if got := operatorCall(t, g, call); got != "FAILURE the process is ending\n" {
			t.Errorf("%s after SIGTERM: %q", call, got)
		}
	}
}

// At SIGTERM with a ready successor, the successor accepts all new connections: this process closes its listening socket at once. It
// refuses calls over MQTT, to be sent again later. On its open connections /check still answers yes, since the gateway as a whole
// accepts calls.
func TestDrainWithReadySuccessorClosesListener(t *testing.T) {
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:1").Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	if c.Extensions, err = ParseExtensions(extensionsText); err != nil {
		t.Fatal(err)
	}
	g, err := Start(c, core.WallClock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer g.net.Stop()
	g.loop.RunOnce()
	// nbio ignores a stop that comes before its goroutines run. An accepted connection shows that they do.
	conn, err := net.Dial("tcp", g.net.Addr())
	if err != nil {
		t.Fatal(err)
	}
	for fmt.Fprint(conn, "GET /check HTTP/1.1\r\nHost: x\r\n\r\n"); g.front.Conns() == 0; g.loop.RunOnce() {
		g.loop.Wait()
	}
	conn.Close()
	g.done = func() {}
	g.upgrade = &upgrade{gateway: g, successor: &handover.Peer{}}
	if g.drain(); g.terminating { // its ready message may be on the way; draining as if there were no successor would lose connections
		t.Error("SIGTERM did not wait for the successor's ready message")
	}
	g.upgrade.successorReady = true
	g.drain()
	if g.mqttFront.Ready() || !g.front.Ready() {
		t.Errorf("accepts calls over MQTT: %v, want false; ready over HTTP: %v, want true", g.mqttFront.Ready(), g.front.Ready())
	}
	if conn, err := net.Dial("tcp", g.net.Addr()); err == nil { // there is no real successor here that would accept
		conn.Close()
		t.Error("the process still accepts connections")
	}
}
