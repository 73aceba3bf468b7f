package fleettest

import (
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"

	"quillrail/internal/lab"
	"quillrail/internal/lab/sysfault"
)

// awaitFile waits until a file exists, for eventTimeout at most.
func awaitFile(t *testing.T, path string) {
	t.Helper()
	exists := func() bool {
		_, err := os.Lstat(path)
		return err == nil
	}
	if err := waitUntil(eventTimeout, exists); err != nil {
		t.Fatalf("%s does not exist: %v", path, err)
	}
}

// The folder for the handover socket, by which a new process finds the serving one, has no space when a gateway starts. Once it has
// space again, an upgrade under load works as usual: the new process takes over from the serving one.
func TestUpgradeAfterItsFolderWasFull(t *testing.T) {
	runInParallel(t)
	fleet := newFleet(t, lab.Options{Gateways: 1})
	gateway, supervisor := fleet.Gateways[0], sysfault.New(unix.SYS_BIND)
	// A bind without a TCP address creates a socket file.
	supervisor.Set(failRandomly(1, func(c sysfault.Call) bool { return c.Local() == "" }, unix.ENOSPC))
	gateway.SuperviseSyscalls(supervisor)
	if err := fleet.StartAll(); err != nil {
		t.Fatal(err)
	}
	traffic := fleet.Start(mixedLoad)
	if _, err := gateway.Process().Await("a new process won't be able to take over", eventTimeout); err != nil {
		t.Fatal(err)
	}
	awaitServed(t, traffic, 100)
	supervisor.Set(nil)
	awaitFile(t, filepath.Join(fleet.Dir, gateway.Name, "quillrail.sock"))
	if err := gateway.Upgrade(); err != nil {
		t.Fatal(err)
	}
	if _, err := gateway.Process().Await("taking over from a process that serves", eventTimeout); err != nil {
		t.Error(err)
	}
	awaitServed(t, traffic, 100)
	requireNoLostCalls(t, endAndCheck(t, fleet, traffic), traffic)
}
