package decide

import (
	"fmt"
	"testing"
	"time"
)

// The machine's clock is stepped while a worker is cold, and the gateway is upgraded. The new process runs by the stepped
// clock, by which all times that the old one hands over are an hour old or in the future. It still has the old one's state:
// recent sends to the cold worker, recent orders, until when workers are ejected, and when they last did not drain.
func TestMemoryIsHandedOverAcrossClockStep(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		old := newFake(t, testSettings(), 5)
		old.now = 3 * time.Hour
		began := old.now
		cold := []Host{{Name: "cold", Since: began}, {Name: "unused", Since: began}}
		old.handle(List{Hosts: cold})
		old.warmUp(0, "f")
		for range 20 {
			old.call(0, 0, "f")
		}
		worker := old.router.workers["cold"]
		old.router.ownUsage(worker)
		worker.coldSends, worker.health[0] = meanSends([]time.Duration{old.now, old.now}), health{ejectedUntil: old.now + sec, ejectedFor: sec}
		worker.readyAt, worker.stoppedAt = old.now-sec, old.now-2*sec
		old.router.ensurePlacement(old.router.funcs["f"], worker).orderEnd = -old.now - sec
		next := newFake(t, testSettings(), 0)
		next.now = old.now + step
		if err := next.router.Restore(old.router.Snapshot(), next.now); err != nil {
			t.Fatalf("step of %v: %v", step, err)
		}
		list := List{Whole: true, Hosts: cold}
		for i := range 5 {
			list.Hosts = append(list.Hosts, old.router.workers[string([]byte{'w', byte('0' + i)})].host)
		}
		next.handle(list)
		for _, h := range cold {
			if at := next.router.workers[h.Name].startedAt; at != began+step {
				t.Errorf("step of %v: %s counts as started %v ago, want %v", step, h.Name, next.now-at, old.now-began)
			}
		}
		got := next.router.Snapshot()
		got.shift(-step)
		if want := old.router.Snapshot(); snapshotJSON(got) != snapshotJSON(want) {
			t.Errorf("step of %v: got the snapshot\n%s\nwant\n%s", step, snapshotJSON(got), snapshotJSON(want))
		}
	}
}

// When thousands of workers start at once, as in a zone that returns, the snapshot still holds those that were used.
func TestMemoryOfManyColdWorkers(t *testing.T) {
	old := newFake(t, testSettings(), 5)
	list := List{}
	for i := range 2 * maxSnapshotWorkers {
		list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("cold", i), Since: old.now})
	}
	old.handle(list)
	home := old.warmUp(0, "f")
	m := old.router.Snapshot()
	next := newFake(t, testSettings(), 0)
	next.now = old.now
	if err := next.router.Restore(m, next.now); err != nil || next.router.workers[home] == nil {
		t.Errorf("snapshot of %d workers: error %v, or the used worker %s is missing", len(m.Workers), err, home)
	}
}

// The times of a snapshot from a version that does not store its clock time count as by the clock of the new process.
func TestMemoryWithoutClockTime(t *testing.T) {
	_, next, m := newTrainedPair(t, 2)
	calledAt := m.CalledAt
	m.At = 0
	if err := next.router.Restore(m, next.now); err != nil || next.router.calledAt != calledAt {
		t.Errorf("last call at %v, want %v; error %v", next.router.calledAt, calledAt, err)
	}
}
