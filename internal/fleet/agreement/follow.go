package agreement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/replog"
)

const (
	followInterval       = time.Second     // between two requests of a follower for updates
	contactTimeout       = 3 * time.Second // time without current state until a follower tries the next voter and a voter requests updates
	heartbeatTicks       = 5               // ticks between heartbeats to followers
	followerTimeout      = 5 * time.Second // time after its last request until a gateway no longer counts as a follower
	maxRecentEntries     = 1024            // applied entries that are remembered for followers
	maxEntriesPerMessage = 128
	maxFollowers         = 1024
)

// recentEntries holds the last entries that were applied here, in the form sent to followers.
type recentEntries struct {
	first uint64 // index of the first entry in raw
	raw   [][]byte
}

func (r *recentEntries) add(applied replog.Applied) {
	if applied.Snapshot || applied.Index != r.first+uint64(len(r.raw)) {
		r.first, r.raw = applied.Index+1, nil
		if applied.Snapshot {
			return
		}
		r.first = applied.Index
	}
	if r.raw = append(r.raw, applied.Raw); len(r.raw) > maxRecentEntries {
		r.first, r.raw = r.first+maxRecentEntries/2, slices.Clone(r.raw[maxRecentEntries/2:])
	}
}

// after returns the entries that follow the given index, at most maxEntriesPerMessage, and false if they are no longer
// remembered. There are none after the last one that was applied.
func (r *recentEntries) after(index uint64) ([][]byte, bool) {
	if index+1 < r.first || index+1 > r.first+uint64(len(r.raw)) {
		return nil, false
	}
	all := r.raw[index+1-r.first:]
	return all[:min(len(all), maxEntriesPerMessage)], true
}

// followerState is what this gateway has sent to one of its followers.
type followerState struct {
	next        uint64        // index of the next entry to send
	requestedAt time.Duration // time of its last request
}

// requestUpdates asks the followed gateway for entries that are new to this one.
func (a *Agent) requestUpdates(now time.Duration) {
	if now-a.lastFollowAt < followInterval {
		return
	}
	a.lastFollowAt = now
	names := slices.DeleteFunc(a.voterNames(), func(n string) bool { return n == a.options.Name })
	if len(names) == 0 {
		for _, e := range a.host.View().Peers() { // no voter is known: any gateway may know the state
			if e.State < member.Suspected {
				names = append(names, e.Metadata.Name)
			}
		}
	}
	if len(names) == 0 {
		return
	}
	if i := slices.Index(names, a.source); i < 0 {
		a.source = names[int(a.host.Incarnation().Tag%uint64(len(names)))] // spread the followers of a large fleet over the voters
	} else if now-a.currentAt > contactTimeout {
		a.source = names[(i+1)%len(names)]
	}
	a.send(a.source, message{Kind: messageFollow, Index: a.replica.LastIndex()})
}

// handleFollow registers a follower and sends what it lacks.
func (a *Agent) handleFollow(from string, msg message) {
	state := a.State()
	if state == nil || len(a.followers) >= maxFollowers && a.followers[from] == nil {
		return
	}
	if msg.Era != state.Era { // it has to start with the whole state
		msg.Index = 0
	}
	a.followers[from] = &followerState{next: msg.Index + 1, requestedAt: a.host.Now()}
	a.sendUpdates(from)
	a.sendHeartbeat(from)
}

// sendUpdates sends a follower the entries that are new to it, or the whole state if those entries are no longer
// remembered.
func (a *Agent) sendUpdates(to string) {
	follower, state := a.followers[to], a.State()
	for follower.next <= state.Index {
		raw, ok := a.recent.after(follower.next - 1)
		if !ok || len(raw) == 0 || follower.next == 1 { // the first entry of a rebuilt log is a state
			body, err := state.Encode()
			if err != nil || !a.send(to, message{Kind: messageState, Body: body}) {
				return
			}
			follower.next = state.Index + 1
			return
		}
		if !a.send(to, message{Kind: messageEntries, Index: follower.next, Entries: raw}) {
			return
		}
		follower.next += uint64(len(raw))
	}
}

