// Package fleet has a gateway take part in a fleet: it keeps what has to outlive a power loss, asks the others when it
// starts, and takes up service in order. What is decided is in recover and member, which are pure; this package runs
// them on the gateway's turn and carries their decisions out. Nothing here waits for a disk or a peer on the turn.
package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/recover"
	"quillrail/internal/fleet/store"
	"quillrail/internal/roster"
)

const (
	tickEvery  = 100 * time.Millisecond
	saveEvery  = time.Second
	askAgain   = 30 * time.Millisecond  // while somebody has not answered
	tellEvery  = 50 * time.Millisecond  // copies that were found are told so often
	tellMost   = 40                     // in one piece of news
	formerFade = 0.995                  // of the former rate stays after a second in which less was served
	closeLimit = 500 * time.Millisecond // for the disk and the others, at the end
	refusal    = 200 * time.Millisecond // clients that are not admitted are asked to stay away for so long
)

// TrustAll has a gateway believe all that it finds on disk, and admit everybody at once. It is the baseline that recovery
// is measured against; only tests set it.
var TrustAll bool

// Begin is what a gateway begins with.
type Begin struct {
	Roster roster.Saved
	Module *decide.Memory // nil: nothing is known
	Stands []Stand        // copies that others have found
	List   []core.Member  // newer than the configuration's, nil if that is the newest
	Event  uint64         // of List
}

// Stand is a copy of a function that was found at a worker, at a time of the turn's clock.
type Stand struct {
	Function, Worker string
	At               time.Duration
}

// Gateway is what a Node needs of its gateway. All of it is called on the turn.
type Gateway interface {
	Begin(b Begin) error // the list is followed from now on; clients are not served yet
	Serve()              // clients are served
	Remember() *decide.Memory
	Saved() roster.Saved
	Event() uint64      // the last event of the list that was taken
	Ban(roster.Ban)     // another gateway leaves a worker out
	CallBack(id string) // or uses it again
	// Vouch has cold workers judged by what was served before, and bounds the loads under way, 0 for no bound.
	Vouch(perSec float64, loads int)
	Hold(ids map[string]bool) // workers that others know to drain; in place of those held before
}

// Node is a gateway's part in the fleet. Its methods are called on the turn unless they say otherwise.
type Node struct {
	loop *core.Loop
	gw   Gateway
	set  *Settings
	name string
	hall int
	lim  recover.Limits
	rank []float64    // worth by class
	left []roster.Ban // of the gateway's state file
	log  *zap.Logger
	boot func() (boot string, up time.Duration)

	course *recover.Course
	view   *member.View
	life   member.Life
	db     *store.Store
	net    *member.Transport
	saved  *recover.Saved
	marks  recover.Marks
	agreed *recover.Agreed
	admit  *recover.Admission
	former float64
	serves bool // from before its start
	begun  bool // the gateway has been given what it begins with
	ended  bool
	asked  bool // the others have been asked again after a pause

	members map[string]core.Member // the list, for what is saved
	held    map[string]uint64
	found   []string // functions found, still to be told
	stands  []Stand  // copies found, as of the last save
	word    atomic.Pointer[[]byte]
	told    time.Duration
	savedAt time.Duration
	late    int // functions and workers that were not told for want of room
}

// New returns a node that has not started. rank is the worth of each class; left are bans that
// the gateway knows from elsewhere, and of which a word of the fleet counts more.
func New(loop *core.Loop, gw Gateway, set *Settings, name string, hall int, lim recover.Limits, rank []float64,
	left []roster.Ban, log *zap.Logger) *Node {
	return &Node{loop: loop, gw: gw, set: set, name: name, hall: hall, lim: lim, rank: rank, left: left, log: log, boot: bootOf(set.BootID),
		course: recover.NewCourse(loop.Now()), marks: recover.Marks{}, agreed: recover.NewAgreed(), members: map[string]core.Member{}, held: map[string]uint64{}}
}

// stamp is this moment, as far as it can be known.
func (n *Node) stamp() recover.Stamp {
	boot, up := n.boot()
	return recover.Stamp{Wall: n.loop.Now(), Boot: boot, Up: up}
}

