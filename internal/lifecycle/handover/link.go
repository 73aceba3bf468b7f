package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"quillrail/internal/roster"
)

const (
	helloLimit = 2 * time.Second // for the first exchange; a new process has some seconds to its first yes
	writeLimit = time.Second     // a peer that takes no message for so long is gone
	outgoing   = 64              // messages that wait for a peer
)

// message is one frame on the link: four bytes of length, then JSON.
type message struct {
	Kind  string      `json:"kind"` // hello, state, no, ready, ban, call back
	Who   *Who        `json:"who,omitempty"`
	State *State      `json:"state,omitempty"`
	Ban   *roster.Ban `json:"ban,omitempty"`
	Why   string      `json:"why,omitempty"`
}

func frame(m message) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(text) > maxState {
		return nil, fmt.Errorf("a message of %d bytes", len(text))
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...), nil
}

func read(r io.Reader) (m message, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return m, err
	}
	return readRest(r, head)
}

func readRest(r io.Reader, head [4]byte) (m message, err error) {
	n := binary.BigEndian.Uint32(head[:])
	if n > maxState {
		return m, fmt.Errorf("a message of %d bytes", n)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return m, err
	}
	return m, json.Unmarshal(text, &m)
}

// Events is what comes over the link. Its methods are called on goroutines of the link, one at a time for each peer.
type Events interface {
	Ban(roster.Ban)                      // an operator has left a worker out at the other process
	CallBack(id string)                  // or has called it back
	PeerReady(p *Peer)                   // the successor can serve
	PeerGone(p *Peer)                    // the other process has ended, or has been given up
	Offer() (net.Listener, State, error) // what a successor gets; an error is the reason for nothing
	Taken(p *Peer)                       // a successor has it
}

// Peer is the other process of the gateway.
type Peer struct {
	conn *net.UnixConn
	out  chan []byte
	once sync.Once
	end  chan struct{}
}

func newPeer(conn *net.UnixConn) *Peer {
	return &Peer{conn: conn, out: make(chan []byte, outgoing), end: make(chan struct{})}
}

// Close ends the link.
func (p *Peer) Close() {
	p.once.Do(func() {
		close(p.end)
		p.conn.Close()
	})
}

// send queues a message and never waits. A peer that takes nothing is given up.
func (p *Peer) send(m message) {
	b, err := frame(m)
	if err != nil {
		p.Close()
		return
	}
	select {
	case p.out <- b:
	default:
		p.Close()
	}
}

// Ready tells the predecessor that this process can serve.
func (p *Peer) Ready() { p.send(message{Kind: "ready"}) }

// Ban tells of a worker left out by hand here.
func (p *Peer) Ban(b roster.Ban) { p.send(message{Kind: "ban", Ban: &b}) }

// CallBack tells of a worker called back here.
func (p *Peer) CallBack(id string) { p.send(message{Kind: "call back", Ban: &roster.Ban{ID: id}}) }

// run carries messages until the link ends.
func (p *Peer) run(ev Events) {
	go func() {
		for {
			select {
			case b := <-p.out:
				p.conn.SetWriteDeadline(time.Now().Add(writeLimit))
				if _, err := p.conn.Write(b); err != nil {
					p.Close()
					return
				}
			case <-p.end:
				return
			}
		}
	}()
	for {
		m, err := read(p.conn)
		if err != nil {
			break
		}
		switch {
		case m.Kind == "ready":
			ev.PeerReady(p)
		case m.Kind == "ban" && m.Ban != nil && m.Ban.Check() == nil:
			ev.Ban(*m.Ban)
		case m.Kind == "call back" && m.Ban != nil && m.Ban.Check() == nil:
			ev.CallBack(m.Ban.ID)
		default: // a later version may say more
		}
	}
	p.Close()
	ev.PeerGone(p)
}

// short returns a path to dir that fits into the address of a Unix socket, whatever dir is called. Its directory must
// be kept open for as long.
func short(dir string) (string, *os.File, error) {
	d, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d", d.Fd()), d, nil
}

const (
	linkName = "quillrail.sock"
	tempName = "quillrail.sock.new"
)

// Take asks the process that serves for its listening socket and its state. ErrNone says that nobody answers. On the
// Peer Start has to be called.
func Take(dir string, who Who) (*Peer, net.Listener, State, error) {
	fail := func(err error) (*Peer, net.Listener, State, error) { return nil, nil, State{}, err }
	path, d, err := short(dir)
	if err != nil {
		return fail(err)
	}
	defer d.Close()
	c, err := net.DialTimeout("unix", filepath.Join(path, linkName), helloLimit)
	switch {
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED):
		return fail(ErrNone)
	case err != nil:
		return fail(err)
	}
	conn := c.(*net.UnixConn)
	ln, state, err := ask(conn, who)
	if err != nil {
		conn.Close()
		return fail(err)
	}
	return newPeer(conn), ln, state, nil
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

// Start begins to carry messages with the predecessor.
func (p *Peer) Start(ev Events) { go p.run(ev) }

// Door is where the next process asks.
type Door struct {
	ln  *net.UnixListener
	who Who
	ev  Events
}

// Open takes the place in dir where the next process will ask, from whoever has it now.
func Open(dir string, who Who, ev Events) (*Door, error) {
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
	door := &Door{ln: ln, who: who, ev: ev}
	go door.accept()
	return door, nil
}

// Close stops listening. A link that is up stays.
func (d *Door) Close() { d.ln.Close() }

func (d *Door) accept() {
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

func (d *Door) serve(conn *net.UnixConn) {
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

func (d *Door) offer(conn *net.UnixConn) error {
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
