package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"quillrail/internal/transient"
)

// Take asks the process that serves for its listening socket and its state. ErrNone says that nobody answers. On the
// Peer Start has to be called.
func Take(dir string, who Who) (*Peer, net.Listener, State, error) {
	fail := func(err error) (*Peer, net.Listener, State, error) { return nil, nil, State{}, err }
	var conn *net.UnixConn
	err := transient.Retry(openFor, func() (err error) {
		conn, err = dial(dir)
		return err
	})
	if err != nil {
		return fail(err)
	}
	ln, state, err := ask(conn, who)
	if err != nil {
		conn.Close()
		return fail(err)
	}
	return newPeer(conn), ln, state, nil
}

// dial connects to the process that serves.
func dial(dir string) (*net.UnixConn, error) {
	path, d, err := short(dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	conn, err := net.DialTimeout("unix", filepath.Join(path, linkName), helloLimit)
	switch {
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, ErrNone
	case err != nil:
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

func ask(conn *net.UnixConn, who Who) (net.Listener, State, error) {
	conn.SetDeadline(time.Now().Add(helloLimit))
	b, err := frame(message{Kind: "hello", Who: &who})
	if err != nil {
		return nil, State{}, err
	}
	if _, err := conn.Write(b); err != nil {
		return nil, State{}, err
	}
	var head [4]byte
	oob := make([]byte, syscall.CmsgSpace(4))
	n, oobn, _, _, err := conn.ReadMsgUnix(head[:], oob)
	if err != nil {
		return nil, State{}, err
	}
	file, err := descriptor(oob[:oobn])
	if file != nil {
		defer file.Close()
	}
	if err != nil {
		return nil, State{}, err
	}
	if _, err := io.ReadFull(conn, head[n:]); err != nil {
		return nil, State{}, err
	}
	m, err := readRest(conn, head)
	switch {
	case err != nil:
		return nil, State{}, err
	case m.Kind != "state" || m.State == nil:
		return nil, State{}, fmt.Errorf("refused: %s", m.Why)
	case file == nil:
		return nil, State{}, errors.New("no socket came with the state")
	}
	if err := m.State.check(who); err != nil {
		return nil, State{}, err
	}
	ln, err := net.FileListener(file) // takes a copy
	conn.SetDeadline(time.Time{})
	return ln, *m.State, err
}

// descriptor takes the one file that came with a message; nil if there is none.
func descriptor(oob []byte) (*os.File, error) {
	if len(oob) == 0 {
		return nil, nil
	}
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	var file *os.File
	for _, m := range msgs {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return file, err
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			if file != nil {
				syscall.Close(fd)
				continue
			}
			file = os.NewFile(uintptr(fd), "listener")
		}
	}
	return file, nil
}
