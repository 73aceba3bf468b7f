package httpfront

import (
	"go.uber.org/zap"
)

// closeReason is why this side closes a client's connection. It is logged.
type closeReason string

// The reasons for which this side closes.
const (
	idleTooLong   closeReason = "idle"
	madeRoom      closeReason = "makes room for other connections"
	frontClosing  closeReason = "the process ends or the front drains"
	lastAnswer    closeReason = "last answer written"
	answerTimeout closeReason = "the client has not read the answer in time"
	readTooSlowly closeReason = "the client reads slowly, and others need the room"
	writeFailed   closeReason = "write failed"
)

// closeIfIdle closes a connection without a request in flight, unless input has arrived that the event loop has not handled,
// be it posted to the loop or still in the socket. That request is then answered, and its answer closes the connection.
func (c *conn) closeIfIdle(why closeReason) {
	c.closePending, c.closedFor = true, why
	c.sock.CloseIfNoNewData(c.processed)
}

// keepOpen handles input without a whole request on a connection that was to be closed.
func (c *conn) keepOpen() {
	if c.partial {
		c.setTimeout(readTimeout)
		return
	}
	c.closeIfIdle(c.closedFor)
}

// closed frees a connection that has ended, whichever side ended it. err is the error with which its socket ended.
func (c *conn) closed(err error) {
	if c.gone {
		return
	}
	c.gone = true
	c.releaseUnsent()
	c.front.loop.Cancel(c.timer)
	c.front.conns.Free(c.ref)
	open := c.current != nil
	if x := c.current; x != nil {
		c.current = nil
		c.front.core.ClientGone(x.ref)
	}
	c.front.log.Debug("client connection closed", zap.String("why", string(c.closedFor)), zap.Bool("open", open),
		zap.Int("waiting", len(c.queue)), zap.Error(err))
}

// closeNow closes a connection at once and discards what is still to be sent or answered.
func (c *conn) closeNow(why closeReason) {
	c.closedFor = why
	c.sock.Close()
	c.closed(nil)
}
