package handover

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/roster"
	"quillrail/internal/wire/mqtt"
)

const (
	helloTimeout = 2 * time.Second // limit for the initial exchange; a new process must be ready within a few seconds of its start
	writeTimeout = time.Second     // a peer that accepts no message within this time is given up
)

// Kinds of messages with remembered calls, and with an outcome that is to be published.
const (
	callsKind   = "calls"
	outcomeKind = "outcome"
)

// message is the content of one frame on the link. A frame is a length of four bytes in big-endian order, followed by JSON.
type message struct {
	Kind     string                   `json:"kind"` // one of hello, state, no, ready, ban, call back, calls, outcome
	Identity *Identity                `json:"who,omitempty"`
	State    *State                   `json:"state,omitempty"`
	Ban      *roster.Ban              `json:"ban,omitempty"`
	Calls    []core.RememberedCall    `json:"calls,omitempty"`
	Outcome  *mqtt.UnpublishedOutcome `json:"outcome,omitempty"`
	Broker   string                   `json:"broker,omitempty"` // with ready: address of the broker at which the sender publishes outcomes
	Why      string                   `json:"why,omitempty"`
}

func encodeFrame(m message) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(text) > maxStateBytes {
		return nil, fmt.Errorf("a message of %d bytes", len(text))
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...), nil
}

func readMessage(r io.Reader) (m message, err error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return m, err
	}
	return readBody(r, head)
}

func readBody(r io.Reader, head [4]byte) (m message, err error) {
	n := binary.BigEndian.Uint32(head[:])
	if n > maxStateBytes {
		return m, fmt.Errorf("a message of %d bytes", n)
	}
	text := make([]byte, n)
	if _, err := io.ReadFull(r, text); err != nil {
		return m, err
	}
	return m, json.Unmarshal(text, &m)
}

// shortPath returns a path to dir that fits into the address of a Unix socket however long the name of dir is. The path is valid
// as long as the returned file, which is dir itself, stays open.
func shortPath(dir string) (string, *os.File, error) {
	folder, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d", folder.Fd()), folder, nil
}

const (
	socketName     = "quillrail.sock"
	tempSocketName = "quillrail.sock.new"
	openRetryLimit = 5 * time.Second // how long either end retries while the system temporarily lacks resources, such as descriptors
)
