package agreement

import (
	"errors"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"quillrail/internal/core"
	"quillrail/internal/fleet"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

// heartbeat returns a heartbeat of a leader to the given voter ID.
func heartbeat(t *testing.T, to uint64) []byte {
	t.Helper()
	kind, from, term := raftpb.MsgHeartbeat, uint64(9), uint64(3)
	b, err := proto.Marshal(&raftpb.Message{Type: &kind, From: &from, To: &to, Term: &term})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A voter whose log fails must not go on as the same voter with an empty log, because it would have forgotten its votes.
// It gets a new voter ID and may be added as another voter after a while.
func TestVoterWhoseLogFailsGetsNewVoterID(t *testing.T) {
	now := time.Hour
	loop := core.NewLoop(func() time.Duration { return now })
	var a *Agent
	node := fleet.New(loop, &fleet.Settings{Enabled: true, Fleet: "test", Change: change.DefaultLimits}, "g1", 0, zap.NewNop())
	node.Add(func(h *fleet.Host) fleet.Part {
		a = New(h, nil, Options{Name: "g1"})
		return a
	})
	becomesLearner := func(id uint64) bool {
		a.writing = true // like a disk that has not answered yet
		a.handleRaftMessage("g2", heartbeat(t, id))
		return a.group != nil
	}
	a.voterID = 44
	if !becomesLearner(44) {
		t.Fatal("the gateway does not become a learner")
	}
	a.abandonLog(errors.New("no room"))
	if a.group != nil || a.voterID == 44 {
		t.Fatalf("the gateway goes on as voter %d", a.voterID)
	}
	if becomesLearner(a.voterID) {
		t.Error("the gateway becomes a learner again at once")
	}
	now += rejoinDelay
	loop.RunOnce()
	if becomesLearner(44) {
		t.Error("the gateway becomes the former voter again")
	}
	if !becomesLearner(a.voterID) {
		t.Error("the gateway does not become a learner under its new voter ID")
	}
	a.group, a.bootstrapping = bootstrapGroup(t, a), true
	a.abandonLog(errors.New("no room"))
	if a.State() != nil {
		t.Error("the state of a log that was never on disk is known")
	}
}

// bootstrapGroup returns the group of a gateway that bootstraps a log.
func bootstrapGroup(t *testing.T, a *Agent) *replog.Group {
	t.Helper()
	write, err := replog.Bootstrap(a.initialState(), []replog.Voter{{ID: a.voterID, Name: "g1"}})
	if err != nil {
		t.Fatal(err)
	}
	group, err := replog.Open("g1", replog.Disk{ID: a.voterID, Hard: write.Hard, Snap: write.Snap}, a.noteApplied)
	if err != nil {
		t.Fatal(err)
	}
	return group
}
