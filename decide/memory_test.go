package decide

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// newTrainedPair returns a router that has handled random traffic, the new router of the gateway's next process, and a
// snapshot of the old router after JSON encoding and decoding.
func newTrainedPair(t *testing.T, seed uint64) (old, next *fakeGateway, m *Snapshot) {
	rng := rand.New(rand.NewPCG(seed, 3))
	old = newFake(t, testSettings(), 5)
	answered := map[int]bool{} // by index of the send
	for range 300 {
		switch rng.IntN(4) {
		case 0, 1:
			old.call(rng.IntN(3), rng.IntN(2), string(rune('a'+rng.IntN(9))))
		case 2:
			old.advance(time.Duration(rng.IntN(40)) * time.Millisecond)
		case 3:
			if n := len(old.sent); n > 0 {
				i := rng.IntN(n)
				if _, ended := old.ended[old.sent[i].id]; !ended && !answered[i] {
					answered[i] = true
					old.reportResult(old.sent[i], []Outcome{Good, Good, Good, Full, Bad, Miss, Reset}[rng.IntN(7)], Note(1+rng.IntN(3)))
				}
			}
		}
	}
	b, err := json.Marshal(old.router.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	m = new(Snapshot)
	if err := json.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
	next = newFake(t, testSettings(), 0)
	next.now = old.now
	return old, next, m
}

// A router that restores the snapshot of another one has all that the other had learnt, so that it sends later calls where
// the other would have sent them. Only requests in flight are not part of the snapshot.
func TestMemoryRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		old, next, m := newTrainedPair(t, seed)
		if err := next.router.Restore(m, next.now); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		list := List{Whole: true}
		for _, w := range old.router.workers {
			if w.host.State != Gone {
				list.Hosts = append(list.Hosts, w.host)
			}
		}
		next.handle(list)
		if got, want := snapshotJSON(next.router.Snapshot()), snapshotJSON(old.router.Snapshot()); got != want {
			t.Fatalf("seed %d: got the snapshot\n%s\nwant\n%s", seed, got, want)
		}
	}
}

// snapshotJSON returns a snapshot as it is handed over, in JSON. Values that JSON cannot encode give an empty string.
func snapshotJSON(m *Snapshot) string {
	b, _ := json.Marshal(m)
	return string(b)
}

// A new process sends a function's calls to its loaded copy, as the old one did, instead of loading another one. A copy at
// a worker that has restarted in the meantime is forgotten.
func TestRecalledMemorySendsCallsToLoadedCopy(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		old := newFake(t, testSettings(), 5)
		home := old.warmUp(0, "f")
		next := newFake(t, testSettings(), 0)
		next.now = old.now
		if err := next.router.Restore(old.router.Snapshot(), next.now); err != nil {
			t.Fatal(err)
		}
		list := List{Whole: true}
		for _, w := range old.router.workers {
			h := w.host
			if restarted && h.Name == home {
				h.Since = next.now
			}
			list.Hosts = append(list.Hosts, h)
		}
		next.handle(list)
		p := next.router.funcs["f"].placementAt(next.router.workers[home])
		if restarted {
			if p != nil {
				t.Error("a copy at a restarted worker still counts as loaded")
			}
			continue
		}
		next.call(0, 0, "f")
		if p == nil || !p.loaded || next.sent[0].host != home {
			t.Errorf("sent to %s, want %s where the copy is loaded", next.sent[0].host, home)
		}
	}
}

// A snapshot that no router can have taken is rejected without a panic, and changes nothing.
func TestInvalidMemoryIsRejected(t *testing.T) {
	for name, corrupt := range map[string]func(*Snapshot){
		"other classes":      func(m *Snapshot) { m.Classes = m.Classes[1:] },
		"other tenants":      func(m *Snapshot) { m.HeldDeficit = append(m.HeldDeficit, 1) },
		"a truncated worker": func(m *Snapshot) { m.Workers[0].EjectedUntil = nil },
		"a nameless worker":  func(m *Snapshot) { m.Workers[0].Name = "" },
		"a closed window":    func(m *Snapshot) { m.Workers[0].Window = 0 },
		"no lanes":           func(m *Snapshot) { m.Functions[0].Lanes = 0 },
		"a future time":      func(m *Snapshot) { m.CalledAt += 999 * time.Hour },
		"a negative time":    func(m *Snapshot) { m.Functions[0].UsedAt = -1 },
		"an infinite rate":   func(m *Snapshot) { m.ServedRate = math.Inf(1) },
		"not a number":       func(m *Snapshot) { m.Classes[0].Mean = math.NaN() },
		"too many arrivals":  func(m *Snapshot) { m.Arrivals = make([]time.Duration, maxSnapshotTimes+1) },
		"ejected for a year": func(m *Snapshot) { m.Workers[0].EjectedUntil[0] = 9000 * time.Hour },
	} {
		_, next, m := newTrainedPair(t, 1)
		before := snapshotJSON(next.router.Snapshot())
		corrupt(m)
		if err := next.router.Restore(m, next.now); err == nil || snapshotJSON(next.router.Snapshot()) != before {
			t.Errorf("%s: error %v, want one, and an unchanged router", name, err)
		}
	}
}
