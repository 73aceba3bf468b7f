package sysfault

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// writeHalf makes the first half of a write (unix.SYS_WRITE or SYS_PWRITE64) in place of the process, on the same open file,
// and returns how many bytes that were.
func writeHalf(c Call) (int, error) {
	length := int(c.Args[2]) / 2
	if length == 0 {
		return 0, nil
	}
	process, file, err := c.borrowFile()
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

// borrowFile names the process that makes the call, and opens the descriptor that is its first argument.
func (c Call) borrowFile() (process, file int, err error) {
	if process, err = processOf(c.thread); err != nil {
		return 0, 0, err
	}
	file, err = borrow(process, int(c.Args[0]))
	return process, file, err
}

// borrow opens a descriptor of another process as one of this process's: the same open file, with its position.
func borrow(process, descriptor int) (int, error) {
	handle, err := unix.PidfdOpen(process, 0)
	if err != nil {
		return 0, err
	}
	defer unix.Close(handle)
	return unix.PidfdGetfd(handle, descriptor, 0)
}

// processOf is the process that a thread is of.
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
	return 0, fmt.Errorf("sysfault: thread %d names no process", thread)
}

// readShort makes a read of at most so many bytes in place of the process, on the same open file, and returns how many it gave.
func readShort(c Call, most int) (int, error) {
	process, file, err := c.borrowFile()
	if err != nil {
		return 0, err
	}
	defer unix.Close(file)
	got := make([]byte, most)
	length, err := unix.Read(file, got)
	if err != nil || length <= 0 {
		return 0, err
	}
	local := []unix.Iovec{{Base: &got[0], Len: uint64(length)}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[1]), Len: length}}
	return unix.ProcessVMWritev(process, local, remote, 0)
}
