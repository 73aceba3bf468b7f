package agreement

import (
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet/replog"
)

// savedState is what a gateway stores besides the log: its voter ID, the incarnations of other gateways, and its copy of
// the state.
type savedState struct {
	ID           uint64                       // voter ID
	Incarnations map[string]incarnationRecord `msgpack:"Lives"` // by gateway
	Replica      []byte                       `msgpack:"Copy"`  // encoded replog.State
}

const maxIncarnations = 4096

// Save returns the function that encodes what has to be stored.
func (a *Agent) Save() func() ([]byte, error) {
	stored := savedState{ID: a.voterID, Incarnations: map[string]incarnationRecord{}}
	for name, record := range a.incarnations {
		stored.Incarnations[name] = record
	}
	if state := a.State(); state != nil {
		encoded, err := state.Encode()
		if err != nil {
			a.log.Error("agreed state cannot be encoded for saving", zap.Error(err))
		}
		stored.Replica = encoded
	}
	return func() ([]byte, error) { return msgpack.Marshal(&stored) }
}

// EncodedState returns the agreed state for a process that takes over from this one, nil if there is none.
func (a *Agent) EncodedState() []byte {
	if state := a.State(); state != nil {
		if encoded, err := state.Encode(); err == nil {
			return encoded
		}
	}
	return nil
}

// logApplied logs an applied entry for operators.
func (a *Agent) logApplied(applied replog.Applied) {
	if applied.Entry.Kind == "see" {
		return
	}
	fields := []zap.Field{zap.Uint64("entry", applied.Index), zap.String("kind", applied.Entry.Kind), zap.String("from", applied.Entry.From)}
	if applied.Entry.By != "" {
		fields = append(fields, zap.String("by", applied.Entry.By))
	}
	if applied.Err != nil {
		if applied.Entry.From == a.options.Name {
			a.log.Info("not agreed", append(fields, zap.String("why", applied.Err.Error()))...)
		}
		return
	}
	a.log.Info("agreed", fields...)
}

// Metrics reports the metrics of the agreement.
func (a *Agent) Metrics(show func(name string, value int)) {
	role := 0
	if a.group != nil {
		role = 1
		if a.group.Leads() {
			role = 2
		}
	}
	age, caughtUp := a.Age()
	if !caughtUp {
		age = a.host.Now() - a.startedAt
	}
	show("agreed.role", role)
	show("agreed.age_ms", int(age.Milliseconds()))
	show("agreed.known", map[bool]int{true: 1}[caughtUp])
	show("agreed.alarms", a.alarms)
	state := a.State()
	if state == nil {
		return
	}
	show("agreed.entry", int(state.Index))
	show("agreed.voters", len(state.Voting()))
	show("agreed.out", len(state.Change.CountedUnavailable()))
	show("agreed.things", len(state.Change.Subjects))
	show("agreed.permits", len(state.Change.Permits))
	show("agreed.frozen", len(state.Freeze.InForce(a.clock())))
	show("agreed.restrictions", len(state.Site.Rules))
	show("agreed.epoch", int(state.Site.Epoch))
}

// UpdateWorkers updates the worker list; whole says that members is the whole list.
func (a *Agent) UpdateWorkers(whole bool, members []core.Member) {
	a.observed.updateMembers(whole, members)
}

// Observe records a call that has ended.
func (a *Agent) Observe(r core.Record) { a.observed.observe(a, r) }

// Count counts a call that was answered before it reached the core.
func (a *Agent) Count(class int, answer string) { a.observed.count(a, class, answer) }

// hallName returns the name of the hall with a zone number of the settings, "" if there is none.
func (a *Agent) hallName(zone int) string {
	if zone >= 0 && zone < len(a.options.Halls) {
		return a.options.Halls[zone]
	}
	return ""
}
