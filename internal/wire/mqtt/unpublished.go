package mqtt

import "quillrail/internal/core"

// UnpublishedOutcome is the outcome of a call that the broker has not acknowledged, as one process of a gateway passes it to the next.
type UnpublishedOutcome struct {
	CallID        string      `json:"id"` // for the log
	ResponseTopic string      `json:"topic"`
	Correlation   []byte      `json:"correlation"` // nil if the call had none
	Answer        core.Answer `json:"answer"`
}

// unpublished is an outcome in the session's queue.
type unpublished struct {
	delivery *delivery
	answer   core.Answer
}

// ReconnectSoon has a lost broker connected again without the usual pauses, since this process is about to end.
func (f *Front) ReconnectSoon() { f.session.ReconnectSoon() }

// TakeUnpublished returns the outcomes that the broker has not acknowledged, for another process to publish, and does not publish them
// any more. It leaves out those whose calls the broker delivers again: the process that gets these answers them.
func (f *Front) TakeUnpublished() (outcomes []UnpublishedOutcome) {
	for _, pending := range f.session.takeQueue() {
		taken := f.unpublished[pending]
		if d := taken.delivery; d.acked {
			outcomes = append(outcomes, UnpublishedOutcome{CallID: d.callID, ResponseTopic: d.responseTopic, Correlation: d.correlation,
				Answer: taken.answer})
		}
	}
	clear(f.unpublished)
	return outcomes
}

// Publish publishes the outcome of a call that another process has acknowledged to the broker. It is queued until the session is up.
func (f *Front) Publish(o UnpublishedOutcome) {
	d := &delivery{front: f, callID: o.CallID, responseTopic: o.ResponseTopic, correlation: o.Correlation, acked: true}
	d.publish(o.Answer)
}
