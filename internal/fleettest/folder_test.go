package fleettest

import (
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"quillrail/internal/lab"
	"quillrail/internal/lab/sysfault"
)

// writeCalls are the numbers of the system calls that write files.
var writeCalls = []int{unix.SYS_WRITE, unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE}

// onLabFile returns a test for system calls on a file in the lab's folder.
func onLabFile(fleet *lab.Lab) func(sysfault.Call) bool {
	return func(c sysfault.Call) bool { return strings.HasPrefix(c.File(), fleet.Dir) }
}

// failAfterHalfWrite returns a policy under which one write to the lab's folder is cut in half and all calls on its files after that
// fail, as on a disk that runs out of space.
func failAfterHalfWrite(fleet *lab.Lab, errno unix.Errno) sysfault.Policy {
	onFile, halved := onLabFile(fleet), false
	return func(c sysfault.Call) sysfault.Outcome {
		switch {
		case !onFile(c):
			return sysfault.Outcome{}
		case halved:
			return sysfault.Outcome{Errno: errno}
		}
		halved = c.Number == unix.SYS_PWRITE64 || c.Number == unix.SYS_WRITE
		return sysfault.Outcome{HalfWrite: halved}
	}
}

// The folder with a gateway's state fails, at the start or under load, because the disk is full or bad or a write ends half-way. The
// gateways serve all the same, and once the folder works again a restarted gateway finds its state.
func TestStateFolderFailsAndCallsAreServed(t *testing.T) {
	for name, policy := range map[string]func(*lab.Lab) sysfault.Policy{
		"no space":                    func(fleet *lab.Lab) sysfault.Policy { return failRandomly(1, onLabFile(fleet), unix.ENOSPC) },
		"bad disk":                    func(fleet *lab.Lab) sysfault.Policy { return failRandomly(1, onLabFile(fleet), unix.EIO) },
		"no space after half a write": func(fleet *lab.Lab) sysfault.Policy { return failAfterHalfWrite(fleet, unix.ENOSPC) },
		"intermittent": func(fleet *lab.Lab) sysfault.Policy {
			return failRandomly(0.3, onLabFile(fleet), unix.ENOSPC, unix.EIO, unix.EINTR)
		},
		"bad disk after half a write": func(fleet *lab.Lab) sysfault.Policy { return failAfterHalfWrite(fleet, unix.EIO) },
	} {
		t.Run(name, func(t *testing.T) {
			runInParallel(t)
			fleet := newFleet(t, lab.Options{Fleet: true})
			supervisors := startSupervised(t, fleet, writeCalls...)
			traffic := fleet.Start(mixedLoad)
			awaitServed(t, traffic, 200)
			for _, s := range supervisors {
				s.Set(policy(fleet))
			}
			awaitServed(t, traffic, 300)
			gateway := fleet.Gateways[0]
			gateway.Kill()
			if err := gateway.Start(); err != nil { // its folder fails from the first write
				t.Fatal(err)
			}
			awaitServed(t, traffic, 200)
			for _, s := range supervisors {
				s.Set(nil)
			}
			awaitServed(t, traffic, 200)
			fleet.Gateways[1].Kill()
			if err := fleet.Gateways[1].Start(); err != nil {
				t.Fatal(err)
			}
			awaitServed(t, traffic, 200)
			failed := int64(0)
			for _, s := range supervisors {
				_, n := s.Counts()
				failed += n
			}
			t.Logf("%d writes failed", failed)
			if totals := endAndCheck(t, fleet, traffic); totals.Unanswered+totals.Unreached > 0 || failed == 0 {
				t.Errorf("calls were lost, or no write failed (%d failed): %+v\n%q", failed, totals, traffic.ErrorSamples())
			}
		})
	}
}

// One of the three voters can't write its log for a while, and its first failed write is cut in half. It acknowledges nothing
// meanwhile, and the two others go on. Once its folder works again it catches up with all that was agreed, so that the fleet then
// survives the loss of one of the others.
func TestVoterFolderFailsAndVoterCatchesUp(t *testing.T) {
	for name, errno := range map[string]unix.Errno{"no space": unix.ENOSPC, "bad disk": unix.EIO} {
		t.Run(name, func(t *testing.T) {
			runInParallel(t)
			fleet := newFleet(t, lab.Options{Gateways: 3, Halls: 3, Fleet: true, Voters: 3, FleetSettings: twoAtOnce})
			supervisors := startSupervised(t, fleet, writeCalls...)
			traffic := fleet.Start(mixedLoad)
			awaitSettled(t, fleet)
			supervisors[2].Set(failAfterHalfWrite(fleet, errno))
			mustCall(t, fleet.Gateways[0], "declare limits by=anna gateways=1")
			awaitServed(t, traffic, 200)
			mustCall(t, fleet.Gateways[1], "declare limits by=boris gateways=2")
			if _, failed := supervisors[2].Counts(); failed < 2 {
				t.Errorf("%d writes failed, want 2 or more", failed)
			}
			supervisors[2].Set(nil)
			awaitAgreed(t, fleet.Gateways[2], `limits gateways=2 `)
			fleet.Gateways[0].Kill()
			awaitAgreed(t, fleet.Gateways[2], `; gw[23] leads`)
			succeeded := func(text string) bool { return strings.HasPrefix(text, "SUCCESS") }
			if text, err := awaitReply(fleet.Gateways[1], "declare limits by=anna gateways=1", eventTimeout, succeeded); err != nil {
				t.Fatalf("nothing is agreed without the killed gateway: %s, %v", text, err)
			}
			awaitAgreed(t, fleet.Gateways[2], `limits gateways=1 `)
			awaitStat(t, fleet.Gateways[1:], func(*lab.Gateway) string { return "svc.fleet.agreed.alarms:0|g" })
			requireNoLostCalls(t, endAndCheck(t, fleet, traffic), traffic)
		})
	}
}