// Start begins to come back: the state is read. A gateway that serves already, since this process has taken over from
// another, only takes its place among the others.
func (n *Node) Start(serves bool) {
	n.serves = serves
	n.course = recover.NewCourse(n.loop.Now())
	n.log.Info("coming back", zap.Stringer("phase", n.course.Phase()))
	go func() {
		r := readState(n.set.Dir, time.Duration(time.Now().UnixNano()))
		n.loop.Post(func() { n.read(r) })
	}()
	n.tick()
}

// result is what reading the disk has come to.
type result struct {
	db    *store.Store
	found store.Found
	saved *recover.Saved
	life  member.Life
	err   error
}

const (
	keyLife  = "incarnation"
	keyState = "state"
)

// decode reads what is on disk or came over the net, and refuses what can't be.
func decode(b []byte, v interface{ Check() error }) error {
	if err := msgpack.Unmarshal(b, v); err != nil {
		return err
	}
	return v.Check()
}

// readState opens the store, and has the process's own life written before anybody hears of it.
func readState(dir string, clock time.Duration) (r result) {
	r.db, r.found, r.err = store.Open(dir)
	stored := uint64(0)
	if b, ok := r.found.Entries[keyLife]; ok {
		if err := msgpack.Unmarshal(b, &stored); err != nil {
			r.found.Refused = append(r.found.Refused, fmt.Sprintf("entry %s: %v", keyLife, err))
		}
	}
	if b, ok := r.found.Entries[keyState]; ok {
		s := &recover.Saved{}
		if err := decode(b, s); err != nil {
			r.found.Refused = append(r.found.Refused, fmt.Sprintf("entry %s: %v", keyState, err))
		} else {
			r.saved = s
		}
	}
	r.life = member.Next(stored, 0, clock, rand.Uint64())
	if r.db != nil {
		n := r.life.N
		r.db.Put(keyLife, func() ([]byte, error) { return msgpack.Marshal(n) })
	}
	return r
}

// read takes what was on disk. What comes after the phase is over is used to write to, and not believed.
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
	without := ""
	if r.saved == nil {
		without = "its former state"
	}
	if !n.pass(recover.Reading, without) {
		n.log.Warn("state on disk came too late")
		return
	}
	n.saved, n.life = r.saved, r.life
	n.ask()
}

// ask joins the others.
func (n *Node) ask() {
	if n.life.N == 0 { // the disk has not answered
		n.life = member.Next(0, 0, n.loop.Now(), rand.Uint64())
	}
	if s := n.saved; s != nil && !TrustAll {
		for _, v := range s.Trusted(n.stamp(), n.lim) {
			n.log.Debug("state", zap.String("kind", string(v.Kind)), zap.Stringer("trust", v.Trust), zap.String("why", v.Why))
		}
	}
	if s := n.saved; s != nil {
		n.marks.Join(s.Marks)
		n.former = s.Former
	}
	self := member.Card{Name: n.name, Life: n.life, State: member.Joining, Hall: n.hall, Major: member.Major, Minor: member.Minor}
	n.view = member.NewView(self, n.loop.Now())
	n.post()
	o := member.Options{Fleet: n.set.Fleet, Bind: n.set.Bind, Seeds: n.set.Seeds, Self: self}
	go func() {
		t, err := member.Open(o, (*ear)(n), n.log)
		if err != nil {
			n.loop.Post(func() { n.joined(nil, err) })
			return
		}
		// All of them, or what the limit allows: the one that is missing may be the one that knows of a ban.
		for end := time.Now().Add(recover.AskLimit); t.Join(recover.AskLimit) < len(t.Seeds()) && time.Now().Before(end); {
			time.Sleep(askAgain) // off the turn
		}
		n.loop.Post(func() { n.joined(t, nil) })
	}()
}

