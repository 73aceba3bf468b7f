package main

import "syscall"

const (
	sighup  = syscall.SIGHUP
	sigterm = syscall.SIGTERM
	sigkill = syscall.SIGKILL
)
