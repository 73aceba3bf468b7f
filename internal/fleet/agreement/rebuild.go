package agreement

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

// noMajorityBeforeRebuild is how long there must have been no majority before the log may be rebuilt.
const noMajorityBeforeRebuild = 5 * time.Second

// Rebuild starts a new log with this gateway as its only voter. Two operators have to request it, and only when a
// majority of the voters is lost for good. The state that this gateway knows stays in force: permits still count, and a
// running release is paused. The other gateways follow the new log from then on, former voters too when they return.
// Entries that were agreed but did not reach this gateway are lost without a trace, so the rebuild has to be requested
// at the gateway that knows the newest entry.
func (a *Agent) Rebuild(by, and string) error {
	age, caughtUp := a.Age()
	switch {
	case by == "" || and == "" || by == and:
		return fmt.Errorf("two different operators have to say so: by=NAME and=NAME")
	case caughtUp && age < noMajorityBeforeRebuild:
		return fmt.Errorf("there was a majority %v ago", age.Round(time.Millisecond))
	case a.host.Store() == nil:
		return fmt.Errorf("this gateway has no disk to hold a log on")
	}
	var state *replog.State
	if old := a.State(); old != nil {
		encoded, err := old.Encode()
		if err != nil {
			return err
		}
		if state, err = replog.Decode(encoded); err != nil {
			return err
		}
	} else {
		state = a.initialState()
	}
	state.Era++
	if release := state.Change.Current(); release != nil {
		state.Change.Halt(change.Context{Index: state.Index, At: state.At}, release.ID, "the agreement was begun anew")
	}
	a.forfeitVote()
	a.log.Warn("rebuilding the log without its majority", zap.String("by", by), zap.String("and", and), zap.Uint64("era", state.Era))
	a.startLog(state, []replog.Voter{{ID: a.voterID, Name: a.options.Name, Hall: a.options.Hall}})
	return nil
}

// announceEra notifies all other gateways that a log of a later era has started here.
func (a *Agent) announceEra() {
	for _, name := range a.otherGateways() {
		a.send(name, message{Kind: messageEra})
	}
}

// handleEra makes this gateway follow a log that was rebuilt in a later era, and abandon the log of the former era.
func (a *Agent) handleEra(from string, msg message) {
	state := a.State()
	if state == nil || msg.Era <= state.Era || msg.Kind == messageState {
		return
	}
	if a.group != nil || a.eligibility != nil {
		a.log.Warn("another gateway has rebuilt the log, giving up this gateway's vote", zap.String("from", from), zap.Uint64("era", msg.Era))
		if a.group != nil {
			if encoded := a.EncodedState(); encoded != nil {
				a.replaceReplica(encoded)
			}
		}
		a.forfeitVote()
	}
	a.caughtUp, a.source = false, from
	a.send(from, message{Kind: messageFollow})
}
