package accord

import (
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet"
	"quillrail/internal/fleet/agree"
	"quillrail/internal/fleet/member"
)

// The kinds of note.
const (
	noteClaim   = iota + 1 // which life of mine do you know?
	noteClaimed            // this one
	noteRaft               // between voters
	noteFollow             // what comes after this entry?
	noteEntries            // these
	noteState              // all that there is
	noteBeat               // what was told is current
	notePropose            // an entry, for who leads
	noteReport             // what a gateway sees
	noteNobody             // I don't lead, this one does
	noteEra                // the agreement has been begun anew
)

// note is a message of this part at another gateway.
type note struct {
	Kind    int      `msgpack:"k"`
	Life    uint64   `msgpack:"l,omitempty"` // of the asker, that is known
	Tag     uint64   `msgpack:"g,omitempty"` // of that life
	ID      uint64   `msgpack:"d,omitempty"` // of the sender's disk
	Index   uint64   `msgpack:"i,omitempty"` // of an entry
	Hash    uint64   `msgpack:"h,omitempty"` // of the state at Index
	AgeMs   int64    `msgpack:"a,omitempty"`
	At      int64    `msgpack:"t,omitempty"` // the sender's clock, Unix ms
	Name    string   `msgpack:"n,omitempty"` // who leads
	Era     uint64   `msgpack:"r,omitempty"` // of what the sender knows
	Body    []byte   `msgpack:"b,omitempty"`
	Entries [][]byte `msgpack:"e,omitempty"`
}

func (a *Accord) send(to string, x note) bool {
	if st := a.State(); st != nil {
		x.Era = st.Era
	}
	b, err := msgpack.Marshal(&x)
	if err != nil {
		a.log.Error("a message can't be told", zap.Error(err))
		return false
	}
	return a.h.Send(to, b)
}

// Hear takes a message of the same part at another gateway.
func (a *Accord) Hear(m fleet.Heard) {
	if m.How != fleet.Message || a.stopped || m.From == "" {
		return
	}
	var x note
	if err := msgpack.Unmarshal(m.Body, &x); err != nil {
		a.log.Warn("what another gateway says of the agreement is not understood", zap.String("gateway", m.From), zap.Error(err))
		return
	}
	a.eraSeen(m.From, x)
	switch x.Kind {
	case noteClaim:
		st := a.State()
		y := note{Kind: noteClaimed, Life: a.lived(m.From, member.Life{N: x.Life, Tag: x.Tag}), ID: a.id}
		if st != nil {
			y.Index = st.Index
		}
		if a.mine != nil && a.group == nil && y.Index == 0 {
			y.Index = 1
		}
		a.send(m.From, y)
	case noteClaimed:
		a.claimed(m.From, x)
	case noteRaft:
		a.raft(m.From, x.Body)
	case noteFollow:
		a.followed(m.From, x)
	case noteEntries, noteState, noteBeat:
		a.fed(m.From, x)
	case notePropose:
		a.offered(m.From, x)
	case noteReport:
		a.reported(m.From, x)
	case noteNobody:
		if a.leader = x.Name; a.leader == a.o.Name {
			a.leader = ""
		}
	}
}

// Raft's own messages.

func (a *Accord) raft(from string, b []byte) {
	if a.group == nil {
		if a.claim != nil { // it is not known yet whether this disk may vote
			return
		}
		g, err := agree.Learn(a.o.Name, a.id, a.applied)
		if err != nil {
			a.log.Error("the log can't be learnt", zap.Error(err))
			return
		}
		if g.Step(b) != nil { // it was not for this disk
			return
		}
		a.log.Info("this gateway is taken in among those that hold the log", zap.String("by", from))
		a.group = g
		a.pump()
		return
	}
	if err := a.group.Step(b); err != nil {
		a.log.Debug("raft", zap.String("from", from), zap.Error(err))
	}
	a.pump()
}

// pump does what the group wants done.
func (a *Accord) pump() {
	for a.group != nil && !a.writing {
		out, err := a.group.Ready()
		if err != nil {
			a.fail(err)
			return
		}
		if out == nil {
			return
		}
		if out.Write == nil {
			a.post(out)
			continue
		}
		a.writing = true
		g := a.group
		a.persist(out.Write, func() {
			if a.group != g { // given up meanwhile
				return
			}
			a.writing = false
			a.post(out)
			a.pump()
		})
	}
}

// post sends what may be sent now that it is on disk, and takes what is agreed.
func (a *Accord) post(out *agree.Output) {
	for _, m := range out.Mail {
		if name := a.nameOf(m.To); name != "" {
			a.send(name, note{Kind: noteRaft, Body: m.Body})
		}
	}
	more, err := a.group.Written()
	if err != nil {
		a.fail(err)
		return
	}
	if more != nil {
		a.persist(more, func() {})
	}
	if a.group.Removed() {
		a.leave()
	}
}

// nameOf is the gateway of a voter's number.
func (a *Accord) nameOf(id uint64) string {
	if st := a.State(); st != nil {
		for _, v := range st.Voters {
			if v.ID == id {
				return v.Name
			}
		}
	}
	for name, k := range a.known {
		if k.id == id {
			return name
		}
	}
	return ""
}
