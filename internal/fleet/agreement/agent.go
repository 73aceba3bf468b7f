// Package agreement implements a gateway's part in the agreement of its fleet. If this gateway votes, it replicates the
// log; otherwise it follows a voter. It reports its observations to the leader, does the leader's work if it is the
// leader, and carries out the agreed decisions that concern this gateway. Packages replog, change, freeze and site make
// the decisions themselves. An Agent runs on the event loop and never blocks.
package agreement

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/site"
)

// Options are the settings of the agreement, of this gateway and of its site.
type Options struct {
	Name            string
	Hall            string
	Halls           []string // indexed by the zone numbers of the worker list
	Classes         []string
	Tenants         []string
	InitialVoters   []string      // voters of the first log, nil if this gateway is configured without an agreement
	TargetVoters    int           // wanted number of voters
	ReplaceAfter    time.Duration // time without contact after which a voter is replaced
	HallLostAfter   time.Duration // time without any serving worker after which a hall is declared lost
	Limits          change.Limits
	Rules           replog.Rules
	ColdFor         time.Duration       // time after a worker's start during which it counts as cold
	Session         string              // the field of a call that identifies its session: key, tenant or function
	OwnRestrictions []*site.Restriction // restrictions in this gateway's own configuration file
	Version         string
	Config          string // ID of the configuration in force
}

// Gateway is what the agreement needs from its gateway. All methods are called on the event loop.
type Gateway interface {
	Drain(why string)                                 // stops taking clients and sends the present ones away
	Resume()                                          // takes clients again
	Ban(id string)                                    // bans a worker, by an agreed permit
	Unban(id string)                                  // ends such a ban
	Serving() bool                                    // reports whether clients are admitted
	Warm() bool                                       // reports whether the gateway is in full service
	Avoids(worker string) bool                        // reports whether the gateway avoids a worker after failures
	Probe(worker string, answered func())             // probes a worker and calls answered if it answers
	Copies(worker string) (there, elsewhere []string) // functions believed to be loaded at a worker, and those of them loaded elsewhere too
	RecheckFreezes()                                  // called regularly and when a freeze may have ended
	ApplyPendingConfig()                              // applies the configuration that a freeze has held back
}

// Agent is the agreement part of a gateway. It must be used on the event loop only.
type Agent struct {
	fleet.Base
	host    *fleet.Host
	gateway Gateway
	options Options
	log     *zap.Logger

	voterID        uint64                       // identifies the disk; see replog.Voter
	incarnations   map[string]incarnationRecord // by gateway
	eligibility    *replog.Eligibility          // not nil while it is undecided whether the stored log may be used
	storedLog      *replog.Disk                 // the log on disk, until it is known whether it may be used
	answers        map[string]identityAnswer    // by gateway
	group          *replog.Group                // nil if this gateway does not replicate the log
	writing        bool                         // a write of the group is on its way to the disk
	firstLogIndex  uint64                       // first and last index of the entries that may be on disk
	lastLogIndex   uint64
	failed         bool             // the log was abandoned after an error
	failedAt       time.Duration    // time of that error
	bootstrapping  bool             // the first write of a new log is not on disk yet
	replica        *replog.Follower // the state as received from other gateways
	notedIndex     uint64           // the last entry that noteApplied has noted
	notedEra       uint64           // the era of that entry
	unhandled      []replog.Applied // noted entries that handleApplied has not handled
	handling       bool             // handleApplied is running
	source         string           // the gateway that this one follows
	lastFollowAt   time.Duration
	currentAt      time.Duration // when the known state was last known to be current
	reportedLeader string        // the leader according to the last message, "" if unknown
	caughtUp       bool          // the known state has been current at some time since this process started
	startedAt      time.Duration
	stopped        bool

	seq            uint64               // sequence number of this process's last proposal
	pending        map[uint64]*proposal // own proposals that have not been applied, by sequence number
	followers      map[string]*followerState
	recent         recentEntries
	observed       observations
	lead           leaderState
	permits        heldPermits
	hashIndex      uint64 // index of the entry that hashValue belongs to
	hashValue      uint64 // hash of the state after that entry
	alarms         int
	lastAlarmAt    time.Duration
	ticks          int
	clockOffset    time.Duration // this gateway's clock minus that of the gateway it follows, 0 if unknown
	clockOffsetAt  time.Duration
	spansRenewedAt time.Duration
}

// New returns the agreement part of a gateway.
func New(host *fleet.Host, gateway Gateway, options Options) *Agent {
	a := &Agent{host: host, gateway: gateway, options: options, log: host.Log().Named("agreed"), incarnations: map[string]incarnationRecord{},
		pending: map[uint64]*proposal{}, followers: map[string]*followerState{}, answers: map[string]identityAnswer{}}
	a.replica = replog.NewFollower(nil, a.noteApplied)
	a.observed = newObservations()
	a.lead = newLeaderState()
	return a
}

