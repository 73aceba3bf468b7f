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

// maxAnswer is the size of a worker's answer, in bytes, that is taken at least; the same as over a direct connection.
const maxAnswer = 256 << 10

// Prefix begins the names of workers that are reached by MQTT.
const Prefix = "mqtt-"

// Worker is a worker that subscribes to calls. It publishes its state, "ready" or "draining", as a retained message on
// StatusTopic, and has "gone" as its last will there.
type Worker struct {
	Name, Topic, StatusTopic string
	Zone, Cell               int
	Weight                   float64
}

// Link sends calls to workers that subscribe at a broker, one message each. It is used on the event loop only.
//
// Calls of safe classes are sent with QoS 1, so that the broker says whether anybody subscribes. All others are sent with QoS 0: a broker
// delivers a message with QoS 1 again to a worker that died before its acknowledgement, however long ago, though the call may have run.
//
// Its session is clean: a resumed session would have to send unacknowledged messages again, although their calls may have run.
// Attempts in flight when the connection is lost end as reset instead.
type Link struct {
	loop        *core.Loop
	receiver    core.ResultHandler
	log         *zap.Logger
	session     *Session
	onMembers   func(complete bool, members []core.Member)
	classes     []decide.Class
	replyTopic  string // topic on which workers answer
	incarnation []byte // first 8 bytes of the correlation data; distinguishes answers to a previous process of this gateway
	workers     map[string]*Worker
	states      map[string]decide.HostState // by name, of the workers that have reported one
	startedAt   map[string]time.Duration    // when each worker last reported that it is ready, unless by a retained message
	inFlight    map[core.Ref]*inFlightAttempt
}

// inFlightAttempt is an attempt whose call was published or queued and not answered.
type inFlightAttempt struct {
	worker  string
	pending *Pending
}

// NewLink returns a link to workers. classes are those of the site, by the index in a call. onMembers is called with changes of the list of
// workers, in the same form as those of the bulletin.
func NewLink(loop *core.Loop, dialer sock.Dialer, opts Options, replyTopic string, workers []Worker, classes []decide.Class, seed uint64,
	onMembers func(bool, []core.Member), log *zap.Logger) *Link {
	l := &Link{loop: loop, log: log, onMembers: onMembers, classes: classes, replyTopic: replyTopic, workers: map[string]*Worker{},
		incarnation: binary.BigEndian.AppendUint64(nil, seed), states: map[string]decide.HostState{},
		startedAt: map[string]time.Duration{}, inFlight: map[core.Ref]*inFlightAttempt{}}
	opts.CleanStart, opts.Subscribe, opts.MaxPacket = true, []string{replyTopic}, maxAnswer+maxPacket
	for _, w := range workers {
		l.workers[w.Name] = &w
		opts.Subscribe = append(opts.Subscribe, w.StatusTopic)
	}
	l.session = NewSession(loop, dialer, opts, l.receive, l.sessionChanged, log)
	return l
}

// SetReceiver sets what receives the outcomes of attempts, load orders and probes.
func (l *Link) SetReceiver(receiver core.ResultHandler) { l.receiver = receiver }

// Connect connects to the broker.
func (l *Link) Connect() { l.session.Connect() }

// Stop closes the session's connection for good.
func (l *Link) Stop() { l.session.Stop() }

// sessionChanged is called when the session becomes usable or unusable. Without it no worker can be reached.
func (l *Link) sessionChanged(up bool) {
	if up {
		return // the broker sends the retained states of the workers
	}
	var members []core.Member
	for _, name := range slices.Sorted(maps.Keys(l.states)) {
		members = append(members, l.member(l.workers[name], decide.Gone))
	}
	clear(l.states)
	if len(members) > 0 {
		l.onMembers(false, members)
	}
	for _, ref := range slices.Sorted(maps.Keys(l.inFlight)) {
		l.end(ref, decide.Reset, decide.NoNote, nil)
	}
}

func (l *Link) end(ref core.Ref, outcome decide.Outcome, note decide.Note, body []byte) {
	if _, ok := l.inFlight[ref]; ok {
		delete(l.inFlight, ref)
		l.receiver.Ended(ref, core.AttemptResult{Outcome: outcome, Note: note, Body: body})
	}
}

