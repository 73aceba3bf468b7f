package mqtt

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

// Prefix begins the names of workers that are reached by MQTT.
const Prefix = "mqtt-"

// Worker is a worker that subscribes to calls. It keeps its state, ready or draining, as a retained message on
// StatusTopic, with gone as its last will.
type Worker struct {
	Name, Topic, StatusTopic string
	Zone, Cell               int
	Weight                   float64
}

// Link sends calls to workers that subscribe at a broker, one QoS 1 message each. It belongs to the turn.
//
// Its session is clean: a session that is resumed would have to send again what was not acknowledged, though it
// may have run. What is out when the connection is lost ends as reset instead.
type Link struct {
	loop    *core.Loop
	ends    core.ResultHandler
	log     *zap.Logger
	session *Session
	tell    func(whole bool, members []core.Member)
	replies string // topic of the answers
	life    []byte // begins the correlation data, against answers to a former life of this gateway
	workers map[string]*Worker
	state   map[string]decide.HostState // of the workers told
	since   map[string]time.Duration    // their last starts
	open    map[core.Ref]*sending
}

// sending is an attempt that is out.
type sending struct {
	worker  string
	pending *Pending
}

// NewLink returns a link to workers. tell takes the changes of their list, as that of the bulletin.
func NewLink(loop *core.Loop, net sock.Dialer, opt Options, replies string, workers []Worker, seed uint64,
	tell func(bool, []core.Member), log *zap.Logger) *Link {
	l := &Link{loop: loop, log: log, tell: tell, replies: replies, workers: map[string]*Worker{},
		life: binary.BigEndian.AppendUint64(nil, seed), state: map[string]decide.HostState{}, since: map[string]time.Duration{}, open: map[core.Ref]*sending{}}
	opt.Clean, opt.Subscribe = true, []string{replies}
	for _, w := range workers {
		l.workers[w.Name] = &w
		opt.Subscribe = append(opt.Subscribe, w.StatusTopic)
	}
	l.session = NewSession(loop, net, opt, l.receive, l.changed, log)
	return l
}

// Serve says who takes the ends.
func (l *Link) Serve(e core.ResultHandler) { l.ends = e }

// Connect begins.
func (l *Link) Connect() { l.session.Connect() }

// Stop ends the session's connection.
func (l *Link) Stop() { l.session.Stop() }

// changed notes that the session has come up or gone down. Without it no worker can be reached.
func (l *Link) changed(up bool) {
	if up {
		return // the retained states of the workers follow
	}
	var members []core.Member
	for _, name := range slices.Sorted(maps.Keys(l.state)) {
		members = append(members, l.member(l.workers[name], decide.Gone))
	}
	clear(l.state)
	if len(members) > 0 {
		l.tell(false, members)
	}
	for _, ref := range slices.Sorted(maps.Keys(l.open)) {
		l.end(ref, decide.Reset, decide.NoNote, nil)
	}
}

func (l *Link) end(ref core.Ref, how decide.Outcome, note decide.Note, body []byte) {
	if _, ok := l.open[ref]; ok {
		delete(l.open, ref)
		l.ends.Ended(ref, core.AttemptResult{Outcome: how, Note: note, Body: body})
	}
}

// Send publishes a call on its worker's topic.
func (l *Link) Send(a core.Attempt) {
	w := l.workers[a.Host]
	if w == nil || !l.session.Up() {
		l.ends.Ended(a.Ref, core.AttemptResult{Outcome: decide.NoConn})
		return
	}
	s := &sending{worker: a.Host}
	l.open[a.Ref] = s
	c := a.Call
	m := Message{Topic: w.Topic, Payload: c.Body, Props: Props{ResponseTopic: l.replies,
		Correlation: binary.BigEndian.AppendUint64(slices.Clone(l.life), uint64(a.Ref)),
		HasExpiry:   true}}
	fields := []Pair{{"id", c.ID}, {"class", c.ClassName}, {"function", c.Function}}
	if c.Key != "" {
		fields = append(fields, Pair{"key", c.Key})
	}
	current := func(m *Message) bool {
		budget := a.Budget(l.loop)
		m.Props.Expiry = uint32(max(0, budget+time.Second-1) / time.Second)
		m.Props.User = append(fields[:len(fields):len(fields)], Pair{"budget-ms", strconv.FormatInt(budget.Milliseconds(), 10)})
		return budget >= time.Millisecond
	}
	s.pending = l.session.PublishCurrent(m, current, func(reason byte, err error) {
		if err == nil && reason != NoSubscribers && reason < failureReasons {
			l.ends.Wrote(1) // the broker has it, and somebody to give it to
		}
		switch {
		case err == errLost: // the state of the session ends all that is open
		case err != nil:
			l.end(a.Ref, decide.Nop, decide.NoNote, nil)
		case reason == NoSubscribers, reason >= failureReasons: // nobody got it
			l.end(a.Ref, decide.NoConn, decide.NoNote, nil)
		}
	})
}

