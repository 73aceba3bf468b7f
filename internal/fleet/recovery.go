package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet/recover"
	"quillrail/internal/roster"
)

const (
	formerRateDecay   = 0.995                  // factor applied to the former rate after each second in which less was served
	refusalRetryAfter = 200 * time.Millisecond // after which clients that are not admitted should retry
)

// TrustAll makes a gateway trust all state that it finds on disk, and admit all clients at once. Tests set it to measure recovery
// against this baseline; nothing else does.
var TrustAll bool

// Recovery is the part that recovers a gateway's state after a power loss: it steps through recover.Phases, and replicates the
// operators' bans of workers to all gateways.
type Recovery struct {
	Base
	host          *Host
	gateway       Gateway
	settings      *Settings
	dimensions    recover.Dimensions
	stateFileBans []roster.Ban // bans from the gateway's state file

	phases     *recover.PhaseTracker
	saved      *recover.Saved
	bans       recover.BanRecords // bans and ended bans, by worker
	peerState  *recover.PeerState
	admission  *recover.Admission
	formerRate float64 // calls a second that were served before the start; updated in full service
	tookOver   bool    // this process has taken over from one that served
	begun      bool    // the gateway has received its initial state

	workers        core.MemberList   // the worker list by name, to be saved
	held           map[string]uint64 // workers held back, with the event number of the peer's list that shows them as draining
	foundFunctions []string          // functions found to be loaded, not broadcast yet
	copies         []LoadedCopy      // copies found to be loaded, as of the last save
	broadcastAt    time.Duration
	unsent         int // broadcasts that could not be queued, and bans refused beyond the limit
}

// NewRecovery returns the part. stateFileBans are the bans of the gateway's state file;
// bans that the fleet knows take precedence over them.
func NewRecovery(h *Host, gateway Gateway, settings *Settings, dimensions recover.Dimensions,
	stateFileBans []roster.Ban) *Recovery {
	return &Recovery{host: h, gateway: gateway, settings: settings, dimensions: dimensions,
		stateFileBans: stateFileBans, phases: recover.NewPhaseTracker(h.Now()), bans: recover.BanRecords{}, peerState: recover.NewPeerState(),
		workers: core.MemberList{}, held: map[string]uint64{}}
}

// Name returns the name of the part's messages and of its entry on disk.
func (c *Recovery) Name() string { return "state" }

// Start is called before the node's Start. tookOver means that this process has taken over from one that served.
func (c *Recovery) Start(tookOver bool) {
	c.tookOver, c.phases = tookOver, recover.NewPhaseTracker(c.host.Now())
	c.host.Log().Info("coming back", zap.Stringer("phase", c.phases.Phase()))
}

// Begin receives the state saved on disk, and keeps only what can be trusted given its age.
func (c *Recovery) Begin(saved []byte, late bool) {
	without := ""
	if saved != nil {
		s := &recover.Saved{}
		if err := decode(saved, s); err != nil {
			c.host.Log().Error("state on disk is not used", zap.String("what", err.Error()))
		} else {
			c.saved = s
		}
	}
	if late {
		without = "its disk"
	} else if c.saved == nil {
		without = "its former state"
	}
	c.endPhase(recover.Reading, without)
	if s := c.saved; s != nil {
		if !TrustAll {
			for _, v := range s.Restore(c.host.Stamp(), c.dimensions) {
				c.host.Log().Debug("state", zap.String("kind", string(v.Kind)), zap.Stringer("trust", v.Trust), zap.String("why", v.Why))
			}
		}
		c.bans.Merge(s.BanRecords)
		c.formerRate = s.FormerRate
	}
}

// Joined starts the gateway with its initial state, now that peers have answered or the time for it is over.
func (c *Recovery) Joined() {
	without := ""
	if c.peerState.Answers == 0 {
		without = "the others' word"
	}
	if c.endPhase(recover.Querying, without) {
		c.beginGateway()
	}
}

