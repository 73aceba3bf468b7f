package mqtt

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
)

// delivery is one message that asks for a call. Several may ask for the same.
type delivery struct {
	f       *Front
	to      string // response topic, empty if none is wanted
	corr    []byte
	receipt Receipt
	acked   bool
}

func (d *delivery) ack() {
	if !d.acked {
		d.acked = true
		d.receipt.Ack()
	}
}

// answer publishes the outcome, and acknowledges the call if that has not been done.
func (d *delivery) answer(a core.Answer) {
	if d.to != "" {
		m := Message{Topic: d.to, Payload: a.Body}
		m.Props = Props{Correlation: d.corr, Expiry: uint32(replyLife / time.Second), HasExpiry: true,
			User: []Pair{{"outcome", a.Kind}}}
		if a.Kind == refused {
			m.Props.User = append(m.Props.User, Pair{"retry-after-ms", strconv.FormatInt(a.RetryAfter.Milliseconds(), 10)})
		}
		if a.Reason != "" {
			m.Props.User = append(m.Props.User, Pair{"reason", a.Reason})
		}
		d.f.session.Publish(m, func(reason byte, err error) {
			switch {
			case err != nil:
				d.f.log.Warn("outcome not published", zap.String("topic", d.to), zap.Error(err))
			case reason == NoSubscribers:
				d.f.log.Info("outcome reached nobody", zap.String("topic", d.to))
			case reason >= failureReasons:
				d.f.log.Warn("outcome refused by the broker", zap.String("topic", d.to), zap.Uint8("reason", reason))
			}
		})
	}
	d.ack()
}

// exchange takes the one answer of a call.
type exchange struct {
	keys  *core.Keys
	key   string
	entry *core.Entry
	keep  bool
}

func (x *exchange) close(a core.Answer) { x.keys.Close(x.key, x.entry, a, x.keep) }

// ClientGone is false: who asked by a message has its outcome recorded whether or not it still listens.
func (x *exchange) ClientGone() bool { return false }

func (x *exchange) Served(body []byte) { x.close(core.Answer{Kind: served, Body: body}) }

func (x *exchange) Refused(pause time.Duration, why string) {
	x.close(core.Answer{Kind: refused, RetryAfter: pause, Reason: why})
}

func (x *exchange) Failed(why core.Failure) {
	text := "no worker served it"
	if why == core.TimedOut {
		text = "out of time"
	}
	if why == core.Duplicate {
		text = "the id is that of an open call"
	}
	x.close(core.Answer{Kind: failed, Reason: text})
}
