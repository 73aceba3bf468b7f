package agreement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

// holder is what this gateway has to do by what was agreed.
type holder struct {
	banned   map[string]bool // workers that are out by a permit
	drain    uint64          // the permit by which this gateway is drained
	unwanted uint64          // the permit for this gateway that an operator has taken back before it was used
	asked    map[uint64]bool // permits of which the next step has been proposed
}

// carry does what an entry asks of this gateway.
func (x *holder) carry(a *Agent, e replog.Applied) {
	if e.Err != nil {
		return
	}
	switch e.Entry.Kind {
	case "use", "return", "word", "end", "ask":
		x.sync(a, a.State())
	case "lift", "except", "second":
		a.gw.Thawed()
	case "take":
		var b replog.NameBody
		if msgpack.Unmarshal(e.Entry.Body, &b) == nil && b.Name == a.o.Name {
			a.gw.Take()
		}
	}
}

// sync brings bans in line with the permits: a worker is out while one that names it is in use.
func (x *holder) sync(a *Agent, st *replog.State) {
	if st == nil {
		return
	}
	out := map[string]bool{}
	for _, p := range st.Change.Permits {
		for _, t := range p.Things {
			if t.Kind() == change.Worker && p.Phase == change.Used {
				out[t.Name()] = true
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(out)) {
		if !x.banned[id] {
			a.gw.Ban(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(x.banned)) {
		if !out[id] {
			a.gw.CallBack(id)
		}
	}
	x.banned = out
}

// once reports whether a step of a permit has not been proposed yet.
func (x *holder) once(id uint64, step int) bool {
	key := id<<3 | uint64(step)
	if x.asked == nil {
		x.asked = map[uint64]bool{}
	}
	if x.asked[key] {
		return false
	}
	if len(x.asked) > 1000 {
		clear(x.asked)
	}
	x.asked[key] = true
	return true
}

// hold does the steps of permits that this gateway holds for itself.
func (a *Agent) hold(now time.Duration) {
	st, x := a.State(), &a.held
	if st == nil {
		return
	}
	self := change.Of(change.Gateway, a.o.Name)
	for _, p := range st.Change.Permits {
		if p.Holder != a.o.Name {
			continue
		}
		mine := slices.Contains(p.Things, self)
		switch {
		case p.Phase == change.Granted && x.once(p.ID, 1):
			id := p.ID
			a.Propose("use", "", 0, change.PermitBody{ID: id, Holder: a.o.Name, Life: a.host.Incarnation().Number}, func(_ uint64, err error) {
				if err != nil {
					delete(x.asked, id<<3|1) // it may be granted again
					a.log.Warn("a permit is not used", zap.Uint64("permit", id), zap.Error(err))
				} else if mine && p.Release == 0 {
					a.drained(id)
				}
			})
		case p.Phase == change.Used && mine && p.Release == 0 && p.Life < a.host.Incarnation().Number && a.gw.Serving() && x.once(p.ID, 2):
			a.giveBack(p.ID) // a former life of this gateway was out by it, and this one serves
		}
	}
}

// drained sends clients away: this gateway has seen that its permit is in use. One that an operator has taken back meanwhile
// is given back: the entry by which it was to lapse comes behind the one by which it was used.
func (a *Agent) drained(id uint64) {
	if p := a.State().Change.Permit(id); p == nil || p.Phase != change.Used || p.Life != a.host.Incarnation().Number {
		return
	}
	if id == a.held.unwanted {
		a.giveBack(id)
		return
	}
	a.held.drain = id
	a.gw.Drain(fmt.Sprintf("permit %d", id))
}

func (a *Agent) giveBack(id uint64) {
	a.Propose("return", "", 0, change.PermitBody{ID: id, Holder: a.o.Name, Life: a.host.Incarnation().Number}, nil)
}

// Permit is the permit that names this gateway, nil if none does.
func (a *Agent) Permit() *change.Permit {
	if st := a.State(); st != nil {
		return st.Change.PermitOf(change.Of(change.Gateway, a.o.Name))
	}
	return nil
}

// Back says that this gateway takes clients again, by an operator's word.
func (a *Agent) Back() {
	p := a.Permit()
	switch {
	case p == nil || p.Holder != a.o.Name || p.Release != 0:
	case p.Phase <= change.Granted: // it waits, and is not wanted any more
		a.held.unwanted = p.ID
		a.Propose("lapse", "", 0, change.PermitBody{ID: p.ID, Why: "its drain was taken back"}, nil)
	case p.Phase == change.Used:
		a.held.drain = 0
		a.giveBack(p.ID)
	}
}

// Failed says that a step of a release has come to nothing here: this gateway goes on as it was.
func (a *Agent) Failed(why string) {
	p := a.Permit()
	if p == nil || p.Release == 0 || p.Phase != change.Used {
		return
	}
	a.Propose("halt", "", 0, change.HaltBody{ID: p.Release, Reason: a.o.Name + ": " + why}, nil)
	a.giveBack(p.ID)
}

// Ending says that this process has been asked to end. Without a permit that is an emergency: it is named, and counts.
func (a *Agent) Ending() {
	if st := a.State(); st != nil && a.Permit() == nil && st.Change.Things[change.Of(change.Gateway, a.o.Name)] != nil {
		a.Propose("ask", "", 0, &change.Permit{Things: []change.Thing{change.Of(change.Gateway, a.o.Name)}, Holder: a.o.Name, Emergency: true,
			By: "SIGTERM", Why: "it was asked to end"}, nil)
	}
}

// Wanted is what a gateway is to become by a step of a release that is under way, "" for nothing.
func (a *Agent) Wanted(gateway string) (what, to string, permit uint64) {
	if st := a.State(); st != nil {
		return st.Change.Wanted(gateway)
	}
	return "", "", 0
}

// PermitOf is the permit that names a thing, nil if none does.
func (a *Agent) PermitOf(t change.Thing) *change.Permit {
	if st := a.State(); st != nil {
		return st.Change.PermitOf(t)
	}
	return nil
}

// Return says that the things of a permit may be used again, by an operator's word. done is called once, within a second.
func (a *Agent) Return(p *change.Permit, by string, done func(string, error)) {
	a.takeBack(p.ID, by, a.answerInTime(func(_ uint64, err error) { done("", err) }))
}

// takeBack has a permit lapse or returned, as it stands when that is asked for. It may have been used before the entry was
// applied, or wait again; then the entry has changed nothing, and the one that fits is proposed.
func (a *Agent) takeBack(id uint64, by string, done func(uint64, error)) {
	p, err := a.State().Change.TakeBack(id, a.host.Incarnation().Number, "taken back by "+by)
	if err != nil {
		done(0, err)
		return
	}
	a.Propose(p.Kind, by, 0, p.Body, func(index uint64, err error) {
		if err != nil && a.otherwise(id, p) {
			a.takeBack(id, by, done)
			return
		}
		done(index, err)
	})
}

// otherwise reports whether another entry than the one that was proposed would take a permit back now.
func (a *Agent) otherwise(id uint64, proposed change.Proposal) bool {
	now, err := a.State().Change.TakeBack(id, 0, "")
	return err == nil && now.Kind != proposed.Kind
}

// Urgent says that something has been taken out without asking: it is named, and counts.
func (a *Agent) Urgent(t change.Thing, holder, by, why string) {
	a.log.Warn("taken out by an emergency word", zap.String("kind", t.Kind()), zap.String("name", t.Name()), zap.String("by", by), zap.String("why", why))
	a.Propose("ask", by, 0, &change.Permit{Things: []change.Thing{t}, Holder: holder, Why: why, Emergency: true}, nil)
}

// Restarts are the workers that a release wants started anew now.
func (a *Agent) Restarts() (ids []string) {
	st := a.State()
	if st == nil {
		return nil
	}
	for _, p := range st.Change.Permits {
		if p.Phase == change.Used && p.Release != 0 {
			for _, t := range p.Things {
				if t.Kind() == change.Worker {
					ids = append(ids, t.Name())
				}
			}
		}
	}
	slices.Sort(ids)
	return ids
}
