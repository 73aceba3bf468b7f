package agreement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/replog"
)

// noteApplied is called by the group and the replica for every entry that they apply. They are in the middle of a call then, in which
// they can't be called again, so the entry is only noted; handleApplied carries out what it requires after that call.
func (a *Agent) noteApplied(applied replog.Applied) {
	state := a.State()
	if state.Era != a.notedEra {
		a.notedEra, a.notedIndex = state.Era, 0
	}
	if applied.Index <= a.notedIndex { // already noted: the replica and the group may both apply an entry
		return
	}
	a.notedIndex = applied.Index
	a.recent.add(applied)
	a.unhandled = append(a.unhandled, applied)
}

// handleApplied carries out what the noted entries require, in their order. It is called after each call of the group or the replica
// that may apply entries. Entries that are noted meanwhile are handled by the outermost call.
func (a *Agent) handleApplied() {
	if a.handling {
		return
	}
	a.handling = true
	defer func() { a.handling = false }()
	for len(a.unhandled) > 0 {
		applied := a.unhandled[0]
		a.unhandled = a.unhandled[1:]
		a.handleEntry(applied)
	}
	a.unhandled = nil
}

// handleEntry carries out what an applied entry requires. The state may have advanced beyond that entry.
func (a *Agent) handleEntry(applied replog.Applied) {
	if applied.Snapshot {
		a.permits.syncBans(a, a.State())
		a.withdrawFromState(a.State())
		return
	}
	if applied.Entry == nil {
		return
	}
	if applied.Err != replog.ErrDuplicate {
		a.logApplied(applied)
		a.permits.handleEntry(a, applied)
	}
	a.completeProposal(applied)
	a.updateFollowers()
}

// replaceReplica replaces the replica's state by an encoded one if that is newer.
func (a *Agent) replaceReplica(encoded []byte) error {
	err := a.replica.Replace(encoded)
	a.handleApplied()
	return err
}

// rejoinDelay is how long a gateway that has abandoned its log does not become a learner again: its disk may stay full
// for a while.
const rejoinDelay = 10 * time.Second

// abandonLog stops replicating the log after an error of the raft library or of the disk. The gateway is a follower from
// then on. The last entries that it acknowledged as a voter may not be on disk, so it also gives up its voter ID and can
// only be added again as another voter. A log that is still being bootstrapped is discarded.
func (a *Agent) abandonLog(err error) {
	if err == nil || a.group == nil {
		return
	}
	a.log.Error("replication of the log has failed, this gateway is no longer a voter", zap.Error(err))
	if b := a.EncodedState(); b != nil && !a.bootstrapping {
		a.replaceReplica(b)
	}
	a.bootstrapping = false
	a.forfeitVote()
	a.failed, a.failedAt = true, a.host.Now()
}

// failedRecently reports whether the log was abandoned less than rejoinDelay ago.
func (a *Agent) failedRecently() bool { return a.failed && a.host.Now()-a.failedAt < rejoinDelay }

// Stop ends the part. A leader first hands the lead to another voter.
func (a *Agent) Stop() {
	if a.group != nil && a.group.Leads() {
		for _, v := range a.group.State().Voting() {
			if v.ID != a.group.ID() {
				a.group.TransferLead(v.ID)
				a.pump()
				break
			}
		}
	}
	a.stopped = true
}

// voterNames returns the gateways to query for the agreed state: the known voters, or else the initial voters of the
// configuration.
func (a *Agent) voterNames() (names []string) {
	if state := a.State(); state != nil {
		for _, v := range state.Voters {
			names = append(names, v.Name)
		}
	}
	if len(names) == 0 {
		names = slices.Clone(a.options.InitialVoters)
	}
	return names
}
