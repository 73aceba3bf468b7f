package mqtt

import (
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
)

// Reasons of a failure that takes the place of an answer: the call has run.
const (
	answerTooLong   = "the call ran, and its answer is too long for the broker"
	answerDiscarded = "the call ran, and too many answers wait for the broker"
)

// delivery is one message with a call. Several deliveries may carry the same call.
type delivery struct {
	front         *Front
	callID        string // as the caller gave it, for the log; empty if it gave none
	responseTopic string // empty if no answer is wanted
	correlation   []byte
	receipt       Receipt
	acked         bool // the call is settled with the broker, which does not deliver it again
	ackLast       bool // the call is acknowledged when the broker has its outcome, so that fewer calls come than outcomes go
}

func (d *delivery) ack() {
	if !d.acked {
		d.acked = d.receipt.Ack()
	}
}

// answer publishes the outcome, and acknowledges the call unless that has been done.
func (d *delivery) answer(a core.Answer) {
	d.front.owed--
	if d.responseTopic != "" {
		d.publish(a)
	}
	if d.responseTopic == "" || !d.ackLast {
		d.ack()
	}
}

// publish publishes an outcome. If there is no room for its answer, here or at the broker, a failure is published in its place.
func (d *delivery) publish(a core.Answer) {
	var pending *Pending
	pending = d.front.session.Publish(d.message(a), func(reason byte, err error) {
		delete(d.front.unpublished, pending)
		if why := replacement(err); why != "" && len(a.Body) > 0 {
			d.front.log.Warn("answer not published, its call is failed", zap.String("topic", d.responseTopic), zap.Error(err))
			d.publish(core.Answer{Kind: failed, Reason: why})
			return
		}
		d.logPublished(reason, err)
		d.ack()
	})
	d.front.unpublished[pending] = unpublished{d, a}
}

// replacement returns the reason of the failure that takes the place of an answer which ended with err, empty if none does.
func replacement(err error) string {
	switch {
	case errors.Is(err, errTooLong):
		return answerTooLong
	case errors.Is(err, errFull):
		return answerDiscarded
	}
	return ""
}

func (d *delivery) logPublished(reason byte, err error) {
	log := d.front.log.With(zap.String("topic", d.responseTopic), zap.String("call", d.callID))
	switch {
	case err != nil:
		log.Warn("outcome not published", zap.Error(err))
	case reason == NoSubscribers:
		log.Info("outcome reached nobody")
	case reason >= firstFailure:
		log.Warn("outcome refused by the broker", zap.Uint8("reason", reason))
	}
}

func (d *delivery) message(a core.Answer) Message {
	m := Message{Topic: d.responseTopic, Payload: a.Body}
	m.Props = Props{Correlation: d.correlation, Expiry: uint32(replyExpiry / time.Second), HasExpiry: true,
		User: []Pair{{"outcome", a.Kind}}}
	if a.Kind == refused {
		m.Props.User = append(m.Props.User, Pair{"retry-after-ms", strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)})
	}
	if a.Reason != "" {
		m.Props.User = append(m.Props.User, Pair{"reason", a.Reason})
	}
	return m
}

// exchange takes the answer of one call from the core.
type exchange struct {
	keys     *core.Keys
	key      string
	entry    *core.Entry
	remember bool
}

func (x *exchange) finish(a core.Answer) { x.keys.Close(x.key, x.entry, a, x.remember) }

// ClientGone returns false: the outcome of a call that came by MQTT is published and recorded whether or not its sender is still connected.
func (x *exchange) ClientGone() bool { return false }

func (x *exchange) Served(body []byte) { x.finish(core.Answer{Kind: served, Body: body}) }

func (x *exchange) Refused(retryAfter time.Duration, why string) {
	x.finish(core.Answer{Kind: refused, RetryAfter: retryAfter, Reason: why})
}

func (x *exchange) Failed(why core.Failure) {
	text := "no worker served it"
	if why == core.TimedOut {
		text = "out of time"
	}
	if why == core.Duplicate {
		text = "the id is that of an open call"
	}
	x.finish(core.Answer{Kind: failed, Reason: text})
}
