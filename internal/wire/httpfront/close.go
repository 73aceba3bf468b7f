package httpfront

import (
	"go.uber.org/zap"
)

// closeReason says why a client's connection is closed.
type closeReason string

// The reasons for which this side closes.
const (
	idleTooLong    closeReason = "idle"
	madeRoom       closeReason = "makes room for others"
	frontLeaves    closeReason = "the process ends, or clients are sent away"
	lastAnswer     closeReason = "last answer written"
	answerNotTaken closeReason = "its client has not taken the answer in time"
	readsSlowly    closeReason = "its client reads slowly, and others need the room"
	writeFailed    closeReason = "write failed"
)

// part closes a connection without an open request. Bytes may have come meanwhile, to the mailbox or the socket: then it stays,
// and their request is answered and ends it.
func (c *conn) part(why closeReason) {
	c.parts, c.why = true, why
	c.sock.CloseIfNoNewData(c.taken)
}

// stay goes on with a connection that was to be closed and has had more, but no whole request.
func (c *conn) stay() {
	if c.busy {
		c.rest(readLimit)
		return
	}
	c.part(c.why)
}

// closed forgets a connection that has ended, whichever side ended it. err is what its socket ended with.
func (c *conn) closed(err error) {
	if c.gone {
		return
	}
	c.gone = true
	c.letGo()
	c.f.loop.Cancel(c.timer)
	c.f.conns.Free(c.ref)
	open := c.open != nil
	if x := c.open; x != nil {
		c.open = nil
		c.f.core.ClientGone(x.req)
	}
	c.f.log.Debug("client connection closed", zap.String("why", string(c.why)), zap.Bool("open", open),
		zap.Int("waiting", len(c.queue)), zap.Error(err))
}

// drop closes a connection at once, whatever it still holds.
func (c *conn) drop(why closeReason) {
	c.why = why
	c.sock.Close()
	c.closed(nil)
}
