package sysfault

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// writeFirstHalf writes the first half of the data of a write (unix.SYS_WRITE or SYS_PWRITE64) in place of the process, to the same
// open file, and returns the number of bytes written.
func writeFirstHalf(c Call) (int, error) {
	length := int(c.Args[2]) / 2
	if length == 0 {
		return 0, nil
	}
	process, file, err := c.openArgument()
	if err != nil {
		return 0, err
	}
	defer unix.Close(file)
	half := make([]byte, length)
	local := []unix.Iovec{{Base: &half[0], Len: uint64(length)}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[1]), Len: length}}
	if _, err := unix.ProcessVMReadv(process, local, remote, 0); err != nil {
		return 0, err
	}
	if c.Number == unix.SYS_PWRITE64 {
		return unix.Pwrite(file, half, int64(c.Args[3]))
	}
	return unix.Write(file, half)
}

// openArgument returns the process that makes the call, and a descriptor of this process for the file that is the first argument.
func (c Call) openArgument() (process, file int, err error) {
	if process, err = processOf(c.thread); err != nil {
		return 0, 0, err
	}
	file, err = duplicateDescriptor(process, int(c.Args[0]))
	return process, file, err
}

// duplicateDescriptor duplicates a descriptor of another process into this one. Both share the open file and its position.
func duplicateDescriptor(process, descriptor int) (int, error) {
	handle, err := unix.PidfdOpen(process, 0)
	if err != nil {
		return 0, err
	}
	defer unix.Close(handle)
	return unix.PidfdGetfd(handle, descriptor, 0)
}

// processOf returns the process to which a thread belongs.
func processOf(thread uint32) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", thread))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "Tgid:"); ok {
			return strconv.Atoi(strings.TrimSpace(value))
		}
	}
	return 0, fmt.Errorf("sysfault: no Tgid line in the status of thread %d", thread)
}

// readShort reads at most maxRead bytes in place of the process, from the same open file, and returns the number of bytes read.
func readShort(c Call, maxRead int) (int, error) {
	process, file, err := c.openArgument()
	if err != nil {
		return 0, err
	}
	defer unix.Close(file)
	got := make([]byte, maxRead)
	length, err := unix.Read(file, got)
	if err != nil || length <= 0 {
		return 0, err
	}
	local := []unix.Iovec{{Base: &got[0], Len: uint64(length)}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[1]), Len: length}}
	return unix.ProcessVMWritev(process, local, remote, 0)
}
