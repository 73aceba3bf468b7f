package replog

import (
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Guards against a vote that is given up without a reason in the log: a panic of raft that a message causes has to be the error of the
// calls after it too, since those are where the gateway notices.
func TestErrorAfterAPanicNamesItsCause(t *testing.T) {
	group, err := OpenLearner("g1", 44, func(Applied) {})
	if err != nil {
		t.Fatal(err)
	}
	kind, from, to, term, commit := raftpb.MsgHeartbeat, uint64(9), uint64(44), uint64(3), uint64(7) // more than the empty log has
	message, err := proto.Marshal(&raftpb.Message{Type: &kind, From: &from, To: &to, Term: &term, Commit: &commit})
	if err != nil {
		t.Fatal(err)
	}
	if err := group.Step(message); err == nil || !strings.Contains(err.Error(), "tocommit(7) is out of range") {
		t.Errorf("the message leads to %v", err)
	}
	if _, err := group.Ready(); err == nil || !strings.Contains(err.Error(), "tocommit(7) is out of range") {
		t.Errorf("the next call leads to %v", err)
	}
}
