package lifecycle

import (
	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/lifecycle/handover"
	"quillrail/internal/wire/mqtt"
)

// callsPerStep is the number of remembered calls that are passed on in one iteration of the event loop.
const callsPerStep = 500

// callTransfer passes the keyed calls that the MQTT front remembers to a successor, and each change of them. It is used on the event loop.
type callTransfer struct {
	front     *mqtt.Front
	successor *handover.Peer
	keys      []string // keys of the calls that are still to be passed on
}

// beginCallTransfer begins when the successor is ready, since only then is it certain to read.
func (u *upgrade) beginCallTransfer(successor *handover.Peer) {
	front := u.gateway.mqttFront
	if front == nil {
		return
	}
	transfer := &callTransfer{front: front, successor: successor}
	transfer.keys = front.FollowCalls(func(call core.RememberedCall) { successor.Calls([]core.RememberedCall{call}) })
	u.callTransfer = transfer
	u.continueCallTransfer(transfer)
}

func (u *upgrade) continueCallTransfer(transfer *callTransfer) {
	if u.callTransfer != transfer {
		return // the successor has gone
	}
	if transfer.pass(callsPerStep); len(transfer.keys) > 0 {
		u.gateway.loop.After(0, func() { u.continueCallTransfer(transfer) })
	}
}

// pass queues the next calls for the successor, limit at most.
func (t *callTransfer) pass(limit int) {
	n := min(limit, len(t.keys))
	t.successor.Calls(t.front.RememberedCalls(t.keys[:n]))
	t.keys = t.keys[n:]
}

// finishCallTransfer queues all that is left, since this process is about to end.
func (u *upgrade) finishCallTransfer() {
	if u.callTransfer != nil {
		u.callTransfer.pass(len(u.callTransfer.keys))
	}
}

// abandonCallTransfer is called when the successor has gone.
func (u *upgrade) abandonCallTransfer() {
	if u.callTransfer != nil {
		u.callTransfer.front.UnfollowCalls()
		u.callTransfer = nil
	}
}

// Calls has the MQTT front remember calls of the predecessor. All that were passed on are remembered before PeerGone.
func (u *upgrade) Calls(calls []core.RememberedCall) {
	u.gateway.loop.PostUrgent(func() {
		if front := u.gateway.mqttFront; front != nil {
			front.AdoptCalls(calls)
		}
	})
}

// logPredecessorEnded logs the end of the predecessor, with the number of calls that are known from it.
func (u *upgrade) logPredecessorEnded() {
	var fields []zap.Field
	if front := u.gateway.mqttFront; front != nil {
		fields = append(fields, zap.Int("calls", front.KnownCalls()))
	}
	u.gateway.log.Info("the old process has ended", fields...)
}
