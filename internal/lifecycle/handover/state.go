// Package handover passes the listening socket, and the state that must not be lost, from one process of a gateway to its
// successor, during an upgrade under load. It also stores state in a file, for a restart without a predecessor.
package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"quillrail/decide"
	"quillrail/internal/roster"
)

const (
	stateVersion  = 1
	maxStateBytes = 4 << 20 // bound of the state file and of each message on the link
)

// Identity names the gateway that a state belongs to. The state of another gateway must not be used.
type Identity struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
}

// State is what a process passes to its successor.
type State struct {
	Version int `json:"version"`
	Identity
	Roster roster.Saved     `json:"roster"`
	Module *decide.Snapshot `json:"module,omitempty"` // sent over the link only: in the file it would be stale
	Agreed []byte           `json:"agreed,omitempty"` // what the fleet has agreed; sent over the link only, too
}

// ErrNoPredecessor means that no running process answers and no state file exists, so there is nothing to take over.
var ErrNoPredecessor = errors.New("no predecessor process and no state file found")

// decode parses a state and checks that it belongs to the gateway with this identity.
func decode(text []byte, identity Identity) (State, error) {
	var s State
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return State{}, fmt.Errorf("state is truncated or invalid: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return State{}, errors.New("unexpected data after the state")
	}
	return s, s.check(identity)
}

func (s *State) check(identity Identity) error {
	switch {
	case s.Version != stateVersion:
		return fmt.Errorf("state has version %d, expected %d", s.Version, stateVersion)
	case s.Identity != identity:
		return fmt.Errorf("state is of gateway %s at %s, expected %s at %s", s.Name, s.Listen, identity.Name, identity.Listen)
	}
	return s.Roster.Check()
}

func statePath(dir string) string { return filepath.Join(dir, "quillrail-state.json") }

// Save writes the state file in dir atomically: a reader finds the old state or the new one.
func Save(dir string, s State) error {
	s.Version = stateVersion
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if len(text) > maxStateBytes {
		return fmt.Errorf("state has %d bytes, at most %d are allowed", len(text), maxStateBytes)
	}
	f, err := os.CreateTemp(dir, "quillrail-state-*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err2 := f.Close(); err == nil {
		err = err2
	}
	if err == nil {
		err = os.Rename(f.Name(), statePath(dir))
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// Load reads the state file in dir and checks that it belongs to the gateway with this identity. It returns ErrNoPredecessor if
// the file does not exist.
func Load(dir string, identity Identity) (State, error) {
	f, err := os.Open(statePath(dir))
	if errors.Is(err, os.ErrNotExist) {
		return State{}, ErrNoPredecessor
	}
	if err != nil {
		return State{}, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxStateBytes+1))
	switch {
	case err != nil:
		return State{}, err
	case len(text) > maxStateBytes:
		return State{}, fmt.Errorf("state file has more than %d bytes", maxStateBytes)
	}
	return decode(text, identity)
}

// Saver writes states to the state file on its own goroutine. A state is skipped if a newer one arrives before its write begins.
type Saver struct {
	next chan State
	done chan struct{}
}

// saveRetryDelay is the time between two attempts to write a state.
const saveRetryDelay = time.Second

// NewSaver returns a Saver for dir. After a write that fails it calls failed on the Saver's goroutine, then writes again, the newest
// state by then, until a write succeeds or the Saver is closed.
func NewSaver(dir string, failed func(error)) *Saver { return newSaver(dir, saveRetryDelay, failed) }

func newSaver(dir string, retryDelay time.Duration, failed func(error)) *Saver {
	s := &Saver{next: make(chan State, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for state := range s.next {
			s.write(dir, state, retryDelay, failed)
		}
	}()
	return s
}

func (s *Saver) write(dir string, state State, retryDelay time.Duration, failed func(error)) {
	for {
		err := Save(dir, state)
		if err == nil {
			return
		}
		failed(err)
		select {
		case newer, open := <-s.next:
			if !open {
				return
			}
			state = newer
		case <-time.After(retryDelay):
		}
	}
}

// Save queues a state and never blocks. It must not be called from two goroutines at once.
func (s *Saver) Save(state State) {
	select {
	case <-s.next: // drops an older state that is not written yet
	default:
	}
	s.next <- state
}

// Close waits until the last state is written. A write that fails is not repeated any more.
func (s *Saver) Close() {
	close(s.next)
	<-s.done
}
