package mqtt

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/form"
	"quillrail/internal/wire/sock"
)

const (
	maxBody        = 16 << 10    // bytes, the same as for an HTTP call
	maxKeys        = 50_000      // keyed calls whose answers are remembered
	maxAnswerBytes = 16 << 20    // bytes of answers that are remembered
	replyExpiry    = time.Minute // how long the broker stores an answer for a client that is not connected
)

// The outcomes that a response carries.
const (
	served  = "served"
	refused = "refused"
	failed  = "failed"
)

// Core is the part of the gateway's core that a front needs.
type Core interface {
	Submit(core.Call) core.Ref
	Count(class int, answer string) // counts a call that the front has answered by itself
}

// Front takes calls that arrive as messages and publishes their outcomes. It is used on the event loop only.
//
// A call of a keyed class is acknowledged before it is passed to the core, and its key and answer are remembered for longer than
// the broker may deliver it again. After a restart the gateway remembers nothing. Since every keyed call is acknowledged before its
// first attempt, a redelivered call with an unknown key may have run under a previous process, so it is failed. Calls of safe classes
// are acknowledged together with their outcome, so that the broker stores them for the next process if this one dies.
type Front struct {
	loop        *core.Loop
	core        Core
	site        *settings.Site
	log         *zap.Logger
	observe     core.Observer
	session     *Session
	keyedCalls  *core.Keys // keyed calls; their keys are never forgotten early
	safeCalls   *core.Keys // safe calls, which may run again if there is no room to remember them
	rng         *rand.Rand
	unpublished map[*Pending]unpublished // outcomes that the broker has not acknowledged
	owed        int                      // deliveries that have no outcome yet
	draining    bool                     // calls are refused
}

// Times to wait that are sent to callers who are refused while draining, and while too many outcomes wait for the broker.
const (
	drainRetryAfter   = time.Second
	crowdedRetryAfter = time.Second
)

// Drain refuses new calls from now on, until Resume. Calls in flight continue, and known calls are answered as before.
func (f *Front) Drain() { f.draining = true }

// Resume takes new calls again.
func (f *Front) Resume() { f.draining = false }

// Ready reports whether new calls are taken.
func (f *Front) Ready() bool { return !f.draining }

// NewFront returns a front for the calls of the broker in opts. Answers are remembered for the retention time. observe gets the
// records of calls that the front fails without passing them to the core.
func NewFront(loop *core.Loop, dialer sock.Dialer, callCore Core, site *settings.Site, opts Options, retention time.Duration,
	seed uint64, observe core.Observer, log *zap.Logger) *Front {
	f := &Front{loop: loop, core: callCore, site: site, log: log, observe: observe,
		keyedCalls: core.NewKeys(loop, retention, maxKeys, maxAnswerBytes),
		safeCalls:  core.NewKeys(loop, min(retention, time.Minute), maxKeys/10, maxAnswerBytes/4),
		rng:        rand.New(rand.NewPCG(seed, 2)), unpublished: map[*Pending]unpublished{}}
	f.session = NewSession(loop, dialer, opts, f.receive, nil, log)
	return f
}

// Connect connects to the broker and starts to take calls.
func (f *Front) Connect() { f.session.Connect() }

// Stop closes the session's connection for good. The broker stores what was not acknowledged.
func (f *Front) Stop() { f.session.Stop() }

// Up reports whether the session is usable, so that calls can arrive.
func (f *Front) Up() bool { return f.session.Up() }

// Waiting is the number of outcomes that the broker has not acknowledged.
func (f *Front) Waiting() int { return f.session.Waiting() }

// incoming is a call as it was delivered.
type incoming struct {
	*delivery
	call        core.Call
	keyed       bool // its class must not run twice
	packet      *Packet
	keys        *core.Keys // where it is remembered
	key, target string     // under which it is remembered, and for which class and function
}

func (f *Front) receive(p *Packet, receipt Receipt) {
	d := &delivery{front: f, callID: p.Props.Get("id"), responseTopic: p.Props.ResponseTopic, correlation: p.Props.Correlation, receipt: receipt,
		ackLast: f.session.Crowded(f.owed)}
	f.owed++
	call, err := f.parseCall(p)
	if err != nil {
		f.log.Info("bad call", zap.String("topic", p.Topic), zap.Error(err))
		d.answer(core.Answer{Kind: failed, Reason: err.Error()})
		return
	}
	in := &incoming{delivery: d, call: call, keyed: f.site.Decide.Classes[call.Class].Effect != decide.Safe, packet: p,
		keys: f.safeCalls, key: f.keyOf(&call, d), target: call.ClassName + " " + call.Function}
	if in.keyed {
		in.keys = f.keyedCalls
	}
	if !f.answerKnown(in) && !f.turnAway(in) {
		f.open(in)
	}
}

