package bulletin

import (
	"errors"
	"time"

	"quillrail/internal/wire/sock"
)

// slowMost is how long a connection that has not spoken yet is kept beside the tries of further ones. What it has to tell
// counts as told sooner, but may still come before any other word.
const slowMost = 10 * time.Second

var errSilent = errors.New("silent")

// slowConn is a connection that has asked and has not been answered in time. The way to the bulletin may be slow: each
// further connection would then be given up as well before it could speak.
type slowConn struct {
	try   uint64
	conn  sock.Conn
	fresh freshness
}

// silent is called when a connection has brought no whole frame for too long. One that never did is kept for a while.
func (f *Feed) silent(try uint64) {
	if try != f.try {
		return
	}
	if f.conn != nil && !f.fresh.spoke && f.slow == nil {
		slow := &slowConn{try, f.conn, f.fresh}
		f.slow, f.conn = slow, nil
		f.loop.After(slowMost, func() {
			if f.slow == slow {
				f.dropSlow()
			}
		})
	}
	f.again(errSilent)
}

// adopt goes on with the slow connection, which has spoken before any other.
func (f *Feed) adopt() {
	slow := f.slow
	f.slow = nil
	f.drop()
	f.try, f.conn, f.fresh = slow.try, slow.conn, slow.fresh
}

// dropSlow closes the slow connection, if there is one.
func (f *Feed) dropSlow() {
	if f.slow != nil {
		f.slow.conn.Close()
		f.slow = nil
	}
}
