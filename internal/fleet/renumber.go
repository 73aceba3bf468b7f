package fleet

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet/link"
	"quillrail/internal/fleet/member"
)

// partIncarnation is the name of the part, whose messages notify a gateway that a later incarnation of its name is known.
const partIncarnation = "incarnation"

// laterKnown notifies a process that peers consider its incarnation an earlier one, since they have observed a higher number of
// its name.
type laterKnown struct {
	Current member.Incarnation `msgpack:"Taken"` // the process's present incarnation
	Higher  uint64             // the highest number observed
}

// Check returns an error unless the observed number is at least the present one.
func (m *laterKnown) Check() error {
	if m.Current.Number == 0 || m.Higher < m.Current.Number {
		return fmt.Errorf("fleet: incarnation %d is notified of %d, which is lower", m.Current.Number, m.Higher)
	}
	return nil
}

// renumbering is the part that corrects incarnation numbers that were chosen too low. A process that starts without its disk takes
// its number from the wall clock, which may have been stepped back since the former process took its number. Gateways that
// observe such a process notify it, and it continues under a later number. A process that has been replaced by a later one is not
// notified, since it is no longer at its address.
type renumbering struct {
	Base
	n *Node
}

// Name returns the name of the part's messages.
func (*renumbering) Name() string { return partIncarnation }

// MemberChanged notifies a process that is alive if its incarnation is earlier than one observed before.
func (r *renumbering) MemberChanged(e member.Event, transition member.Transition) {
	if transition != member.Stale || e.State >= member.Suspected || r.n.transport == nil {
		return
	}
	body, err := msgpack.Marshal(&laterKnown{Current: e.Metadata.Incarnation, Higher: r.n.view.LatestIncarnation(e.Metadata.Name)})
	if err != nil {
		r.n.log.Error("notice of a later incarnation can't be encoded", zap.Error(err))
		return
	}
	r.n.transport.Send(e.Metadata.Name, link.Message{Part: partIncarnation, Body: body})
}

// Receive continues under a later incarnation, if the notice is about this process's present one.
func (r *renumbering) Receive(m Received) {
	var later laterKnown
	if m.Channel != Message || decode(m.Body, &later) != nil || later.Current != r.n.incarnation {
		return
	}
	r.n.renumber(later.Higher)
}

// renumber continues under an incarnation later than a number, which it stores and announces.
func (n *Node) renumber(higher uint64) {
	if n.stopped || n.transport == nil || !n.view.Renumber(member.Next(higher, 0, 0, n.incarnation.Tag)) {
		return
	}
	n.log.Warn("others have heard of a later incarnation: this process goes on under one later still",
		zap.Uint64("was", n.incarnation.Number), zap.Uint64("heard", higher))
	n.incarnation = n.view.Self().Incarnation
	n.saveIncarnation()
	n.transport.Renumber(n.incarnation.Number)
	n.transport.Announce(n.view.Self())
}