// Name returns the name of the part's messages and of its record on disk.
func (a *Agent) Name() string { return "agree" }

// Begin restores what is on disk.
func (a *Agent) Begin(b []byte, late bool) {
	a.startedAt = a.host.Now()
	var stored savedState
	if b != nil && msgpack.Unmarshal(b, &stored) == nil && len(stored.Incarnations) <= maxIncarnations {
		a.voterID = stored.ID
		for name, record := range stored.Incarnations {
			a.incarnations[name] = record
		}
		if stored.Replica != nil {
			if err := a.replaceReplica(stored.Replica); err != nil {
				a.log.Error("agreed state on disk is not usable", zap.Error(err))
			}
		}
	}
	if a.storedLog = readStoredLog(a.host.StoredEntries()); a.storedLog != nil {
		a.voterID = a.storedLog.ID
		for i := range a.storedLog.Entries {
			a.noteLogIndex(i)
		}
	}
	if a.voterID == 0 {
		a.voterID = a.host.Incarnation().Tag | 1<<63 // the tag is random, so that another disk is another voter
	}
	if a.storedLog != nil {
		group, err := replog.Open(a.options.Name, *a.storedLog, func(replog.Applied) {})
		if err != nil || group.State() == nil {
			a.log.Error("log on disk is not usable, giving up this gateway's vote", zap.Error(err))
			a.forfeitVote()
		} else {
			a.eligibility = replog.NewEligibility(a.options.Name, a.host.Incarnation().Number, group.State().Voters)
			if b, err := group.State().Encode(); err == nil && group.State().Index > a.replica.LastIndex() {
				a.replaceReplica(b)
			}
		}
	}
}

// State returns the agreed state as far as this gateway knows it, nil if it knows none. It must not be modified.
func (a *Agent) State() *replog.State {
	if a.group == nil || a.group.State() == nil {
		return a.replica.State
	}
	state := a.group.State()
	if replica := a.replica.State; replica != nil && replog.Newer(replica.Era, replica.Index, state) {
		return replica // this gateway is a learner or has been partitioned
	}
	return state
}

// Adopt takes over the state that the previous process of this gateway knew, before this one joins the fleet.
func (a *Agent) Adopt(state []byte) {
	if len(state) > 0 {
		if err := a.replaceReplica(state); err != nil {
			a.log.Warn("agreed state of the previous process is not usable", zap.Error(err))
			return
		}
		a.caughtUp, a.currentAt = true, a.host.Now() // the previous process had it a moment ago
	}
}

// Age returns the time since the known state was last known to be current, and false if it has never been known to be
// current in this process.
func (a *Agent) Age() (time.Duration, bool) { return a.host.Now() - a.currentAt, a.caughtUp }

// Configured notes that another configuration is in force at this gateway from now on.
func (a *Agent) Configured(id string) { a.options.Config = id }

// CaughtUp reports whether the known state has been current at some time since this process started.
func (a *Agent) CaughtUp() bool { return a.caughtUp }

// markCurrent notes that the known state was current the given time ago.
func (a *Agent) markCurrent(age time.Duration) {
	if at := a.host.Now() - age; at > a.currentAt || !a.caughtUp {
		a.currentAt = at
	}
	if !a.caughtUp {
		a.caughtUp = true
		a.log.Info("agreed state is up to date", zap.Uint64("entry", a.State().Index),
			zap.Duration("after", a.host.Now()-a.startedAt))
	}
}

// Tick does the part's periodic work. It is called every 100 ms.
func (a *Agent) Tick(now time.Duration) {
	if a.stopped {
		return
	}
	a.ticks++
	if a.group != nil {
		a.abandonLog(a.group.Tick())
		if a.group != nil && a.group.TakeLeaderContact() && a.group.State() != nil {
			a.markCurrent(0)
		}
		a.pump()
	} else {
		a.resolveIdentity(now)
	}
	if a.group == nil || a.group.State() == nil || now-a.currentAt > contactTimeout {
		a.requestUpdates(now)
	}
	a.retryAndUpdate(now)
	if a.ticks%reportTicks == 0 {
		a.sendReport(now)
	}
	a.runLeader(now)
	a.advancePermits(now)
	if a.ticks%10 == 0 {
		a.gateway.RecheckFreezes()
	}
}

// MemberChanged notes the incarnation of another gateway whose membership has changed.
func (a *Agent) MemberChanged(e member.Event, what member.Transition) {
	a.recordIncarnation(e.Metadata.Name, e.Metadata.Incarnation)
}

func isReady(m core.Member) bool { return m.State == decide.Ready }

// errNoLeader is the result of a proposal that was not applied in time.
var errNoLeader = fmt.Errorf("nobody who leads the agreement answers: there may be no majority")
