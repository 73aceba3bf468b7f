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

// dialMargin is how long before its timeout a dial stops retrying, so that its error is still reported in time.
const dialMargin = 10 * time.Millisecond

// localFaults are errors of a connect that are caused by this machine and not by the peer, in addition to the transient errors: no free
// local port, or no route to the network at the moment.
var localFaults = []error{syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN}

// LocalFault reports whether an error returned by Dial is caused by this machine and not by the peer.
func LocalFault(err error) bool {
	return transient.Is(err) || slices.ContainsFunc(localFaults, func(fault error) bool { return errors.Is(err, fault) })
}

// Dial opens a connection whose bytes go to h. done is called once, with the connection or with an error, on a goroutine of its own;
// h.Closed may be called before that. After a fault of this machine the connect is retried until the timeout.
//
// The standard library makes the connect and hands the socket to nbio. The connect of nbio 1.6.8 has two faults: it uses the first four
// bytes of a 16-byte address and so connects to 0.0.0.0, and it reports a refused connect as successful.
func (n *Net) Dial(addr string, timeout time.Duration, h Handler, done func(Conn, error)) {
	go func() {
		c, err := dial(addr, timeout, connect)
		if err != nil {
			done(nil, err)
			return
		}
		s := new(session)
		s.setHandler(h, false)
		c.SetSession(s)
		n.awaitStaleEvents()
		if err := n.add(c); err != nil {
			done(nil, err)
			return
		}
		done(&conn{c, s, n}, nil) // only now: a write needs a connection that the engine has
	}()
}

// connectFunc makes one attempt to connect.
type connectFunc func(addr string, timeout time.Duration) (*nbio.Conn, error)

// dial connects within the timeout and retries after faults of this machine.
func dial(addr string, timeout time.Duration, connect connectFunc) (c *nbio.Conn, err error) {
	err = transient.RetryWhile(timeout-dialMargin, LocalFault, func(left time.Duration) (err error) {
		c, err = connect(addr, max(dialMargin, left))
		return err
	})
	return c, err
}

// connect makes one attempt to connect with the system's sockets.
func connect(addr string, timeout time.Duration) (*nbio.Conn, error) {
	std, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	c, err := nbio.NBConn(std) // duplicates the descriptor and closes std
	if err != nil {
		std.Close()
		return nil, err
	}
	return c, nil
}
