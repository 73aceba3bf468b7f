package lifecycle

import (
	"go.uber.org/zap"

	"quillrail/internal/wire/mqtt"
)

// outcomeBroker returns the address of the broker at which this process publishes the outcomes of calls by MQTT, empty for none.
func (g *Gateway) outcomeBroker() string {
	if g.mqttFront == nil {
		return ""
	}
	return g.conf.Extensions.Calls.Broker
}

// unpublishedOutcomes returns the number of outcomes that the broker has not acknowledged.
func (g *Gateway) unpublishedOutcomes() int {
	if g.mqttFront == nil {
		return 0
	}
	return g.mqttFront.Waiting()
}

// awaitsBroker reports whether this process has to go on until the broker has acknowledged outcomes. While the broker is lost, a
// successor that can publish them takes them instead.
func (g *Gateway) awaitsBroker() bool {
	return g.unpublishedOutcomes() > 0 && (g.mqttFront.Up() || !g.upgrade.successorPublishes())
}

// successorPublishes reports whether there is a successor that can publish this process's outcomes.
func (u *upgrade) successorPublishes() bool {
	return u != nil && u.successorReady && u.successorBroker != "" && u.successorBroker == u.gateway.outcomeBroker()
}

// passOutcomes leaves outcomes that the broker has not acknowledged to the successor, if it can publish them.
func (u *upgrade) passOutcomes() {
	if !u.successorPublishes() {
		return
	}
	outcomes := u.gateway.mqttFront.TakeUnpublished()
	for _, outcome := range outcomes {
		u.successor.Outcome(outcome)
	}
	if len(outcomes) > 0 {
		u.gateway.log.Info("outcomes left to the new process", zap.Int("outcomes", len(outcomes)))
	}
}

// Outcome publishes an outcome that the predecessor could not publish.
func (u *upgrade) Outcome(outcome mqtt.UnpublishedOutcome) {
	u.gateway.loop.PostUrgent(func() {
		if front := u.gateway.mqttFront; front != nil {
			front.Publish(outcome)
		}
	})
}
