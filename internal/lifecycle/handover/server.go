package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"quillrail/internal/transient"
)

// Server is where the next process asks.
type Server struct {
	ln  *net.UnixListener
	who Who
	ev  Events
}

// Listen takes the place in dir where the next process will ask, from whoever has it now. It may block for a while.
func Listen(dir string, who Who, ev Events) (door *Server, err error) {
	err = transient.Retry(openFor, func() (err error) {
		door, err = listen(dir, who, ev)
		return err
	})
	return door, err
}

func listen(dir string, who Who, ev Events) (*Server, error) {
	path, d, err := short(dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	temp := filepath.Join(path, tempName)
	os.Remove(temp) // of a process that was killed just then
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temp, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // the place may be the next process's by then
	if err := os.Rename(temp, filepath.Join(path, linkName)); err != nil {
		ln.Close()
		return nil, err
	}
	door := &Server{ln: ln, who: who, ev: ev}
	go door.accept()
	return door, nil
}

// Close stops listening. A link that is up stays.
func (d *Server) Close() { d.ln.Close() }

func (d *Server) accept() {
	for {
		conn, err := d.ln.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // for want of descriptors
			continue
		}
		d.serve(conn) // one at a time, each for a bounded time
	}
}

func (d *Server) serve(conn *net.UnixConn) {
	p := newPeer(conn)
	conn.SetDeadline(time.Now().Add(helloLimit))
	if err := d.offer(conn); err != nil {
		if b, err := frame(message{Kind: "no", Why: err.Error()}); err == nil {
			conn.Write(b)
		}
		p.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	d.ev.Taken(p)
	go p.run(d.ev)
}

func (d *Server) offer(conn *net.UnixConn) error {
	m, err := read(conn)
	switch {
	case err != nil:
		return err
	case m.Kind != "hello" || m.Who == nil:
		return errors.New("no hello")
	case *m.Who != d.who:
		return fmt.Errorf("this is %s at %s", d.who.Name, d.who.Listen)
	}
	ln, state, err := d.ev.Offer()
	if err != nil {
		return err
	}
	state.Version, state.Who = version, d.who
	b, err := frame(message{Kind: "state", State: &state})
	if err != nil { // the bans must not be lost with what merely helps
		state.Module = nil
		if b, err = frame(message{Kind: "state", State: &state}); err != nil {
			return err
		}
	}
	raw, err := ln.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = conn.WriteMsgUnix(b[:4], syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if sent != nil {
		return sent
	}
	_, err = conn.Write(b[4:])
	return err
}
