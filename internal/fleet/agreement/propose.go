package agreement

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

const (
	sayAgain    = 400 * time.Millisecond // a proposal that has not been applied is told again
	mostOpen    = 32                     // of a gateway, below what a log remembers of each
	proposeFor  = 30 * time.Second       // then it is given up; it may be applied all the same
	urgentFor   = time.Hour              // what has been done already is told on healing, however late
	askOperator = 800 * time.Millisecond // an operator is answered by then
)

// proposal is an entry on its way.
type proposal struct {
	entry *replog.Entry
	raw   []byte
	at    time.Duration
	said  time.Duration
	until time.Duration
	done  func(index uint64, err error)
}

// Propose has an entry proposed. done is called on the turn once it has been applied here, with the reason if it changed
// nothing, or with an error if it is not known what became of it.
func (a *Agent) Propose(kind, by string, except uint64, body any, done func(index uint64, err error)) {
	if done == nil {
		done = func(uint64, error) {}
	}
	b, err := msgpack.Marshal(body)
	if err != nil || len(a.open) >= mostOpen {
		done(0, fmt.Errorf("%d proposals are under way; %w", len(a.open), err))
		return
	}
	a.seq++
	e := &replog.Entry{V: 1, From: a.o.Name, Life: a.host.Incarnation().Number, Seq: a.seq, By: by, Except: except, Kind: kind, Body: b}
	if err := e.Check(); err != nil {
		done(0, err)
		return
	}
	raw, err := msgpack.Marshal(e)
	if err != nil {
		done(0, err)
		return
	}
	p := &proposal{entry: e, raw: raw, at: a.host.Now(), until: a.host.Now() + proposeFor, done: done}
	if x, ok := body.(*change.Permit); ok && x.Emergency {
		p.until = a.host.Now() + urgentFor
	}
	a.open[a.seq] = p
	a.say(p)
}

// say tells who leads of a proposal; where nobody is known to, a voter.
func (a *Agent) say(p *proposal) {
	p.said = a.host.Now()
	if a.group != nil && a.group.Leads() {
		e := *p.entry
		a.fill(&e)
		if a.group.Propose(&e, a.host.Now().Milliseconds()) == nil {
			a.pump()
		}
		return
	}
	to := a.leads()
	if to == "" || to == a.o.Name {
		to = a.from
	}
	if to == "" || to == a.o.Name {
		for _, n := range a.voters() {
			if n != a.o.Name {
				to = n
			}
		}
	}
	if to != "" {
		a.send(to, message{Kind: messagePropose, Body: p.raw})
	}
}

// offered takes a proposal of another gateway, or passes it on.
func (a *Agent) offered(from string, x message) {
	if a.group == nil {
		a.send(from, message{Kind: messageNotLeader, Name: a.leads()})
		return
	}
	if !a.group.Leads() {
		if to := a.leads(); to != "" && to != from && to != a.o.Name {
			a.send(to, message{Kind: messagePropose, Body: x.Body})
			a.send(from, message{Kind: messageNotLeader, Name: to})
		}
		return
	}
	e := &replog.Entry{}
	if msgpack.Unmarshal(x.Body, e) != nil || e.Check() != nil {
		return
	}
	a.fill(e)
	if a.group.Propose(e, a.host.Now().Milliseconds()) == nil {
		a.pump()
	}
}

// fill puts in what is known to who leads alone: what the sites of a restriction bear, and what it is for asks.
func (a *Agent) fill(e *replog.Entry) {
	var b replog.RestrictBody
	if e.Kind != "restrict" || msgpack.Unmarshal(e.Body, &b) != nil {
		return
	}
	b.Workers, b.Load = a.Bears(&b.Restriction, a.State())
	if body, err := msgpack.Marshal(&b); err == nil {
		e.Body = body
	}
}

// retry tells proposals again that have not been applied.
func (a *Agent) retry(now time.Duration) {
	for seq, p := range a.open {
		switch {
		case now > p.until:
			delete(a.open, seq)
			p.done(0, errNobody)
		case now-p.said > sayAgain:
			a.say(p)
		}
	}
}

// answer ends a proposal of this gateway that has been applied.
func (a *Agent) answer(x replog.Applied) {
	if x.Entry.From != a.o.Name || x.Entry.Life != a.host.Incarnation().Number {
		return
	}
	if p := a.open[x.Entry.Seq]; p != nil { // applied before, while this gateway was away: then that is all that is known
		delete(a.open, x.Entry.Seq)
		p.done(x.Index, x.Err)
	}
}
