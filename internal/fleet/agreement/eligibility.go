package agreement

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/site"
)

const (
	identityQueryInterval = 300 * time.Millisecond  // between two queries to the other gateways
	identityAnswerMaxAge  = 1500 * time.Millisecond // an older answer may be outdated
)

// identityAnswer is what another gateway has answered to an identity query.
type identityAnswer struct {
	voterID uint64        // of the answering gateway's disk
	index   uint64        // last log entry that it knows, 0 if it knows none
	at      time.Duration // when the answer was received
}

// resolveIdentity queries the other gateways to decide whether this gateway may vote with the log on its disk, or
// whether it has to bootstrap the first log.
func (a *Agent) resolveIdentity(now time.Duration) {
	first := a.State() == nil && len(a.options.InitialVoters) > 0 && a.options.InitialVoters[0] == a.options.Name
	if a.eligibility == nil && !first || a.ticks%int(identityQueryInterval/(100*time.Millisecond)) != 0 {
		return
	}
	for _, name := range a.otherGateways() {
		a.send(name, message{Kind: messageIdentityQuery, Incarnation: a.host.Incarnation().Number, Tag: a.host.Incarnation().Tag})
	}
	if a.eligibility != nil {
		a.applyVerdict()
	} else if first {
		a.tryBootstrap(now)
	}
}

// otherGateways returns the names of all known gateways and voters except this one.
func (a *Agent) otherGateways() []string {
	names := map[string]bool{}
	for _, n := range a.voterNames() {
		names[n] = true
	}
	for _, n := range a.options.InitialVoters {
		names[n] = true
	}
	for _, e := range a.host.View().Peers() {
		if e.State < member.Suspected {
			names[e.Metadata.Name] = true
		}
	}
	delete(names, a.options.Name)
	return slices.Sorted(maps.Keys(names))
}

// handleIdentityAnswer handles the answer of another gateway to an identity query.
func (a *Agent) handleIdentityAnswer(from string, msg message) {
	a.answers[from] = identityAnswer{msg.ID, msg.Index, a.host.Now()}
	if a.eligibility != nil {
		a.eligibility.Answer(from, msg.Incarnation)
		a.applyVerdict()
	}
}

// applyVerdict starts to use the log on disk, or gives up this gateway's vote, once the eligibility is decided.
func (a *Agent) applyVerdict() {
	switch a.eligibility.Verdict() {
	case replog.VerdictVote:
		group, err := replog.Open(a.options.Name, *a.storedLog, a.noteApplied)
		if err != nil {
			a.log.Error("log on disk is not usable, giving up this gateway's vote", zap.Error(err))
			a.forfeitVote()
			return
		}
		a.eligibility, a.storedLog, a.group = nil, nil, group
		a.permits.syncBans(a, group.State())
		a.log.Info("this gateway replicates the log", zap.Uint64("entry", group.State().Index))
		a.pump()
	case replog.VerdictForfeit:
		a.log.Error("the disk is older than this gateway's last life: it gives its vote up, and follows")
		a.forfeitVote()
	}
}

// forfeitVote makes this gateway another voter than it was: it gets a new voter ID, and the log on its disk is deleted.
func (a *Agent) forfeitVote() {
	a.eligibility, a.storedLog, a.group, a.writing = nil, nil, nil, false
	a.voterID++
	if a.host.Store() == nil {
		return
	}
	entries := map[string][]byte{keyID: nil, keyHard: nil, keySnap: nil}
	for i := a.firstLogIndex; i <= a.lastLogIndex; i++ {
		entries[logKey(i)] = nil
	}
	a.firstLogIndex, a.lastLogIndex = 1, 0
	if err := a.host.Store().Write(entries, func() {}); err != nil {
		a.log.Warn("the log of the former vote stays on disk", zap.Error(err))
	}
	a.host.SaveSoon()
}

// tryBootstrap starts the first log, once all initial voters and all other known gateways have recently answered that
// they know of none.
func (a *Agent) tryBootstrap(now time.Duration) {
	voters := []replog.Voter{{ID: a.voterID, Name: a.options.Name, Hall: a.options.Hall}}
	for _, name := range a.otherGateways() {
		answer, ok := a.answers[name]
		if !ok || now-answer.at > identityAnswerMaxAge || answer.index > 0 || answer.voterID == 0 {
			return
		}
		if slices.Contains(a.options.InitialVoters, name) {
			voters = append(voters, replog.Voter{ID: answer.voterID, Name: name, Hall: a.hallOf(name)})
		}
	}
	if len(voters) != len(a.options.InitialVoters) || a.host.Store() == nil || a.failedRecently() {
		return
	}
	a.startLog(a.initialState(), voters)
}

// initialState returns the state that a new log starts with, from the configuration file of the gateway that starts it.
func (a *Agent) initialState() *replog.State {
	return replog.NewState(site.KnownNames{Tenants: a.options.Tenants, Classes: a.options.Classes, Halls: a.options.Halls},
		a.options.Rules, a.options.Limits)
}

// startLog writes the start of a log to disk and then takes part in it.
func (a *Agent) startLog(state *replog.State, voters []replog.Voter) {
	write, err := replog.Bootstrap(state, voters)
	if err != nil {
		a.log.Error("cannot start a new log", zap.Error(err))
		return
	}
	group, err := replog.Open(a.options.Name, replog.Disk{ID: a.voterID, Hard: write.Hard, Snap: write.Snap}, a.noteApplied)
	if err != nil {
		a.log.Error("cannot start a new log", zap.Error(err))
		return
	}
	a.group, a.writing, a.bootstrapping = group, true, true
	a.log.Info("starting a new log", zap.Strings("voters", a.voterNames()))
	a.persist(write, func() {
		if a.group == group {
			a.writing, a.bootstrapping = false, false
			a.abandonLog(group.Campaign())
			a.pump()
			a.announceEra()
		}
	})
}

// hallOf returns the hall of a gateway according to that gateway itself, "" if it is unknown.
func (a *Agent) hallOf(name string) string {
	if peer, ok := a.host.View().Peer(name); ok {
		return a.hallName(peer.Metadata.Hall)
	}
	return ""
}

// stopVoting deletes the log and makes this gateway a follower, because the other voters have removed it.
func (a *Agent) stopVoting() {
	a.log.Info("this gateway was removed from the voters and follows them")
	if b := a.EncodedState(); b != nil {
		a.replaceReplica(b)
	}
	a.forfeitVote()
}
