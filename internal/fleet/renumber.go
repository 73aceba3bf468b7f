package fleet

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet/link"
	"quillrail/internal/fleet/member"
)

// partIncarnation names the messages by which a gateway is told of a later incarnation of its name.
const partIncarnation = "incarnation"

// laterKnown says to a process that its incarnation counts as an earlier one, since a higher number of its name has been heard of.
type laterKnown struct {
	Taken  member.Incarnation // the one that the process goes by
	Higher uint64             // the number that has been heard of
}

// Check reports what no message can hold.
func (m *laterKnown) Check() error {
	if m.Taken.N == 0 || m.Higher < m.Taken.N {
		return fmt.Errorf("fleet: incarnation %d after %d", m.Taken.N, m.Higher)
	}
	return nil
}

// renumbering is the part that mends incarnations which were taken too low: a process that starts without its disk takes its number
// from the wall clock, which may have been stepped back since the last one was taken. Who hears of such a process tells it, and
// it goes on under a later number. A process that another one has followed is not at its address any more, so it is not asked.
type renumbering struct {
	Base
	n *Node
}

// Name names the part's messages.
func (*renumbering) Name() string { return partIncarnation }

// MemberChanged tells a process that is there that its incarnation counts as an earlier one.
func (r *renumbering) MemberChanged(e member.Event, what member.Transition) {
	if what != member.Stale || e.State >= member.Suspected || r.n.net == nil {
		return
	}
	body, err := msgpack.Marshal(&laterKnown{Taken: e.Card.Life, Higher: r.n.view.Heard(e.Card.Name)})
	if err != nil {
		r.n.log.Error("a gateway can't be told of its later incarnation", zap.Error(err))
		return
	}
	r.n.net.Send(e.Card.Name, link.Message{Part: partIncarnation, Body: body})
}

// Receive has this process go on under a later incarnation, if what it is told is of the one that it goes by.
func (r *renumbering) Receive(m Received) {
	var later laterKnown
	if m.How != Message || decode(m.Body, &later) != nil || later.Taken != r.n.life {
		return
	}
	r.n.renumber(later.Higher)
}

// renumber goes on under an incarnation later than a number, and tells the disk and the others.
func (n *Node) renumber(higher uint64) {
	if n.ended || n.net == nil || !n.view.Renumber(member.Next(higher, 0, 0, n.life.Tag)) {
		return
	}
	n.log.Warn("others have heard of a later incarnation: this process goes on under one later still",
		zap.Uint64("was", n.life.N), zap.Uint64("heard", higher))
	n.life = n.view.Self().Life
	n.saveLife()
	n.net.Renumber(n.life.N)
	n.net.Say(n.view.Self())
}
