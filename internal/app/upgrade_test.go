package app

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestMain lets the test's program stand for the gateway's, so that tests can start real processes of it.
func TestMain(m *testing.M) {
	if os.Getenv("QUILLRAIL_TEST_PROCESS") != "" {
		os.Args = []string{"quillrail", "serve", "--mqtt", "none"}
		Main()
		return
	}
	os.Exit(m.Run())
}

// Twice in a row a new version takes over under load, and no call is lost; the ban goes along, is kept equal on both
// sides while both run, and its end as well.
func TestUpgradeUnderLoad(t *testing.T) {
	s := newStage(t)
	old := s.start()
	old.line("ready")
	l := s.load(8)
	l.calls(100)
	if got := old.ask("disable-server s-00000000"); got != "SUCCESS\n" {
		t.Fatal(got)
	}
	for range 2 {
		next := s.start()
		next.line("taking over from a process that serves")
		next.line("ready")
		old.line("the new process is ready")
		if got := next.ask("ready"); got != "SUCCESS\n" {
			t.Errorf("the new process: %s", got)
		}
		l.calls(100)
		before := s.served[0].Load()
		l.calls(100)
		if s.served[0].Load() != before {
			t.Error("a worker left out by hand is sent to")
		}
		if err := old.end(syscall.SIGTERM); err != nil {
			t.Errorf("the old process: %v", err)
		}
		next.line("the old process has ended")
		l.calls(100)
		if got := next.ask("show-stat"); !strings.Contains(got, "svc.pool_ejected:1|g\n") {
			t.Errorf("figures %s", got)
		}
		old = next
	}
	next := s.start()
	next.line("ready")
	old.line("the new process is ready")
	if got := next.ask("enable-server s-00000000"); got != "SUCCESS\n" { // at one of the two is enough
		t.Error(got)
	}
	if got := next.ask("disable-server s-00000001"); got != "SUCCESS\n" {
		t.Error(got)
	}
	l.calls(100) // what was sent before the ban has been answered, at either
	for ejected := ""; !strings.Contains(ejected, "svc.pool_ejected:1|g\n"); {
		ejected = old.ask("show-stat")
	}
	if err := old.end(syscall.SIGTERM); err != nil {
		t.Errorf("the old process: %v", err)
	}
	before := s.served[0].Load()
	if l.calls(100); s.served[0].Load() == before {
		t.Error("a worker that was called back gets nothing")
	}
	l.end(t)
	if err := next.end(syscall.SIGTERM); err != nil {
		t.Errorf("the last process: %v", err)
	}
}

// A new process that dies before its yes, or after it, leaves the old one serving; the next one can take over.
func TestNewProcessDies(t *testing.T) {
	s := newStage(t)
	old := s.start()
	old.line("ready")
	l := s.load(4)
	l.calls(50)
	early := s.start() // its listening socket is the old one's, but it may not have said that it is ready
	early.end(syscall.SIGKILL)
	old.line("the new process has gone")
	late := s.start()
	late.line("ready")
	old.line("the new process is ready")
	l.stop.Store(true) // what a killed process has taken is lost with it; that is not for the old one to answer
	l.wg.Wait()
	late.end(syscall.SIGKILL)
	old.line("the new process has gone")
	l = s.load(4)
	l.calls(100)
	l.end(t)
	if got := old.ask("ready"); got != "SUCCESS\n" {
		t.Error(got)
	}
	next := s.start()
	next.line("taking over from a process that serves")
	next.line("ready")
	old.line("the new process is ready")
	old.end(syscall.SIGTERM)
	l = s.load(2)
	l.calls(50)
	l.end(t)
}

// An old process that is killed leaves the address and the bans to the new one. One that finds only the file, or a file
// that is of no use, starts plainly.
func TestOldProcessDies(t *testing.T) {
	s := newStage(t)
	old := s.start()
	old.line("ready")
	old.ask("disable-server s-00000001")
	next := s.start()
	next.line("ready")
	old.end(syscall.SIGKILL)
	next.line("the old process has ended")
	l := s.load(4)
	l.calls(100)
	l.end(t)
	if s.served[1].Load() != 0 {
		t.Error("a worker left out by hand is sent to")
	}
	next.end(syscall.SIGKILL)
	again := s.start()
	again.line("state of a former process is taken")
	again.line("ready")
	if got := again.ask("show-stat"); !strings.Contains(got, "svc.pool_ejected:1|g\n") {
		t.Errorf("figures %s", got)
	}
	again.end(syscall.SIGTERM)
	if err := os.WriteFile(filepath.Join(s.dir, "quillrail-state.json"), []byte(`{"version":1,"na`), 0o600); err != nil {
		t.Fatal(err)
	}
	plain := s.start()
	plain.line("state of a former process is not used")
	plain.line("ready")
	if got := plain.ask("show-stat"); !strings.Contains(got, "svc.pool_ejected:0|g\n") {
		t.Errorf("figures %s", got)
	}
	plain.end(syscall.SIGTERM)
}

// TestMeasureUpgrades counts the calls that are lost by the two ways for a new version to get at the clients' address:
// the socket handed on, and a socket of its own beside the old one's (SO_REUSEPORT). It is a measurement, made by hand:
// QUILLRAIL_MEASURE=10 go test -run MeasureUpgrades -v ./internal/app
func TestMeasureUpgrades(t *testing.T) {
	rounds := 0
	if fmt.Sscan(os.Getenv("QUILLRAIL_MEASURE"), &rounds); rounds == 0 {
		t.Skip("a measurement")
	}
	for _, way := range []string{"handed on", "SO_REUSEPORT"} {
		s := newStage(t)
		old := s.start()
		old.line("ready")
		l := s.load(32)
		l.calls(1000)
		for range rounds {
			dir := s.dir
			if way == "SO_REUSEPORT" {
				dir = t.TempDir()
			}
			next := s.startIn(dir)
			next.line("ready")
			if dir == s.dir {
				old.line("the new process is ready")
			}
			l.calls(500)
			old.end(syscall.SIGTERM)
			l.calls(500)
			old = next
		}
		l.stop.Store(true)
		l.wg.Wait()
		old.end(syscall.SIGTERM)
		t.Logf("%s: %d upgrades, %d calls, %d lost", way, rounds, l.done.Load(), len(l.faults))
	}
}
