package lifecycle

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"quillrail/internal/core"
)

// started runs a gateway of this configuration on loopback until the test ends.
func started(t *testing.T, conf string, log *zap.Logger) *Gateway {
	t.Helper()
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:1").Replace(conf)))
	if err != nil {
		t.Fatal(err)
	}
	c.Extensions = &Extensions{}
	g, err := Start(c, core.WallClock, log)
	if err != nil {
		t.Fatal(err)
	}
	runTurns(t, g)
	return g
}

// status is the answer of a gateway to a call of a class.
func status(t *testing.T, g *Gateway, class string) int {
	t.Helper()
	conn, err := net.Dial("tcp", g.net.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /do/00000000000000ff/call HTTP/1.1\r\nX-Class: %s\r\nReq-Owner: a\r\nReq-Id: 0000000000000001\r\n"+
		"Req-Wait-Ms: 4000\r\nContent-Length: 0\r\n\r\n", class)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

// Two gateways of different settings in one process know nothing of each other's classes and limits.
func TestTwoGatewaysShareNothing(t *testing.T) {
	small := started(t, text, zap.NewNop())
	large := started(t, strings.NewReplacer(`"name":"read"`, `"name":"write"`, `"sockets":1024`, `"sockets":5000`).Replace(text), zap.NewNop())
	for _, c := range []struct {
		g            *Gateway
		own, foreign string
	}{{small, "read", "write"}, {large, "write", "read"}} {
		if got := status(t, c.g, c.foreign); got != http.StatusBadRequest {
			t.Errorf("a call of the other gateway's class %s is answered %d", c.foreign, got)
		}
		if got := status(t, c.g, c.own); got == http.StatusBadRequest {
			t.Errorf("a call of the gateway's own class %s is answered %d", c.own, got)
		}
	}
}

// A configuration that is read again moves the list of workers and changes nothing else; one with a field that can't be used
// changes nothing, and the log names the field and its value.
func TestReloadMovesDiscoveryAndNothingElse(t *testing.T) {
	entries, seen := observer.New(zapcore.InfoLevel)
	g := started(t, text, zap.New(entries))
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("NODE_CONFIG", path)
	reload := func(pairs ...string) {
		t.Helper()
		pairs = append(pairs, "%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:1")
		if err := os.WriteFile(path, []byte(strings.NewReplacer(pairs...).Replace(text)), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := nodeConfig()
		done := make(chan struct{})
		g.loop.Post(func() { g.reload(c, err); close(done) })
		<-done
	}
	reload("%BULLETIN%", "127.0.0.1:2", `"name":"read"`, `"name":"write"`, `"sockets":1024`, `"sockets":64`)
	if got := seen.FilterMessage("bulletin moved").Len(); got != 1 {
		t.Errorf("the list was moved %d times", got)
	}
	if got := status(t, g, "read"); got == http.StatusBadRequest {
		t.Errorf("a class of the settings at the start is answered %d after the reload", got)
	}
	if got := status(t, g, "write"); got != http.StatusBadRequest {
		t.Errorf("a class of the new settings is answered %d", got)
	}
	reload("%BULLETIN%", "127.0.0.1:3", `"deadline-s":4`, `"deadline-s":-4`)
	refused := seen.FilterMessage("configuration not reloaded").All()
	if len(refused) != 1 || !strings.Contains(fmt.Sprint(refused[0].ContextMap()["error"]), "classes[0].deadline-s is -4,") {
		t.Errorf("logged %v", refused)
	}
	if got := seen.FilterMessage("bulletin moved").Len(); got != 1 {
		t.Error("the list was moved by a configuration that can't be used")
	}
}