func (n *Node) joined(t *member.Transport, err error) {
	if n.ended {
		if t != nil {
			go t.Close(false)
		}
		return
	}
	if n.net = t; err != nil {
		n.log.Error("the other gateways can't be reached", zap.Error(err))
	}
	without := ""
	if n.agreed.Words == 0 {
		without = "the others' word"
	}
	if n.pass(recover.Asking, without) {
		n.begin()
	}
}

// begin gives the gateway what it begins with.
func (n *Node) begin() {
	b := Begin{}
	own := n.gw.Event()
	if s := n.saved; s != nil {
		b.Roster, b.Module = s.Roster, s.Module
		if s.Event > own {
			own, b.Event = s.Event, s.Event
			b.List = []core.Member{}
			for i, h := range s.List {
				b.List = append(b.List, core.Member{Host: h, Addr: s.Addrs[i]})
			}
		}
	}
	n.marks.Join(n.agreed.Marks)
	for _, ban := range slices.Concat(b.Roster.Bans, n.left) { // from before there was a fleet
		if _, known := n.marks[ban.ID]; !known {
			n.marks.Say(ban.ID, true, ban.Since)
		}
	}
	b.Roster.Bans = nil
	for _, id := range slices.Sorted(maps.Keys(n.marks)) {
		if k := n.marks[id]; k.Banned {
			b.Roster.Bans = append(b.Roster.Bans, roster.Ban{ID: id, Since: k.Since})
		}
	}
	listed := map[string]time.Duration{}
	for _, m := range b.List {
		listed[m.Name] = m.Since
	}
	for id, at := range n.agreed.Started {
		if since, known := listed[id]; known && at > since+time.Second {
			b.Roster.Cold = append(b.Roster.Cold, roster.Cold{ID: id, Listed: since, Since: at})
		}
	}
	for fn, at := range n.agreed.Stands {
		for w, t := range at {
			b.Stands = append(b.Stands, Stand{fn, w, t})
		}
	}
	if n.former == 0 && n.agreed.Words > 0 {
		n.former = n.agreed.Rate / float64(n.agreed.Words)
	}
	n.begun = true
	if err := n.gw.Begin(b); err != nil {
		n.log.Error("what was known before is not used", zap.Error(err))
	}
	n.hold()
}

// Told notes a change of the list; Begin's own, too. It is called after the gateway has taken it.
func (n *Node) Told(whole bool, members []core.Member) {
	if whole {
		clear(n.members)
	}
	for _, m := range members {
		if m.State == decide.Gone {
			delete(n.members, m.Name)
		} else {
			n.members[m.Name] = m
		}
	}
	n.hold()
}

// Current says that the bulletin has spoken: the list is up to date.
func (n *Node) Current() {
	if n.course.Phase() == recover.Listing && n.pass(recover.Listing, "") {
		n.open()
	}
}

// open begins to admit clients.
func (n *Node) open() {
	gateways := n.view.Alive()
	if n.saved != nil {
		gateways = max(gateways, n.saved.Alive)
	}
	n.admit = recover.NewAdmission(recover.Share{Worth: n.rank, Former: n.former, Loads: n.set.Loads, Gateways: gateways},
		n.bear(), n.loop.Now())
	for fn := range n.agreed.Stands {
		n.admit.Stands(fn)
	}
	if n.saved != nil && n.saved.Module != nil {
		kept := n.kept()
		for _, f := range n.saved.Module.Funcs {
			if slices.ContainsFunc(f.Places, func(p decide.PlaceMemory) bool { return kept[p.Worker] }) {
				n.admit.Stands(f.Name)
			}
		}
	}
	n.become(member.Serving)
	if n.serves || TrustAll {
		n.admit = nil
		n.pass(recover.Admitting, "")
	}
	n.gw.Serve()
	if n.admit == nil {
		return
	}
	n.log.Info("clients are admitted", zap.Float64("calls_per_s", n.admit.Rate()), zap.Int("first_loads", n.admit.Slots()),
		zap.Int("gateways", gateways))
}

// kept are the workers that have not been started anew since the state was saved: what was loaded there may stand. Where it
// does not, the module's bound on loads still holds.
func (n *Node) kept() map[string]bool {
	kept := map[string]bool{}
	for _, h := range n.saved.List {
		if m, listed := n.members[h.Name]; listed && m.State == decide.Ready && m.Since <= h.Since {
			kept[h.Name] = true
		}
	}
	return kept
}

