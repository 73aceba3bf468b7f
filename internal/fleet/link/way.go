package link

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// way is the connection to one gateway.
type way struct {
	n     *Net
	addr  string
	queue []Message
	bytes int
	wake  chan struct{}
	over  bool // this gateway goes by another incarnation now
	conn  net.Conn
}

// run opens the connection and writes what waits, until nothing has for long or it fails; what waits then is dropped.
func (w *way) run() {
	defer w.n.wg.Done()
	c, err := w.n.dial(w.addr, dialLimit)
	if err == nil {
		err = w.begin(c)
	}
	for err == nil {
		var batch []Message
		w.n.mu.Lock()
		batch, w.queue, w.bytes = w.queue, nil, 0
		ended := w.n.closed || w.over
		w.n.mu.Unlock()
		if ended {
			break
		}
		if len(batch) > 0 {
			err = w.write(c, batch)
			continue
		}
		select {
		case <-w.wake:
		case <-time.After(idle):
			err = errIdle
		}
	}
	w.end(c)
}

var errIdle = errors.New("link: nothing to say")

// end takes the way out, so that the next message opens a new one.
func (w *way) end(c net.Conn) {
	if c != nil {
		c.Close()
	}
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	w.n.stat.Lost += uint64(len(w.queue))
	if w.n.out[w.addr] == w {
		delete(w.n.out, w.addr)
	}
}

// begin says hello, and has an end of the connection from the other side noticed.
func (w *way) begin(c net.Conn) error {
	w.n.mu.Lock()
	w.conn = c
	closed, self := w.n.closed, w.n.self
	w.n.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	b, err := msgpack.Marshal(self)
	if err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(stuck))
	if _, err = c.Write(append(frame([]byte{Magic}, len(b)), b...)); err != nil {
		return err
	}
	w.n.wg.Add(1)
	go func() { // nothing comes back but the end
		defer w.n.wg.Done()
		io.Copy(io.Discard, c)
		c.Close()
	}()
	return nil
}

func (w *way) write(c net.Conn, batch []Message) error {
	var out []byte
	for _, m := range batch {
		b, err := msgpack.Marshal(m)
		if err != nil {
			return err
		}
		out = append(frame(out, len(b)), b...)
	}
	c.SetWriteDeadline(time.Now().Add(stuck))
	_, err := c.Write(out)
	w.n.mu.Lock()
	defer w.n.mu.Unlock()
	if err != nil {
		w.n.stat.Lost += uint64(len(batch))
		return err
	}
	w.n.stat.Sent += uint64(len(batch))
	w.n.stat.Bytes += uint64(len(out))
	return nil
}

func frame(to []byte, n int) []byte { return binary.BigEndian.AppendUint32(to, uint32(n)) }
