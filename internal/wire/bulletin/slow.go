package bulletin

import (
	"errors"
	"time"

	"quillrail/internal/wire/sock"
)

// slowConnLifetime is how long a connection that has not received a frame yet stays open while further ones are tried. It exceeds
// MaxPropagation: events count as received after that time, but this connection may still be the first on which they arrive.
const slowConnLifetime = 10 * time.Second

var errSilent = errors.New("silent")

// slowConn is a connection whose request has not been answered within silenceTimeout. If the network to the bulletin is slow, every
// further connection would also be closed before its first frame arrives, so one is kept open.
type slowConn struct {
	dialNo    uint64
	conn      sock.Conn
	freshness freshness
}

// handleSilence is called when a connection has received no complete frame for silenceTimeout. A connection that has never received one
// becomes the slow connection, unless there is one already.
func (f *Feed) handleSilence(dialNo uint64) {
	if dialNo != f.dialNo {
		return
	}
	if f.conn != nil && !f.freshness.gotFrame && f.slow == nil {
		slow := &slowConn{dialNo, f.conn, f.freshness}
		f.slow, f.conn = slow, nil
		f.loop.After(slowConnLifetime, func() {
			if f.slow == slow {
				f.dropSlow()
			}
		})
	}
	f.retry(errSilent)
}

// adoptSlow makes the slow connection the current one, since it was the first to receive a frame.
func (f *Feed) adoptSlow() {
	slow := f.slow
	f.slow = nil
	f.disconnect()
	f.dialNo, f.conn, f.freshness = slow.dialNo, slow.conn, slow.freshness
}

// dropSlow closes the slow connection, if there is one.
func (f *Feed) dropSlow() {
	if f.slow != nil {
		f.slow.conn.Close()
		f.slow = nil
	}
}
