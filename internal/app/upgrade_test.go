package app

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestMain runs the gateway instead of the tests if the environment asks for it, so that tests can start real gateway processes.
func TestMain(m *testing.M) {
	if os.Getenv("QUILLRAIL_TEST_PROCESS") != "" {
		os.Args = []string{"quillrail", "serve", "--mqtt", "none"}
		Main()
		return
	}
	os.Exit(m.Run())
}

// When a new process takes over under load, twice in a row, no call is lost. Bans are handed over, and while both processes run,
// setting and lifting a ban at one of them takes effect at the other too.
func TestUpgradeUnderLoad(t *testing.T) {
	env := newEnvironment(t)
	old := env.start()
	old.waitForLog("ready")
	l := env.load(8)
	l.waitForCalls(100)
	if got := old.operatorCall("disable-server s-00000000"); got != "SUCCESS\n" {
		t.Fatal(got)
	}
	for range 2 {
		next := env.start()
		next.waitForLog("taking over from a process that serves")
		next.waitForLog("ready")
		old.waitForLog("the new process is ready")
		if got := next.operatorCall("ready"); got != "SUCCESS\n" {
			t.Errorf("the new process: %s", got)
		}
		l.waitForCalls(100)
		before := env.callsByWorker[0].Load()
		l.waitForCalls(100)
		if env.callsByWorker[0].Load() != before {
			t.Error("a banned worker got calls")
		}
		if err := old.signalAndWait(syscall.SIGTERM); err != nil {
			t.Errorf("the old process: %v", err)
		}
		next.waitForLog("the old process has ended")
		l.waitForCalls(100)
		if got := next.operatorCall("show-stat"); !strings.Contains(got, "svc.pool_ejected:1|g\n") {
			t.Errorf("show-stat: %s", got)
		}
		old = next
	}
	next := env.start()
	next.waitForLog("ready")
	old.waitForLog("the new process is ready")
	if got := next.operatorCall("enable-server s-00000000"); got != "SUCCESS\n" { // sent to one of the two processes only
		t.Error(got)
	}
	if got := next.operatorCall("disable-server s-00000001"); got != "SUCCESS\n" {
		t.Error(got)
	}
	l.waitForCalls(100) // by then, what both processes sent before the ban has been answered
	for ejected := ""; !strings.Contains(ejected, "svc.pool_ejected:1|g\n"); {
		ejected = old.operatorCall("show-stat")
	}
	if err := old.signalAndWait(syscall.SIGTERM); err != nil {
		t.Errorf("the old process: %v", err)
	}
	before := env.callsByWorker[0].Load()
	if l.waitForCalls(100); env.callsByWorker[0].Load() == before {
		t.Error("a worker whose ban was lifted got no calls")
	}
	l.stopAndCheck(t)
	if err := next.signalAndWait(syscall.SIGTERM); err != nil {
		t.Errorf("the last process: %v", err)
	}
}

// If a new process dies before or after it has reported that it is ready, the old one goes on serving, and the next new process can
// take over.
func TestOldProcessServesWhenNewProcessDies(t *testing.T) {
	env := newEnvironment(t)
	old := env.start()
	old.waitForLog("ready")
	l := env.load(4)
	l.waitForCalls(50)
	early := env.start() // it may have the old process's listening socket, but has perhaps not reported that it is ready
	early.signalAndWait(syscall.SIGKILL)
	old.waitForLog("the new process has gone")
	late := env.start()
	late.waitForLog("ready")
	old.waitForLog("the new process is ready")
	l.stop.Store(true) // calls that a killed process has accepted are lost with it; the old process can't answer them
	l.clients.Wait()
	late.signalAndWait(syscall.SIGKILL)
	old.waitForLog("the new process has gone")
	l = env.load(4)
	l.waitForCalls(100)
	l.stopAndCheck(t)
	if got := old.operatorCall("ready"); got != "SUCCESS\n" {
		t.Error(got)
	}
	next := env.start()
	next.waitForLog("taking over from a process that serves")
	next.waitForLog("ready")
	old.waitForLog("the new process is ready")
	old.signalAndWait(syscall.SIGTERM)
	l = env.load(2)
	l.waitForCalls(50)
	l.stopAndCheck(t)
}

// If the old process is killed, the new one takes over the address and the bans. A process that finds no other one loads the bans from
// the state file, or starts without bans if the file is unusable.
func TestNewProcessServesWhenOldProcessDies(t *testing.T) {
	env := newEnvironment(t)
	old := env.start()
	old.waitForLog("ready")
	old.operatorCall("disable-server s-00000001")
	next := env.start()
	next.waitForLog("ready")
	old.signalAndWait(syscall.SIGKILL)
	next.waitForLog("the old process has ended")
	l := env.load(4)
	l.waitForCalls(100)
	l.stopAndCheck(t)
	if env.callsByWorker[1].Load() != 0 {
		t.Error("a banned worker got calls")
	}
	next.signalAndWait(syscall.SIGKILL)
	again := env.start()
	again.waitForLog("state of a former process is taken")
	again.waitForLog("ready")
	if got := again.operatorCall("show-stat"); !strings.Contains(got, "svc.pool_ejected:1|g\n") {
		t.Errorf("show-stat: %s", got)
	}
	again.signalAndWait(syscall.SIGTERM)
	if err := os.WriteFile(filepath.Join(env.dir, "quillrail-state.json"), []byte(`{"version":1,"na`), 0o600); err != nil {
		t.Fatal(err)
	}
	plain := env.start()
	plain.waitForLog("state of a former process is not used")
	plain.waitForLog("ready")
	if got := plain.operatorCall("show-stat"); !strings.Contains(got, "svc.pool_ejected:0|g\n") {
		t.Errorf("show-stat: %s", got)
	}
	plain.signalAndWait(syscall.SIGTERM)
}

// TestMeasureUpgrades counts the calls that are lost with each of two ways for a new process to listen on the clients' address: it
// gets the old process's socket, or opens a socket of its own next to it (SO_REUSEPORT). It is a measurement to be run by hand:
// QUILLRAIL_MEASURE=10 go test -run MeasureUpgrades -v ./internal/app
func TestMeasureUpgrades(t *testing.T) {
	rounds := 0
	if fmt.Sscan(os.Getenv("QUILLRAIL_MEASURE"), &rounds); rounds == 0 {
		t.Skip("a measurement, run with QUILLRAIL_MEASURE set")
	}
	for _, method := range []string{"handed over", "SO_REUSEPORT"} {
		env := newEnvironment(t)
		old := env.start()
		old.waitForLog("ready")
		l := env.load(32)
		l.waitForCalls(1000)
		for range rounds {
			dir := env.dir
			if method == "SO_REUSEPORT" {
				dir = t.TempDir()
			}
			next := env.startIn(dir)
			next.waitForLog("ready")
			if dir == env.dir {
				old.waitForLog("the new process is ready")
			}
			l.waitForCalls(500)
			old.signalAndWait(syscall.SIGTERM)
			l.waitForCalls(500)
			old = next
		}
		l.stop.Store(true)
		l.clients.Wait()
		old.signalAndWait(syscall.SIGTERM)
		t.Logf("%s: %d upgrades, %d calls, %d lost", method, rounds, l.answered.Load(), len(l.failures))
	}
}
