package agreement

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/store"
)

// The keys of the log on disk.
const (
	keyID   = "agree/id"
	keyHard = "agree/hard"
	keySnap = "agree/snap"
)

// diskOf is the log that was on disk, nil if there is none.
func diskOf(found map[string][]byte) *replog.Disk {
	d := &replog.Disk{Hard: found[keyHard], Snap: found[keySnap], Entries: map[uint64][]byte{}}
	if d.Hard == nil && d.Snap == nil || msgpack.Unmarshal(found[keyID], &d.ID) != nil || d.ID == 0 {
		return nil
	}
	for key, b := range found {
		if text, ok := strings.CutPrefix(key, store.LogPrefix); ok {
			if i, err := strconv.ParseUint(text, 16, 64); err == nil {
				d.Entries[i] = b
			}
		}
	}
	return d
}

// persist has a write of the log on disk, whole, before done is called on the turn.
func (a *Agent) persist(w *replog.Write, done func()) {
	id, err := msgpack.Marshal(a.id)
	if err != nil || a.host.Store() == nil {
		a.fail(fmt.Errorf("agree: there is no disk to hold the log on: %w", err))
		return
	}
	entries := map[string][]byte{keyID: id}
	if w.Hard != nil {
		entries[keyHard] = w.Hard
	}
	if w.Snap != nil {
		entries[keySnap] = w.Snap
	}
	for i, b := range w.Entries {
		entries[logKey(i)] = b
		if b != nil {
			a.span(i)
		}
	}
	group := a.group
	a.host.Store().Write(entries, func(err error) {
		a.host.Loop().Post(func() {
			if a.group != group { // given up meanwhile
				return
			}
			if err != nil {
				a.fail(err)
				return
			}
			done()
		})
	})
}

// logKey is the key on disk of an entry of the log.
func logKey(index uint64) string { return fmt.Sprintf("%s%016x", store.LogPrefix, index) }

// span notes that an entry of the log is on disk.
func (a *Agent) span(i uint64) {
	if a.logHi < a.logLo || a.logHi == 0 {
		a.logLo, a.logHi = i, i
	}
	a.logLo, a.logHi = min(a.logLo, i), max(a.logHi, i)
}
