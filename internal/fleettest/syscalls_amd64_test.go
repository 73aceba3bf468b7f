package fleettest

import "golang.org/x/sys/unix"

// interruptible are the system calls of gateways that a signal may interrupt.
var interruptible = []int{unix.SYS_READ, unix.SYS_WRITE, unix.SYS_EPOLL_WAIT, unix.SYS_EPOLL_PWAIT}
