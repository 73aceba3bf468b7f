// Package handover hands on from one process of a gateway to the next, during an upgrade under load: the listening
// socket and what must not be forgotten.
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
	version  = 1
	maxState = 4 << 20 // bytes, in the file and on the link
)

// Who says whose state it is: one that another gateway has left is of no use.
type Who struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
}

// State is what is handed on.
type State struct {
	Version int `json:"version"`
	Who
	Roster roster.Saved     `json:"roster"`
	Module *decide.Snapshot `json:"module,omitempty"` // only over the link: in a file it would be old
	Agreed []byte           `json:"agreed,omitempty"` // what the fleet has agreed, likewise
}

// ErrNone says that nothing was handed on.
var ErrNone = errors.New("nothing was handed on")

// decode reads a state and checks that it may be used by who.
func decode(text []byte, who Who) (State, error) {
	var s State
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return State{}, fmt.Errorf("torn or not a state: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return State{}, errors.New("more than one state")
	}
	return s, s.check(who)
}

func (s *State) check(who Who) error {
	switch {
	case s.Version != version:
		return fmt.Errorf("version %d, not %d", s.Version, version)
	case s.Who != who:
		return fmt.Errorf("state of %s at %s", s.Name, s.Listen)
	}
	return s.Roster.Check()
}

func fileOf(dir string) string { return filepath.Join(dir, "quillrail-state.json") }

// Save writes the state into dir, whole or not at all.
func Save(dir string, s State) error {
	s.Version = version
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if len(text) > maxState {
		return fmt.Errorf("a state of %d bytes", len(text))
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
		err = os.Rename(f.Name(), fileOf(dir))
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// Load reads the state that dir holds for who. ErrNone says that there is none.
func Load(dir string, who Who) (State, error) {
	f, err := os.Open(fileOf(dir))
	if errors.Is(err, os.ErrNotExist) {
		return State{}, ErrNone
	}
	if err != nil {
		return State{}, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxState+1))
	switch {
	case err != nil:
		return State{}, err
	case len(text) > maxState:
		return State{}, fmt.Errorf("a state of more than %d bytes", maxState)
	}
	return decode(text, who)
}

// Saver writes states to the file on a goroutine of its own: the newest, as soon as the one before is written.
type Saver struct {
	next chan State
	done chan struct{}
}

// saveAgain is the pause after a state that could not be written.
const saveAgain = time.Second

// NewSaver returns a Saver for dir; failed is told of what could not be written, on the Saver's goroutine. It is written again,
// unless a newer one has come, until that succeeds or the Saver is closed.
func NewSaver(dir string, failed func(error)) *Saver { return newSaver(dir, saveAgain, failed) }

func newSaver(dir string, pause time.Duration, failed func(error)) *Saver {
	s := &Saver{next: make(chan State, 1), done: make(chan struct{})}
	go func() {
		defer close(s.done)
		for state := range s.next {
			s.write(dir, state, pause, failed)
		}
	}()
	return s
}

func (s *Saver) write(dir string, state State, pause time.Duration, failed func(error)) {
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
		case <-time.After(pause):
		}
	}
}

// Save hands over a state and never waits. It must not be called from two goroutines at once.
func (s *Saver) Save(state State) {
	select {
	case <-s.next: // an older one that nobody needs any more
	default:
	}
	s.next <- state
}

// Close waits until the last state is written.
func (s *Saver) Close() {
	close(s.next)
	<-s.done
}
