package agreement

import (
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

// idleGateway is a Gateway that serves no calls.
type idleGateway struct{}

func (idleGateway) Drain(string)                              {}
func (idleGateway) Resume()                                   {}
func (idleGateway) Ban(string)                                {}
func (idleGateway) Unban(string)                              {}
func (idleGateway) Serving() bool                             { return true }
func (idleGateway) Warm() bool                                { return true }
func (idleGateway) Avoids(string) bool                        { return false }
func (idleGateway) Probe(string, func())                      {}
func (idleGateway) Copies(string) (there, elsewhere []string) { return nil, nil }
func (idleGateway) RecheckFreezes()                           {}
func (idleGateway) ApplyPendingConfig()                       {}

// await runs a loop until done, or fails the test after 30 s.
func await(t *testing.T, loop *core.Loop, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 30 s", what)
		}
		loop.RunOnce()
	}
}

// testGateway is a gateway of a fleet in the test's process.
type testGateway struct {
	*Agent
	loop    *core.Loop
	address string
}

// startGateway starts the node and the agreement part of a gateway. The first voter is g1.
func startGateway(t *testing.T, loop *core.Loop, name string, seeds ...string) testGateway {
	t.Helper()
	gateway := testGateway{loop: loop, address: freeAddress(t)}
	settings := &fleet.Settings{Enabled: true, Fleet: "test", Bind: gateway.address, Seeds: seeds, Dir: t.TempDir(),
		Change: change.DefaultLimits}
	node := fleet.New(loop, settings, name, 0, zap.NewNop())
	node.Add(func(h *fleet.Host) fleet.Part {
		gateway.Agent = New(h, idleGateway{}, Options{Name: name, Hall: "h1", Halls: []string{"h1"}, InitialVoters: []string{"g1"}, TargetVoters: 1,
			ReplaceAfter: time.Minute, HallLostAfter: time.Minute, Limits: change.DefaultLimits, Rules: replog.DefaultRules})
		return gateway.Agent
	})
	node.Start()
	t.Cleanup(func() {
		stopped := false
		node.Stop(func() { stopped = true })
		await(t, loop, "stop", func() bool { return stopped })
	})
	return gateway
}

// freeAddress returns an address of this process that is free for datagrams and connections.
func freeAddress(t *testing.T) string {
	t.Helper()
	own := net.IPv4(127, 101, byte(os.Getpid()>>8), byte(os.Getpid()))
	l, err := net.Listen("tcp", net.JoinHostPort(own.String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startOnlyVoter starts the gateway g1, which votes alone, and waits until it leads.
func startOnlyVoter(t *testing.T) testGateway {
	t.Helper()
	voter := startGateway(t, core.NewLoop(core.WallClock), "g1")
	await(t, voter.loop, "g1 leads", func() bool { return voter.group != nil && voter.group.LeaderReady() })
	return voter
}

// Guards against the loss of a vote by a leader that proposes an entry as it applies another: raft panicked and the gateway gave up
// its vote.
func TestLeaderProposesWhileItAppliesAnEntry(t *testing.T) {
	agent := startOnlyVoter(t)
	voterID := agent.voterID
	applied, want := 0, 20
	var proposeNext func(index uint64, err error)
	proposeNext = func(_ uint64, err error) {
		if err != nil {
			t.Errorf("entry %d: %v", applied, err)
		}
		if applied++; applied < want {
			agent.Propose("rules", "anna", 0, replog.RulesBody{Rules: replog.DefaultRules}, proposeNext)
		}
	}
	agent.Propose("rules", "anna", 0, replog.RulesBody{Rules: replog.DefaultRules}, proposeNext)
	await(t, agent.loop, "all entries are applied", func() bool { return applied == want })
	if agent.group == nil || agent.voterID != voterID {
		t.Errorf("the gateway gave up its vote: voter %x is voter %x now", voterID, agent.voterID)
	}
}

// Guards against a flood of empty messages by a gateway that rebuilds the log: its followers were sent entries that it did not have,
// until the queue of their link was full, and each of these messages was answered.
func TestFollowerOfARebuiltLogGetsTheStateOnce(t *testing.T) {
	voter := startOnlyVoter(t)
	follower := startGateway(t, voter.loop, "g2", voter.address)
	await(t, voter.loop, "g2 follows g1", func() bool {
		return voter.followers["g2"] != nil && follower.State() != nil && follower.State().Index == voter.State().Index
	})
	voter.currentAt -= noMajorityBeforeRebuild // as if a majority had been lost
	if err := voter.Rebuild("anna", "boris"); err != nil {
		t.Fatal(err)
	}
	voter.sendUpdates("g2") // before the new log is on disk
	if next, want := voter.followers["g2"].next, voter.State().Index+1; next != want {
		t.Errorf("the next entry to send is %d, want %d", next, want)
	}
	await(t, voter.loop, "g2 follows the new log", func() bool { return follower.State().Era == voter.State().Era && voter.group.LeaderReady() })
}

// Guards against "%!w(<nil>)" in a reply to an operator: a gateway with as many proposals under way as it may have says just that.
func TestTooManyProposalsAreRefusedWithAReason(t *testing.T) {
	agent := startOnlyVoter(t)
	var refusal error
	for range maxPendingProposals + 1 { // none is applied before the loop runs again
		agent.Propose("rules", "anna", 0, replog.RulesBody{Rules: replog.DefaultRules}, func(_ uint64, err error) { refusal = err })
	}
	if refusal == nil || refusal.Error() != "32 proposals are under way" {
		t.Errorf("refused with %v", refusal)
	}
}
