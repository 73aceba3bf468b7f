package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/store"
)

// keyLife is the entry of the process's life; the others are the parts'.
const keyLife = "incarnation"

// result is what reading the disk has come to.
type result struct {
	db    *store.Store
	found store.Found
	life  member.Incarnation
	err   error
}

// readState opens the store, and has the process's own life written before anybody hears of it.
func readState(dir string, clock time.Duration) (r result) {
	r.db, r.found, r.err = store.Open(dir)
	stored := uint64(0)
	if b, ok := r.found.Entries[keyLife]; ok {
		if err := msgpack.Unmarshal(b, &stored); err != nil {
			r.found.Refused = append(r.found.Refused, fmt.Sprintf("entry %s: %v", keyLife, err))
		}
	}
	r.life = member.Next(stored, 0, clock, rand.Uint64())
	if r.db != nil {
		putLife(r.db, r.life.N)
	}
	return r
}

// putLife has the number of the process's life written.
func putLife(db *store.Store, number uint64) {
	db.Put(keyLife, func() ([]byte, error) { return msgpack.Marshal(number) })
}

// saveLife has the node's life written, if there is a disk.
func (n *Node) saveLife() {
	if n.db != nil {
		putLife(n.db, n.life.N)
	}
}

// save has the store write what the parts know now.
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
