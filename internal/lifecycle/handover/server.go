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

// Server listens for the successor of this process.
type Server struct {
	listener *net.UnixListener
	identity Identity
	handler  Handler
}

// Listen starts to listen on the socket in dir to which a successor connects. It replaces the socket of a predecessor, and blocks
// for up to openRetryLimit while system resources are short.
func Listen(dir string, identity Identity, handler Handler) (server *Server, err error) {
	err = transient.Retry(openRetryLimit, func() (err error) {
		server, err = listen(dir, identity, handler)
		return err
	})
	return server, err
}

func listen(dir string, identity Identity, handler Handler) (*Server, error) {
	path, folder, err := shortPath(dir)
	if err != nil {
		return nil, err
	}
	defer folder.Close()
	temp := filepath.Join(path, tempSocketName)
	os.Remove(temp) // may be left by a process that was killed before its rename
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temp, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the path may be that of a successor's socket
	if err := os.Rename(temp, filepath.Join(path, socketName)); err != nil {
		ln.Close()
		return nil, err
	}
	server := &Server{listener: ln, identity: identity, handler: handler}
	go server.accept()
	return server, nil
}

// Close stops listening. Established links stay open.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // accepting fails while no descriptors are free
			continue
		}
		s.serve(conn) // handles one successor at a time; its deadlines bound how long
	}
}

func (s *Server) serve(conn *net.UnixConn) {
	p := newPeer(conn)
	conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := s.offer(conn); err != nil {
		if b, err := encodeFrame(message{Kind: "no", Why: err.Error()}); err == nil {
			conn.Write(b)
		}
		p.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	s.handler.HandedOver(p)
	go p.run(s.handler)
}

func (s *Server) offer(conn *net.UnixConn) error {
	m, err := readMessage(conn)
	switch {
	case err != nil:
		return err
	case m.Kind != "hello" || m.Identity == nil:
		return errors.New("no hello")
	case *m.Identity != s.identity:
		return fmt.Errorf("this is %s at %s", s.identity.Name, s.identity.Listen)
	}
	ln, state, err := s.handler.Offer()
	if err != nil {
		return err
	}
	state.Version, state.Identity = stateVersion, s.identity
	b, err := encodeFrame(message{Kind: "state", State: &state})
	if err != nil { // too large: send the bans, which must not be lost, without the module's memory, which is only helpful
		state.Module = nil
		if b, err = encodeFrame(message{Kind: "state", State: &state}); err != nil {
			return err
		}
	}
	raw, err := ln.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	if err := raw.Control(func(fd uintptr) {
		_, _, sendErr = conn.WriteMsgUnix(b[:4], syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if sendErr != nil {
		return sendErr
	}
	_, err = conn.Write(b[4:])
	return err
}