// bear is the part of their capacity that the workers have on average, cold as they are.
func (n *Node) bear() float64 {
	if len(n.members) == 0 {
		return 1
	}
	sum := 0.0
	for _, m := range n.members {
		share := 1.0
		if age := n.loop.Now() - m.Since; m.Since > 0 && age < n.set.ColdFor {
			share = n.set.ColdFrom + (1-n.set.ColdFrom)*max(0, age.Seconds())/n.set.ColdFor.Seconds()
		}
		sum += share
	}
	return sum / float64(len(n.members))
}

// Admit reports whether a call is taken; where it isn't, how long its client is asked to stay away.
func (n *Node) Admit(class int, function string) (bool, time.Duration) {
	if n.admit == nil || n.course.Phase() == recover.Full {
		return true, 0
	}
	return n.admit.Admit(n.loop.Now(), class, function), refusal
}

// Observe takes the end of a call.
func (n *Node) Observe(r core.Record) {
	if n.admit == nil || n.course.Phase() == recover.Full || r.Answer == "gone" {
		return
	}
	served := r.Answer == "served"
	n.admit.Ended(r.Call.Function, served)
	if served && len(n.found) < 4*tellMost && !slices.Contains(n.found, r.Call.Function) {
		n.found = append(n.found, r.Call.Function)
	}
}

