// Package fleet makes a gateway a member of a fleet. Node owns the disk store, the transport to other gateways and the view of
// which of them are alive. It hosts parts, each of which handles one concern. Decisions are made in the packages below, which do
// no I/O; this package runs them on the gateway's event loop and carries out what they decide. The event loop never waits for a
// disk or for another gateway.
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
	tickInterval   = 100 * time.Millisecond
	saveInterval   = time.Second
	joinRetryDelay = 30 * time.Millisecond  // while a seed has not answered
	closeTimeout   = 500 * time.Millisecond // for the last write to disk
)

// Node is a gateway's membership of the fleet. Its methods are called on the event loop.
type Node struct {
	loop     *core.Loop
	settings *Settings
	name     string
	hall     int
	log      *zap.Logger
	readBoot func() (boot string, up time.Duration)
	parts    []Part

	view          *member.View
	incarnation   member.Incarnation
	db            *store.Store
	storedEntries map[string][]byte // entries found on disk; set only while the parts begin
	transport     *member.Transport
	begun         bool          // the disk has been read, or has not answered in time
	joined        bool          // the seeds have answered, or the time for it is over
	stageStart    time.Duration // when reading the disk, or then joining, started
	stopped       bool
	syncStarted   bool // since the last pause, an exchange with a peer has started and has not failed
	savedAt       time.Duration
	localState    atomic.Pointer[[]byte]
	unsent        int // broadcasts that could not be queued
	network       member.Network
}

// UseNetwork makes the node use a network other than the machine's. It is called before Start.
func (n *Node) UseNetwork(network member.Network) { n.network = network }

// New returns a node that has not been started. name and hall are the gateway's.
func New(loop *core.Loop, set *Settings, name string, hall int, log *zap.Logger) *Node {
	n := &Node{loop: loop, settings: set, name: name, hall: hall, log: log, readBoot: bootReader(set.BootID)}
	n.parts = []Part{&renumbering{n: n}}
	return n
}

// Add adds a part. It is called before Start. Parts are called in the order in which they were added.
func (n *Node) Add(make func(h *Host) Part) {
	h := &Host{n: n}
	p := make(h)
	h.part = p.Name()
	n.parts = append(n.parts, p)
}

// stamp returns the present time, by the wall clock and by the time since the machine's boot.
func (n *Node) stamp() recover.Stamp {
	boot, up := n.readBoot()
	return recover.Stamp{Wall: n.loop.Now(), Boot: boot, Up: up}
}

// Start reads the disk, and then joins the fleet.
func (n *Node) Start() {
	n.stageStart = n.loop.Now()
	clock := n.stageStart
	go func() {
		r := readState(n.settings.Dir, clock)
		n.loop.Post(func() { n.useStored(r) })
	}()
	n.tick()
}

// useStored starts the parts with the state found on disk. State read after recover.ReadLimit is ignored: the store is then only written.
func (n *Node) useStored(r readResult) {
	if n.stopped {
		if r.db != nil {
			go r.db.Close(closeTimeout)
		}
		return
	}
	n.db = r.db
	for _, what := range r.found.Refused {
		n.log.Error("state on disk is not used", zap.String("what", what), zap.String("kept_at", r.found.MovedTo))
	}
	if r.err != nil {
		n.log.Error("no state is kept on disk", zap.Error(r.err))
	}
	if n.begun {
		n.log.Warn("state on disk came too late")
		return
	}
	n.incarnation = r.incarnation
	n.begin(r.found.Entries, false)
}

