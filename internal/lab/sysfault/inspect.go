package sysfault

import (
	"bytes"
	"net/netip"

	"golang.org/x/sys/unix"
)

// maxPathBytes is how many bytes of a path are read from the memory of a process.
const maxPathBytes = 256

// Local returns the local address of the IPv4 socket that the call's first argument refers to, or "" if it is no such socket.
func (c Call) Local() string {
	_, socket, err := c.openArgument()
	if err != nil {
		return ""
	}
	defer unix.Close(socket)
	address, err := unix.Getsockname(socket)
	if tcp, ok := address.(*unix.SockaddrInet4); ok && err == nil {
		return netip.AddrPortFrom(netip.AddrFrom4(tcp.Addr), uint16(tcp.Port)).String()
	}
	return ""
}

// Path returns the path that an argument points to, or "" if it can't be read. It is cut off after maxPathBytes.
func (c Call) Path(argument int) string {
	process, err := processOf(c.thread)
	if err != nil {
		return ""
	}
	text := make([]byte, maxPathBytes)
	local := []unix.Iovec{{Base: &text[0], Len: maxPathBytes}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[argument]), Len: maxPathBytes}}
	n, err := unix.ProcessVMReadv(process, local, remote, 0)
	if err != nil {
		return ""
	}
	path, _, _ := bytes.Cut(text[:n], []byte{0})
	return string(path)
}
