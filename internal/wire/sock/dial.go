package sock

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"quillrail/internal/transient"
)

// dialSpare is how long before its time is over a connect gives up, so that its reason is told.
const dialSpare = 10 * time.Millisecond

// localFaults are errors of a connect that say nothing of the peer, besides those that pass by themselves: this machine has no port
// or no way out for a moment.
var localFaults = []error{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN}

// LocalFault reports whether an error that Dial gave is of this machine and not of the peer.
func LocalFault(err error) bool {
	return transient.Is(err) || slices.ContainsFunc(localFaults, func(fault error) bool { return errors.Is(err, fault) })
}

// Dial opens a connection whose bytes go to h. done is called once, with the connection or with an error, on a
// goroutine of its own; h may be told of the end before that. A fault of this machine is tried again while there is time.
//
// The connect is the standard library's, since nbio 1.6.8 takes the first four bytes of a 16-byte address and so
// connects to 0.0.0.0, and reports a refused connect as done; from then on the socket is nbio's.
func (n *Net) Dial(addr string, timeout time.Duration, h Handler, done func(Conn, error)) {
	go func() {
		c, err := dial(addr, timeout, connect)
		if err != nil {
			done(nil, err)
			return
		}
		s := new(session)
		s.set(h, false)
		c.SetSession(s)
		n.settle()
		if err := n.add(c); err != nil {
			done(nil, err)
			return
		}
		done(&conn{c, s, n}, nil) // not before: a write needs the engine
	}()
}

// connector connects once.
type connector func(addr string, timeout time.Duration) (*nbio.Conn, error)

// dial connects within a time, however often this machine fails meanwhile.
func dial(addr string, timeout time.Duration, connect connector) (c *nbio.Conn, err error) {
	err = transient.RetryWhile(timeout-dialSpare, LocalFault, func(left time.Duration) (err error) {
		c, err = connect(addr, max(dialSpare, left))
		return err
	})
	return c, err
}

// connect is the connector of the system's sockets.
func connect(addr string, timeout time.Duration) (*nbio.Conn, error) {
	std, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(std) // takes a copy of the descriptor and closes std
	if err != nil {
		std.Close()
		return nil, err
	}
	return c, nil
}
