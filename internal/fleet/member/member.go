// Package member tracks which gateways of the fleet are alive. The decisions about them are in this file, which does no I/O;
// transport.go exchanges the underlying messages with hashicorp/memberlist.
package member

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Incarnation identifies one process of a gateway. Of two incarnations of a name the greater one is the later. Tag is drawn at
// random, so that two processes that took the same number, with both disks lost and both clocks wrong, still differ.
type Incarnation struct {
	Number uint64 `msgpack:"N"`
	Tag    uint64
}

// Compare orders incarnations by number, then by tag.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Number, other.Number), cmp.Compare(i.Tag, other.Tag))
}

// Next returns the incarnation of a process that starts. It is later than the one stored on disk and than the one observed by
// peers. If nothing is stored on disk, the number is at least the clock's reading in milliseconds, which is likely to be later
// than any former incarnation.
func Next(stored, observed uint64, clock time.Duration, tag uint64) Incarnation {
	n := max(stored, observed) + 1
	if stored == 0 { // the clock grows faster than the number of starts
		n = max(n, uint64(max(0, clock/time.Millisecond)))
	}
	return Incarnation{n, tag}
}

// State is the state of a gateway as its peers see it.
type State uint8

// The states. A gateway announces Joining, Serving and Draining itself; its peers detect the others.
const (
	Joining State = iota
	Serving
	Draining
	Suspected // it does not answer probes
	Gone      // it did not answer within the suspicion time
	Left      // it announced that it leaves
)

var stateNames = [...]string{"joining", "serving", "draining", "suspected", "gone", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// The version of the messages between gateways. Versions with the same Major are compatible.
const (
	Major = 2
	Minor = 0
)

// Metadata is what a gateway publishes about itself.
type Metadata struct {
	Name         string
	Incarnation  Incarnation `msgpack:"Life"`
	State        State
	Hall         int
	Major, Minor uint8
}

const (
	maxName  = 64   // bytes
	maxPeers = 4096 // gateways that a View tracks
)

// Check returns an error if a field is out of its range, or if the major version differs from this gateway's.
func (m *Metadata) Check() error {
	switch {
	case m.Name == "" || len(m.Name) > maxName:
		return fmt.Errorf("member: name is empty or too long: %q", m.Name[:min(len(m.Name), maxName)])
	case m.Major != Major:
		return fmt.Errorf("member: %s has version %d.%d, this gateway %d.%d", m.Name, m.Major, m.Minor, Major, Minor)
	case m.State > Draining:
		return fmt.Errorf("member: %s announces state %v, which only peers may detect", m.Name, m.State)
	case m.Incarnation.Number == 0:
		return fmt.Errorf("member: %s has no incarnation", m.Name)
	}
	return nil
}

// Event is an observation of another gateway.
type Event struct {
	Metadata Metadata
	State    State // the state in Metadata, or the state that was detected
}

// Transition is the effect of an event on the view.
type Transition int

// The transitions.
const (
	Nothing        Transition = iota
	NewIncarnation            // a gateway is new, or has a later incarnation
	Changed                   // the gateway's state has changed
	Stale                     // the event is of an earlier incarnation than the known one, and is ignored
	DuplicateName             // another process has this gateway's name, with an earlier incarnation; it has to leave the fleet
	Superseded                // another process has this gateway's name, with a later incarnation; this process must stop using it
)

// View is what a gateway knows about the fleet. It must be used by one goroutine only.
type View struct {
	self       Metadata
	peers      map[string]Event
	superseded bool // a later incarnation of this name has been observed
	confirmed  bool // false after a pause of this process, until a peer has answered
	lastBeat   time.Duration
}

// pauseLimit is the longest time between two heartbeats after which a process may still assume that it is a member of the
// fleet. Its peers declare it gone after about that time without an answer.
const pauseLimit = 2 * time.Second

// NewView returns the view of a process that has not received anything from a peer.
func NewView(self Metadata, now time.Duration) *View {
	return &View{self: self, peers: map[string]Event{}, confirmed: true, lastBeat: now}
}

// Self returns this process's own metadata.
func (v *View) Self() Metadata { return v.self }

// Renumber changes this process's incarnation. It changes nothing and returns false if the new one is not later than the present
// one, or if a later process of the same name has been observed.
func (v *View) Renumber(incarnation Incarnation) bool {
	if v.superseded || incarnation.Compare(v.self.Incarnation) <= 0 {
		return false
	}
	v.self.Incarnation = incarnation
	return true
}

// SetState changes this process's own state.
func (v *View) SetState(s State) { v.self.State = s }

// Observe applies an event. Of each name only the latest incarnation counts, and within an incarnation the last event.
func (v *View) Observe(e Event) Transition {
	if e.Metadata.Name == v.self.Name {
		switch d := e.Metadata.Incarnation.Compare(v.self.Incarnation); {
		case d == 0 || e.State >= Suspected: // this process itself, or the end of an earlier one
			return Nothing
		case d > 0:
			v.superseded = true
			return Superseded
		}
		return DuplicateName
	}
	old, known := v.peers[e.Metadata.Name]
	if known {
		switch d := e.Metadata.Incarnation.Compare(old.Metadata.Incarnation); {
		case d < 0:
			return Stale
		case d == 0 && old.State == e.State:
			return Nothing
		case d == 0:
			v.peers[e.Metadata.Name] = e
			return Changed
		}
	} else if len(v.peers) >= maxPeers {
		v.dropUnreachable()
	}
	v.peers[e.Metadata.Name] = e
	if e.State >= Suspected {
		return Changed
	}
	return NewIncarnation
}

// dropUnreachable forgets gateways that are suspected, gone or have left, to make room for new ones.
func (v *View) dropUnreachable() {
	maps.DeleteFunc(v.peers, func(_ string, e Event) bool { return e.State >= Suspected })
}

// LatestIncarnation returns the highest incarnation number that was observed of another gateway, 0 if it is unknown.
func (v *View) LatestIncarnation(name string) uint64 {
	return v.peers[name].Metadata.Incarnation.Number
}

// Heartbeat records that the process runs. It is called several times a second. A gap of more than pauseLimit means that the
// process was paused: Heartbeat then returns false, and the process must not act on shared state until ConfirmContact.
func (v *View) Heartbeat(now time.Duration) bool {
	gap := now - v.lastBeat
	v.lastBeat = now
	if gap > pauseLimit && len(v.peers) > 0 {
		v.confirmed = false
		return false
	}
	return true
}

// ConfirmContact records that, after a pause, this process has exchanged its state with a peer.
func (v *View) ConfirmContact() { v.confirmed = true }

// MayAct reports whether this process may act on shared state: contact is confirmed since its last pause, and no later
// incarnation of its name has been observed.
func (v *View) MayAct() bool { return v.confirmed && !v.superseded }

// Peers returns the last event of each known gateway other than this one, alive or not, sorted by name.
func (v *View) Peers() (out []Event) {
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		out = append(out, v.peers[name])
	}
	return out
}

// Peer returns the last event of another gateway, if it is known.
func (v *View) Peer(name string) (Event, bool) {
	e, ok := v.peers[name]
	return e, ok
}

// Alive returns the number of gateways that are alive, including this one.
func (v *View) Alive() int {
	n := 1
	for _, e := range v.peers {
		if e.State < Suspected {
			n++
		}
	}
	return n
}
