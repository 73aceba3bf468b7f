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

// startLoopback runs a gateway with this configuration on loopback until the test ends.
func startLoopback(t *testing.T, conf string, log *zap.Logger) *Gateway {
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
	runLoop(t, g)
	return g
}

// callStatus makes a call of a class and returns the HTTP status of the answer.
func callStatus(t *testing.T, g *Gateway, class string) int {
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

// Two gateways with different settings in one process each know only their own classes and limits.
func TestTwoGatewaysShareNothing(t *testing.T) {
	small := startLoopback(t, configText, zap.NewNop())
	large := startLoopback(t, strings.NewReplacer(`"name":"read"`, `"name":"write"`, `"sockets":1024`, `"sockets":5000`).
		Replace(configText), zap.NewNop())
	for _, c := range []struct {
		g            *Gateway
		own, foreign string
	}{{small, "read", "write"}, {large, "write", "read"}} {
		if got := callStatus(t, c.g, c.foreign); got != http.StatusBadRequest {
			t.Errorf("a call of the other gateway's class %s is answered %d", c.foreign, got)
		}
		if got := callStatus(t, c.g, c.own); got == http.StatusBadRequest {
			t.Errorf("a call of the gateway's own class %s is answered %d", c.own, got)
		}
	}
}

// Reloading a configuration changes the address of the bulletin and nothing else. One with an invalid field changes nothing, and the log
// names the field and its value.
func TestReloadChangesOnlyBulletinAddress(t *testing.T) {
	entries, seen := observer.New(zapcore.InfoLevel)
	g := startLoopback(t, configText, zap.New(entries))
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("NODE_CONFIG", path)
	reload := func(pairs ...string) {
		t.Helper()
		pairs = append(pairs, "%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:1")
		if err := os.WriteFile(path, []byte(strings.NewReplacer(pairs...).Replace(configText)), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := readNodeConfig()
		done := make(chan struct{})
		g.loop.Post(func() { g.reload(c, err); close(done) })
		<-done
	}
	reload("%BULLETIN%", "127.0.0.1:2", `"name":"read"`, `"name":"write"`, `"sockets":1024`, `"sockets":64`)
	if got := seen.FilterMessage("bulletin moved").Len(); got != 1 {
		t.Errorf("the bulletin was moved %d times, want once", got)
	}
	if got := callStatus(t, g, "read"); got == http.StatusBadRequest {
		t.Errorf("a call of a class of the initial settings is answered %d after the reload", got)
	}
	if got := callStatus(t, g, "write"); got != http.StatusBadRequest {
		t.Errorf("a call of a class of the reloaded settings is answered %d, want %d", got, http.StatusBadRequest)
	}
	reload("%BULLETIN%", "127.0.0.1:3", `"deadline-s":4`, `"deadline-s":-4`)
	refused := seen.FilterMessage("configuration not reloaded").All()
	if len(refused) != 1 || !strings.Contains(fmt.Sprint(refused[0].ContextMap()["error"]), "classes[0].deadline-s is -4,") {
		t.Errorf("logged refusals %v, want one that names the field and its value", refused)
	}
	if got := seen.FilterMessage("bulletin moved").Len(); got != 1 {
		t.Error("the bulletin was moved by an invalid configuration")
	}
}
