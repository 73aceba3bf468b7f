// Package sysfault has system calls of a process fail as if the kernel had refused them. The process asks the kernel to tell
// its parent of certain calls (seccomp, user notification; no rights are needed for it), and the parent lets each go on or
// names the error that it returns. It is for tests with real processes.
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

// variable names, in the environment of a process, the descriptor of the socket to its parent and the calls to tell of.
const variable = "QUILLRAIL_TEST_SYSCALLS"

// Enter does nothing in a process that was not started under a Supervisor. In one that was it asks the kernel to tell of the
// calls and starts the program anew, since only what follows an exec is sure to have no thread without the filter.
func Enter() error {
	text := os.Getenv(variable)
	if text == "" {
		return nil
	}
	os.Unsetenv(variable)
	socket, numbers, err := parse(text)
	if err != nil {
		return err
	}
	runtime.LockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return err
	}
	listener, err := install(numbers)
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

func parse(text string) (socket int, numbers []uint32, err error) {
	first, rest, _ := strings.Cut(text, ":")
	if socket, err = strconv.Atoi(first); err != nil {
		return 0, nil, err
	}
	for _, word := range strings.Split(rest, ",") {
		n, err := strconv.ParseUint(word, 10, 32)
		if err != nil {
			return 0, nil, err
		}
		numbers = append(numbers, uint32(n))
	}
	return socket, numbers, nil
}

// install puts the filter on this thread and returns the descriptor by which the parent hears of the calls.
func install(numbers []uint32) (listener int, err error) {
	const numberOffset = 0 // of the call's number in what the filter sees
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: numberOffset}}
	for i, n := range numbers {
		toTell := uint8(len(numbers) - i)
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: toTell, K: n})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_USER_NOTIF})
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	// A signal would otherwise have the call made again while the supervisor makes it in place of the process: what it read is lost
	// then, and what it wrote is there twice. Go's runtime sends itself signals all the time.
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := unix.RawSyscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&filter)))
	runtime.KeepAlive(program)
	if errno != 0 {
		return 0, fmt.Errorf("sysfault: filter: %w", errno)
	}
	return int(fd), nil
}
