package lifecycle

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
)

// startUpgradable runs a gateway whose processes find each other in dir, and that takes calls by MQTT from a broker that does not answer.
func startUpgradable(t *testing.T, dir string) *Gateway {
	t.Helper()
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:1").Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	if c.Extensions, err = ParseExtensions(extensionsText); err != nil {
		t.Fatal(err)
	}
	c.StateDir = dir
	g, err := Start(c, core.WallClock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	runLoop(t, g)
	return g
}

// onLoop runs f on the gateway's event loop and returns when it has run.
func onLoop(g *Gateway, f func()) {
	done := make(chan struct{})
	g.loop.Post(func() { f(); close(done) })
	<-done
}

// untilTrue runs check on the gateway's event loop until it returns true.
func untilTrue(g *Gateway, check func() bool) {
	for ok := false; !ok; time.Sleep(time.Millisecond) {
		onLoop(g, func() { ok = check() })
	}
}

// SIGTERM with a call that is open until the drain limit has two timers stop the gateway, a few milliseconds apart. The second one must
// do nothing, also while the first one still waits for what ends on another goroutine.
func TestGatewayIsStoppedOnce(t *testing.T) {
	g := startUpgradable(t, t.TempDir())
	untilTrue(g, func() bool { return g.upgrade.server != nil })
	ended := 0
	onLoop(g, func() {
		g.done = func() { ended++ }
		g.stop()
		g.stop()
	})
	if ended != 1 {
		t.Errorf("the gateway ended %d times", ended)
	}
}
