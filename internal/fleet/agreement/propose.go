package agreement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

const (
	resendAfter         = 400 * time.Millisecond // time after which a proposal that has not been applied is sent again
	maxPendingProposals = 32                     // must be less than the number of proposals that replog remembers for each gateway
	proposalTimeout     = 30 * time.Second       // time after which a proposal is given up; it may still be applied later
	emergencyTimeout    = time.Hour              // the same for emergency permits, which have to be recorded even after a long partition
	operatorTimeout     = 800 * time.Millisecond // time after which an operator gets an answer
)

// proposal is an entry that this gateway has proposed and that has not been applied here.
type proposal struct {
	entry      *replog.Entry
	raw        []byte
	request    *change.Permit // the permit that it asks for, nil if it asks for none
	withdrawn  bool           // an operator has taken the request back
	knownIndex uint64         // index of the state that was known when it was made
	createdAt  time.Duration
	sentAt     time.Duration
	deadline   time.Duration
	done       func(index uint64, err error)
}

// Propose proposes an entry. done is called on the event loop: once the entry has been applied here, with the reason if
// it changed nothing; or with an error if its outcome is unknown.
func (a *Agent) Propose(kind, by string, except uint64, body any, done func(index uint64, err error)) {
	if done == nil {
		done = func(uint64, error) {}
	}
	if len(a.pending) >= maxPendingProposals {
		done(0, fmt.Errorf("%d proposals are under way", len(a.pending)))
		return
	}
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		done(0, err)
		return
	}
	a.seq++
	entry := &replog.Entry{FormatVersion: 1, From: a.options.Name, Incarnation: a.host.Incarnation().Number, Seq: a.seq,
		By: by, Except: except, Kind: kind, Body: encoded}
	if err := entry.Check(); err != nil {
		done(0, err)
		return
	}
	raw, err := msgpack.Marshal(entry)
	if err != nil {
		done(0, err)
		return
	}
	p := &proposal{entry: entry, raw: raw, createdAt: a.host.Now(), deadline: a.host.Now() + proposalTimeout, done: done}
	if state := a.State(); state != nil {
		p.knownIndex = state.Index
	}
	if permit, ok := body.(*change.Permit); ok {
		p.request = permit
		if permit.Emergency {
			p.deadline = a.host.Now() + emergencyTimeout
		}
	}
	a.pending[a.seq] = p
	a.sendProposal(p)
}

// sendProposal sends a proposal to the leader, or to a voter if the leader is unknown.
func (a *Agent) sendProposal(p *proposal) {
	p.sentAt = a.host.Now()
	if a.group != nil && a.group.Leads() {
		entry := *p.entry
		a.fillCapacity(&entry)
		if a.group.Propose(&entry, a.host.Now().Milliseconds()) == nil {
			a.pump()
		}
		return
	}
	to := a.leaderName()
	if to == "" || to == a.options.Name {
		to = a.source
	}
	if to == "" || to == a.options.Name {
		for _, name := range a.voterNames() {
			if name != a.options.Name {
				to = name
			}
		}
	}
	if to != "" {
		a.send(to, message{Kind: messagePropose, Body: p.raw})
	}
}

// handleProposal proposes an entry of another gateway to the log, or passes it on to the leader.
func (a *Agent) handleProposal(from string, msg message) {
	if a.group == nil {
		a.send(from, message{Kind: messageNotLeader, Name: a.leaderName()})
		return
	}
	if !a.group.Leads() {
		if to := a.leaderName(); to != "" && to != from && to != a.options.Name {
			a.send(to, message{Kind: messagePropose, Body: msg.Body})
			a.send(from, message{Kind: messageNotLeader, Name: to})
		}
		return
	}
	entry := &replog.Entry{}
	if msgpack.Unmarshal(msg.Body, entry) != nil || entry.Check() != nil {
		return
	}
	a.fillCapacity(entry)
	if a.group.Propose(entry, a.host.Now().Milliseconds()) == nil {
		a.pump()
	}
}

// fillCapacity adds to a restriction what only the leader knows: the capacity of its sites, and the load that it applies
// to.
func (a *Agent) fillCapacity(entry *replog.Entry) {
	var restrict replog.RestrictBody
	if entry.Kind != "restrict" || msgpack.Unmarshal(entry.Body, &restrict) != nil {
		return
	}
	restrict.Workers, restrict.Load = a.Capacity(&restrict.Restriction, a.State())
	if body, err := msgpack.Marshal(&restrict); err == nil {
		entry.Body = body
	}
}

// retryProposals resends proposals that have not been applied, in their order, and gives up those that are too old.
func (a *Agent) retryProposals(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(a.pending)) {
		p := a.pending[seq]
		switch {
		case p == nil: // completed while an earlier one was resent
		case now > p.deadline:
			delete(a.pending, seq)
			p.done(0, errNoLeader)
		case now-p.sentAt > resendAfter && !p.withdrawn:
			a.sendProposal(p)
		}
	}
}

// completeProposal completes a proposal of this gateway that has been applied.
func (a *Agent) completeProposal(applied replog.Applied) {
	if applied.Entry.From != a.options.Name || applied.Entry.Incarnation != a.host.Incarnation().Number {
		return
	}
	// If the entry had been applied before, while this gateway was partitioned, ErrDuplicate is all that is known.
	if p := a.pending[applied.Entry.Seq]; p != nil {
		delete(a.pending, applied.Entry.Seq)
		p.done(applied.Index, applied.Err)
		if p.withdrawn && applied.Err == nil {
			a.withdrawApplied(applied.Index)
		}
	}
}
