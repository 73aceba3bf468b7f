// Package fleet has a gateway take part in a fleet. Node is its place among the others: the disk, the transport and the
// view of who is there; it hosts parts, each of which is one concern. What is decided is in the packages below, which are
// pure; this one runs them on the gateway's turn and carries their decisions out. Nothing here waits for a disk or a peer
// on the turn.
package fleet

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/recover"
	"quillrail/internal/fleet/store"
)

const (
	tickEvery  = 100 * time.Millisecond
	saveEvery  = time.Second
	askAgain   = 30 * time.Millisecond  // while somebody has not answered
	closeLimit = 500 * time.Millisecond // for the disk and the others, at the end
)

// Node is a gateway's place in the fleet. Its methods are called on the turn unless they say otherwise.
type Node struct {
	loop     *core.Loop
	settings *Settings
	name     string
	hall     int
	log      *zap.Logger
	boot     func() (boot string, up time.Duration)
	parts    []Part

	view       *member.View
	life       member.Incarnation
	db         *store.Store
	found      map[string][]byte // on disk, while the parts begin
	net        *member.Transport
	begun      bool // the disk has been read, or given up
	joined     bool // the others have been asked
	since      time.Duration
	ended      bool
	asked      bool // the others have been asked again after a pause
	savedAt    time.Duration
	localState atomic.Pointer[[]byte]
	unsent     int // broadcasts that found no room
	network    member.Network
}

// Between has the node reach the others by a network other than the machine's own. It is called before Start.
func (n *Node) Between(network member.Network) { n.network = network }

// New returns a node that has not started. name and hall are the gateway's.
func New(loop *core.Loop, set *Settings, name string, hall int, log *zap.Logger) *Node {
	n := &Node{loop: loop, settings: set, name: name, hall: hall, log: log, boot: bootOf(set.BootID)}
	n.parts = []Part{&renumbering{n: n}}
	return n
}

// Add adds a part, before Start. The parts are served in the order in which they were added.
func (n *Node) Add(make func(h *Host) Part) {
	h := &Host{n: n}
	p := make(h)
	h.part = p.Name()
	n.parts = append(n.parts, p)
}

// stamp is this moment, as far as it can be known.
func (n *Node) stamp() recover.Stamp {
	boot, up := n.boot()
	return recover.Stamp{Wall: n.loop.Now(), Boot: boot, Up: up}
}

// Start reads the disk and joins the others.
func (n *Node) Start() {
	n.since = n.loop.Now()
	clock := n.since
	go func() {
		r := readState(n.settings.Dir, clock)
		n.loop.Post(func() { n.read(r) })
	}()
	n.tick()
}

// read takes what was on disk. What comes after the time for it is over is used to write to, and not believed.
func (n *Node) read(r result) {
	if n.ended {
		if r.db != nil {
			go r.db.Close(closeLimit)
		}
		return
	}
	n.db = r.db
	for _, what := range r.found.Refused {
		n.log.Error("state on disk is not used", zap.String("what", what), zap.String("kept_at", r.found.Aside))
	}
	if r.err != nil {
		n.log.Error("no state is kept on disk", zap.Error(r.err))
	}
	if n.begun {
		n.log.Warn("state on disk came too late")
		return
	}
	n.life = r.life
	n.begin(r.found.Entries, false)
}

// begin has the parts begin, and joins the others.
func (n *Node) begin(entries map[string][]byte, late bool) {
	n.begun, n.since = true, n.loop.Now()
	if n.life.N == 0 { // the disk has not answered
		n.life = member.Next(0, 0, n.loop.Now(), rand.Uint64())
	}
	self := member.Metadata{Name: n.name, Life: n.life, State: member.Joining, Hall: n.hall, Major: member.Major, Minor: member.Minor}
	n.view = member.NewView(self, n.loop.Now())
	n.found = entries
	for _, p := range n.parts {
		p.Begin(entries[p.Name()], late)
	}
	n.found = nil
	n.publish()
	o := member.Options{Fleet: n.settings.Fleet, Bind: n.settings.Bind, Seeds: n.settings.Seeds, Via: n.settings.Via, Self: self, Network: n.network}
	go func() {
		t, err := member.Open(o, (*receiver)(n), n.log)
		if err != nil {
			n.loop.Post(func() { n.join(nil, err) })
			return
		}
		n.loop.Post(func() { n.reach(t) })
		// All of them, or what the limit allows: the one that is missing may be the one that knows of a ban.
		for end := time.Now().Add(recover.AskLimit); t.Join(recover.AskLimit) < len(t.Seeds()) && time.Now().Before(end); {
			time.Sleep(askAgain) // off the turn
		}
		n.loop.Post(func() { n.join(t, nil) })
	}()
}

// reach takes the transport into use.
func (n *Node) reach(t *member.Transport) {
	if n.ended {
		go t.Close(false)
		return
	}
	n.net = t
}

// join says that the others have been asked.
func (n *Node) join(t *member.Transport, err error) {
	if err != nil {
		n.log.Error("the other gateways can't be reached", zap.Error(err))
	}
	if n.ended || n.joined {
		return
	}
	n.joined = true
	for _, p := range n.parts {
		p.Joined()
	}
}

// tick is the node's own pace.
func (n *Node) tick() {
	if n.ended {
		return
	}
	now := n.loop.Now()
	if !n.begun && now-n.since >= recover.ReadLimit {
		n.begin(nil, true)
	}
	if n.begun && !n.joined && now-n.since >= recover.AskLimit {
		n.join(n.net, nil)
	}
	if n.view != nil {
		n.beat(now)
		for _, p := range n.parts {
			p.Tick(now)
		}
	}
	if n.joined && now-n.savedAt >= saveEvery {
		n.savedAt = now
		n.save()
		n.publish()
	}
	n.loop.After(tickEvery, n.tick)
}

// beat notices that the process stood still, and has the others asked before it acts on anything shared.
func (n *Node) beat(now time.Duration) {
	if !n.view.Beat(now) {
		n.log.Warn("this process stood still; the others are asked before anything shared is done")
		n.asked = false
	}
	if n.view.May() || n.asked || n.net == nil {
		return
	}
	n.asked = true
	t := n.net
	go func() {
		ok := t.Ask()
		n.loop.Post(func() {
			if n.asked = ok; ok {
				n.view.Confirm()
				n.log.Info("the others have answered again")
			}
		})
	}()
}

func (n *Node) become(s member.State) {
	n.view.Become(s)
	if n.net != nil {
		n.net.Say(n.view.Self())
	}
}

// Drain tells the others that this gateway takes no more clients.
func (n *Node) Drain() {
	if n.view != nil && !n.ended {
		n.become(member.Draining)
	}
}

// Stop writes the last state and leaves, off the turn; done is called when both are over, or have taken too long.
func (n *Node) Stop(done func()) {
	if n.ended {
		done()
		return
	}
	if n.joined {
		n.save()
	}
	n.ended = true
	db, t := n.db, n.net
	go func() {
		if t != nil {
			t.Close(true)
		}
		if db != nil {
			if err := db.Close(closeLimit); err != nil {
				n.log.Warn("state not saved", zap.Error(err))
			}
		}
		n.loop.Post(done)
	}()
}
