package fleettest

import "golang.org/x/sys/unix"

// interruptible are the system calls of gateways that a signal may interrupt. There is no epoll_wait on this architecture.
var interruptible = []int{unix.SYS_READ, unix.SYS_WRITE, unix.SYS_EPOLL_PWAIT}
