package decide

import (
	"fmt"
	"testing"
	"time"
)

// The machine's clock is stepped, a worker is still cold, and the gateway is upgraded: the new process goes by the stepped clock,
// by which all that the old one hands on seems an hour old or still to come. It knows as much as the old one did: what it has
// sent to the cold worker and ordered of late, until when workers are set aside, and that they were shown not to drain.
func TestMemoryCrossesASteppedClock(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		old := start(t, site(), 5)
		old.now = 3 * time.Hour
		began := old.now
		cold := []Host{{Name: "cold", Since: began}, {Name: "unused", Since: began}}
		old.do(List{Hosts: cold})
		old.warm(0, "f")
		for range 20 {
			old.call(0, 0, "f")
		}
		w := old.r.workers["cold"]
		old.r.ownUsage(w)
		w.coldSends, w.health[0] = meanSends([]time.Duration{old.now, old.now}), health{ejectedUntil: old.now + sec, ejectedFor: sec}
		w.readyAt, w.stoppedAt = old.now-sec, old.now-2*sec
		old.r.ensurePlacement(old.r.funcs["f"], w).orderEnd = -old.now - sec
		next := start(t, site(), 0)
		next.now = old.now + step
		if err := next.r.Restore(old.r.Snapshot(), next.now); err != nil {
			t.Fatalf("step of %v: %v", step, err)
		}
		list := List{Whole: true, Hosts: cold}
		for i := range 5 {
			list.Hosts = append(list.Hosts, old.r.workers[string([]byte{'w', byte('0' + i)})].host)
		}
		next.do(list)
		for _, h := range cold {
			if at := next.r.workers[h.Name].startedAt; at != began+step {
				t.Errorf("step of %v: %s counts as started %v ago, it was %v", step, h.Name, next.now-at, old.now-began)
			}
		}
		got := next.r.Snapshot()
		got.shift(-step)
		if want := old.r.Snapshot(); text(got) != text(want) {
			t.Errorf("step of %v:\n%s\n%s", step, text(got), text(want))
		}
	}
}

// Thousands of workers that come up at once, as a zone that returns does, leave room for those that were used.
func TestMemoryOfManyColdWorkers(t *testing.T) {
	old := start(t, site(), 5)
	list := List{}
	for i := range 2 * maxSnapshotWorkers {
		list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("cold", i), Since: old.now})
	}
	old.do(list)
	home := old.warm(0, "f")
	m := old.r.Snapshot()
	next := start(t, site(), 0)
	next.now = old.now
	if err := next.r.Restore(m, next.now); err != nil || next.r.workers[home] == nil {
		t.Errorf("%d workers: %v", len(m.Workers), err)
	}
}

// A memory of a version that does not tell its clock is taken as of this one's.
func TestMemoryWithoutItsClock(t *testing.T) {
	_, next, m := taught(t, 2)
	calledAt := m.CalledAt
	m.At = 0
	if err := next.r.Restore(m, next.now); err != nil || next.r.calledAt != calledAt {
		t.Errorf("last call at %v, want %v; %v", next.r.calledAt, calledAt, err)
	}
}
