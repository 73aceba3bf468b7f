package fleettest

import (
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"quillrail/internal/lab"
	"quillrail/internal/lab/sysfault"
)

// firstFail has the first so many of certain calls fail, in turn with these errors.
func firstFail(n int, on func(sysfault.Call) bool, errors ...unix.Errno) sysfault.Policy {
	return func(c sysfault.Call) sysfault.Outcome {
		if n == 0 || !on(c) {
			return sysfault.Outcome{}
		}
		n--
		return sysfault.Outcome{Errno: errors[n%len(errors)]}
	}
}

// opensIn is a call that opens a file of a lab's folder.
func opensIn(l *lab.Lab) func(sysfault.Call) bool {
	return func(c sysfault.Call) bool {
		return c.Number == unix.SYS_OPENAT && strings.HasPrefix(c.Path(1), l.Dir)
	}
}

// While the machine has no descriptors or buffers for a moment gateways start, and read their configurations again: a process
// that ended for it would not come back by itself, and one that kept an old address of the list would lose the list.
func TestStartAndReloadOutlastFaults(t *testing.T) {
	for name, errno := range map[string]unix.Errno{"no files": unix.ENFILE, "no descriptors": unix.EMFILE, "no buffers": unix.ENOBUFS} {
		t.Run(name, func(t *testing.T) {
			beside(t)
			l := prepare(t, lab.Options{Gateways: 2})
			var supervisors []*sysfault.Supervisor
			for _, g := range l.Gateways {
				s := sysfault.New(unix.SYS_SOCKET, unix.SYS_OPENAT)
				inFolder := opensIn(l)
				s.Set(firstFail(12, func(c sysfault.Call) bool { return c.Number == unix.SYS_SOCKET && onTCP(c) || inFolder(c) }, errno))
				g.SuperviseSyscalls(s)
				supervisors = append(supervisors, s)
			}
			if err := l.StartAll(); err != nil {
				t.Fatal(err)
			}
			tr := l.Start(mixed)
			served(t, tr, 100)
			for i, g := range l.Gateways {
				supervisors[i].Set(firstFail(4, opensIn(l), errno))
				g.Signals(unix.SIGHUP)
				if _, err := g.Process().Await("configuration reloaded", eventLimit); err != nil {
					t.Error(err)
				}
			}
			served(t, tr, 100)
			for i, s := range supervisors {
				if _, failed := s.Counts(); failed < 16 {
					t.Errorf("gateway %d: %d calls failed", i+1, failed)
				}
			}
			answered(t, verdict(t, l, tr), tr)
		})
	}
}
