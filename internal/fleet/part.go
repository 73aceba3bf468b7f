package fleet

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet/link"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/recover"
	"quillrail/internal/fleet/store"
)

// Part handles one concern of a gateway in the fleet, such as recovery after a start or the agreement. Its methods are called on
// the event loop: at a start first Begin, then Joined, then the others as events occur. None may wait for a disk or a peer.
type Part interface {
	// Name returns the name of the part's messages and of its entry on disk.
	Name() string
	// Begin receives the state that the part had saved, nil if there is none. late means that the disk has not answered in time.
	Begin(saved []byte, late bool)
	// Joined is called once the seeds have answered, or the time for it is over.
	Joined()
	// Tick is called every 100 ms.
	Tick(now time.Duration)
	// Receive handles a message of the same part at another gateway.
	Receive(m Received)
	// MemberChanged handles an event of another gateway, with its effect on the view.
	MemberChanged(e member.Event, transition member.Transition)
	// LocalState returns the state that is sent to other gateways, nil for none.
	LocalState() []byte
	// Save returns a function that encodes the state to be stored on disk, which is called outside the event loop; nil if there
	// is nothing new.
	Save() func() ([]byte, error)
	// Metrics reports the part's metrics.
	Metrics(report func(name string, value int))
}

// Base implements all methods of Part except Name by doing nothing. Parts embed it and implement the methods that they need.
type Base struct{}

// Begin does nothing.
func (Base) Begin([]byte, bool) {}

// Joined does nothing.
func (Base) Joined() {}

// Tick does nothing.
func (Base) Tick(time.Duration) {}

// Receive does nothing.
func (Base) Receive(Received) {}

// MemberChanged does nothing.
func (Base) MemberChanged(member.Event, member.Transition) {}

// LocalState returns nil: there is no state to send.
func (Base) LocalState() []byte { return nil }

// Save returns nil: there is no state to store.
func (Base) Save() func() ([]byte, error) { return nil }

// Metrics does nothing.
func (Base) Metrics(func(name string, value int)) {}

// Channel is the way by which a message was received.
type Channel int

// The channels.
const (
	Answer    Channel = iota // another gateway's local state, requested by this gateway or by the other one
	Broadcast                // sent to all gateways
	Message                  // sent to this gateway
)

// Received is a message of a part at another gateway.
type Received struct {
	Channel     Channel
	From        string // name of the gateway; "" for an Answer
	Incarnation uint64
	Body        []byte
}

// Host is a part's access to its Node. It is used on the event loop.
type Host struct {
	n    *Node
	part string
}

// Now returns the event loop's time.
func (h *Host) Now() time.Duration { return h.n.loop.Now() }

// Loop returns the event loop.
func (h *Host) Loop() *core.Loop { return h.n.loop }

// Log returns the part's logger.
func (h *Host) Log() *zap.Logger { return h.n.log }

// Stamp returns the present time, by the wall clock and by the time since the machine's boot.
func (h *Host) Stamp() recover.Stamp { return h.n.stamp() }

// View returns what is known about the other gateways; nil before the disk has been read.
func (h *Host) View() *member.View { return h.n.view }

// MayAct reports whether this process may act on shared state.
func (h *Host) MayAct() bool { return h.n.view != nil && h.n.view.MayAct() }

// Incarnation returns this process's incarnation.
func (h *Host) Incarnation() member.Incarnation { return h.n.incarnation }

// StoredEntries returns all entries found on disk. It is valid only while parts begin.
func (h *Host) StoredEntries() map[string][]byte { return h.n.storedEntries }

// Store returns the disk store, nil if there is none.
func (h *Host) Store() *store.Store { return h.n.db }

// Broadcast queues a message to all other gateways. It returns false if the queue is full. Lost messages are not sent again.
func (h *Host) Broadcast(body []byte) bool {
	return h.n.broadcast(h.part, body)
}

// Send queues a message for one gateway, on the link to it. It returns false if the gateway is unknown or the queue is full.
func (h *Host) Send(to string, body []byte) bool {
	return h.n.transport != nil && h.n.transport.Send(to, link.Message{Part: h.part, Body: body})
}

// SendAll queues a message for each gateway that is alive, on the links.
func (h *Host) SendAll(body []byte) {
	if h.n.transport != nil {
		h.n.transport.SendAll(link.Message{Part: h.part, Body: body})
	}
}

// SetState changes the state that this gateway announces.
func (h *Host) SetState(s member.State) { h.n.setState(s) }

// SaveSoon saves all parts with the next tick.
func (h *Host) SaveSoon() { h.n.savedAt = 0 }

// Republish updates the local state that is sent to other gateways.
func (h *Host) Republish() { h.n.publish() }

// decode decodes data from disk or from another gateway, and returns an error if its content is out of range.
func decode(b []byte, v interface{ Check() error }) error {
	if err := msgpack.Unmarshal(b, v); err != nil {
		return err
	}
	return v.Check()
}
