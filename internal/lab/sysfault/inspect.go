package sysfault

import (
	"bytes"
	"net/netip"

	"golang.org/x/sys/unix"
)

// longestPath is how much of a path is read from a process.
const longestPath = 256

// Local is the address of this end of the socket that the call's first argument refers to, "" if it is none.
func (c Call) Local() string {
	_, socket, err := c.borrowFile()
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

// Path is the path that an argument points to, "" if none can be read there; of a long one it is the beginning.
func (c Call) Path(argument int) string {
	process, err := processOf(c.thread)
	if err != nil {
		return ""
	}
	text := make([]byte, longestPath)
	local := []unix.Iovec{{Base: &text[0], Len: longestPath}}
	remote := []unix.RemoteIovec{{Base: uintptr(c.Args[argument]), Len: longestPath}}
	n, err := unix.ProcessVMReadv(process, local, remote, 0)
	if err != nil {
		return ""
	}
	path, _, _ := bytes.Cut(text[:n], []byte{0})
	return string(path)
}
