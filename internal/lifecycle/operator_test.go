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

// served starts a gateway on loopback with a door for operators, and its turns. It takes clients on return: operators' calls
// go before what a turn was to do, its beginning too.
func served(t *testing.T) *Gateway {
	t.Helper()
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:1",
		`"listen":`, `"operator":"127.0.0.1:0","listen":`).Replace(text)))
	if err != nil {
		t.Fatal(err)
	}
	c.Extensions = &Extensions{}
	g, err := Start(c, core.WallClock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	runTurns(t, g)
	begun := make(chan struct{})
	g.loop.Post(func() { close(begun) })
	<-begun
	return g
}

// runTurns runs a gateway's turns until the test ends, and its sockets with them.
func runTurns(t *testing.T, g *Gateway) {
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
		g.net.Stop()
		if g.admin != nil {
			g.admin.Stop()
		}
	})
}

// ask makes one operator's call on a real socket.
func ask(t *testing.T, g *Gateway, call string) string {
	t.Helper()
	conn, err := net.Dial("tcp", g.admin.Addr())
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

// Operators' calls on real sockets: their replies, what they do to readiness, and the figures by their names.
func TestOperatorsDoor(t *testing.T) {
	g := served(t)
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
		if got := ask(t, g, step[0]); got != step[1] {
			t.Errorf("%s: %q, want %q", step[0], got, step[1])
		}
	}
	done := make(chan struct{})
	g.loop.Post(func() { // SIGHUP with a configuration that can't be read, and with one that can, then SIGTERM
		g.reload(nil, io.ErrUnexpectedEOF)
		g.reload(g.conf, nil)
		g.done = func() {}
		g.drain()
		close(done)
	})
	<-done
	if got := ask(t, g, "show-stat"); !strings.Contains(got, "svc.config_applied:1|c\nsvc.config_rejected:1|c\n") {
		t.Errorf("figures %q", got)
	}
	for _, call := range []string{"ready", "resume"} {
		if got := ask(t, g, call); got != "FAILURE the process is ending\n" {
			t.Errorf("%s after SIGTERM: %q", call, got)
		}
	}
}

// At SIGTERM with a successor that is ready, new connections are its own: this process closes its copy of the socket at
// once, tells the callers of a broker to come back, and still says yes to clients whose connections it holds, since the
// gateway as a whole takes them.
func TestLeavingToASuccessor(t *testing.T) {
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:1").Replace(text)))
	if err != nil {
		t.Fatal(err)
	}
	if c.Extensions, err = ParseExtensions(mqttOn); err != nil {
		t.Fatal(err)
	}
	g, err := Start(c, core.WallClock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer g.net.Stop()
	g.loop.RunOnce()
	// nbio forgets an end that comes before its own goroutines have begun: a connection that is taken shows that they have.
	conn, err := net.Dial("tcp", g.net.Addr())
	if err != nil {
		t.Fatal(err)
	}
	for fmt.Fprint(conn, "GET /check HTTP/1.1\r\nHost: x\r\n\r\n"); g.front.Conns() == 0; g.loop.RunOnce() {
		g.loop.Wait()
	}
	conn.Close()
	g.done = func() {}
	g.upgrade = &upgrade{g: g, to: &handover.Peer{}}
	if g.drain(); g.terminating { // the successor's word is on the way: as if there were none, connections would be lost
		t.Error("SIGTERM did not wait for the successor's word")
	}
	g.upgrade.toReady = true
	g.drain()
	if g.calls.Ready() || !g.front.Ready() {
		t.Errorf("takes calls over MQTT %v, says yes over HTTP %v", g.calls.Ready(), g.front.Ready())
	}
	if conn, err := net.Dial("tcp", g.net.Addr()); err == nil { // nobody else has a copy of the socket here
		conn.Close()
		t.Error("still accepts connections")
	}
}
