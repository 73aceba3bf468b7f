package agreement

import (
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/replog"
)

// The kinds of note.
const (
	messageLifeQuestion = iota + 1 // which life of mine do you know?
	messageLifeAnswer              // this one
	messageRaft                    // between voters
	messageFollow                  // what comes after this entry?
	messageEntries                 // these
	messageState                   // all that there is
	messageHeartbeat               // what was told is current
	messagePropose                 // an entry, for who leads
	messageReport                  // what a gateway sees
	messageNotLeader               // I don't lead, this one does
	messageEra                     // the agreement has been begun anew
)

// message is a message of this part at another gateway.
type message struct {
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

func (a *Agent) send(to string, x message) bool {
	if st := a.State(); st != nil {
		x.Era = st.Era
	}
	b, err := msgpack.Marshal(&x)
	if err != nil {
		a.log.Error("a message can't be told", zap.Error(err))
		return false
	}
	return a.host.Send(to, b)
}

// Receive takes a message of the same part at another gateway.
func (a *Agent) Receive(m fleet.Received) {
	if m.Channel != fleet.Message || a.stopped || m.From == "" {
		return
	}
	var x message
	if err := msgpack.Unmarshal(m.Body, &x); err != nil {
		a.log.Warn("what another gateway says of the agreement is not understood", zap.String("gateway", m.From), zap.Error(err))
		return
	}
	a.eraSeen(m.From, x)
	switch x.Kind {
	case messageLifeQuestion:
		st := a.State()
		y := message{Kind: messageLifeAnswer, Life: a.lived(m.From, member.Incarnation{Number: x.Life, Tag: x.Tag}), ID: a.id}
		if st != nil {
			y.Index = st.Index
		}
		if a.mine != nil && a.group == nil && y.Index == 0 {
			y.Index = 1
		}
		a.send(m.From, y)
	case messageLifeAnswer:
		a.claimed(m.From, x)
	case messageRaft:
		a.raft(m.From, x.Body)
	case messageFollow:
		a.followed(m.From, x)
	case messageEntries, messageState, messageHeartbeat:
		a.fed(m.From, x)
	case messagePropose:
		a.offered(m.From, x)
	case messageReport:
		a.reported(m.From, x)
	case messageNotLeader:
		if a.leader = x.Name; a.leader == a.o.Name {
			a.leader = ""
		}
	}
}

// Raft's own messages.

func (a *Agent) raft(from string, b []byte) {
	if a.group == nil {
		if a.claim != nil || a.failedLately() { // it is not known yet whether this disk may vote
			return
		}
		g, err := replog.Learn(a.o.Name, a.id, a.applied)
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
func (a *Agent) pump() {
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
func (a *Agent) post(out *replog.Output) {
	for _, m := range out.Mail {
		if name := a.nameOf(m.To); name != "" {
			a.send(name, message{Kind: messageRaft, Body: m.Body})
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
func (a *Agent) nameOf(id uint64) string {
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
