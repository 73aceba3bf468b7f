package recover

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	maxMarks   = 4096 // workers that operators have ever spoken of, in one fleet
	maxID      = 256  // bytes of a worker's id
	maxMembers = 4096 // gateways in a fleet
)

// Checkpoint is an operators' word on one worker. Of two words the one with the higher Seq counts, and of two with the same the
// one that leaves the worker out: who did not hear of the other must not use it.
type Checkpoint struct {
	Seq    uint64        // grows with each word on this worker, wherever it is spoken
	Banned bool          // left out
	Since  time.Duration // the worker's start as it was listed then
}

// Checkpoints is a replicated register for each worker: joining any two in any order, however often, gives the same.
type Checkpoints map[string]Checkpoint

// Say notes a word spoken here and returns it.
func (m Checkpoints) Say(id string, banned bool, since time.Duration) Checkpoint {
	k := Checkpoint{Seq: m[id].Seq + 1, Banned: banned, Since: since}
	m[id] = k
	return k
}

// Newer reports whether k counts where old was known.
func (k Checkpoint) Newer(old Checkpoint) bool {
	if k.Seq != old.Seq {
		return k.Seq > old.Seq
	}
	return k.Banned && !old.Banned || k.Banned == old.Banned && k.Since > old.Since
}

// Join takes over what others know, and returns the workers of which something new was learnt, in order. What finds no
// room is left out and counted by refused.
func (m Checkpoints) Join(others Checkpoints) (news []string, refused int) {
	for _, id := range slices.Sorted(maps.Keys(others)) {
		k, old := others[id], m[id]
		_, known := m[id]
		switch {
		case !k.Newer(old):
		case !known && len(m) >= maxMarks || id == "" || len(id) > maxID:
			refused++
		default:
			m[id] = k
			news = append(news, id)
		}
	}
	return news, refused
}

// Check reports what no marks can hold.
func (m Checkpoints) Check() error {
	if len(m) > maxMarks {
		return fmt.Errorf("recover: %d marks", len(m))
	}
	for id, k := range m {
		if id == "" || len(id) > maxID || k.Since < 0 {
			return fmt.Errorf("recover: mark of worker %q, started at %v", id[:min(len(id), maxID)], k.Since)
		}
	}
	return nil
}
