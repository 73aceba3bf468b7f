// Package agreement is a gateway's part in what its fleet agrees: it holds the log where it votes and follows it where it does
// not, reports what it sees to the one that leads, leads where it is that one, and carries out what concerns this gateway.
// What is decided is in agree, change, freeze and site. It runs on the turn and waits for nothing.
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
	Name    string
	Hall    string
	Halls   []string // by number, as lists of workers have them
	Classes []string
	Tenants []string
	First   []string // who votes at first
	Votes   int      // voters that are wanted
	Replace time.Duration
	Lost    time.Duration // after so long without a worker that serves a hall is agreed to be lost
	Limits  change.Limits
	Rules   replog.Rules
	ColdFor time.Duration
	Session string // which field of a call names its session: key, tenant, function
	Own     []*site.Restriction
	Version string
	Config  string // of the file that this gateway began with
}

// Gateway is what the agreement has its gateway do and asks of it. All of it is called on the turn.
type Gateway interface {
	Drain(why string) // clients are sent away
	Resume()          // and taken again
	Ban(id string)    // a worker is left out, by what was agreed
	CallBack(id string)
	Serving() bool // clients are told to come
	Warm() bool    // in full service
	Avoids(worker string) bool
	Probe(worker string, answered func())             // asks it whether it answers
	Copies(worker string) (there, elsewhere []string) // functions that are believed to stand at a worker, and those of them elsewhere too
	Thawed()                                          // a freeze may be over
	Take()                                            // the configuration that was kept back is let through
}

// Agent is the part. It belongs to the turn.
type Agent struct {
	fleet.Base
	host *fleet.Host
	gw   Gateway
	o    Options
	log  *zap.Logger

	id       uint64 // of the disk
	lives    map[string]incarnations
	claim    *replog.Eligibility
	mine     *replog.Disk // what this disk holds of the log, until it is known whether it may be used
	known    map[string]answer
	group    *replog.Group
	writing  bool
	logLo    uint64 // entries of the log that may be on disk
	logHi    uint64
	failed   bool          // a log was given up after an error,
	failedAt time.Duration // then
	founding bool          // the first entry of an agreement is being written
	copy     *replog.Follower
	done     uint64 // the last entry that was acted on,
	doneEra  uint64 // and its era
	from     string // the voter that is followed
	asked    time.Duration
	heard    time.Duration // when what is known was last known to be current
	leader   string
	caught   bool // what is known has been current since this process began
	begun    time.Duration
	stopped  bool

	seq      uint64
	open     map[uint64]*proposal
	follows  map[string]*follower
	recent   recent
	observed observations
	lead     leader
	held     holder
	hashAt   uint64 // the entry that
	hashed   uint64 // is the state's hash at
	alarms   int
	alarmed  time.Duration
	ticks    int
	off      time.Duration // this clock from the leader's, as far as is known
	offAt    time.Duration
	spanned  time.Duration
}

// New returns the part.
func New(h *fleet.Host, gw Gateway, o Options) *Agent {
	a := &Agent{host: h, gw: gw, o: o, log: h.Log().Named("agreed"), lives: map[string]incarnations{}, open: map[uint64]*proposal{}, follows: map[string]*follower{},
		known: map[string]answer{}}
	a.copy = replog.NewFollower(nil, a.applied)
	a.observed = newObservations()
	a.lead = newLead()
	return a
}

// Name names the part's messages and its entry on disk.
func (a *Agent) Name() string { return "agree" }

// Begin takes what is on disk.
func (a *Agent) Begin(b []byte, late bool) {
	a.begun = a.host.Now()
	var s saved
	if b != nil && msgpack.Unmarshal(b, &s) == nil && len(s.Lives) <= maxLives {
		a.id = s.ID
		for name, l := range s.Lives {
			a.lives[name] = l
		}
		if s.Copy != nil {
			if err := a.copy.Replace(s.Copy); err != nil {
				a.log.Error("what was agreed is not known from disk", zap.Error(err))
			}
		}
	}
	if a.mine = diskOf(a.host.StoredEntries()); a.mine != nil {
		a.id = a.mine.ID
		for i := range a.mine.Entries {
			a.span(i)
		}
	}
	if a.id == 0 {
		a.id = a.host.Incarnation().Tag | 1<<63 // drawn at random: another disk is another voter
	}
	if a.mine != nil {
		g, err := replog.Open(a.o.Name, *a.mine, func(replog.Applied) {})
		if err != nil || g.State() == nil {
			a.log.Error("the log on disk is not used: this gateway gives its vote up", zap.Error(err))
			a.forfeit()
		} else {
			a.claim = replog.NewEligibility(a.o.Name, a.host.Incarnation().Number, g.State().Voters)
			if b, err := g.State().Encode(); err == nil && g.State().Index > a.copy.After() {
				a.copy.Replace(b)
			}
		}
	}
}

// State is what is agreed, as far as this gateway knows; nil if it knows nothing. It is not to be changed.
func (a *Agent) State() *replog.State {
	if a.group == nil || a.group.State() == nil {
		return a.copy.State
	}
	g := a.group.State()
	if c := a.copy.State; c != nil && replog.Newer(c.Era, c.Index, g) { // it learns, or was away
		return c
	}
	return g
}

// Adopt takes what another process of this gateway knew, before this one has its place in the fleet.
func (a *Agent) Adopt(state []byte) {
	if len(state) > 0 {
		if err := a.copy.Replace(state); err != nil {
			a.log.Warn("what the process before knew of what is agreed is not used", zap.Error(err))
			return
		}
		a.caught, a.heard = true, a.host.Now() // it was known a moment ago
	}
}

// Age is how long ago what is known was known to be current; false if it never was in this process.
func (a *Agent) Age() (time.Duration, bool) { return a.host.Now() - a.heard, a.caught }

// Configured notes that this gateway goes by another configuration from now on.
func (a *Agent) Configured(id string) { a.o.Config = id }

// Caught reports whether what is known has been current since this process began.
func (a *Agent) Caught() bool { return a.caught }

// current notes that what is known was current so long ago.
func (a *Agent) current(age time.Duration) {
	if at := a.host.Now() - age; at > a.heard || !a.caught {
		a.heard = at
	}
	if !a.caught {
		a.caught = true
		a.log.Info("what is agreed is known", zap.Uint64("entry", a.State().Index), zap.Duration("after", a.host.Now()-a.begun))
	}
}

// Tick is the part's pace: each 100 ms.
func (a *Agent) Tick(now time.Duration) {
	if a.stopped {
		return
	}
	a.ticks++
	if a.group != nil {
		a.fail(a.group.Tick())
		if a.group != nil && a.group.Heard() && a.group.State() != nil {
			a.current(0)
		}
		a.pump()
	} else {
		a.settle(now)
	}
	if a.group == nil || a.group.State() == nil || now-a.heard > lonely {
		a.follow(now)
	}
	a.again(now)
	if a.ticks%reportTicks == 0 {
		a.report(now)
	}
	a.drive(now)
	a.hold(now)
	if a.ticks%10 == 0 {
		a.gw.Thawed()
	}
}

// MemberChanged takes what has become of another gateway.
func (a *Agent) MemberChanged(e member.Event, what member.Transition) {
	a.lived(e.Metadata.Name, e.Metadata.Incarnation)
}

func ready(m core.Member) bool { return m.State == decide.Ready }

var errNobody = fmt.Errorf("nobody who leads the agreement answers: there may be no majority")
