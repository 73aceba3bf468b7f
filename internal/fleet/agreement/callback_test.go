package agreement

import (
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

// startOnlyVoter starts the agreement part of a gateway that votes alone, with its state in dir, and waits until it leads.
func startOnlyVoter(t *testing.T, dir string) (*Agent, *core.Loop) {
	t.Helper()
	loop := core.NewLoop(core.WallClock)
	settings := &fleet.Settings{Enabled: true, Fleet: "test", Bind: "127.0.0.1:0", Dir: dir, Change: change.DefaultLimits}
	node := fleet.New(loop, settings, "g1", 0, zap.NewNop())
	var agent *Agent
	node.Add(func(h *fleet.Host) fleet.Part {
		agent = New(h, idleGateway{}, Options{Name: "g1", Hall: "h1", Halls: []string{"h1"}, InitialVoters: []string{"g1"}, TargetVoters: 1,
			ReplaceAfter: time.Minute, HallLostAfter: time.Minute, Limits: change.DefaultLimits, Rules: replog.DefaultRules})
		return agent
	})
	node.Start()
	t.Cleanup(func() {
		stopped := false
		node.Stop(func() { stopped = true })
		await(t, loop, "stop", func() bool { return stopped })
	})
	await(t, loop, "this gateway leads", func() bool { return agent.group != nil && agent.group.LeaderReady() })
	return agent, loop
}

// Guards against the loss of a vote by a leader that proposes an entry as it applies another: raft panicked and the gateway gave up
// its vote.
func TestLeaderProposesWhileItAppliesAnEntry(t *testing.T) {
	agent, loop := startOnlyVoter(t, t.TempDir())
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
	await(t, loop, "all entries are applied", func() bool { return applied == want })
	if agent.group == nil || agent.voterID != voterID {
		t.Errorf("the gateway gave up its vote: voter %x is voter %x now", voterID, agent.voterID)
	}
}
