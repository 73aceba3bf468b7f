package replog

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes the drawn steps the same in each run; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// callFromWithin makes the call of a group that is selected by which. It is used inside onApplied, where every call has to be rejected.
func (m *member) callFromWithin(which int) error {
	switch which {
	case 0:
		return m.network.propose(m)
	case 1:
		_, err := m.group.Ready()
		return err
	case 2:
		_, err := m.group.Written()
		return err
	case 3:
		return m.group.Tick()
	case 4:
		return m.group.Step(nil)
	case 5:
		return m.group.Campaign()
	}
	return m.group.ProposeVoterChange(Voter{ID: 77, Name: "x", Learner: true}, false)
}

const callsFromWithin = 7

// checkNetworks runs networks of three or five voters for drawn numbers of steps, and then until they settle. prepare sets up each.
func checkNetworks(t *testing.T, prepare func(t *rapid.T, n *network)) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(t, "voters"))
		prepare(t, n)
		for range rapid.IntRange(300, 1500).Draw(t, "steps") {
			n.step()
		}
		n.afterCall = nil
		if err := n.settle(); err != nil {
			n.fail("%v", err)
		}
		if n.failure != nil {
			t.Fatal(n.failure)
		}
	})
}

// Guards against the loss of a vote by a leader that proposes while it applies an entry: the call came before raft's Advance, raft
// panicked at the next Ready, and the gateway gave up its vote.
func TestCallsFromWithinACallbackAreRejected(t *testing.T) {
	rejected := 0
	checkNetworks(t, func(t *rapid.T, n *network) {
		within := rapid.SliceOfN(rapid.IntRange(0, callsFromWithin-1), 1, 20).Draw(t, "calls from within")
		n.onApplied = func(m *member, applied Applied) {
			which := within[int(applied.Index)%len(within)]
			if err := m.callFromWithin(which); err == nil {
				n.fail("%s: call %d from within the callback of entry %d is not rejected", m.name, which, applied.Index)
			}
			rejected++
		}
	})
	t.Logf("%d calls from within were rejected", rejected)
	if rejected < 100 {
		t.Errorf("only %d calls were made from within", rejected)
	}
}

// Guards against the loss of a vote by proposals that wait for the callback's end: the entries they add are agreed, in all orders of
// messages, ticks and writes.
func TestProposalsAfterACallbackAreAgreed(t *testing.T) {
	proposed := 0
	checkNetworks(t, func(_ *rapid.T, n *network) {
		waiting := map[*member]int{}
		n.onApplied = func(m *member, applied Applied) {
			if applied.Entry != nil && applied.Index%3 == 0 {
				waiting[m]++
			}
		}
		n.afterCall = func(m *member) {
			for ; waiting[m] > 0; waiting[m]-- {
				if n.propose(m) == nil {
					proposed++
				}
			}
		}
	})
	t.Logf("%d entries were proposed after a callback", proposed)
	if proposed < 100 {
		t.Errorf("only %d entries were proposed", proposed)
	}
}
