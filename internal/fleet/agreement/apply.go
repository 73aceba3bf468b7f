package agreement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/replog"
)

// handleApplied is called for every entry that is applied here, by the replica or by the group.
func (a *Agent) handleApplied(applied replog.Applied) {
	state := a.State()
	if state.Era != a.handledEra {
		a.handledEra, a.handledIndex = state.Era, 0
	}
	if applied.Index <= a.handledIndex { // already handled: the replica and the group may both apply an entry
		return
	}
	a.handledIndex = applied.Index
	a.recent.add(applied)
	if applied.Snapshot {
		a.permits.syncBans(a, state)
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
		a.replica.Replace(b)
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
