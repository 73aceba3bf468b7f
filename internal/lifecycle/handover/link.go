package handover

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"os"
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
	openFor  = 5 * time.Second // for either end of the link, while the machine lacks something for it
)
