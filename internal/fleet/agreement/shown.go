package agreement

import (
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet/replog"
)

// saved is what a gateway keeps besides the log: the highest incarnations that it has heard of, and its copy.
type saved struct {
	ID    uint64
	Lives map[string]incarnations
	Copy  []byte
}

const maxLives = 4096

// Save returns the copy and the incarnations.
func (a *Agent) Save() func() ([]byte, error) {
	s := saved{ID: a.id, Lives: map[string]incarnations{}}
	for name, n := range a.lives {
		s.Lives[name] = n
	}
	if st := a.State(); st != nil {
		b, err := st.Encode()
		if err != nil {
			a.log.Error("what is agreed can't be saved", zap.Error(err))
		}
		s.Copy = b
	}
	return func() ([]byte, error) { return msgpack.Marshal(&s) }
}

// Handed is what a process that takes over is given.
func (a *Agent) Handed() []byte {
	if st := a.State(); st != nil {
		if b, err := st.Encode(); err == nil {
			return b
		}
	}
	return nil
}

// told logs what operators want to see.
func (a *Agent) told(x replog.Applied) {
	if x.Entry.Kind == "see" {
		return
	}
	f := []zap.Field{zap.Uint64("entry", x.Index), zap.String("kind", x.Entry.Kind), zap.String("from", x.Entry.From)}
	if x.Entry.By != "" {
		f = append(f, zap.String("by", x.Entry.By))
	}
	if x.Err != nil {
		if x.Entry.From == a.o.Name {
			a.log.Info("not agreed", append(f, zap.String("why", x.Err.Error()))...)
		}
		return
	}
	a.log.Info("agreed", f...)
}

// Metrics shows how far the agreement is known.
func (a *Agent) Metrics(show func(name string, value int)) {
	role := 0
	if a.group != nil {
		role = 1
		if a.group.Leads() {
			role = 2
		}
	}
	age, caught := a.Age()
	if !caught {
		age = a.host.Now() - a.begun
	}
	show("agreed.role", role)
	show("agreed.age_ms", int(age.Milliseconds()))
	show("agreed.known", map[bool]int{true: 1}[caught])
	show("agreed.alarms", a.alarms)
	st := a.State()
	if st == nil {
		return
	}
	show("agreed.entry", int(st.Index))
	show("agreed.voters", len(st.Voting()))
	show("agreed.out", len(st.Change.Outs()))
	show("agreed.things", len(st.Change.Things))
	show("agreed.permits", len(st.Change.Permits))
	show("agreed.frozen", len(st.Freeze.InForce(a.clock())))
	show("agreed.restrictions", len(st.Site.Rules))
	show("agreed.epoch", int(st.Site.Epoch))
}

// Told notes a change of the list of workers, and Observe the end of a call.
func (a *Agent) Told(whole bool, members []core.Member) { a.observed.updateMembers(whole, members) }

// Observe takes the record of a request that has ended.
func (a *Agent) Observe(r core.Record) { a.observed.observe(a, r) }

// Count notes a call that was answered before the core had it.
func (a *Agent) Count(class int, answer string) { a.observed.count(a, class, answer) }

// hallName is a hall by its number in the settings.
func (a *Agent) hallName(zone int) string {
	if zone >= 0 && zone < len(a.o.Halls) {
		return a.o.Halls[zone]
	}
	return ""
}
