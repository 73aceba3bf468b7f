package fleettest

import (
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"quillrail/internal/lab"
	"quillrail/internal/lab/sysfault"
)

// writes are the system calls by which a folder is written.
var writes = []int{unix.SYS_WRITE, unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE}

// inFolder is a call on a file of a lab's folder.
func inFolder(l *lab.Lab) func(sysfault.Call) bool {
	return func(c sysfault.Call) bool { return strings.HasPrefix(c.File(), l.Dir) }
}

// halfWritten has one write in a folder cut in half, and all after it fail: what a disk without room leaves behind.
func halfWritten(l *lab.Lab, errno unix.Errno) sysfault.Policy {
	in, cut := inFolder(l), false
	return func(c sysfault.Call) sysfault.Outcome {
		switch {
		case !in(c):
			return sysfault.Outcome{}
		case cut:
			return sysfault.Outcome{Errno: errno}
		}
		cut = c.Number == unix.SYS_PWRITE64 || c.Number == unix.SYS_WRITE
		return sysfault.Outcome{HalfWrite: cut}
	}
}

// The folder where a gateway of a fleet keeps its state fails, at the start or under load, with no room, with a bad disk or with
// a write that ends half-way: it serves all the same, and once the folder works again a gateway that is started anew finds its
// state.
func TestFolderFails(t *testing.T) {
	for name, policy := range map[string]func(*lab.Lab) sysfault.Policy{
		"no room":        func(l *lab.Lab) sysfault.Policy { return failing(1, inFolder(l), unix.ENOSPC) },
		"bad disk":       func(l *lab.Lab) sysfault.Policy { return failing(1, inFolder(l), unix.EIO) },
		"half a write":   func(l *lab.Lab) sysfault.Policy { return halfWritten(l, unix.ENOSPC) },
		"now and then":   func(l *lab.Lab) sysfault.Policy { return failing(0.3, inFolder(l), unix.ENOSPC, unix.EIO, unix.EINTR) },
		"half bad disks": func(l *lab.Lab) sysfault.Policy { return halfWritten(l, unix.EIO) },
	} {
		t.Run(name, func(t *testing.T) {
			beside(t)
			l := prepare(t, lab.Options{Fleet: true})
			supervisors := startSupervised(t, l, writes...)
			tr := l.Start(mixed)
			served(t, tr, 200)
			for _, s := range supervisors {
				s.Set(policy(l))
			}
			served(t, tr, 300)
			g := l.Gateways[0]
			g.Kill()
			if err := g.Start(); err != nil { // its folder fails from the first byte
				t.Fatal(err)
			}
			served(t, tr, 200)
			for _, s := range supervisors {
				s.Set(nil)
			}
			served(t, tr, 200)
			l.Gateways[1].Kill()
			if err := l.Gateways[1].Start(); err != nil {
				t.Fatal(err)
			}
			served(t, tr, 200)
			failed := int64(0)
			for _, s := range supervisors {
				_, n := s.Counts()
				failed += n
			}
			t.Logf("%d writes failed", failed)
			if n := verdict(t, l, tr); n.Unanswered+n.Unreached > 0 || failed == 0 {
				t.Errorf("calls were lost, or no write failed (%d): %+v\n%q", failed, n, tr.ErrorSamples())
			}
		})
	}
}

// Of the three gateways that hold the log one can't write it for a while, its first failed write half done. It acknowledges
// nothing meanwhile, and the two others go on; once its folder works it has all that was agreed, and the fleet then bears the
// loss of one of the others.
func TestVoterWhoseFolderFails(t *testing.T) {
	for name, errno := range map[string]unix.Errno{"no room": unix.ENOSPC, "bad disk": unix.EIO} {
		t.Run(name, func(t *testing.T) {
			beside(t)
			l := prepare(t, lab.Options{Gateways: 3, Halls: 3, Fleet: true, Voters: 3, FleetSettings: two})
			supervisors := startSupervised(t, l, writes...)
			tr := l.Start(mixed)
			settled(t, l)
			supervisors[2].Set(halfWritten(l, errno))
			asked(t, l.Gateways[0], "declare limits by=anna gateways=1")
			served(t, tr, 200)
			asked(t, l.Gateways[1], "declare limits by=boris gateways=2")
			if _, failed := supervisors[2].Counts(); failed < 2 {
				t.Errorf("%d writes failed", failed)
			}
			supervisors[2].Set(nil)
			saying(t, l.Gateways[2], `limits gateways=2 `)
			l.Gateways[0].Kill()
			saying(t, l.Gateways[2], `; gw[23] leads`)
			agree := func(text string) bool { return strings.HasPrefix(text, "SUCCESS") }
			if text, err := await(l.Gateways[1], "declare limits by=anna gateways=1", eventLimit, agree); err != nil {
				t.Fatalf("nothing is agreed: %s, %v", text, err)
			}
			saying(t, l.Gateways[2], `limits gateways=1 `)
			until(t, l.Gateways[1:], func(*lab.Gateway) string { return "svc.fleet.agreed.alarms:0|g" })
			answered(t, verdict(t, l, tr), tr)
		})
	}
}
