package replog

import (
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/freeze"
	"quillrail/internal/fleet/site"
)

// Entry is a decision in the log.
type Entry struct {
	V         int    // of the form
	From      string // the gateway that proposed it,
	Life, Seq uint64 // in which life, and the how-many-eth of that life
	At        int64  // the leader's time, Unix ms
	By        string // the operator's name, "" for the fleet itself
	Except    uint64 // the exception by which it is made in a freeze, 0 for none
	Kind      string
	Body      []byte
}

// Bodies of entries beside those of package change.
type (
	LimitsBody struct{ Limits change.Limits }
	ExceptBody struct{ Exception freeze.Exception }
	SecondBody struct{ ID uint64 }
	EndBody    struct {
		Name string
		At   int64 // Unix ms, 0: now
	}
	SpansBody struct {
		Name  string
		Spans []freeze.Span
	}
	NameBody     struct{ Name string }
	RulesBody    struct{ Rules Rules }
	RestrictBody struct {
		Restriction site.Restriction
		Workers     int     // well ones at its sites, and
		Load        float64 // calls a second that it is for, as who proposes it has measured
	}
)

// ErrTwice says that an entry has been applied before.
var ErrTwice = errors.New("applied before")

// Apply applies the entry at an index and returns what came of it: an error is the reason why it changed nothing.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index, s.At = index, max(s.At, e.At)
	if !s.once(e.From, e.Life, e.Seq) {
		return ErrTwice
	}
	k, known := kinds[e.Kind]
	if !known || k.level > s.Level {
		return fmt.Errorf("no entry %q is known at level %d", e.Kind, s.Level)
	}
	body := k.body()
	if err := msgpack.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("entry %s: %w", e.Kind, err)
	}
	if k.freeze != "" {
		if err := s.thaw(k.freeze, nil, e); err != nil {
			return err
		}
	}
	return k.do(s, change.Context{Index: index, At: s.At}, e, body)
}

// Check reports what no entry can be, before it is proposed.
func (e *Entry) Check() error {
	k, known := kinds[e.Kind]
	switch {
	case !known:
		return fmt.Errorf("no entry %q is known", e.Kind)
	case e.From == "" || e.Life == 0 || e.Seq == 0 || len(e.From) > 64 || len(e.By) > 64:
		return fmt.Errorf("an entry of %q, life %d, number %d", e.From, e.Life, e.Seq)
	case len(e.Body) > maxEntry:
		return fmt.Errorf("an entry of %d bytes", len(e.Body))
	}
	return msgpack.Unmarshal(e.Body, k.body())
}