// answerKnown answers a call that is remembered, or has it wait for the answer, and reports whether it is one.
func (f *Front) answerKnown(in *incoming) bool {
	entry := in.keys.Find(in.key)
	switch {
	case entry == nil:
		return false
	case entry.Target != in.target:
		in.answer(core.Answer{Kind: failed, Reason: "the key or id was used for another call"})
		return true
	case entry.Done && entry.Answer.Kind == refused && !in.packet.Dup(): // nothing ran, and the caller tries again
		in.keys.Forget(in.key, entry)
		return false
	}
	f.log.Info("call delivered again", zap.String("key", in.call.Key), zap.String("call", in.callID), zap.Bool("open", !entry.Done))
	if in.keyed && !in.ackLast {
		in.ack()
	}
	entry.Join(in.answer)
	return true
}

// turnAway refuses or drops a new call for which nothing is to be remembered, and reports whether it is one.
func (f *Front) turnAway(in *incoming) bool {
	switch {
	case f.draining && !(in.keyed && in.packet.Dup()):
		in.answer(core.Answer{Kind: refused, RetryAfter: drainRetryAfter})
	case in.ackLast && in.packet.QoS() == 0: // nothing would hold the broker back
		f.log.Warn("too many outcomes wait for the broker: a call of QoS 0 is dropped")
		f.owed--
	case in.keyed && in.key != "" && in.keys.Full():
		f.log.Warn("no room for another key", zap.Int("keys", in.keys.Len()))
		in.answer(core.Answer{Kind: refused, RetryAfter: f.site.Decide.MaxRetryAfter})
	default:
		return false
	}
	f.core.Count(in.call.Class, refused)
	return true
}

// open remembers a new call and passes it to the core, unless it may have run before or there is no room for its outcome.
func (f *Front) open(in *incoming) {
	x := &exchange{keys: in.keys, key: in.key, entry: &core.Entry{Target: in.target}}
	if in.key != "" && !in.keys.Full() { // a safe call that finds no room is not remembered
		x.entry, x.remember = in.keys.Open(in.key, in.target), true
	}
	x.entry.Join(in.answer)
	switch {
	case in.keyed && in.packet.Dup():
		f.log.Warn("call delivered again, and its key is not known: it may have run", zap.String("key", in.call.Key))
		f.recordFailed(&in.call)
		f.core.Count(in.call.Class, failed)
		x.finish(core.Answer{Kind: failed, Reason: "delivered again, and may have run before this gateway started"})
		return
	case in.ackLast: // the refusal is remembered, so that a delivery after a loss of the connection is refused as well
		f.core.Count(in.call.Class, refused)
		x.finish(core.Answer{Kind: refused, RetryAfter: crowdedRetryAfter, Reason: "too many outcomes wait for the broker"})
		return
	case in.keyed:
		in.ack()
		f.session.Flush() // before the first attempt is sent
	}
	in.call.Reply = x
	f.core.Submit(in.call)
}

// keyOf returns the name under which a call is remembered, empty if it has none: its key, else its correlation data, else the id that its
// caller gave it. It is the same at the next process, which may number tenants otherwise.
func (f *Front) keyOf(call *core.Call, d *delivery) string {
	switch {
	case call.Key != "":
		return "k " + f.tenantOf(call) + "\x00" + call.Key
	case d.responseTopic != "" && d.correlation != nil:
		return "c " + d.responseTopic + "\x00" + string(d.correlation)
	case d.callID != "":
		return "i " + f.tenantOf(call) + "\x00" + call.ID
	}
	return ""
}

// tenantOf returns the name of a call's tenant, empty if the site has none.
func (f *Front) tenantOf(call *core.Call) string {
	if len(f.site.Tenants) == 0 {
		return ""
	}
	return f.site.Tenants[call.Tenant]
}

// parseCall reads a call from a message.
func (f *Front) parseCall(p *Packet) (core.Call, error) {
	props := &p.Props
	raw := form.Raw{Function: props.Get("function"), ID: props.Get("id"), Class: props.Get("class"), Tenant: props.Get("tenant"),
		Key: props.Get("key"), CostMs: props.Get("cost-ms"), Tags: props.Get("tags"), Retry: props.Get("retry")}
	if raw.ID == "" {
		raw.ID = fmt.Sprintf("%016x", f.rng.Uint64())
	}
	if props.HasExpiry {
		raw.WaitMs = strconv.FormatUint(uint64(props.Expiry)*1000, 10)
	} else if class, ok := f.site.Class(raw.Class); ok {
		raw.WaitMs = strconv.FormatInt(f.site.Decide.Classes[class].Deadline.Milliseconds(), 10)
	}
	call, err := raw.Call(f.site)
	switch {
	case err != nil:
		return call, err
	case p.Retained():
		return call, fmt.Errorf("a call can't be a retained message")
	case len(p.Payload) > maxBody:
		return call, fmt.Errorf("a body of more than %d bytes", maxBody)
	}
	call.Body, call.Received = p.Payload, p.ReceivedAt
	return call, nil
}

func (f *Front) recordFailed(call *core.Call) {
	if f.observe != nil {
		f.observe(core.Record{Call: call, Start: f.loop.Now(), End: f.loop.Now(), Answer: failed})
	}
}
