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

// Part is one concern of a gateway among others: coming back, what is agreed, work in hand. Its methods are called on the
// turn, in this order at a start: Begin, Joined, then the others as it comes. None may wait for a disk or a peer.
type Part interface {
	// Name names the part's messages and its entry on disk.
	Name() string
	// Begin takes what the part had saved, nil if there is nothing; late says that the disk has not answered in time.
	Begin(saved []byte, late bool)
	// Joined says that the others have been asked: all that could be reached have answered, or the time for it is over.
	Joined()
	// Tick is the node's pace.
	Tick(now time.Duration)
	// Receive takes a message of the same part at another gateway.
	Receive(m Received)
	// MemberChanged takes what has become of another gateway.
	MemberChanged(e member.Event, what member.Transition)
	// LocalState returns what a gateway that asks is told, nil for nothing.
	LocalState() []byte
	// Save returns what has to outlive a power loss, to be encoded off the turn; nil for nothing new.
	Save() func() ([]byte, error)
	// Figures shows what operators want to see.
	Figures(show func(name string, value int))
}

// Base does nothing, for parts that need only some of the calls.
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

// LocalState does nothing.
func (Base) LocalState() []byte { return nil }

// Save does nothing.
func (Base) Save() func() ([]byte, error) { return nil }

// Figures does nothing.
func (Base) Figures(func(name string, v int)) {}

// Channel says by which way a message came.
type Channel int

// The ways.
const (
	Answer    Channel = iota // what another one knows, in answer to a question or unasked
	Broadcast                // told to all
	Message                  // told to this gateway
)

// Received is a message of a part at another gateway.
type Received struct {
	How  Channel
	From string // "" of a Word
	Life uint64
	Body []byte
}

// Host is what a Node gives to its parts. It is used on the turn.
type Host struct {
	n    *Node
	part string
}

// Now is the turn's time.
func (h *Host) Now() time.Duration { return h.n.loop.Now() }

// Loop is the turn.
func (h *Host) Loop() *core.Loop { return h.n.loop }

// Log is the part's log.
func (h *Host) Log() *zap.Logger { return h.n.log }

// Stamp is this moment, as far as it can be known.
func (h *Host) Stamp() recover.Stamp { return h.n.stamp() }

// View is what is known of the other gateways; nil before the disk has been read.
func (h *Host) View() *member.View { return h.n.view }

// May reports whether this process may act on what the fleet shares.
func (h *Host) May() bool { return h.n.view != nil && h.n.view.May() }

// Life is this process's incarnation.
func (h *Host) Life() member.Incarnation { return h.n.life }

// Found is all that was on disk; it is there while parts begin.
func (h *Host) Found() map[string][]byte { return h.n.found }

// Disk is the store, nil where there is none.
func (h *Host) Disk() *store.Store { return h.n.db }

// Broadcast sends to all the others. It reports whether there was room; what is lost is not told again.
func (h *Host) Broadcast(body []byte) bool {
	return h.n.broadcast(h.part, body)
}

// Send tells one gateway, and SendAll each of them at once, over their links.
func (h *Host) Send(to string, body []byte) bool {
	return h.n.net != nil && h.n.net.Send(to, link.Message{Part: h.part, Body: body})
}

// SendAll is Send to each of the others that are there.
func (h *Host) SendAll(body []byte) {
	if h.n.net != nil {
		h.n.net.SendAll(link.Message{Part: h.part, Body: body})
	}
}

// Become changes what this gateway says of its own state.
func (h *Host) Become(s member.State) { h.n.become(s) }

// SaveSoon has all parts saved with the next tick, and Republish has those who ask told anew.
func (h *Host) SaveSoon() { h.n.savedAt = 0 }

// Republish has those who ask told anew.
func (h *Host) Republish() { h.n.publish() }

// decode reads what is on disk or came over the net, and refuses what can't be.
func decode(b []byte, v interface{ Check() error }) error {
	if err := msgpack.Unmarshal(b, v); err != nil {
		return err
	}
	return v.Check()
}
