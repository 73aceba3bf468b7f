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

// heartbeat is a leader's heartbeat to a voter's number.
func heartbeat(t *testing.T, to uint64) []byte {
	t.Helper()
	kind, from, term := raftpb.MsgHeartbeat, uint64(9), uint64(3)
	b, err := proto.Marshal(&raftpb.Message{Type: &kind, From: &from, To: &to, Term: &term})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A voter whose log fails under it does not go on as the same voter with an empty log: it would have forgotten for whom it voted.
// It is another one from then on, which may be taken in after a while.
func TestFailedVoterIsAnother(t *testing.T) {
	now := time.Hour
	loop := core.NewLoop(func() time.Duration { return now })
	var a *Agent
	node := fleet.New(loop, &fleet.Settings{Enabled: true, Fleet: "test", Change: change.Defaults}, "g1", 0, zap.NewNop())
	node.Add(func(h *fleet.Host) fleet.Part {
		a = New(h, nil, Options{Name: "g1"})
		return a
	})
	takenIn := func(id uint64) bool {
		a.writing = true // as a disk that does not answer yet
		a.raft("g2", heartbeat(t, id))
		return a.group != nil
	}
	a.id = 44
	if !takenIn(44) {
		t.Fatal("it is not taken in")
	}
	a.fail(errors.New("no room"))
	if a.group != nil || a.id == 44 {
		t.Fatalf("it goes on as voter %d", a.id)
	}
	if takenIn(a.id) {
		t.Error("it is taken in again at once")
	}
	now += afterFailure
	loop.RunOnce()
	if takenIn(44) {
		t.Error("it is the former voter again")
	}
	if !takenIn(a.id) {
		t.Error("it is not taken in as another voter")
	}
	a.group, a.founding = foundingGroup(t, a), true
	a.fail(errors.New("no room"))
	if a.State() != nil {
		t.Error("an agreement that was never on a disk is known")
	}
}

// foundingGroup is the group of a gateway that founds an agreement.
func foundingGroup(t *testing.T, a *Agent) *replog.Group {
	t.Helper()
	w, err := replog.Found(a.fresh(), []replog.Voter{{ID: a.id, Name: "g1"}})
	if err != nil {
		t.Fatal(err)
	}
	g, err := replog.Open("g1", replog.Disk{ID: a.id, Hard: w.Hard, Snap: w.Snap}, a.applied)
	if err != nil {
		t.Fatal(err)
	}
	return g
}
