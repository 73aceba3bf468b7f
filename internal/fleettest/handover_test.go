package fleettest

import (
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"quillrail/internal/lab"
	"quillrail/internal/lab/sysfault"
)

// appears waits until a file is there, with a bound.
func appears(t *testing.T, path string) {
	t.Helper()
	there := func() bool {
		_, err := os.Lstat(path)
		return err == nil
	}
	if err := waitFor(eventLimit, there); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
}

// The folder in which a new version finds the old one has no room as a gateway starts. Once it has, an upgrade is as any other: the
// new process takes over from the one that serves, under load.
func TestUpgradeAfterItsFolderWasFull(t *testing.T) {
	beside(t)
	l := prepare(t, lab.Options{Gateways: 1})
	g, s := l.Gateways[0], sysfault.New(unix.SYS_BIND)
	s.Set(failing(1, func(c sysfault.Call) bool { return c.Local() == "" }, unix.ENOSPC)) // no TCP: it makes a file
	g.SuperviseSyscalls(s)
	if err := l.StartAll(); err != nil {
		t.Fatal(err)
	}
	tr := l.Start(mixed)
	if _, err := g.Process().Await("a new process won't be able to take over", eventLimit); err != nil {
		t.Fatal(err)
	}
	served(t, tr, 100)
	s.Set(nil)
	appears(t, filepath.Join(l.Dir, g.Name, "quillrail.sock"))
	if err := g.Upgrade(); err != nil {
		t.Fatal(err)
	}
	if _, err := g.Process().Await("taking over from a process that serves", eventLimit); err != nil {
		t.Error(err)
	}
	served(t, tr, 100)
	answered(t, verdict(t, l, tr), tr)
}
