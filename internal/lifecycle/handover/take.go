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

// TakeOver requests the listening socket and the state of the process that serves this gateway now. It returns ErrNoPredecessor if
// no process listens in dir. The caller must call Start on the returned Peer.
func TakeOver(dir string, identity Identity) (*Peer, net.Listener, State, error) {
	fail := func(err error) (*Peer, net.Listener, State, error) { return nil, nil, State{}, err }
	var conn *net.UnixConn
	err := transient.Retry(openRetryLimit, func() (err error) {
		conn, err = dial(dir)
		return err
	})
	if err != nil {
		return fail(err)
	}
	ln, state, err := requestState(conn, identity)
	if err != nil {
		conn.Close()
		return fail(err)
	}
	return newPeer(conn), ln, state, nil
}

// dial connects to the process that serves this gateway now.
func dial(dir string) (*net.UnixConn, error) {
	path, folder, err := shortPath(dir)
	if err != nil {
		return nil, err
	}
	defer folder.Close()
	conn, err := net.DialTimeout("unix", filepath.Join(path, socketName), helloTimeout)
	switch {
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return nil, ErrNoPredecessor
	case err != nil:
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

func requestState(conn *net.UnixConn, identity Identity) (net.Listener, State, error) {
	conn.SetDeadline(time.Now().Add(helloTimeout))
	b, err := encodeFrame(message{Kind: "hello", Identity: &identity})
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
	file, err := receivedFile(oob[:oobn])
	if file != nil {
		defer file.Close()
	}
	if err != nil {
		return nil, State{}, err
	}
	if _, err := io.ReadFull(conn, head[n:]); err != nil {
		return nil, State{}, err
	}
	m, err := readBody(conn, head)
	switch {
	case err != nil:
		return nil, State{}, err
	case m.Kind != "state" || m.State == nil:
		return nil, State{}, fmt.Errorf("handover refused by the running process: %s", m.Why)
	case file == nil:
		return nil, State{}, errors.New("state arrived without the listening socket")
	}
	if err := m.State.check(identity); err != nil {
		return nil, State{}, err
	}
	ln, err := net.FileListener(file) // duplicates the descriptor
	conn.SetDeadline(time.Time{})
	return ln, *m.State, err
}

// receivedFile returns the file that was passed with a message, nil if there is none. Any further ones are closed.
func receivedFile(oob []byte) (*os.File, error) {
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
