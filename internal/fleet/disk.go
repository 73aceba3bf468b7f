package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/store"
)

// keyIncarnation is the key of the entry with the process's incarnation number. All other entries belong to parts.
const keyIncarnation = "incarnation"

// readResult is the result of reading the disk.
type readResult struct {
	db          *store.Store
	found       store.Found
	incarnation member.Incarnation
	err         error
}

// readState opens the store, and queues the process's new incarnation to be written before it is announced to peers.
func readState(dir string, clock time.Duration) (r readResult) {
	r.db, r.found, r.err = store.Open(dir)
	stored := uint64(0)
	if b, ok := r.found.Entries[keyIncarnation]; ok {
		if err := msgpack.Unmarshal(b, &stored); err != nil {
			r.found.Refused = append(r.found.Refused, fmt.Sprintf("entry %s: %v", keyIncarnation, err))
		}
	}
	r.incarnation = member.Next(stored, 0, clock, rand.Uint64())
	if r.db != nil {
		putIncarnation(r.db, r.incarnation.Number)
	}
	return r
}

// putIncarnation queues the process's incarnation number to be written.
func putIncarnation(db *store.Store, number uint64) {
	db.Put(keyIncarnation, func() ([]byte, error) { return msgpack.Marshal(number) })
}

// saveIncarnation queues the node's incarnation number to be written, if there is a disk.
func (n *Node) saveIncarnation() {
	if n.db != nil {
		putIncarnation(n.db, n.incarnation.Number)
	}
}

// save queues the present state of all parts to be written.
func (n *Node) save() {
	if n.db == nil {
		return
	}
	for _, p := range n.parts {
		if encode := p.Save(); encode != nil {
			n.db.Put(p.Name(), encode)
		}
	}
}
