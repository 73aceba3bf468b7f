package agreement

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/replog"
)

const (
	followEvery = time.Second
	lonely      = 3 * time.Second // without a word the next voter is asked, and one that votes asks as well
	beatTicks   = 5               // a voter tells those who follow it that nothing is new
	followOld   = 5 * time.Second // who has not asked for so long does not follow any more
	mostRecent  = 1024            // entries that are kept to be told
	mostAtOnce  = 128
	mostFollow  = 1024
)

// recent are the last entries that were applied here, as they are told.
type recent struct {
	from uint64
	raw  [][]byte
}

func (r *recent) add(x replog.Applied) {
	if x.Whole || x.Index != r.from+uint64(len(r.raw)) {
		r.from, r.raw = x.Index+1, nil
		if x.Whole {
			return
		}
		r.from = x.Index
	}
	if r.raw = append(r.raw, x.Raw); len(r.raw) > mostRecent {
		r.from, r.raw = r.from+mostRecent/2, slices.Clone(r.raw[mostRecent/2:])
	}
}

// after are the entries after one, false if they are not there any more.
func (r *recent) after(index uint64) ([][]byte, bool) {
	if index+1 < r.from || index+1 > r.from+uint64(len(r.raw)) {
		return nil, false
	}
	all := r.raw[index+1-r.from:]
	return all[:min(len(all), mostAtOnce)], true
}

// follower is one that is told what comes.
type follower struct {
	next uint64 // that it has not been told
	at   time.Duration
}

// follow asks for what is new.
func (a *Agent) follow(now time.Duration) {
	if now-a.asked < followEvery {
		return
	}
	a.asked = now
	names := slices.DeleteFunc(a.voters(), func(n string) bool { return n == a.o.Name })
	if len(names) == 0 {
		for _, e := range a.host.View().Peers() { // nobody is known to vote: whoever is there may know
			if e.State < member.Suspected {
				names = append(names, e.Metadata.Name)
			}
		}
	}
	if len(names) == 0 {
		return
	}
	if i := slices.Index(names, a.from); i < 0 {
		a.from = names[int(a.host.Incarnation().Tag%uint64(len(names)))] // not all of a large fleet ask the same one
	} else if now-a.heard > lonely {
		a.from = names[(i+1)%len(names)]
	}
	a.send(a.from, message{Kind: messageFollow, Index: a.copy.After()})
}

// followed tells one that follows what it lacks.
func (a *Agent) followed(from string, x message) {
	st := a.State()
	if st == nil || len(a.follows) >= mostFollow && a.follows[from] == nil {
		return
	}
	if x.Era != st.Era { // it has to begin with the whole
		x.Index = 0
	}
	a.follows[from] = &follower{next: x.Index + 1, at: a.host.Now()}
	a.feed(from)
	a.beat(from)
}

// feed tells one that follows what is new to it.
func (a *Agent) feed(to string) {
	f, st := a.follows[to], a.State()
	for f.next <= st.Index {
		raw, ok := a.recent.after(f.next - 1)
		if !ok || f.next == 1 {
			b, err := st.Encode()
			if err != nil || !a.send(to, message{Kind: messageState, Body: b}) {
				return
			}
			f.next = st.Index + 1
			return
		}
		if !a.send(to, message{Kind: messageEntries, Index: f.next, Entries: raw}) {
			return
		}
		f.next += uint64(len(raw))
	}
}

// beat tells one that follows that it has been told all.
func (a *Agent) beat(to string) {
	age, caught := a.Age()
	if !caught {
		return
	}
	st := a.State()
	a.send(to, message{Kind: messageHeartbeat, Index: st.Index, Hash: a.hash(), AgeMs: age.Milliseconds(), At: a.host.Now().Milliseconds(), Name: a.leads()})
}

// leads is who leads, as far as this gateway knows.
func (a *Agent) leads() string {
	if a.group == nil {
		return a.leader
	}
	if a.group.Leads() {
		return a.o.Name
	}
	return a.nameOf(a.group.Leader())
}

// pushed tells those who follow what has just been agreed.
func (a *Agent) pushed() {
	for name := range a.follows {
		a.feed(name)
	}
}

// again is what a voter, or one that others follow, does each tick for them.
func (a *Agent) again(now time.Duration) {
	a.retry(now)
	if a.ticks%beatTicks != 0 {
		return
	}
	for name, f := range a.follows {
		if now-f.at > followOld {
			delete(a.follows, name)
			continue
		}
		if a.State() != nil {
			a.feed(name)
			a.beat(name)
		}
	}
}

// hash is that of the state, reckoned once for each entry.
func (a *Agent) hash() uint64 {
	st := a.State()
	if a.hashAt != st.Index {
		a.hashAt, a.hashed = st.Index, st.Hash()
	}
	return a.hashed
}

// fed takes what the voter that is followed tells.
func (a *Agent) fed(from string, x message) {
	switch x.Kind {
	case messageState:
		if err := a.copy.Replace(x.Body); err != nil {
			a.log.Warn("what another gateway knows to be agreed is not understood", zap.String("gateway", from), zap.Error(err))
		}
	case messageEntries:
		if a.copy.State == nil {
			return
		}
		if err := a.copy.Take(x.Index, x.Entries); err != nil {
			a.log.Debug("entries are missing", zap.Error(err))
		}
	case messageHeartbeat:
		a.clockSeen(x)
		a.leader = x.Name
		if st := a.copy.State; st != nil && a.group == nil {
			if st.Index == x.Index && st.Era == x.Era {
				a.current(time.Duration(x.AgeMs) * time.Millisecond)
				if h := a.hash(); x.Hash != 0 && h != x.Hash {
					a.alarm("this gateway and another have come to different states by the same entries", zap.String("gateway", from),
						zap.Uint64("entry", st.Index))
				}
			}
		}
	}
	if a.group != nil && a.group.State() != nil && a.copy.State != nil && replog.Newer(a.copy.State.Era, a.copy.After(), a.group.State()) {
		if v := a.copy.State.Voter(a.o.Name); v == nil || v.ID != a.group.ID() { // removed while it was away
			a.leave()
		}
	}
}

// alarm names what must not be, once a second at the most.
func (a *Agent) alarm(what string, f ...zap.Field) {
	a.alarms++
	if a.host.Now()-a.alarmed > time.Second {
		a.alarmed = a.host.Now()
		a.log.Error(what, f...)
	}
}
