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
	FormatVersion int    `msgpack:"V"` // version of the entry's encoding
	From          string // the gateway that proposed the entry
	Incarnation   uint64 `msgpack:"Life"` // of the proposing gateway's process
	Seq           uint64 // sequence number of the proposal within that incarnation
	At            int64  // the leader's time when it proposed the entry, Unix ms
	By            string // the operator's name, "" for the fleet itself
	Except        uint64 // ID of the freeze exception under which the entry is made, 0 for none
	Kind          string
	Body          []byte
}

// These are the bodies of entries, besides those that package change declares.
type (
	LimitsBody struct{ Limits change.Limits }
	ExceptBody struct{ Exception freeze.Exception }
	SecondBody struct{ ID uint64 }
	EndBody    struct {
		Name string
		At   int64 // Unix ms, 0 for now
	}
	SpansBody struct {
		Name  string
		Spans []freeze.Span
	}
	NameBody     struct{ Name string }
	RulesBody    struct{ Rules Rules }
	RestrictBody struct {
		Restriction site.Restriction
		Workers     int     // healthy workers at the restriction's sites
		Load        float64 // calls/s that the restriction applies to, as the leader has measured
	}
)

// ErrDuplicate means that an entry has been applied before.
var ErrDuplicate = errors.New("applied before")

// Apply applies the entry with the given index. An error is the reason why the entry changed nothing.
func (s *State) Apply(index uint64, e *Entry) error {
	s.Index, s.At = index, max(s.At, e.At)
	if !s.recordProposal(e.From, e.Incarnation, e.Seq) {
		return ErrDuplicate
	}
	k, known := kinds[e.Kind]
	if !known || k.level > s.Level {
		return fmt.Errorf("no entry %q is known at level %d", e.Kind, s.Level)
	}
	body := k.body()
	if err := msgpack.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("entry %s: %w", e.Kind, err)
	}
	if k.freezeKind != "" {
		if err := s.checkFreeze(k.freezeKind, nil, e); err != nil {
			return err
		}
	}
	return k.apply(s, change.Context{Index: index, At: s.At}, e, body)
}

// Check rejects entries that can never be valid, before they are proposed.
func (e *Entry) Check() error {
	k, known := kinds[e.Kind]
	switch {
	case !known:
		return fmt.Errorf("no entry %q is known", e.Kind)
	case e.From == "" || e.Incarnation == 0 || e.Seq == 0 || len(e.From) > 64 || len(e.By) > 64:
		return fmt.Errorf("an entry of %q, life %d, number %d", e.From, e.Incarnation, e.Seq)
	case len(e.Body) > maxEntryBytes:
		return fmt.Errorf("an entry of %d bytes", len(e.Body))
	}
	return msgpack.Unmarshal(e.Body, k.body())
}
