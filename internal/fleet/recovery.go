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
	formerFade = 0.995                  // of the former rate stays after a second in which less was served
	refusal    = 200 * time.Millisecond // clients that are not admitted are asked to stay away for so long
)

// TrustAll has a gateway believe all that it finds on disk, and admit everybody at once. It is the baseline that recovery
// is measured against; only tests set it.
var TrustAll bool

// Recovery is the part that brings a gateway back after a loss of power: it runs a recover.Course, and keeps what operators
// have said of workers the same at all gateways.
type Recovery struct {
	Base
	host *Host
	gw   Gateway
	set  *Settings
	lim  recover.Limits
	rank []float64    // worth by class
	left []roster.Ban // of the gateway's state file

	course *recover.Phases
	saved  *recover.Saved
	marks  recover.Checkpoints
	agreed *recover.Agreed
	admit  *recover.Admission
	former float64
	serves bool // from before its start
	begun  bool // the gateway has been given what it begins with

	members     map[string]core.Member // the list, for what is saved
	held        map[string]uint64
	foundCopies []string // functions found, still to be broadcast
	stands      []Stand  // copies found, as of the last save
	told        time.Duration
	late        int // functions and workers that were not told for want of room
}

// NewRecovery returns the part. rank is the worth of each class; left are bans that the gateway knows from elsewhere, and
// of which a word of the fleet counts more.
func NewRecovery(h *Host, gw Gateway, set *Settings, lim recover.Limits, rank []float64, left []roster.Ban) *Recovery {
	return &Recovery{host: h, gw: gw, set: set, lim: lim, rank: rank, left: left, course: recover.NewPhases(h.Now()), marks: recover.Checkpoints{},
		agreed: recover.NewAgreed(), members: map[string]core.Member{}, held: map[string]uint64{}}
}

// Name names the part's messages and its entry on disk.
func (c *Recovery) Name() string { return "state" }

// Start is called before the node's: serves says that this process has taken over from one that served.
func (c *Recovery) Start(serves bool) {
	c.serves, c.course = serves, recover.NewPhases(c.host.Now())
	c.host.Log().Info("coming back", zap.Stringer("phase", c.course.Phase()))
}

// Begin takes the former state.
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
	c.pass(recover.Reading, without)
	if s := c.saved; s != nil {
		if !TrustAll {
			for _, v := range s.Trusted(c.host.Stamp(), c.lim) {
				c.host.Log().Debug("state", zap.String("kind", string(v.Kind)), zap.Stringer("trust", v.Trust), zap.String("why", v.Why))
			}
		}
		c.marks.Join(s.Marks)
		c.former = s.Former
	}
}

// Joined gives the gateway what it begins with.
func (c *Recovery) Joined() {
	without := ""
	if c.agreed.Words == 0 {
		without = "the others' word"
	}
	if c.pass(recover.Asking, without) {
		c.begin()
	}
}

func (c *Recovery) begin() {
	b := Begin{}
	own := c.gw.Event()
	if s := c.saved; s != nil {
		b.Roster, b.Module = s.Roster, s.Module
		if s.Event > own {
			b.Event = s.Event
			b.List = []core.Member{}
			for i, h := range s.List {
				b.List = append(b.List, core.Member{Host: h, Addr: s.Addrs[i]})
			}
		}
	}
	c.marks.Join(c.agreed.Marks)
	for _, ban := range slices.Concat(b.Roster.Bans, c.left) { // from before there was a fleet
		if _, known := c.marks[ban.ID]; !known {
			c.marks.Say(ban.ID, true, ban.Since)
		}
	}
	b.Roster.Bans = nil
	for _, id := range slices.Sorted(maps.Keys(c.marks)) {
		if k := c.marks[id]; k.Banned {
			b.Roster.Bans = append(b.Roster.Bans, roster.Ban{ID: id, Since: k.Since})
		}
	}
	listed := map[string]time.Duration{}
	for _, m := range b.List {
		listed[m.Name] = m.Since
	}
	for id, at := range c.agreed.Started {
		if since, known := listed[id]; known && at > since+time.Second {
			b.Roster.Cold = append(b.Roster.Cold, roster.ColdWorker{ID: id, Listed: since, Since: at})
		}
	}
	for fn, at := range c.agreed.Stands {
		for w, t := range at {
			b.Stands = append(b.Stands, Stand{fn, w, t})
		}
	}
	if c.former == 0 && c.agreed.Words > 0 {
		c.former = c.agreed.Rate / float64(c.agreed.Words)
	}
	c.begun = true
	if err := c.gw.Begin(b); err != nil {
		c.host.Log().Error("what was known before is not used", zap.Error(err))
	}
	c.hold()
}

// Current says that the bulletin has spoken: the list is up to date.
func (c *Recovery) Current() {
	if c.course.Phase() == recover.Listing && c.pass(recover.Listing, "") {
		c.open()
	}
}

// Tick is the pace of the phases.
func (c *Recovery) Tick(now time.Duration) {
	if p := c.course.Phase(); c.course.Due(now) {
		switch p {
		case recover.Listing:
			if c.pass(p, "the bulletin") {
				c.open()
			}
		case recover.Admitting:
			c.pass(p, "a measured share")
		}
	}
	if c.admit != nil && c.course.Phase() == recover.Admitting {
		c.admit.Fleet(c.host.View().Alive())
		c.gw.AssumeRate(c.former, c.admit.Slots())
		if c.admit.Done(now) {
			c.pass(recover.Admitting, "")
		}
	}
	if now-c.told >= tellEvery {
		c.told = now
		c.broadcastFoundCopies()
	}
}

func (c *Recovery) pass(p recover.Phase, without string) bool {
	before := c.course.Since()
	if !c.course.Pass(c.host.Now(), p, without) {
		return false
	}
	f := []zap.Field{zap.Stringer("phase", c.course.Phase()), zap.Duration("after", c.host.Now()-before)}
	if without != "" {
		c.host.Log().Warn("coming back", append(f, zap.String("without", without))...)
	} else {
		c.host.Log().Info("coming back", f...)
	}
	if c.course.Phase() == recover.Full {
		c.gw.AssumeRate(0, 0)
		c.host.Republish()
	}
	return true
}

// Phase is how far the gateway has come back.
func (c *Recovery) Phase() recover.Phase { return c.course.Phase() }

// Course says it in words, with what it goes on without.
func (c *Recovery) Course() (phase string, without []string) {
	return c.course.Phase().String(), c.course.Poorer()
}

// Figures shows how far the gateway has come back.
func (c *Recovery) Figures(show func(name string, value int)) {
	show("phase", int(c.course.Phase()))
	show("poorer", len(c.course.Poorer()))
	show("held", len(c.held))
	show("unsaid", c.late)
}

// Save returns what is known now.
func (c *Recovery) Save() func() ([]byte, error) {
	if !c.begun {
		return nil
	}
	m := c.gw.Remember()
	c.stands = standing(m)
	if c.course.Phase() < recover.Admitting {
		return nil
	}
	if c.course.Phase() == recover.Full {
		c.former = max(m.Rate(c.host.Now()), c.former*formerFade)
	}
	s := &recover.Saved{At: c.host.Stamp(), Event: c.gw.Event(), Roster: c.gw.Saved(), Marks: maps.Clone(c.marks), Module: m, Former: c.former,
		Alive: c.host.View().Alive()}
	for _, name := range slices.Sorted(maps.Keys(c.members)) {
		s.List, s.Addrs = append(s.List, c.members[name].Host), append(s.Addrs, c.members[name].Addr)
	}
	return func() ([]byte, error) { return msgpack.Marshal(s) }
}
