// Package member knows which gateways of the fleet are there. What is decided about them is in this file, which is pure;
// transport.go brings the news over hashicorp/memberlist.
package member

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Incarnation is one incarnation of a gateway: one life of a process. Of two lives of a name the greater one is the later. Tag is
// drawn at random, so that two lives that took the same number, with both disks lost and both clocks wrong, still differ.
type Incarnation struct {
	N   uint64
	Tag uint64
}

// Compare orders lives.
func (l Incarnation) Compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(l.N, o.N), cmp.Compare(l.Tag, o.Tag))
}

// Next is the life of a process that starts: later than the one on disk, than what others have heard of, and, where
// neither is known, than what the clock makes likely.
func Next(stored, heard uint64, clock time.Duration, tag uint64) Incarnation {
	n := max(stored, heard) + 1
	if stored == 0 { // the disk is empty: the clock grows faster than starts do
		n = max(n, uint64(max(0, clock/time.Millisecond)))
	}
	return Incarnation{n, tag}
}

// State is how far a gateway has come, as the others see it.
type State uint8

// The states. Joining to Draining are what a gateway says of itself, the others are what is found of it.
const (
	Joining State = iota
	Serving
	Draining
	Suspected // it answers nobody
	Gone      // it was given up
	Left      // it said so
)

var stateNames = [...]string{"joining", "serving", "draining", "suspected", "gone", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Version is that of the messages. Another one with the same Major is understood.
const (
	Major = 2
	Minor = 0
)

// Metadata is what a gateway says of itself.
type Metadata struct {
	Name         string
	Life         Incarnation
	State        State
	Hall         int
	Major, Minor uint8
}

const (
	maxName = 64
	maxKept = 4096 // names that are remembered
)

// Check reports what no card can hold.
func (c *Metadata) Check() error {
	switch {
	case c.Name == "" || len(c.Name) > maxName:
		return fmt.Errorf("member: name %q", c.Name[:min(len(c.Name), maxName)])
	case c.Major != Major:
		return fmt.Errorf("member: %s speaks version %d.%d, this gateway %d.%d", c.Name, c.Major, c.Minor, Major, Minor)
	case c.State > Draining:
		return fmt.Errorf("member: %s says of itself that it is %v", c.Name, c.State)
	case c.Life.N == 0:
		return fmt.Errorf("member: %s has no incarnation", c.Name)
	}
	return nil
}

// Event is something that has become known of another gateway.
type Event struct {
	Card  Metadata
	State State // Card's own, or what was found
}

// Transition is to be done about an event.
type Transition int

// The kinds of news.
const (
	Nothing    Transition = iota
	Came                  // a new life of a gateway
	Changed               // its state
	Stale                 // of a life that was followed by a later one: not to be heeded
	Namesake              // another process has this gateway's name, and is an earlier life: it has to go
	Superseded            // it is the later life: this process must not act for the name any more
)

// View is what a gateway knows of the fleet. It belongs to one goroutine.
type View struct {
	self   Metadata
	others map[string]Event
	over   bool // a later life of this name has been heard of
	sure   bool // others are known to hear this process
	beat   time.Duration
}

// pauseLimit is the longest time between two beats after which a process can't know what has become of its place among
// the others. They give it up after about that time.
const pauseLimit = 2 * time.Second

// NewView returns the view of a process that has heard nobody yet.
func NewView(self Metadata, now time.Duration) *View {
	return &View{self: self, others: map[string]Event{}, sure: true, beat: now}
}

// Self is the process's own card.
func (v *View) Self() Metadata { return v.self }

// Renumber gives the process a later incarnation. It reports whether it may have one: it is later than its own, and no later process
// of its name is known to be there.
func (v *View) Renumber(life Incarnation) bool {
	if v.over || life.Compare(v.self.Life) <= 0 {
		return false
	}
	v.self.Life = life
	return true
}

// Become changes the process's own state.
func (v *View) Become(s State) { v.self.State = s }

// Observe takes in an event. Of a name only the latest life counts; within one life the last word does.
func (v *View) Observe(e Event) Transition {
	if e.Card.Name == v.self.Name {
		switch d := e.Card.Life.Compare(v.self.Life); {
		case d == 0 || e.State >= Suspected: // itself, or the end of an earlier life
			return Nothing
		case d > 0:
			v.over = true
			return Superseded
		}
		return Namesake
	}
	old, known := v.others[e.Card.Name]
	if known {
		switch d := e.Card.Life.Compare(old.Card.Life); {
		case d < 0:
			return Stale
		case d == 0 && old.State == e.State:
			return Nothing
		case d == 0:
			v.others[e.Card.Name] = e
			return Changed
		}
	} else if len(v.others) >= maxKept {
		v.forget()
	}
	v.others[e.Card.Name] = e
	if e.State >= Suspected {
		return Changed
	}
	return Came
}

// forget drops the names that are gone, to make room.
func (v *View) forget() {
	maps.DeleteFunc(v.others, func(_ string, e Event) bool { return e.State >= Suspected })
}

// Heard is the highest number of a life that was heard of a name.
func (v *View) Heard(name string) uint64 { return v.others[name].Card.Life.N }

// Beat says that the process runs. It is called several times a second; a gap says that the process stood still, and
// until Confirm it must not act on anything shared. It returns false at such a gap.
func (v *View) Beat(now time.Duration) bool {
	gap := now - v.beat
	v.beat = now
	if gap > pauseLimit && len(v.others) > 0 {
		v.sure = false
		return false
	}
	return true
}

// Confirm says that the others hear this process again and that it has heard what they know.
func (v *View) Confirm() { v.sure = true }

// May reports whether the process may act on what the fleet shares: it has not stood still unnoticed, and no later life
// of its name is there.
func (v *View) May() bool { return v.sure && !v.over }

// Others are the gateways that were ever heard of, this one left out, in the order of their names.
func (v *View) Others() (out []Event) {
	for _, name := range slices.Sorted(maps.Keys(v.others)) {
		out = append(out, v.others[name])
	}
	return out
}

// Other is what is known of a gateway.
func (v *View) Other(name string) (Event, bool) {
	e, ok := v.others[name]
	return e, ok
}

// Alive is the number of gateways that are there, this one too.
func (v *View) Alive() int {
	n := 1
	for _, e := range v.others {
		if e.State < Suspected {
			n++
		}
	}
	return n
}
