package agreement

import (
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet"
	"quillrail/internal/fleet/member"
	"quillrail/internal/fleet/replog"
)

// The kinds of message.
const (
	messageIdentityQuery  = iota + 1 // asks which incarnation of the sender the receiver knows
	messageIdentityAnswer            // the answer to an identity query
	messageRaft                      // a message of raft between voters
	messageFollow                    // a follower requests the entries after Index
	messageEntries                   // entries for a follower
	messageState                     // the whole state for a follower
	messageHeartbeat                 // confirms to a follower that what it received is current
	messagePropose                   // a proposed entry for the leader
	messageReport                    // a gateway's Report for the leader
	messageNotLeader                 // the sender is not the leader; Name is the leader, if known
	messageEra                       // the log has been rebuilt in a new era
)

// message is a message between the agreement parts of two gateways.
type message struct {
	Kind        int      `msgpack:"k"`
	Incarnation uint64   `msgpack:"l,omitempty"` // the asking gateway's incarnation; in an answer, the highest number known before it
	Tag         uint64   `msgpack:"g,omitempty"` // tag of that incarnation
	ID          uint64   `msgpack:"d,omitempty"` // the sender's voter ID
	Index       uint64   `msgpack:"i,omitempty"` // index of an entry
	Hash        uint64   `msgpack:"h,omitempty"` // hash of the state at Index
	AgeMs       int64    `msgpack:"a,omitempty"` // age of the sender's state
	At          int64    `msgpack:"t,omitempty"` // the sender's clock, Unix ms
	Name        string   `msgpack:"n,omitempty"` // the leader
	Era         uint64   `msgpack:"r,omitempty"` // era of the sender's state
	Body        []byte   `msgpack:"b,omitempty"`
	Entries     [][]byte `msgpack:"e,omitempty"`
}

func (a *Agent) send(to string, msg message) bool {
	if state := a.State(); state != nil {
		msg.Era = state.Era
	}
	body, err := msgpack.Marshal(&msg)
	if err != nil {
		a.log.Error("message cannot be encoded", zap.Error(err))
		return false
	}
	return a.host.Send(to, body)
}

// Receive handles a message of the agreement part of another gateway.
func (a *Agent) Receive(received fleet.Received) {
	if received.Channel != fleet.Message || a.stopped || received.From == "" {
		return
	}
	var msg message
	if err := msgpack.Unmarshal(received.Body, &msg); err != nil {
		a.log.Warn("message of another gateway cannot be decoded", zap.String("gateway", received.From), zap.Error(err))
		return
	}
	a.handleEra(received.From, msg)
	switch msg.Kind {
	case messageIdentityQuery:
		state := a.State()
		reply := message{Kind: messageIdentityAnswer,
			Incarnation: a.recordIncarnation(received.From, member.Incarnation{Number: msg.Incarnation, Tag: msg.Tag}), ID: a.voterID}
		if state != nil {
			reply.Index = state.Index
		}
		if a.storedLog != nil && a.group == nil && reply.Index == 0 {
			reply.Index = 1
		}
		a.send(received.From, reply)
	case messageIdentityAnswer:
		a.handleIdentityAnswer(received.From, msg)
	case messageRaft:
		a.handleRaftMessage(received.From, msg.Body)
	case messageFollow:
		a.handleFollow(received.From, msg)
	case messageEntries, messageState, messageHeartbeat:
		a.handleUpdate(received.From, msg)
	case messagePropose:
		a.handleProposal(received.From, msg)
	case messageReport:
		a.handleReport(received.From, msg)
	case messageNotLeader:
		if a.reportedLeader = msg.Name; a.reportedLeader == a.options.Name {
			a.reportedLeader = ""
		}
	}
}

// handleRaftMessage handles a raft message. It makes this gateway a learner if it has no log yet.
func (a *Agent) handleRaftMessage(from string, b []byte) {
	if a.group == nil {
		if a.eligibility != nil || a.failedRecently() { // undecided whether the stored log may be used, or just abandoned
			return
		}
		group, err := replog.OpenLearner(a.options.Name, a.voterID, a.noteApplied)
		if err != nil {
			a.log.Error("cannot start as a learner of the log", zap.Error(err))
			return
		}
		if group.Step(b) != nil { // the message is for another voter ID
			return
		}
		a.log.Info("this gateway was added to those that replicate the log", zap.String("by", from))
		a.group = group
		a.pump()
		return
	}
	if err := a.group.Step(b); err != nil {
		a.log.Debug("raft", zap.String("from", from), zap.Error(err))
	}
	a.pump()
}

// pump carries out the outputs of the group, as long as there are any and no write is pending.
func (a *Agent) pump() {
	for a.group != nil && !a.writing {
		out, err := a.group.Ready()
		if err != nil {
			a.abandonLog(err)
			return
		}
		if out == nil {
			return
		}
		if out.Write == nil {
			a.sendAndApply(out)
		} else {
			a.writeThenSend(out)
		}
		a.handleApplied()
	}
}

// writeThenSend writes an output to disk, then sends its messages and applies its entries.
func (a *Agent) writeThenSend(out *replog.Output) {
	a.writing = true
	a.persist(out.Write, func() { // not called if the group is abandoned in the meantime
		a.writing = false
		a.sendAndApply(out)
		a.handleApplied()
		a.pump()
	})
}

// sendAndApply sends the messages of an output whose write is on disk, and applies the committed entries.
func (a *Agent) sendAndApply(out *replog.Output) {
	for _, envelope := range out.Messages {
		if name := a.gatewayOfVoter(envelope.To); name != "" {
			a.send(name, message{Kind: messageRaft, Body: envelope.Body})
		}
	}
	more, err := a.group.Written()
	if err != nil {
		a.abandonLog(err)
		return
	}
	if more != nil {
		a.persist(more, func() {})
	}
	if a.group != nil && a.group.Removed() {
		a.stopVoting()
	}
}

// gatewayOfVoter returns the name of the gateway with the given voter ID, "" if it is unknown.
func (a *Agent) gatewayOfVoter(id uint64) string {
	if state := a.State(); state != nil {
		for _, v := range state.Voters {
			if v.ID == id {
				return v.Name
			}
		}
	}
	for name, answer := range a.answers {
		if answer.voterID == id {
			return name
		}
	}
	return ""
}
