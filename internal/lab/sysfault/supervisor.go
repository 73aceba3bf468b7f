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

// File is what the call's first argument refers to, as the kernel names it: "socket:[9]", "anon_inode:[eventfd]", a path.
// It is empty if the descriptor is not open.
func (c Call) File() string {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", c.thread, c.Args[0]))
	if err != nil {
		return ""
	}
	return name
}

// Outcome is what becomes of a call. The zero value has it go on.
type Outcome struct {
	Errno unix.Errno // it returns this error at once
	Half  bool       // a write, of which half is written
	Most  int        // a read, which gives so many bytes at most; 0 for what it asks for
}

// Policy says what becomes of a call. A supervisor calls it for one system call at a time.
type Policy func(c Call) Outcome

// Supervisor hears of the system calls of the processes of one gateway.
type Supervisor struct {
	numbers  []uint32
	deciding sync.Mutex // one process may end as the next begins
	policy   atomic.Pointer[Policy]
	told     atomic.Int64
	failed   atomic.Int64
}

// New returns a supervisor of processes' calls with these numbers (unix.SYS_...); they go on until it is given a policy.
func New(numbers ...int) *Supervisor {
	s := &Supervisor{}
	for _, n := range numbers {
		s.numbers = append(s.numbers, uint32(n))
	}
	s.Set(nil)
	return s
}

// Set changes the policy; nil has all calls go on.
func (s *Supervisor) Set(p Policy) { s.policy.Store(&p) }

// Counts returns how many calls the supervisor was told of and how many of these it has had fail.
func (s *Supervisor) Counts() (told, failed int64) { return s.told.Load(), s.failed.Load() }

// Start starts a command, whose program has to call Enter first of all, under the supervisor.
func (s *Supervisor) Start(cmd *exec.Cmd) error {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer unix.Close(pair[0])
	far := os.NewFile(uintptr(pair[1]), "supervisor")
	words := make([]string, len(s.numbers))
	for i, n := range s.numbers {
		words[i] = fmt.Sprint(n)
	}
	cmd.ExtraFiles = append(cmd.ExtraFiles, far)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d:%s", variable, 2+len(cmd.ExtraFiles), strings.Join(words, ",")))
	err = cmd.Start()
	far.Close()
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

// receive takes the descriptor that the process sends.
func receive(socket int) (listener int, err error) {
	control := make([]byte, unix.CmsgSpace(4))
	_, n, _, _, err := unix.Recvmsg(socket, make([]byte, 1), control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:n])
	if err != nil || len(messages) != 1 {
		return 0, fmt.Errorf("sysfault: the process ended before it sent its listener: %v", err)
	}
	rights, err := unix.ParseUnixRights(&messages[0])
	if err != nil {
		return 0, err
	}
	return rights[0], nil
}

// notification and response are the kernel's struct seccomp_notif and seccomp_notif_resp.
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

// serve answers for each call until the process has ended.
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
			continue // the thread was killed meanwhile
		}
		s.told.Add(1)
		r := response{id: n.id, flags: unix.SECCOMP_USER_NOTIF_FLAG_CONTINUE}
		if policy := *s.policy.Load(); policy != nil {
			s.deciding.Lock()
			s.decide(policy, Call{int(n.number), n.args, n.thread}, &r)
			s.deciding.Unlock()
		}
		ioctl(listener, unix.SECCOMP_IOCTL_NOTIF_SEND, unsafe.Pointer(&r))
	}
}

// decide words a policy's outcome as the kernel takes it.
func (s *Supervisor) decide(policy Policy, c Call, r *response) {
	switch outcome := policy(c); {
	case outcome.Errno != 0:
		s.failed.Add(1)
		r.errno, r.flags = -int32(outcome.Errno), 0
	case outcome.Half:
		if written, err := writeHalf(c); err == nil && written > 0 {
			s.failed.Add(1)
			r.value, r.flags = int64(written), 0
		}
	case outcome.Most > 0 && uint64(outcome.Most) < c.Args[2]:
		if length, err := readShort(c, outcome.Most); err == nil && length > 0 {
			s.failed.Add(1)
			r.value, r.flags = int64(length), 0
		}
	}
}

func ioctl(fd int, request uintptr, argument unsafe.Pointer) unix.Errno {
	_, _, errno := unix.Syscall(unix.SYS_IOCTL, uintptr(fd), request, uintptr(argument))
	return errno
}