// Cancel gives an attempt up and tells the worker so, which may disregard it.
func (l *Link) Cancel(host string, ref core.Ref) {
	s, ok := l.open[ref]
	if !ok {
		return
	}
	delete(l.open, ref)
	if w := l.workers[host]; w != nil && !l.session.Withdraw(s.pending) {
		l.session.Send(Message{Topic: w.Topic + "/cancel", Props: Props{
			Correlation: binary.BigEndian.AppendUint64(slices.Clone(l.life), uint64(ref))}})
	}
}

// WithdrawAttempt takes an attempt back that has not been published yet.
func (l *Link) WithdrawAttempt(_ string, ref core.Ref) bool {
	s, ok := l.open[ref]
	if !ok || !l.session.Withdraw(s.pending) {
		return false
	}
	delete(l.open, ref)
	return true
}

// WithdrawUnwritten takes back the calls that have not been published yet to workers that may get nothing new.
func (l *Link) WithdrawUnwritten(mayGet func(worker string) bool) {
	for _, ref := range slices.Sorted(maps.Keys(l.open)) {
		if s := l.open[ref]; !mayGet(s.worker) && l.session.Withdraw(s.pending) {
			l.end(ref, decide.Nop, decide.NoNote, nil)
		}
	}
}

var outcomes = map[string]decide.Outcome{"ok": decide.Good, "miss": decide.Miss, "busy": decide.Full,
	"error": decide.Bad, "void": decide.Nop}

var notes = map[string]decide.Note{"warm": decide.FoundWarm, "cold": decide.BeganLoad, "joined": decide.WaitedLoad,
	"load_failed": decide.LoadFailed}

func (l *Link) receive(p *Packet, receipt Receipt) {
	receipt.Ack()
	if p.Topic == l.replies {
		corr := p.Props.Correlation
		how, known := outcomes[p.Props.Get("outcome")]
		if len(corr) != 16 || !bytes.HasPrefix(corr, l.life) {
			l.log.Info("answer to another life of this gateway")
			return
		}
		if !known { // of no use, but the worker is done with it
			l.log.Warn("answer that can't be read", zap.String("outcome", p.Props.Get("outcome")))
			how = decide.Reset
		}
		l.end(core.Ref(binary.BigEndian.Uint64(corr[8:])), how, notes[p.Props.Get("detail")], p.Payload)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(l.workers)) {
		if w := l.workers[name]; w.StatusTopic == p.Topic {
			l.status(w, string(p.Payload), p.Retained())
		}
	}
}

// Load is not spoken here: workers load what they lack when it is called.
func (l *Link) Load(ref core.Ref, _, _ string, _ int) { l.ends.Loaded(ref, decide.Full, 0) }

// Probe is not spoken here either: a worker that is lost has its last will published.
func (l *Link) Probe(ref core.Ref, _ string) { l.ends.Probed(ref, decide.Nop, nil) }

// Forget has nothing to forget: orders and probes are not spoken here.
func (l *Link) Forget(string, core.Ref) {}

// Unload is not spoken here.
func (l *Link) Unload(string, string) {}

// Release has nothing to release: the session is one for all workers.
func (l *Link) Release(string) {}

// ApplyList is not needed: the workers are named in the file.
func (l *Link) ApplyList(bool, []core.Member) {}