// Send publishes a call on its worker's topic.
func (l *Link) Send(a core.Attempt) {
	worker := l.workers[a.Host]
	if worker == nil || !l.session.Up() {
		l.receiver.Ended(a.Ref, core.AttemptResult{Outcome: decide.NoConn})
		return
	}
	attempt := &inFlightAttempt{worker: a.Host}
	l.inFlight[a.Ref] = attempt
	call := a.Call
	message := Message{Topic: worker.Topic, Payload: call.Body, Props: Props{ResponseTopic: l.replyTopic,
		Correlation: binary.BigEndian.AppendUint64(slices.Clone(l.incarnation), uint64(a.Ref)),
		HasExpiry:   true}}
	fields := []Pair{{"id", call.ID}, {"class", call.ClassName}, {"function", call.Function}}
	if call.Key != "" {
		fields = append(fields, Pair{"key", call.Key})
	}
	refresh := func(message *Message) bool {
		budget := a.Budget(l.loop)
		message.Props.Expiry = uint32(max(0, budget+time.Second-1) / time.Second)
		message.Props.User = append(fields[:len(fields):len(fields)], Pair{"budget-ms", strconv.FormatInt(budget.Milliseconds(), 10)})
		return budget >= time.Millisecond
	}
	attempt.pending = l.session.PublishRefreshed(message, l.qosOf(call), refresh, func(reason byte, err error) {
		if err == nil && reason != NoSubscribers && reason < firstFailure {
			l.receiver.Wrote(1) // the broker has it, with QoS 1 also a subscriber to deliver it to
		}
		switch {
		case err == errLost || err == errStopped: // sessionChanged ends all attempts in flight
		case err != nil:
			l.end(a.Ref, decide.NotSent, decide.NoNote, nil)
		case reason == NoSubscribers, reason >= firstFailure: // it was delivered to nobody
			l.end(a.Ref, decide.NoConn, decide.NoNote, nil)
		}
	})
}

// qosOf returns the QoS with which a call is published: 1 only if it may run twice.
func (l *Link) qosOf(call *core.Call) byte {
	if l.classes[call.Class].Effect == decide.Safe {
		return 1
	}
	return 0
}

// Cancel gives an attempt up: it withdraws the call, or publishes the cancellation, which the worker may ignore, on the cancel topic.
func (l *Link) Cancel(host string, ref core.Ref) {
	attempt, ok := l.inFlight[ref]
	if !ok {
		return
	}
	delete(l.inFlight, ref)
	if worker := l.workers[host]; worker != nil && !l.session.Withdraw(attempt.pending) {
		l.session.Send(Message{Topic: worker.Topic + "/cancel", Props: Props{
			Correlation: binary.BigEndian.AppendUint64(slices.Clone(l.incarnation), uint64(ref))}})
	}
}

// WithdrawAttempt withdraws an attempt whose call has not been published yet, and reports whether it could.
func (l *Link) WithdrawAttempt(_ string, ref core.Ref) bool {
	attempt, ok := l.inFlight[ref]
	if !ok || !l.session.Withdraw(attempt.pending) {
		return false
	}
	delete(l.inFlight, ref)
	return true
}

// WithdrawUnwritten ends attempts whose calls have not been published yet if their worker may get nothing new.
func (l *Link) WithdrawUnwritten(mayGet func(worker string) bool) {
	for _, ref := range slices.Sorted(maps.Keys(l.inFlight)) {
		if attempt := l.inFlight[ref]; !mayGet(attempt.worker) && l.session.Withdraw(attempt.pending) {
			l.end(ref, decide.NotSent, decide.NoNote, nil)
		}
	}
}

var outcomeByText = map[string]decide.Outcome{"ok": decide.Good, "miss": decide.Miss, "busy": decide.Full,
	"error": decide.Bad, "void": decide.NotSent}

var noteByText = map[string]decide.Note{"warm": decide.FoundWarm, "cold": decide.BeganLoad, "joined": decide.WaitedLoad,
	"load_failed": decide.LoadFailed}

func (l *Link) receive(p *Packet, receipt Receipt) {
	receipt.Ack()
	if p.Topic == l.replyTopic {
		correlation := p.Props.Correlation
		outcome, known := outcomeByText[p.Props.Get("outcome")]
		if len(correlation) != 16 || !bytes.HasPrefix(correlation, l.incarnation) {
			l.log.Info("answer to a previous incarnation of this gateway")
			return
		}
		if !known { // the answer is unusable, but the worker has finished the call
			l.log.Warn("answer that can't be read", zap.String("outcome", p.Props.Get("outcome")))
			outcome = decide.Reset
		}
		l.end(core.Ref(binary.BigEndian.Uint64(correlation[8:])), outcome, noteByText[p.Props.Get("detail")], p.Payload)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(l.workers)) {
		if w := l.workers[name]; w.StatusTopic == p.Topic {
			l.handleStatus(w, string(p.Payload), p.Retained())
		}
	}
}

// Load reports the outcome Full, since there are no load orders over MQTT. Workers load a function that they lack when it is called.
func (l *Link) Load(ref core.Ref, _, _ string, _ int) { l.receiver.Loaded(ref, decide.Full, 0) }

// Probe reports no result: there are no probes over MQTT. When a worker is lost, the broker publishes its last will.
func (l *Link) Probe(ref core.Ref, _ string) { l.receiver.Probed(ref, decide.NotSent, nil) }

// Forget does nothing, since there are no load orders and probes over MQTT.
func (l *Link) Forget(string, core.Ref) {}

// Unload does nothing, since there are no load orders over MQTT.
func (l *Link) Unload(string, string) {}

// Release does nothing, since all workers share one session.
func (l *Link) Release(string) {}

// ApplyList does nothing, since the workers are listed in the configuration.
func (l *Link) ApplyList(bool, []core.Member) {}
