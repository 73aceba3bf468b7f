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
	maxBody    = 16 << 10 // as of an HTTP call
	maxKeys    = 50_000
	maxAnswers = 16 << 20 // bytes of answers that are remembered
	replyLife  = time.Minute
)

// The outcomes that a response carries.
const (
	served  = "served"
	refused = "refused"
	failed  = "failed"
)

// Taker is the part of the core that a front needs.
type Taker interface {
	Submit(core.Call) core.Ref
	Count(class int, answer string) // of a call that the front has answered
}

// Front takes calls that come as messages and publishes their outcomes. It belongs to the turn.
//
// A call of a keyed class is acknowledged before it is taken, and its key and answer are remembered for longer
// than the broker may deliver it again. A gateway that was started anew remembers nothing: since every keyed
// call was acknowledged before it went out, one marked as delivered again under a key not known here may have
// run in a former life, and is failed. Calls of safe classes are acknowledged with their outcome, so that the
// broker keeps them for a gateway that dies.
type Front struct {
	loop    *core.Loop
	core    Taker
	site    *settings.Site
	log     *zap.Logger
	observe core.Observer
	session *Session
	keys    *core.Keys // of keyed calls: what they hold is never forgotten early
	recent  *core.Keys // of safe calls, which may run again if there is no room
	rng     *rand.Rand
	away    bool // drained: callers are sent away
}

// awayPause is when callers that are sent away should come back.
const awayPause = time.Second

// Drain refuses calls from now on, until Resume; what is open goes on, and what is known is answered as ever.
func (f *Front) Drain() { f.away = true }

// Resume takes calls again.
func (f *Front) Resume() { f.away = false }

// Ready reports whether callers are taken.
func (f *Front) Ready() bool { return !f.away }

// NewFront returns a front that takes calls of the broker in opt. keep is for how long answers are remembered.
// observe is told of outcomes that the core is not asked for.
func NewFront(loop *core.Loop, net sock.Dialer, taker Taker, site *settings.Site, opt Options, keep time.Duration,
	seed uint64, observe core.Observer, log *zap.Logger) *Front {
	f := &Front{loop: loop, core: taker, site: site, log: log, observe: observe,
		keys:   core.NewKeys(loop, keep, maxKeys, maxAnswers),
		recent: core.NewKeys(loop, min(keep, time.Minute), maxKeys/10, maxAnswers/4),
		rng:    rand.New(rand.NewPCG(seed, 2))}
	f.session = NewSession(loop, net, opt, f.receive, nil, log)
	return f
}

// Connect begins to take calls.
func (f *Front) Connect() { f.session.Connect() }

// Stop ends the session's connection; the broker keeps what was not acknowledged.
func (f *Front) Stop() { f.session.Stop() }

// Up reports whether calls can come.
func (f *Front) Up() bool { return f.session.Up() }

// Waiting is the number of outcomes that the broker has not acknowledged.
func (f *Front) Waiting() int { return f.session.Waiting() }

func (f *Front) receive(p *Packet, receipt Receipt) {
	d := &delivery{f: f, to: p.Props.ResponseTopic, corr: p.Props.Correlation, receipt: receipt}
	call, err := f.call(p)
	if err != nil {
		f.log.Info("bad call", zap.String("topic", p.Topic), zap.Error(err))
		d.answer(core.Answer{Kind: failed, Reason: err.Error()})
		return
	}
	keyed := f.site.Decide.Classes[call.Class].Effect != decide.Safe
	key, what := "", call.ClassName+" "+call.Function
	switch {
	case call.Key != "":
		key = "k " + strconv.Itoa(call.Tenant) + " " + call.Key
	case d.to != "" && d.corr != nil:
		key = "c " + d.to + "\x00" + string(d.corr)
	}
	keys := f.recent
	if keyed {
		keys = f.keys
	}
	e := keys.Find(key)
	if e != nil && e.Target != what {
		d.answer(core.Answer{Kind: failed, Reason: "the key was used for another call"})
		return
	}
	if e != nil && e.Done && e.Answer.Kind == refused && !p.Dup() {
		keys.Forget(key, e) // nothing ran, and the client has come again
		e = nil
	}
	if e != nil {
		f.log.Info("call delivered again", zap.String("key", call.Key), zap.Bool("open", !e.Done))
		if keyed {
			d.ack()
		}
		e.Join(d.answer)
		return
	}
	if f.away && !(keyed && p.Dup()) { // nothing ran, and nothing is remembered of it
		f.core.Count(call.Class, refused)
		d.answer(core.Answer{Kind: refused, RetryAfter: awayPause})
		return
	}
	listed := false
	if key != "" {
		e = keys.Open(key, what)
		listed = e != nil
	}
	if e == nil && key != "" && keyed {
		f.log.Warn("no room for another key", zap.Int("keys", keys.Len()))
		f.core.Count(call.Class, refused)
		d.answer(core.Answer{Kind: refused, RetryAfter: f.site.Decide.MaxRetryAfter})
		return
	}
	if e == nil { // nothing tells this call from another, or a safe one found no room
		e = &core.Entry{Target: what}
	}
	e.Join(d.answer)
	x := &exchange{keys: keys, key: key, entry: e, keep: listed}
	if keyed {
		d.ack()
		f.session.Flush() // before the first attempt goes out
		if p.Dup() {
			f.log.Warn("call delivered again, and its key is not known: it may have run", zap.String("key", call.Key))
			f.record(&call)
			f.core.Count(call.Class, failed)
			x.close(core.Answer{Kind: failed, Reason: "delivered again, and may have run before this gateway started"})
			return
		}
	}
	call.Reply = x
	f.core.Submit(call)
}

// call reads a call from a message.
func (f *Front) call(p *Packet) (core.Call, error) {
	u := &p.Props
	raw := form.Raw{Function: u.Get("function"), ID: u.Get("id"), Class: u.Get("class"), Tenant: u.Get("tenant"),
		Key: u.Get("key"), CostMs: u.Get("cost-ms"), Tags: u.Get("tags"), Retry: u.Get("retry")}
	if raw.ID == "" {
		raw.ID = fmt.Sprintf("%016x", f.rng.Uint64())
	}
	if u.HasExpiry {
		raw.WaitMs = strconv.FormatUint(uint64(u.Expiry)*1000, 10)
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
	call.Body, call.Received = p.Payload, p.Came
	return call, nil
}

func (f *Front) record(call *core.Call) {
	if f.observe != nil {
		f.observe(core.Record{Call: call, Start: f.loop.Now(), End: f.loop.Now(), Answer: failed})
	}
}
