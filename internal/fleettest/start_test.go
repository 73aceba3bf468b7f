package fleettest

import (
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"quillrail/internal/lab"
	"quillrail/internal/lab/sysfault"
)

// failFirst returns a policy under which the first matching calls, remaining of them, fail with the given errors in turn.
func failFirst(remaining int, matches func(sysfault.Call) bool, errnos ...unix.Errno) sysfault.Policy {
	return func(c sysfault.Call) sysfault.Outcome {
		if remaining == 0 || !matches(c) {
			return sysfault.Outcome{}
		}
		remaining--
		return sysfault.Outcome{Errno: errnos[remaining%len(errnos)]}
	}
}

// opensLabFile returns a test for system calls that open a file in the lab's folder.
func opensLabFile(fleet *lab.Lab) func(sysfault.Call) bool {
	return func(c sysfault.Call) bool {
		return c.Number == unix.SYS_OPENAT && strings.HasPrefix(c.Path(1), fleet.Dir)
	}
}

// Gateways start and reload their configurations while the machine briefly has no descriptors or buffers left. A process that ended
// because of that would not restart by itself, and one that went on with an old address of its bulletin would receive no more changes
// of the worker list.
func TestStartAndReloadSurviveResourceShortages(t *testing.T) {
	for name, errno := range map[string]unix.Errno{"no files": unix.ENFILE, "no descriptors": unix.EMFILE, "no buffers": unix.ENOBUFS} {
		t.Run(name, func(t *testing.T) {
			runInParallel(t)
			fleet := newFleet(t, lab.Options{Gateways: 2})
			var supervisors []*sysfault.Supervisor
			for _, g := range fleet.Gateways {
				s := sysfault.New(unix.SYS_SOCKET, unix.SYS_OPENAT)
				inFolder := opensLabFile(fleet)
				s.Set(failFirst(12, func(c sysfault.Call) bool {
					return c.Number == unix.SYS_SOCKET && newTCPSocket(c) || inFolder(c)
				}, errno))
				g.SuperviseSyscalls(s)
				supervisors = append(supervisors, s)
			}
			if err := fleet.StartAll(); err != nil {
				t.Fatal(err)
			}
			traffic := fleet.Start(mixedLoad)
			awaitServed(t, traffic, 100)
			for i, g := range fleet.Gateways {
				supervisors[i].Set(failFirst(4, opensLabFile(fleet), errno))
				g.Signals(unix.SIGHUP)
				if _, err := g.Process().Await("configuration reloaded", eventTimeout); err != nil {
					t.Error(err)
				}
			}
			awaitServed(t, traffic, 100)
			for i, s := range supervisors {
				if _, failed := s.Counts(); failed < 16 {
					t.Errorf("gateway %d: %d system calls failed, want 16 or more", i+1, failed)
				}
			}
			requireNoLostCalls(t, endAndCheck(t, fleet, traffic), traffic)
		})
	}
}
