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

// hallNames returns the halls of the fleet, one for each region of the target. The real gateways know the same halls.
func hallNames() (names []string) {
	for i := range Target.Regions {
		names = append(names, fmt.Sprint("hall", i+1))
	}
	return names
}

// hollow is a gateway without clients and workers. It has an event loop, the membership protocol, and a follower of the replicated log.
type hollow struct {
	fleet.Base
	name, host string
	place      place
	run        *run
	loop       *core.Loop
	node       *fleet.Node
	agent      *agreement.Agent
	cancel     context.CancelFunc // ends the event loop
	done       chan struct{}      // closed when the event loop has ended

	appliedIndex    atomic.Uint64   // of the last log entry that is applied here
	aliveCount      atomic.Int64    // gateways that are alive in the view of this one, itself included
	droppedMessages atomic.Int64    // messages that were dropped since they did not fit
	bytes           [2]atomic.Int64 // 0: sent, 1: received
	running         atomic.Bool

	fleetHost      *fleet.Host // gives access to the node; used only on the event loop, like the fields below
	membersChanged bool        // since aliveCount was last set
	ticks          int
}

const metricTicks = 10 // ticks between two reads of the node's metrics

// newHollow creates hollow gateway n and adds it to the network; start starts it.
func newHollow(r *run, n int) *hollow {
	h := &hollow{name: fmt.Sprintf("hollow%04d", n), host: hostName(n), place: placeOf(n), run: r}
	r.network.add(h.host, h.place)
	return h
}

// hostName returns the loopback address of hollow gateway n.
func hostName(n int) string { return fmt.Sprintf("127.78.%d.%d", n/200, n%200+1) }

// start starts the gateway with nothing in memory, also after stop.
func (h *hollow) start() {
	h.loop, h.done = core.NewLoop(clock), make(chan struct{})
	s := &fleet.Settings{Enabled: true, Fleet: "lab", Bind: net.JoinHostPort(h.host, h.run.port), Seeds: h.run.seeds, Dir: os.DevNull,
		FirstLoads: 16, BootID: os.DevNull, Change: change.DefaultLimits}
	h.node = fleet.New(h.loop, s, h.name, h.place.region, zap.NewNop())
	h.node.UseNetwork(&hostView{h.run.network, h.host})
	settings := TargetSettings()
	h.node.Add(func(host *fleet.Host) fleet.Part {
		p := fleet.NewRecovery(host, noClients{}, s, recover.Dimensions{Classes: len(settings.Classes), Tenants: len(settings.Tenants)}, nil)
		p.Start(false)
		return p
	})
	h.node.Add(func(host *fleet.Host) fleet.Part {
		h.agent = agreement.New(host, noopActions{}, agreement.Options{Name: h.name, Hall: hallNames()[h.place.region], Halls: hallNames(),
			Classes: []string{"read", "command", "once"}, Tenants: []string{"demo"}, InitialVoters: h.run.voters,
			TargetVoters: len(h.run.voters), ReplaceAfter: time.Minute, HallLostAfter: 5 * time.Second,
			Limits: change.DefaultLimits, Rules: replog.Rules{ClockBoundMs: 500, FreezeAheadMs: 60_000}, ColdFor: settings.ColdFor, Session: "key",
			Version: "v1", Config: "r1"})
		return h.agent
	})
	h.node.Add(func(host *fleet.Host) fleet.Part { h.fleetHost, h.membersChanged = host, true; return h })
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.loop.Post(h.node.Start)
	done := h.done
	go func() { h.loop.Run(ctx); close(done) }()
	h.running.Store(true)
}

var clock = core.NewSteadyClock(core.SystemReading).Now

// stop ends the gateway. It notifies the others, unless the network doesn't let it reach them.
func (h *hollow) stop() {
	if !h.running.Swap(false) {
		return
	}
	done := make(chan struct{})
	h.loop.Post(func() { h.node.Stop(func() { close(done) }) })
	<-done
	h.cancel()
	h.loop.Post(func() {})
	<-h.done
}

// Name returns the part's name. The hollow gateway is a part of its own node, so that it receives the node's events.
func (h *hollow) Name() string { return "scale" }

// Tick copies the state of the node from the event loop to the atomic fields.
func (h *hollow) Tick(time.Duration) {
	if st := h.agent.State(); st != nil {
		h.appliedIndex.Store(st.Index)
	}
	if h.membersChanged && h.fleetHost.View() != nil {
		h.membersChanged = false
		h.aliveCount.Store(int64(h.fleetHost.View().Alive()))
	}
	if h.ticks++; h.ticks%metricTicks != 0 {
		return
	}
	h.node.Metrics(func(name string, value int) {
		switch name {
		case "untold":
			h.droppedMessages.Store(int64(value))
		case "sent_bytes":
			h.bytes[0].Store(int64(value))
		case "received_bytes":
			h.bytes[1].Store(int64(value))
		}
	})
}

// MemberChanged counts suspicions of gateways that are expected to be alive.
func (h *hollow) MemberChanged(e member.Event, what member.Transition) {
	h.membersChanged = true
	if what == member.Changed && e.State >= member.Suspected && e.State != member.Left && h.run.isExpected(e.Metadata.Name) {
		h.run.wrongSuspicions.Add(1)
	}
}

// propose proposes a change of the fleet's limits to the log; done receives the index of its entry.
func (h *hollow) propose(l change.Limits, done func(index uint64, err error)) {
	h.loop.Post(func() { h.agent.Propose("limits", "scale", 0, replog.LimitsBody{Limits: l}, done) })
}

// noClients replaces the part of a gateway that serves clients and follows the worker list.
type noClients struct{}

func (noClients) Begin(fleet.InitialState) error { return nil }
func (noClients) Serve()                         {}
func (noClients) Remember() *decide.Snapshot     { return &decide.Snapshot{} }
func (noClients) Saved() (s roster.Saved)        { return s }
func (noClients) LastEvent() uint64              { return 1 }
func (noClients) Ban(roster.Ban)                 {}
func (noClients) Unban(string)                   {}
func (noClients) AssumeRate(float64, int)        {}
func (noClients) Hold(map[string]bool)           {}

// noopActions ignores the actions that the fleet agrees on.
type noopActions struct{}

func (noopActions) Drain(string)                          {}
func (noopActions) Resume()                               {}
func (noopActions) Ban(string)                            {}
func (noopActions) Unban(string)                          {}
func (noopActions) Serving() bool                         { return true }
func (noopActions) Warm() bool                            { return true }
func (noopActions) Avoids(string) bool                    { return false }
func (noopActions) Probe(string, func())                  {}
func (noopActions) Copies(string) (there, other []string) { return nil, nil }
func (noopActions) RecheckFreezes()                       {}
func (noopActions) ApplyPendingConfig()                   {}