// beginGateway builds the initial state from the state on disk, the state of peers and the bans of the state file, and starts the
// gateway with it.
func (c *Recovery) beginGateway() {
	initial := InitialState{}
	lastEvent := c.gateway.LastEvent()
	if s := c.saved; s != nil {
		initial.Roster, initial.Module = s.Roster, s.Module
		if s.Event > lastEvent {
			initial.ListEvent = s.Event
			initial.List = []core.Member{}
			for i, h := range s.List {
				initial.List = append(initial.List, core.Member{Host: h, Addr: s.Addrs[i]})
			}
		}
	}
	c.bans.Merge(c.peerState.BanRecords)
	for _, ban := range slices.Concat(initial.Roster.Bans, c.stateFileBans) { // made before the gateway was a member of the fleet
		if _, known := c.bans[ban.ID]; !known {
			c.bans.Set(ban.ID, true, ban.Since)
		}
	}
	initial.Roster.Bans = nil
	for _, id := range slices.Sorted(maps.Keys(c.bans)) {
		if record := c.bans[id]; record.Banned {
			initial.Roster.Bans = append(initial.Roster.Bans, roster.Ban{ID: id, Since: record.Since})
		}
	}
	listed := map[string]time.Duration{}
	for _, m := range initial.List {
		listed[m.Name] = m.Since
	}
	for id, at := range c.peerState.Started {
		if since, known := listed[id]; known && at > since+time.Second {
			initial.Roster.Cold = append(initial.Roster.Cold, roster.ColdWorker{ID: id, Listed: since, Since: at})
		}
	}
	for fn, foundAt := range c.peerState.LoadedCopies {
		for worker, at := range foundAt {
			initial.Copies = append(initial.Copies, LoadedCopy{fn, worker, at})
		}
	}
	if c.formerRate == 0 && c.peerState.Answers > 0 {
		c.formerRate = c.peerState.TotalRate / float64(c.peerState.Answers)
	}
	c.begun = true
	if err := c.gateway.Begin(initial); err != nil {
		c.host.Log().Error("the recovered state is not used", zap.Error(err))
	}
	c.updateHeld()
}

// ListCurrent is called when the bulletin has confirmed that the worker list is up to date.
func (c *Recovery) ListCurrent() {
	if c.phases.Phase() == recover.Listing && c.endPhase(recover.Listing, "") {
		c.admitClients()
	}
}

// Tick ends phases that have reached their time limit, and updates admission.
func (c *Recovery) Tick(now time.Duration) {
	if p := c.phases.Phase(); c.phases.TimedOut(now) {
		switch p {
		case recover.Listing:
			if c.endPhase(p, "the bulletin") {
				c.admitClients()
			}
		case recover.Admitting:
			c.endPhase(p, "a measured share")
		}
	}
	if c.admission != nil && c.phases.Phase() == recover.Admitting {
		c.admission.SetGateways(c.host.View().Alive())
		c.gateway.AssumeRate(c.formerRate, c.admission.MaxFirstLoads())
		if c.admission.Done(now) {
			c.endPhase(recover.Admitting, "")
		}
	}
	if now-c.broadcastAt >= broadcastInterval {
		c.broadcastAt = now
		c.broadcastFoundFunctions()
	}
}

// endPhase ends phase p, if it is the present one, and reports whether it was. without names what the gateway has to do without,
// "" if nothing is missing.
func (c *Recovery) endPhase(p recover.Phase, without string) bool {
	phaseStart := c.phases.Since()
	if !c.phases.Complete(c.host.Now(), p, without) {
		return false
	}
	fields := []zap.Field{zap.Stringer("phase", c.phases.Phase()), zap.Duration("after", c.host.Now()-phaseStart)}
	if without != "" {
		c.host.Log().Warn("coming back", append(fields, zap.String("without", without))...)
	} else {
		c.host.Log().Info("coming back", fields...)
	}
	if c.phases.Phase() == recover.Full {
		c.gateway.AssumeRate(0, 0)
		c.host.Republish()
	}
	return true
}

// Phase returns the present phase of recovery.
func (c *Recovery) Phase() recover.Phase { return c.phases.Phase() }

// Progress returns the present phase in words, and what the gateway has to do without.
func (c *Recovery) Progress() (phase string, without []string) {
	return c.phases.Phase().String(), c.phases.Missing()
}

// Metrics reports the progress of recovery.
func (c *Recovery) Metrics(report func(name string, value int)) {
	report("phase", int(c.phases.Phase()))
	report("poorer", len(c.phases.Missing()))
	report("held", len(c.held))
	report("unsaid", c.unsent)
}

// Save returns the present state, encoded later. Before clients are admitted nothing is saved, so that the former state
// stays on disk.
func (c *Recovery) Save() func() ([]byte, error) {
	if !c.begun {
		return nil
	}
	memory := c.gateway.Remember()
	c.copies = provenCopies(memory)
	if c.phases.Phase() < recover.Admitting {
		return nil
	}
	if c.phases.Phase() == recover.Full {
		c.formerRate = max(memory.Rate(c.host.Now()), c.formerRate*formerRateDecay)
	}
	saved := &recover.Saved{At: c.host.Stamp(), Event: c.gateway.LastEvent(), Roster: c.gateway.Saved(), BanRecords: maps.Clone(c.bans),
		Module: memory, FormerRate: c.formerRate, Alive: c.host.View().Alive()}
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		saved.List, saved.Addrs = append(saved.List, c.workers[name].Host), append(saved.Addrs, c.workers[name].Addr)
	}
	return func() ([]byte, error) { return msgpack.Marshal(saved) }
}
