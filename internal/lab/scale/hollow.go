package scale

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet"
	"quillrail/internal/fleet/agreement"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/recover"
	"quillrail/internal/fleet/replog"
	"quillrail/internal/roster"
)

// Sites of hollow gateways, by zone. The real ones among them know as many.
func halls() (names []string) {
	for i := range Target.Regions {
		names = append(names, fmt.Sprint("hall", i+1))
	}
	return names
}

// hollow is a gateway without clients: a turn of its own, its place among the others, and its part in what is agreed.
type hollow struct {
	fleet.Base
	name, host string
	at         place
	run        *run
	loop       *core.Loop
	node       *fleet.Node
	agent      *agreement.Agent
	end        context.CancelFunc
	over       chan struct{}

	applied atomic.Uint64 // the last entry of the log that is known here
	alive   atomic.Int64  // gateways that are known to be there
	lost    atomic.Int64  // messages that found no room
	bytes   [2]atomic.Int64
	running atomic.Bool

	peers   *fleet.Host // of the part; changed says that what it knows of the others has changed
	changed bool
	ticks   int
}

const figureTicks = 10 // the node's figures are read each so many ticks

// newHollow makes a gateway; begin starts it.
func newHollow(r *run, n int) *hollow {
	h := &hollow{name: fmt.Sprintf("hollow%04d", n), host: hostName(n), at: placeOf(n), run: r}
	r.network.add(h.host, h.at)
	return h
}

// hostName is the loopback address of a hollow gateway.
func hostName(n int) string { return fmt.Sprintf("127.78.%d.%d", n/200, n%200+1) }

// begin starts the gateway, or starts it anew with nothing in memory.
func (h *hollow) begin() {
	h.loop, h.over = core.NewLoop(lifeClock), make(chan struct{})
	s := &fleet.Settings{Enabled: true, Fleet: "lab", Bind: net.JoinHostPort(h.host, h.run.port), Seeds: h.run.seeds, Dir: os.DevNull, FirstLoads: 16,
		BootID: os.DevNull, Change: change.DefaultLimits}
	h.node = fleet.New(h.loop, s, h.name, h.at.region, zap.NewNop())
	h.node.UseNetwork(&view{h.run.network, h.host})
	set := Site()
	h.node.Add(func(host *fleet.Host) fleet.Part {
		p := fleet.NewRecovery(host, idle{}, s, recover.Dimensions{Classes: len(set.Classes), Tenants: len(set.Tenants)}, []float64{1, 3}, nil)
		p.Start(false)
		return p
	})
	h.node.Add(func(host *fleet.Host) fleet.Part {
		h.agent = agreement.New(host, idleAgent{}, agreement.Options{Name: h.name, Hall: halls()[h.at.region], Halls: halls(), Classes: []string{"read", "command", "once"},
			Tenants: []string{"demo"}, InitialVoters: h.run.voters, TargetVoters: len(h.run.voters), ReplaceAfter: time.Minute, HallLostAfter: 5 * time.Second,
			Limits: change.DefaultLimits, Rules: replog.Rules{ClockBoundMs: 500, FreezeAheadMs: 60_000}, ColdFor: set.ColdFor, Session: "key",
			Version: "v1", Config: "r1"})
		return h.agent
	})
	h.node.Add(func(host *fleet.Host) fleet.Part { h.peers, h.changed = host, true; return h })
	ctx, cancel := context.WithCancel(context.Background())
	h.end = cancel
	h.loop.Post(h.node.Start)
	over := h.over
	go func() { h.loop.Run(ctx); close(over) }()
	h.running.Store(true)
}

var lifeClock = core.NewSteadyClock(core.SystemReading).Now

// stop ends the gateway: the others are told, unless it is cut off.
func (h *hollow) stop() {
	if !h.running.Swap(false) {
		return
	}
	done := make(chan struct{})
	h.loop.Post(func() { h.node.Stop(func() { close(done) }) })
	<-done
	h.end()
	h.loop.Post(func() {})
	<-h.over
}

// Name makes the hollow gateway a part of its own node, which sees what the node sees.
func (h *hollow) Name() string { return "scale" }

// Tick publishes what is known here.
func (h *hollow) Tick(time.Duration) {
	if st := h.agent.State(); st != nil {
		h.applied.Store(st.Index)
	}
	if h.changed && h.peers.View() != nil {
		h.changed = false
		h.alive.Store(int64(h.peers.View().Alive()))
	}
	if h.ticks++; h.ticks%figureTicks != 0 {
		return
	}
	h.node.Metrics(func(name string, value int) {
		switch name {
		case "untold":
			h.lost.Store(int64(value))
		case "sent_bytes":
			h.bytes[0].Store(int64(value))
		case "received_bytes":
			h.bytes[1].Store(int64(value))
		}
	})
}

// MemberChanged counts suspicions of gateways that are there.
func (h *hollow) MemberChanged(e member.Event, what member.Transition) {
	h.changed = true
	if what == member.Changed && e.State >= member.Suspected && e.State != member.Left && h.run.isThere(e.Metadata.Name) {
		h.run.wrong.Add(1)
	}
}

// propose has a change of the fleet's settings agreed; done is told the entry.
func (h *hollow) propose(l change.Limits, done func(index uint64, err error)) {
	h.loop.Post(func() { h.agent.Propose("limits", "scale", 0, replog.LimitsBody{Limits: l}, done) })
}

// idle is the side of a hollow gateway that has neither clients nor a list.
type idle struct{}

func (idle) Begin(fleet.InitialState) error { return nil }
func (idle) Serve()                         {}
func (idle) Remember() *decide.Snapshot     { return &decide.Snapshot{} }
func (idle) Saved() (s roster.Saved)        { return s }
func (idle) LastEvent() uint64              { return 1 }
func (idle) Ban(roster.Ban)                 {}
func (idle) Unban(string)                   {}
func (idle) AssumeRate(float64, int)        {}
func (idle) Hold(map[string]bool)           {}

// idleAgent does nothing that was agreed.
type idleAgent struct{}

func (idleAgent) Drain(string)                          {}
func (idleAgent) Resume()                               {}
func (idleAgent) Ban(string)                            {}
func (idleAgent) Unban(string)                          {}
func (idleAgent) Serving() bool                         { return true }
func (idleAgent) Warm() bool                            { return true }
func (idleAgent) Avoids(string) bool                    { return false }
func (idleAgent) Probe(string, func())                  {}
func (idleAgent) Copies(string) (there, other []string) { return nil, nil }
func (idleAgent) RecheckFreezes()                       {}
func (idleAgent) ApplyPendingConfig()                   {}