// begin starts the parts with the entries found on disk, and joins the fleet. late means that the disk has not answered in time.
func (n *Node) begin(entries map[string][]byte, late bool) {
	n.begun, n.stageStart = true, n.loop.Now()
	if n.incarnation.Number == 0 { // the disk has not answered in time
		n.incarnation = member.Next(0, 0, n.loop.Now(), rand.Uint64())
	}
	self := member.Metadata{Name: n.name, Incarnation: n.incarnation, State: member.Joining, Hall: n.hall, Major: member.Major,
		Minor: member.Minor}
	n.view = member.NewView(self, n.loop.Now())
	n.storedEntries = entries
	for _, p := range n.parts {
		p.Begin(entries[p.Name()], late)
	}
	n.storedEntries = nil
	n.publish()
	opts := member.Options{Fleet: n.settings.Fleet, Bind: n.settings.Bind, Seeds: n.settings.Seeds, Via: n.settings.Via, Self: self,
		Network: n.network}
	go func() {
		t, err := member.Open(opts, (*receiver)(n), n.log)
		if err != nil {
			n.loop.Post(func() { n.finishJoin(nil, err) })
			return
		}
		n.loop.Post(func() { n.setTransport(t) })
		// It waits for all seeds, up to the limit, since the one that is missing may be the only one that knows of a ban.
		for end := time.Now().Add(recover.QueryLimit); t.Join(recover.QueryLimit) < len(t.Seeds()) && time.Now().Before(end); {
			time.Sleep(joinRetryDelay) // not on the event loop
		}
		n.loop.Post(func() { n.finishJoin(t, nil) })
	}()
}

// setTransport starts to use the transport.
func (n *Node) setTransport(t *member.Transport) {
	if n.stopped {
		go t.Close(false)
		return
	}
	n.transport = t
}

// finishJoin notifies the parts, once, that the seeds have answered or the time for it is over.
func (n *Node) finishJoin(t *member.Transport, err error) {
	if err != nil {
		n.log.Error("the other gateways can't be reached", zap.Error(err))
	}
	if n.stopped || n.joined {
		return
	}
	n.joined = true
	for _, p := range n.parts {
		p.Joined()
	}
}

// tick runs the node's periodic work, every tickInterval.
func (n *Node) tick() {
	if n.stopped {
		return
	}
	now := n.loop.Now()
	if !n.begun && now-n.stageStart >= recover.ReadLimit {
		n.begin(nil, true)
	}
	if n.begun && !n.joined && now-n.stageStart >= recover.QueryLimit {
		n.finishJoin(n.transport, nil)
	}
	if n.view != nil {
		n.checkPause(now)
		for _, p := range n.parts {
			p.Tick(now)
		}
	}
	if n.joined && now-n.savedAt >= saveInterval {
		n.savedAt = now
		n.save()
		n.publish()
	}
	n.loop.After(tickInterval, n.tick)
}

// checkPause detects that the process was paused. Shared state must not be acted on then until state was exchanged with a peer.
func (n *Node) checkPause(now time.Duration) {
	if !n.view.Heartbeat(now) {
		n.log.Warn("this process stood still; the others are asked before anything shared is done")
		n.syncStarted = false
	}
	if n.view.MayAct() || n.syncStarted || n.transport == nil {
		return
	}
	n.syncStarted = true
	t := n.transport
	go func() {
		ok := t.Sync()
		n.loop.Post(func() {
			if n.syncStarted = ok; ok {
				n.view.ConfirmContact()
				n.log.Info("a peer has answered after the pause")
			}
		})
	}()
}

func (n *Node) setState(s member.State) {
	n.view.SetState(s)
	if n.transport != nil {
		n.transport.Announce(n.view.Self())
	}
}

// Drain announces that this gateway accepts no more clients.
func (n *Node) Drain() {
	if n.view != nil && !n.stopped {
		n.setState(member.Draining)
	}
}

// Stop leaves the fleet and writes the last state, off the event loop; done is called after both, at most closeTimeout for the write.
func (n *Node) Stop(done func()) {
	if n.stopped {
		done()
		return
	}
	if n.joined {
		n.save()
	}
	n.stopped = true
	db, t := n.db, n.transport
	go func() {
		if t != nil {
			t.Close(true)
		}
		if db != nil {
			if err := db.Close(closeTimeout); err != nil {
				n.log.Warn("state not saved", zap.Error(err))
			}
		}
		n.loop.Post(done)
	}()
}
