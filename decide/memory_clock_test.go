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
		old.r.touch(w)
		w.cold, w.health[0] = sentAt([]time.Duration{old.now, old.now}), health{aside: old.now + sec, length: sec}
		w.readyAt, w.stoppedAt = old.now-sec, old.now-2*sec
		old.r.place(old.r.funcs["f"], w).ordered = -old.now - sec
		next := start(t, site(), 0)
		next.now = old.now + step
		if err := next.r.Recall(old.r.Remember(), next.now); err != nil {
			t.Fatalf("step of %v: %v", step, err)
		}
		list := List{Whole: true, Hosts: cold}
		for i := range 5 {
			list.Hosts = append(list.Hosts, old.r.workers[string([]byte{'w', byte('0' + i)})].host)
		}
		next.do(list)
		for _, h := range cold {
			if at := next.r.workers[h.Name].began; at != began+step {
				t.Errorf("step of %v: %s counts as started %v ago, it was %v", step, h.Name, next.now-at, old.now-began)
			}
		}
		got := next.r.Remember()
		got.shift(-step)
		if want := old.r.Remember(); text(got) != text(want) {
			t.Errorf("step of %v:\n%s\n%s", step, text(got), text(want))
		}
	}
}

// Thousands of workers that come up at once, as a zone that returns does, leave room for those that were used.
func TestMemoryOfManyColdWorkers(t *testing.T) {
	old := start(t, site(), 5)
	list := List{}
	for i := range 2 * memoryWorkers {
		list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("cold", i), Since: old.now})
	}
	old.do(list)
	home := old.warm(0, "f")
	m := old.r.Remember()
	next := start(t, site(), 0)
	next.now = old.now
	if err := next.r.Recall(m, next.now); err != nil || next.r.workers[home] == nil {
		t.Errorf("%d workers: %v", len(m.Workers), err)
	}
}

// A memory of a version that does not tell its clock is taken as of this one's.
func TestMemoryWithoutItsClock(t *testing.T) {
	_, next, m := taught(t, 2)
	calledAt := m.CalledAt
	m.At = 0
	if err := next.r.Recall(m, next.now); err != nil || next.r.calledAt != calledAt {
		t.Errorf("last call at %v, want %v; %v", next.r.calledAt, calledAt, err)
	}
}
