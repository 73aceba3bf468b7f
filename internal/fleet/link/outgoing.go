package link

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// outgoing is the connection to one other gateway, with its queue.
type outgoing struct {
	manager    *Manager
	addr       string
	queue      []Message
	bytes      int
	wake       chan struct{}
	superseded bool // replaced after this gateway's incarnation changed
	conn       net.Conn
}

// run opens the connection and writes queued messages until the connection fails or has been idle for idleTimeout. Messages
// still queued then are dropped.
func (o *outgoing) run() {
	defer o.manager.wg.Done()
	c, err := o.manager.dial(o.addr, dialTimeout)
	if err == nil {
		err = o.handshake(c)
	}
	for err == nil {
		var batch []Message
		o.manager.mu.Lock()
		batch, o.queue, o.bytes = o.queue, nil, 0
		ended := o.manager.closed || o.superseded
		o.manager.mu.Unlock()
		if ended {
			break
		}
		if len(batch) > 0 {
			err = o.write(c, batch)
			continue
		}
		select {
		case <-o.wake:
		case <-time.After(idleTimeout):
			err = errIdle
		}
	}
	o.remove(c)
}

var errIdle = errors.New("link: connection is idle")

// remove closes the connection and removes it from the manager, so that the next message opens a new one.
func (o *outgoing) remove(c net.Conn) {
	if c != nil {
		c.Close()
	}
	o.manager.mu.Lock()
	defer o.manager.mu.Unlock()
	o.manager.stats.Lost += uint64(len(o.queue))
	if o.manager.outgoing[o.addr] == o {
		delete(o.manager.outgoing, o.addr)
	}
}

// handshake sends the Hello, and starts a goroutine that closes the connection when the other side ends it.
func (o *outgoing) handshake(c net.Conn) error {
	o.manager.mu.Lock()
	o.conn = c
	closed, self := o.manager.closed, o.manager.self
	o.manager.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	b, err := msgpack.Marshal(self)
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(ioTimeout))
	if _, err = c.Write(append(appendLength([]byte{Magic}, len(b)), b...)); err != nil {
		return err
	}
	o.manager.wg.Add(1)
	go func() { // the other side sends nothing; the read ends with the connection
		defer o.manager.wg.Done()
		io.Copy(io.Discard, c)
		c.Close()
	}()
	return nil
}

func (o *outgoing) write(c net.Conn, batch []Message) error {
	var frames []byte
	for _, m := range batch {
		b, err := msgpack.Marshal(m)
		if err != nil {
			return err
		}
		frames = append(appendLength(frames, len(b)), b...)
	}
	c.SetWriteDeadline(time.Now().Add(ioTimeout))
	_, err := c.Write(frames)
	o.manager.mu.Lock()
	defer o.manager.mu.Unlock()
	if err != nil {
		o.manager.stats.Lost += uint64(len(batch))
		return err
	}
	o.manager.stats.Sent += uint64(len(batch))
	o.manager.stats.Bytes += uint64(len(frames))
	return nil
}

// appendLength appends the length header of a frame of n bytes.
func appendLength(to []byte, n int) []byte { return binary.BigEndian.AppendUint32(to, uint32(n)) }
