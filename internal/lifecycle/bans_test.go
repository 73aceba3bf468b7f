package lifecycle

import (
	"fmt"
	"runtime"
	"testing"

	"quillrail/internal/roster"
)

// With as many bans as a gateway takes, and with one core, the link between the two processes of an upgrade must hold, however many bans
// are lifted at once, and pass on each ban and each lifted one from either process. Otherwise a worker that operators leave out goes on
// getting calls from the other process, and the old one ends as if it had no successor.
func TestBansPassBothWaysWithManyStanding(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const count, lifted = 4096, 300
	dir := t.TempDir()
	old := startUpgradable(t, dir)
	var bans []roster.Ban
	for n := range count {
		bans = append(bans, roster.Ban{ID: fmt.Sprintf("s-%08x", n), Since: 5})
	}
	onLoop(old, func() { old.core.Restore(roster.Saved{Bans: bans}) })
	untilTrue(old, func() bool { return old.upgrade.server != nil })
	next := startUpgradable(t, dir)
	for ready, lost := false, false; !ready; {
		onLoop(old, func() { ready = old.upgrade.successorReady })
		if onLoop(next, func() { lost = next.upgrade.predecessor == nil }); lost {
			t.Fatal("the link has ended while both processes run")
		}
	}
	banned := func(g *Gateway, id string) bool { _, is := g.core.Banned(id); return is }
	lift := func(g *Gateway, from, to int) {
		for _, b := range bans[from:to] {
			if err := (*operatorAPI)(g).Enable(b.ID); err != nil {
				t.Error(err)
			}
		}
	}
	const listed = "s-00c41f7a"
	onLoop(old, func() {
		lift(old, 0, lifted)
		if err := (*operatorAPI)(old).Disable(listed); err != nil {
			t.Error(err)
		}
	})
	untilTrue(next, func() bool { return banned(next, listed) || next.upgrade.predecessor == nil })
	onLoop(next, func() { lift(next, lifted, 2*lifted) })
	untilTrue(old, func() bool { return !banned(old, bans[2*lifted-1].ID) || old.upgrade.successor == nil })
	for g, linked := range map[*Gateway]func() bool{old: func() bool { return old.upgrade.successor != nil },
		next: func() bool { return next.upgrade.predecessor != nil }} {
		onLoop(g, func() {
			if n := len(g.core.Saved().Bans); n != count-2*lifted+1 || !banned(g, listed) || !linked() {
				t.Errorf("%d bans, want %d; the listed worker is banned: %v, the link holds: %v", n, count-2*lifted+1, banned(g, listed), linked())
			}
		})
	}
}
