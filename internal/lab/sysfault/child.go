// Package sysfault makes system calls of a process fail as if the kernel had refused them, for tests with real processes. The process
// installs a seccomp filter that notifies its parent of certain calls (user notification, which needs no privileges). The parent lets
// each of them proceed, or chooses the error that it returns.
package sysfault

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// envVariable is the environment variable that holds the descriptor of the socket to the parent, a colon, and the comma-separated
// numbers of the calls to notify it of.
const envVariable = "QUILLRAIL_TEST_SYSCALLS"

// Enter does nothing in a process that was not started by a Supervisor. Otherwise it installs the filter and executes the program
// again, since only after an exec it is certain that no thread runs without the filter.
func Enter() error {
	text := os.Getenv(envVariable)
	if text == "" {
		return nil
	}
	os.Unsetenv(envVariable)
	socket, numbers, err := parse(text)
	if err != nil {
		return err
	}
	runtime.LockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	listener, err := installFilter(numbers)
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(socket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return err
	}
	unix.Close(listener)
	unix.Close(socket)
	return syscall.Exec("/proc/self/exe", os.Args, os.Environ())
}

// parse parses the value of envVariable.
func parse(text string) (socket int, numbers []uint32, err error) {
	first, rest, _ := strings.Cut(text, ":")
	if socket, err = strconv.Atoi(first); err != nil {
		return 0, nil, err
	}
	for _, number := range strings.Split(rest, ",") {
		n, err := strconv.ParseUint(number, 10, 32)
		if err != nil {
			return 0, nil, err
		}
		numbers = append(numbers, uint32(n))
	}
	return socket, numbers, nil
}

// installFilter installs the filter on this thread and returns the descriptor from which the parent reads the notifications.
func installFilter(numbers []uint32) (listener int, err error) {
	const numberOffset = 0 // of the call's number in struct seccomp_data
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: numberOffset}}
	for i, n := range numbers {
		skip := uint8(len(numbers) - i) // instructions to the one that notifies
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: skip, K: n})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	// Without WAIT_KILLABLE_RECV a signal would restart the call while the supervisor makes it in place of the process: data that it has
	// read would be lost, and data that it has written would be there twice. Go's runtime sends itself signals all the time.
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := unix.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&filter)))
	runtime.KeepAlive(program)
	if errno != 0 {
		return 0, fmt.Errorf("sysfault: install the seccomp filter: %w", errno)
	}
	return int(fd), nil
}
