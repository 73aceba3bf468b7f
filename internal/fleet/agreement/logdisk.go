package agreement

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/store"
)

// Keys of the log on disk.
const (
	keyID   = "agree/id"
	keyHard = "agree/hard"
	keySnap = "agree/snap"
)

// readStoredLog returns the log that was found on disk, nil if there is none.
func readStoredLog(found map[string][]byte) *replog.Disk {
	disk := &replog.Disk{Hard: found[keyHard], Snap: found[keySnap], Entries: map[uint64][]byte{}}
	if disk.Hard == nil && disk.Snap == nil || msgpack.Unmarshal(found[keyID], &disk.ID) != nil || disk.ID == 0 {
		return nil
	}
	for key, b := range found {
		if text, ok := strings.CutPrefix(key, store.LogPrefix); ok {
			if i, err := strconv.ParseUint(text, 16, 64); err == nil {
				disk.Entries[i] = b
			}
		}
	}
	return disk
}

var errNoDisk = errors.New("agree: this gateway has no disk for the log")

// persist writes to the log on disk. done is called on the event loop once the whole write is on disk.
func (a *Agent) persist(write *replog.Write, done func()) {
	if a.host.Store() == nil {
		a.abandonLog(errNoDisk)
		return
	}
	id, err := msgpack.Marshal(a.voterID)
	if err != nil {
		a.abandonLog(err)
		return
	}
	entries := map[string][]byte{keyID: id}
	if write.Hard != nil {
		entries[keyHard] = write.Hard
	}
	if write.Snap != nil {
		entries[keySnap] = write.Snap
	}
	for i, b := range write.Entries {
		entries[logKey(i)] = b
		if b != nil {
			a.noteLogIndex(i)
		}
	}
	group := a.group
	a.abandonLog(a.host.Store().Write(entries, func() {
		a.host.Loop().Post(func() {
			if a.group == group { // not abandoned in the meantime
				done()
			}
		})
	}))
}

// logKey returns the key on disk of a log entry.
func logKey(index uint64) string { return fmt.Sprintf("%s%016x", store.LogPrefix, index) }

// noteLogIndex notes that a log entry may be on disk.
func (a *Agent) noteLogIndex(index uint64) {
	if a.lastLogIndex < a.firstLogIndex || a.lastLogIndex == 0 {
		a.firstLogIndex, a.lastLogIndex = index, index
	}
	a.firstLogIndex, a.lastLogIndex = min(a.firstLogIndex, index), max(a.lastLogIndex, index)
}
