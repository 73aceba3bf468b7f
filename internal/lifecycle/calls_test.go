package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"quillrail/internal/core"
)

// The keyed calls that a process remembers must be known to the one that takes over before it connects to the broker, whether they ended
// before the upgrade, while both processes ran, or not at all: otherwise a call that is delivered a second time runs again.
func TestKeyedCallsPassToSuccessor(t *testing.T) {
	dir := t.TempDir()
	old := startUpgradable(t, dir)
	const count = 3000
	calls := []core.RememberedCall{{Key: []byte("open"), Keep: time.Hour}}
	for n := range count {
		calls = append(calls, core.RememberedCall{Key: fmt.Append(nil, n), Keep: time.Hour,
			Answer: core.Answer{Kind: "served", Body: make([]byte, 2000)}})
	}
	onLoop(old, func() { old.mqttFront.AdoptCalls(calls) })
	untilTrue(old, func() bool { return old.upgrade.server != nil })
	next := startUpgradable(t, dir)
	untilTrue(old, func() bool { return old.upgrade.successorReady })
	ended := make(chan struct{})
	onLoop(old, func() {
		late := core.RememberedCall{Key: []byte("late"), Keep: time.Hour, Answer: core.Answer{Kind: "served"}}
		old.upgrade.successor.Calls([]core.RememberedCall{late})
		old.done = func() { close(ended) }
		old.drain()
	})
	untilTrue(old, func() bool { // which also runs the timers of the drain
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	untilTrue(next, func() bool { return next.upgrade.predecessor == nil })
	kinds := map[string]int{}
	onLoop(next, func() {
		for _, call := range next.mqttFront.RememberedCalls(next.mqttFront.FollowCalls(nil)) {
			if kinds[call.Answer.Kind]++; call.Keep < 59*time.Minute || call.Keep > time.Hour {
				t.Errorf("call %q is remembered for %v, want about an hour", call.Key, call.Keep)
			}
		}
	})
	if kinds["served"] != count+1 || kinds["failed"] != 1 {
		t.Errorf("the successor remembers these calls: %v, want %d served and the open one as failed", kinds, count+1)
	}
}
