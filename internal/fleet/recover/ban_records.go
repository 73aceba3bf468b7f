package recover

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	maxBanRecords    = 4096 // workers of one fleet that operators have ever banned or enabled
	maxWorkerIDBytes = 256
	maxGateways      = 4096 // gateways in a fleet
)

// BanRecord is the latest decision of an operator on whether a worker is banned. Of two records the one with the higher Seq wins.
// Two records with the same Seq were made without knowledge of each other; the one that bans the worker wins, so that no gateway
// uses a worker that an operator has banned.
type BanRecord struct {
	Seq    uint64        // increases with each decision on this worker, at whichever gateway it is made
	Banned bool          // the worker is not to be used
	Since  time.Duration // start time of the worker as it was listed at the decision
}

// BanRecords is a replicated last-writer-wins register for each worker id: merging any records in any order, and repeatedly,
// gives the same result.
type BanRecords map[string]BanRecord

// Set records a decision that an operator makes at this gateway, and returns the record.
func (b BanRecords) Set(id string, banned bool, since time.Duration) BanRecord {
	r := BanRecord{Seq: b[id].Seq + 1, Banned: banned, Since: since}
	b[id] = r
	return r
}

// Supersedes reports whether r replaces old.
func (r BanRecord) Supersedes(old BanRecord) bool {
	if r.Seq != old.Seq {
		return r.Seq > old.Seq
	}
	return r.Banned && !old.Banned || r.Banned == old.Banned && r.Since > old.Since
}

// Merge adds the records of a peer. It returns the ids of the workers whose records have changed, in order, and the number of
// records that were refused because there is no room for them or their worker id is invalid.
func (b BanRecords) Merge(others BanRecords) (changed []string, refused int) {
	for _, id := range slices.Sorted(maps.Keys(others)) {
		r, old := others[id], b[id]
		_, known := b[id]
		switch {
		case !r.Supersedes(old):
		case !known && len(b) >= maxBanRecords || id == "" || len(id) > maxWorkerIDBytes:
			refused++
		default:
			b[id] = r
			changed = append(changed, id)
		}
	}
	return changed, refused
}

// Check returns an error if the records exceed their bounds.
func (b BanRecords) Check() error {
	if len(b) > maxBanRecords {
		return fmt.Errorf("recover: %d ban records, want at most %d", len(b), maxBanRecords)
	}
	for id, r := range b {
		if id == "" || len(id) > maxWorkerIDBytes || r.Since < 0 {
			return fmt.Errorf("recover: invalid ban record of worker %q, started at %v", id[:min(len(id), maxWorkerIDBytes)], r.Since)
		}
	}
	return nil
}