// tick is the node's own pace.
func (n *Node) tick() {
	if n.ended {
		return
	}
	now := n.loop.Now()
	if p := n.course.Phase(); n.course.Due(now) {
		switch p {
		case recover.Reading:
			if n.pass(p, "its disk") {
				n.ask()
			}
		case recover.Asking:
			if n.pass(p, "the others' word") {
				n.begin()
			}
		case recover.Listing:
			if n.pass(p, "the bulletin") {
				n.open()
			}
		case recover.Admitting:
			n.pass(p, "a measured share")
		}
	}
	if n.admit != nil && n.course.Phase() == recover.Admitting {
		n.admit.Fleet(n.view.Alive())
		n.gw.Vouch(n.former, n.admit.Slots())
		if n.admit.Done(now) {
			n.pass(recover.Admitting, "")
		}
	}
	if n.view != nil && !n.view.Beat(now) {
		n.log.Warn("this process stood still; the others are asked before anything shared is done")
		n.asked = false
	}
	if n.view != nil && !n.view.May() && !n.asked && n.net != nil {
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
	if now-n.told >= tellEvery {
		n.told = now
		n.tell()
	}
	if n.begun && now-n.savedAt >= saveEvery {
		n.savedAt = now
		m := n.gw.Remember()
		n.save(m)
		n.stands = standing(m)
		n.post()
	}
	n.loop.After(tickEvery, n.tick)
}

func (n *Node) pass(p recover.Phase, without string) bool {
	before := n.course.Since()
	if !n.course.Pass(n.loop.Now(), p, without) {
		return false
	}
	f := []zap.Field{zap.Stringer("phase", n.course.Phase()), zap.Duration("after", n.loop.Now()-before)}
	if without != "" {
		n.log.Warn("coming back", append(f, zap.String("without", without))...)
	} else {
		n.log.Info("coming back", f...)
	}
	if n.course.Phase() == recover.Full {
		n.gw.Vouch(0, 0)
		n.post()
	}
	return true
}

func (n *Node) become(s member.State) {
	n.view.Become(s)
	if n.net != nil {
		n.net.Say(n.view.Self())
	}
}

// save has the store write what is known now.
func (n *Node) save(m *decide.Memory) {
	if n.course.Phase() < recover.Admitting {
		return
	}
	if n.course.Phase() == recover.Full {
		n.former = max(m.Rate(n.loop.Now()), n.former*formerFade)
	}
	if n.db == nil {
		return
	}
	s := &recover.Saved{At: n.stamp(), Event: n.gw.Event(), Roster: n.gw.Saved(), Marks: maps.Clone(n.marks), Module: m, Former: n.former,
		Alive: n.view.Alive()}
	for _, name := range slices.Sorted(maps.Keys(n.members)) {
		s.List, s.Addrs = append(s.List, n.members[name].Host), append(s.Addrs, n.members[name].Addr)
	}
	n.db.Put(keyState, func() ([]byte, error) { return msgpack.Marshal(s) })
}

// standing are the copies that a memory knows to have been found.
func standing(m *decide.Memory) (out []Stand) {
	for _, f := range m.Funcs {
		for _, p := range f.Places {
			if p.Loaded && p.Proven > 0 {
				out = append(out, Stand{f.Name, p.Worker, p.Proven})
			}
		}
	}
	return out
}

// post puts down what others are told when they ask.
func (n *Node) post() {
	w := &recover.Word{Marks: n.marks, Started: map[string]int64{}, Stands: map[string][]recover.Stand{}, Rate: n.former,
		Full: n.course.Phase() == recover.Full}
	if n.begun {
		w.Event = n.gw.Event()
		now := n.loop.Now()
		for _, m := range n.members {
			if m.State == decide.Draining {
				w.Draining = append(w.Draining, m.Name)
			}
			if age := now - m.Since; m.Since > 0 && age >= 0 && age < n.set.ColdFor {
				w.Started[m.Name] = age.Milliseconds()
			}
		}
		for _, s := range n.stands {
			w.Stands[s.Function] = append(w.Stands[s.Function], recover.Stand{Worker: s.Worker, Age: max(0, (now - s.At).Milliseconds())})
		}
	}
	b, err := msgpack.Marshal(w)
	if err != nil {
		n.log.Error("what is known can't be told", zap.Error(err))
		return
	}
	n.word.Store(&b)
}

// news is what is told unasked.
type news struct {
	From   string
	Life   member.Life
	Marks  recover.Marks
	Stands []string // functions that were found
}

// Check reports what no news can hold.
func (x *news) Check() error {
	if len(x.Stands) > tellMost {
		return fmt.Errorf("fleet: news of %d functions", len(x.Stands))
	}
	return x.Marks.Check()
}

func (n *Node) say(x news, tell func([]byte) bool) {
	x.From, x.Life = n.name, n.life
	b, err := msgpack.Marshal(&x)
	if err != nil || !tell(b) {
		n.late++
	}
}

// tell passes on what was found while the fleet comes back, so that each function is loaded once for all.
func (n *Node) tell() {
	if len(n.found) == 0 || n.net == nil || !n.view.May() {
		return
	}
	k := min(tellMost, len(n.found))
	n.say(news{Stands: n.found[:k]}, n.net.Tell)
	n.found = append([]string(nil), n.found[k:]...)
}

// Changed passes on an operators' word that was spoken here.
func (n *Node) Changed(id string, banned bool, since time.Duration) {
	if k, known := n.marks[id]; known && k.Banned == banned {
		return
	}
	k := n.marks.Say(id, banned, since)
	n.savedAt = 0 // with the next tick
	if n.net != nil {
		n.say(news{Marks: recover.Marks{id: k}}, n.net.Send)
	}
	n.post()
}

// take puts marks of others into effect.
func (n *Node) take(m recover.Marks) {
	newer, refused := n.marks.Join(m)
	if refused > 0 {
		n.late += refused
		n.log.Warn("marks of other gateways find no room", zap.Int("refused", refused))
	}
	if !n.begun {
		return
	}
	for _, id := range newer {
		if k := n.marks[id]; k.Banned {
			n.gw.Ban(roster.Ban{ID: id, Since: k.Since})
		} else {
			n.gw.CallBack(id)
		}
		n.log.Info("another gateway's word on a worker", zap.String("worker", id), zap.Bool("left_out", n.marks[id].Banned))
	}
	if len(newer) > 0 {
		n.savedAt = 0
		n.post()
	}
}

// hold leaves alone what others know to drain by a newer list than ours.
func (n *Node) hold() {
	if !n.begun {
		return
	}
	held := n.agreed.Held(n.gw.Event())
	if maps.Equal(held, n.held) {
		return
	}
	n.held = held
	ids := map[string]bool{}
	for id := range held {
		ids[id] = true
	}
	n.gw.Hold(ids)
	if len(ids) > 0 {
		n.log.Info("workers that others know to drain are left alone", zap.Int("workers", len(ids)))
	}
}

// heard takes what another gateway knows.
func (n *Node) heard(b []byte) {
	var w recover.Word
	if err := decode(b, &w); err != nil {
		n.log.Warn("another gateway's word is not understood", zap.Error(err))
		return
	}
	if n.admit != nil {
		for fn := range w.Stands {
			n.admit.Stands(fn)
		}
	}
	if n.begun { // the module learns the rest by itself
		w.Stands, w.Started = nil, nil
	}
	n.agreed.Add(&w, n.loop.Now())
	n.take(w.Marks)
	n.hold()
}

// heardNews takes a piece of news.
func (n *Node) heardNews(b []byte) {
	var x news
	if err := decode(b, &x); err != nil {
		n.log.Warn("news are not understood", zap.Error(err))
		return
	}
	if x.From == n.name || x.Life.N < n.view.Heard(x.From) { // of a life that was followed by another
		return
	}
	n.take(x.Marks)
	if n.admit != nil {
		for _, fn := range x.Stands {
			n.admit.Stands(fn)
		}
	}
}

// event takes what has become of another gateway.
func (n *Node) event(e member.Event) {
	what := n.view.Hear(e)
	f := []zap.Field{zap.String("gateway", e.Card.Name), zap.Uint64("incarnation", e.Card.Life.N), zap.Stringer("state", e.State),
		zap.Int("gateways", n.view.Alive())}
	switch what {
	case member.Came, member.Changed:
		n.log.Info("another gateway", f...)
	case member.Namesake:
		n.log.Error("another process has this gateway's name, and is the earlier one", f...)
	case member.Superseded:
		n.log.Error("a later process has this gateway's name: this one leaves the fleet", f...)
		if t := n.net; t != nil {
			n.net = nil
			go t.Close(false)
		}
	}
}

// Phase says how far the gateway has come back, in words, with what it goes on without.
func (n *Node) Phase() (phase string, without []string) {
	return n.course.Phase().String(), n.course.Poorer()
}

// Figures are what operators are shown.
type Figures struct {
	Gateways     int // there, this one too
	Phase        int // 0 to 4, see recover.Phase
	Poorer       int // phases that ended without what they waited for
	Saved, Lost  uint64
	StalledMs    int
	Untold, Held int
}

// Figures returns them as they stand.
func (n *Node) Figures() Figures {
	f := Figures{Phase: int(n.course.Phase()), Poorer: len(n.course.Poorer()), Untold: n.late, Held: len(n.held), Gateways: 1}
	if n.view != nil {
		f.Gateways = n.view.Alive()
	}
	if n.net != nil {
		f.Untold += int(n.net.Lost())
	}
	if n.db != nil {
		s := n.db.Stats()
		f.Saved, f.Lost, f.StalledMs = s.Saved, s.Lost, int(s.Busy.Milliseconds())
	}
	return f
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
	if n.begun {
		n.save(n.gw.Remember())
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

// ear is the side of a Node that the transport sees, on its own goroutines.
type ear Node

func (e *ear) post(f func(n *Node)) {
	n := (*Node)(e)
	n.loop.Post(func() {
		if !n.ended {
			f(n)
		}
	})
}

func (e *ear) Event(x member.Event) { e.post(func(n *Node) { n.event(x) }) }
func (e *ear) Heard(b []byte)       { e.post(func(n *Node) { n.heard(b) }) }
func (e *ear) News(b []byte)        { e.post(func(n *Node) { n.heardNews(b) }) }
func (e *ear) Trouble(what string) {
	e.post(func(n *Node) { n.log.Warn("fleet", zap.String("what", what)) })
}
func (e *ear) Word() []byte {
	if b := e.word.Load(); b != nil {
		return *b
	}
	return nil
}