// sendHeartbeat tells a follower how current the state is. The heartbeat carries the hash of the state, this gateway's
// clock and the leader.
func (a *Agent) sendHeartbeat(to string) {
	age, caughtUp := a.Age()
	if !caughtUp {
		return
	}
	state := a.State()
	a.send(to, message{Kind: messageHeartbeat, Index: state.Index, Hash: a.stateHash(), AgeMs: age.Milliseconds(),
		At: a.host.Now().Milliseconds(), Name: a.leaderName()})
}

// leaderName returns the leader as far as this gateway knows, "" if it knows none.
func (a *Agent) leaderName() string {
	if a.group == nil {
		return a.reportedLeader
	}
	if a.group.Leads() {
		return a.options.Name
	}
	return a.gatewayOfVoter(a.group.Leader())
}

// updateFollowers sends newly applied entries to all followers.
func (a *Agent) updateFollowers() {
	for name := range a.followers {
		a.sendUpdates(name)
	}
}

// retryAndUpdate resends own proposals that have not been applied, and regularly updates the followers. It is called
// every tick.
func (a *Agent) retryAndUpdate(now time.Duration) {
	a.retryProposals(now)
	if a.ticks%heartbeatTicks != 0 {
		return
	}
	for name, follower := range a.followers {
		if now-follower.requestedAt > followerTimeout {
			delete(a.followers, name)
			continue
		}
		if a.State() != nil {
			a.sendUpdates(name)
			a.sendHeartbeat(name)
		}
	}
}

// stateHash returns the hash of the state, which is computed once for each entry.
func (a *Agent) stateHash() uint64 {
	state := a.State()
	if a.hashIndex != state.Index {
		a.hashIndex, a.hashValue = state.Index, state.Hash()
	}
	return a.hashValue
}

// handleUpdate handles a message that the followed gateway sends to its followers.
func (a *Agent) handleUpdate(from string, msg message) {
	switch msg.Kind {
	case messageState:
		if err := a.replaceReplica(msg.Body); err != nil {
			a.log.Warn("received agreed state cannot be decoded", zap.String("gateway", from), zap.Error(err))
		}
	case messageEntries:
		if a.replica.State == nil {
			return
		}
		if err := a.replica.ApplyEntries(msg.Index, msg.Entries); err != nil {
			a.log.Debug("received entries do not continue the known ones", zap.Error(err))
		}
		a.handleApplied()
	case messageHeartbeat:
		a.recordClockOffset(msg)
		a.reportedLeader = msg.Name
		if state := a.replica.State; state != nil && a.group == nil {
			if state.Index == msg.Index && state.Era == msg.Era {
				a.markCurrent(time.Duration(msg.AgeMs) * time.Millisecond)
				if hash := a.stateHash(); msg.Hash != 0 && hash != msg.Hash {
					a.alarm("this gateway and another have come to different states by the same entries", zap.String("gateway", from),
						zap.Uint64("entry", state.Index))
				}
			}
		}
	}
	if a.group != nil && a.group.State() != nil && a.replica.State != nil &&
		replog.Newer(a.replica.State.Era, a.replica.LastIndex(), a.group.State()) {
		if voter := a.replica.State.Voter(a.options.Name); voter == nil || voter.ID != a.group.ID() {
			a.stopVoting() // this voter was removed while it was partitioned
		}
	}
}

// alarm logs a condition that must never occur, at most once a second, and counts it.
func (a *Agent) alarm(what string, fields ...zap.Field) {
	a.alarms++
	if a.host.Now()-a.lastAlarmAt > time.Second {
		a.lastAlarmAt = a.host.Now()
		a.log.Error(what, fields...)
	}
}
