package sysfault

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Call is a system call that a process is about to make.
type Call struct {
	Number int // unix.SYS_...
	Args   [6]uint64
	thread uint32
}

// File returns what the call's first argument refers to, as the kernel names it: "socket:[9]", "anon_inode:[eventfd]" or a path.
// It is empty if the descriptor is not open.
func (c Call) File() string {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.thread, c.Args[0]))
	if err != nil {
		return ""
	}
	return name
}

// Outcome is what happens to a call. With the zero value it proceeds unchanged.
type Outcome struct {
	Errno     unix.Errno // the call returns this error at once
	HalfWrite bool       // only the first half of a write is written
	MaxRead   int        // most bytes that a read returns; 0 for no limit
}

// Policy returns what happens to a call. A supervisor calls it for one system call at a time.
type Policy func(c Call) Outcome

// Supervisor is notified of system calls of the processes of one gateway, and answers them according to its policy.
type Supervisor struct {
	numbers  []uint32
	policyMu sync.Mutex // held while the policy runs, since two processes overlap when a new one takes over
	policy   atomic.Pointer[Policy]
	notified atomic.Int64 // calls
	failed   atomic.Int64 // calls that failed, or read or wrote less, by the policy
}

// New returns a supervisor for system calls with these numbers (unix.SYS_...). All of them proceed until Set sets a policy.
func New(numbers ...int) *Supervisor {
	s := &Supervisor{}
	for _, n := range numbers {
		s.numbers = append(s.numbers, uint32(n))
	}
	s.Set(nil)
	return s
}

// Set sets the policy; nil lets all calls proceed.
func (s *Supervisor) Set(p Policy) { s.policy.Store(&p) }

// Counts returns of how many calls the supervisor was notified, and how many of these it has made fail, wholly or in part.
func (s *Supervisor) Counts() (notified, failed int64) { return s.notified.Load(), s.failed.Load() }

// Start starts a command under the supervisor. Its program has to call Enter before anything else.
func (s *Supervisor) Start(cmd *exec.Cmd) error {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer unix.Close(pair[0])
	childEnd := os.NewFile(uintptr(pair[1]), "supervisor")
	numbers := make([]string, len(s.numbers))
	for i, n := range s.numbers {
		numbers[i] = fmt.Sprint(n)
	}
	cmd.ExtraFiles = append(cmd.ExtraFiles, childEnd)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d:%s", envVariable, 2+len(cmd.ExtraFiles), strings.Join(numbers, ",")))
	err = cmd.Start()
	childEnd.Close()
	if err != nil {
		return err
	}
	listener, err := receive(pair[0])
	if err != nil {
		return err
	}
	go s.serve(listener)
	return nil
}

// receive receives the descriptor of the notifications from the process.
func receive(socket int) (listener int, err error) {
	control := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(socket, make([]byte, 1), control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return 0, fmt.Errorf("sysfault: got no descriptor of notifications from the process: %v", err)
	}
	rights, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return rights[0], nil
}

// notification is the kernel's struct seccomp_notif, and response its struct seccomp_notif_resp.
type notification struct {
	id     uint64
	thread uint32
	flags  uint32
	number int32
	arch   uint32
	ip     uint64
	args   [6]uint64
}

type response struct {
	id    uint64
	value int64
	errno int32
	flags uint32
}

// serve answers the notifications of a process until it has ended.
func (s *Supervisor) serve(listener int) {
	defer unix.Close(listener)
	for {
		poll := []unix.PollFd{{Fd: int32(listener), Events: unix.POLLIN}}
		if _, err := unix.Poll(poll, -1); err == unix.EINTR {
			continue
		} else if err != nil || poll[0].Revents&unix.POLLIN == 0 {
			return
		}
		var n notification
		if ioctl(listener, unix.SECCOMP_IOCTL_NOTIF_RECV, unsafe.Pointer(&n)) != 0 {
			continue // the thread has been killed in the meantime
		}
		s.notified.Add(1)
		r := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
		if policy := *s.policy.Load(); policy != nil {
			s.policyMu.Lock()
			s.applyPolicy(policy, Call{int(n.number), n.args, n.thread}, &r)
			s.policyMu.Unlock()
		}
		ioctl(listener, unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r))
	}
}

// applyPolicy translates the policy's outcome for a call into a response to the kernel.
func (s *Supervisor) applyPolicy(policy Policy, c Call, r *response) {
	switch outcome := policy(c); {
	case outcome.Errno != 0:
		s.failed.Add(1)
		r.errno, r.flags = -int32(outcome.Errno), 0
	case outcome.HalfWrite:
		if written, err := writeFirstHalf(c); err == nil && written > 0 {
			s.failed.Add(1)
			r.value, r.flags = int64(written), 0
		}
	case outcome.MaxRead > 0 && uint64(outcome.MaxRead) < c.Args[2]:
		if length, err := readShort(c, outcome.MaxRead); err == nil && length > 0 {
			s.failed.Add(1)
			r.value, r.flags = int64(length), 0
		}
	}
}

func ioctl(fd int, request uintptr, argument unsafe.Pointer) unix.Errno {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(argument))
	return errno
}
