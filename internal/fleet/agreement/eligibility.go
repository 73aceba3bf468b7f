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
	claimEvery = 300 * time.Millisecond
	claimOld   = 1500 * time.Millisecond // an answer from before that says nothing of now
)

// answer is what another gateway has said of itself and of this one.
type answer struct {
	id    uint64 // of its disk
	index uint64 // of what it knows to be agreed, 0 for nothing
	at    time.Duration
}

// settle decides whether this gateway may vote by its disk, or whether a first agreement begins.
func (a *Agent) settle(now time.Duration) {
	first := a.State() == nil && len(a.o.First) > 0 && a.o.First[0] == a.o.Name
	if a.claim == nil && !first || a.ticks%int(claimEvery/(100*time.Millisecond)) != 0 {
		return
	}
	for _, name := range a.others() {
		a.send(name, message{Kind: messageLifeQuestion, Life: a.host.Incarnation().Number, Tag: a.host.Incarnation().Tag})
	}
	if a.claim != nil {
		a.judge()
	} else if first {
		a.found(now)
	}
}

// others are all gateways that are known of, and the voters.
func (a *Agent) others() []string {
	names := map[string]bool{}
	for _, n := range a.voters() {
		names[n] = true
	}
	for _, n := range a.o.First {
		names[n] = true
	}
	for _, e := range a.host.View().Peers() {
		if e.State < member.Suspected {
			names[e.Metadata.Name] = true
		}
	}
	delete(names, a.o.Name)
	return slices.Sorted(maps.Keys(names))
}

func (a *Agent) claimed(from string, x message) {
	a.known[from] = answer{x.ID, x.Index, a.host.Now()}
	if a.claim != nil {
		a.claim.Answer(from, x.Life)
		a.judge()
	}
}

// judge takes the disk into use, or gives the vote up.
func (a *Agent) judge() {
	switch a.claim.Verdict() {
	case replog.May:
		g, err := replog.Open(a.o.Name, *a.mine, a.applied)
		if err != nil {
			a.log.Error("the log on disk is not used: this gateway gives its vote up", zap.Error(err))
			a.forfeit()
			return
		}
		a.claim, a.mine, a.group = nil, nil, g
		a.held.sync(a, g.State())
		a.log.Info("this gateway holds the log", zap.Uint64("entry", g.State().Index))
		a.pump()
	case replog.Forfeits:
		a.log.Error("the disk is older than this gateway's last life: it gives its vote up, and follows")
		a.forfeit()
	}
}

// forfeit makes this gateway another one than the voter it was: its number is drawn anew, and the log on disk is gone.
func (a *Agent) forfeit() {
	a.claim, a.mine, a.group, a.writing = nil, nil, nil, false
	a.id++
	if a.host.Store() == nil {
		return
	}
	entries := map[string][]byte{keyID: nil, keyHard: nil, keySnap: nil}
	for i := a.logLo; i <= a.logHi; i++ {
		entries[logKey(i)] = nil
	}
	a.logLo, a.logHi = 1, 0
	a.host.Store().Write(entries, func(error) {})
	a.host.SaveSoon()
}

// found begins the first agreement, once all that are to vote have said that they know of none, and so has everybody else.
func (a *Agent) found(now time.Duration) {
	voters := []replog.Voter{{ID: a.id, Name: a.o.Name, Hall: a.o.Hall}}
	for _, name := range a.others() {
		k, ok := a.known[name]
		if !ok || now-k.at > claimOld || k.index > 0 || k.id == 0 {
			return
		}
		if slices.Contains(a.o.First, name) {
			voters = append(voters, replog.Voter{ID: k.id, Name: name, Hall: a.hallOf(name)})
		}
	}
	if len(voters) != len(a.o.First) || a.host.Store() == nil || a.failedLately() {
		return
	}
	a.begin(a.fresh(), voters)
}

// fresh is what is agreed before anything is: what the files of the voters say.
func (a *Agent) fresh() *replog.State {
	return replog.NewState(site.KnownNames{Tenants: a.o.Tenants, Classes: a.o.Classes, Halls: a.o.Halls}, a.o.Rules, a.o.Limits)
}

// begin puts the beginning of a log on disk and takes part in it.
func (a *Agent) begin(st *replog.State, voters []replog.Voter) {
	w, err := replog.Found(st, voters)
	if err != nil {
		a.log.Error("no agreement can begin", zap.Error(err))
		return
	}
	g, err := replog.Open(a.o.Name, replog.Disk{ID: a.id, Hard: w.Hard, Snap: w.Snap}, a.applied)
	if err != nil {
		a.log.Error("no agreement can begin", zap.Error(err))
		return
	}
	a.group, a.writing, a.founding = g, true, true
	a.log.Info("an agreement begins", zap.Strings("voters", a.voters()))
	a.persist(w, func() {
		if a.group == g {
			a.writing, a.founding = false, false
			a.fail(g.Campaign())
			a.pump()
			a.tellEra()
		}
	})
}

// hallOf is the hall of a gateway, by what it says of itself.
func (a *Agent) hallOf(name string) string {
	if e, ok := a.host.View().Peer(name); ok {
		return a.hallName(e.Metadata.Hall)
	}
	return ""
}

// leave follows from now on, what was held is dropped: the others have removed this gateway's vote.
func (a *Agent) leave() {
	a.log.Info("this gateway does not hold the log any more: others do")
	if b := a.Handed(); b != nil {
		a.copy.Replace(b)
	}
	a.forfeit()
}
