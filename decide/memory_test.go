package decide

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// taught is a router that has seen random traffic, and the next process's with its memory, as it crosses the link.
func taught(t *testing.T, seed uint64) (old, next *fake, m *Snapshot) {
	rng := rand.New(rand.NewPCG(seed, 3))
	old = start(t, site(), 5)
	done := map[int]bool{}
	for range 300 {
		switch rng.IntN(4) {
		case 0, 1:
			old.call(rng.IntN(3), rng.IntN(2), string(rune('a'+rng.IntN(9))))
		case 2:
			old.pass(time.Duration(rng.IntN(40)) * time.Millisecond)
		case 3:
			if n := len(old.sent); n > 0 {
				i := rng.IntN(n)
				if _, ended := old.ended[old.sent[i].id]; !ended && !done[i] {
					done[i] = true
					old.result(old.sent[i], []Outcome{Good, Good, Good, Full, Bad, Miss, Reset}[rng.IntN(7)], Note(1+rng.IntN(3)))
				}
			}
		}
	}
	b, err := json.Marshal(old.r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	m = new(Snapshot)
	if err := json.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
	next = start(t, site(), 0)
	next.now = old.now
	return old, next, m
}

// What a router has learnt is all there after it was handed on, and the calls that follow go where they would have gone
// but for those that are open.
func TestMemoryIsWhole(t *testing.T) {
	for seed := range uint64(50) {
		old, next, m := taught(t, seed)
		if err := next.r.Restore(m, next.now); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		list := List{Whole: true}
		for _, w := range old.r.workers {
			if w.host.State != Gone {
				list.Hosts = append(list.Hosts, w.host)
			}
		}
		next.do(list)
		if got, want := text(next.r.Snapshot()), text(old.r.Snapshot()); got != want {
			t.Fatalf("seed %d:\n%s\n%s", seed, got, want)
		}
	}
}

// text is a memory as it crosses the link, but for figures that JSON has no word for.
func text(m *Snapshot) string {
	b, _ := json.Marshal(m)
	return string(b)
}

// A new process sends a function's calls to the copy that stands, as the old one did, instead of loading another; a
// worker that was started anew meanwhile is not believed in.
func TestMemoryKeepsCalls(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		old := start(t, site(), 5)
		home := old.warm(0, "f")
		next := start(t, site(), 0)
		next.now = old.now
		if err := next.r.Restore(old.r.Snapshot(), next.now); err != nil {
			t.Fatal(err)
		}
		list := List{Whole: true}
		for _, w := range old.r.workers {
			h := w.host
			if restarted && h.Name == home {
				h.Since = next.now
			}
			list.Hosts = append(list.Hosts, h)
		}
		next.do(list)
		p := next.r.funcs["f"].placementAt(next.r.workers[home])
		if restarted {
			if p != nil {
				t.Error("a copy at a worker that was started anew is believed in")
			}
			continue
		}
		next.call(0, 0, "f")
		if p == nil || !p.loaded || next.sent[0].host != home {
			t.Errorf("sent to %s, the copy stands at %s", next.sent[0].host, home)
		}
	}
}

// A memory that no router can have changes nothing, and none makes a router panic.
func TestMemoryIsChecked(t *testing.T) {
	for name, spoil := range map[string]func(*Snapshot){
		"another site's":       func(m *Snapshot) { m.Classes = m.Classes[1:] },
		"other tenants":        func(m *Snapshot) { m.HeldDeficit = append(m.HeldDeficit, 1) },
		"a worker cut short":   func(m *Snapshot) { m.Workers[0].EjectedUntil = nil },
		"a nameless worker":    func(m *Snapshot) { m.Workers[0].Name = "" },
		"a closed window":      func(m *Snapshot) { m.Workers[0].Window = 0 },
		"no lanes":             func(m *Snapshot) { m.Functions[0].Lanes = 0 },
		"what is still to be":  func(m *Snapshot) { m.CalledAt += 999 * time.Hour },
		"a negative time":      func(m *Snapshot) { m.Functions[0].UsedAt = -1 },
		"an endless rate":      func(m *Snapshot) { m.ServedRate = math.Inf(1) },
		"no number":            func(m *Snapshot) { m.Classes[0].Mean = math.NaN() },
		"too many arrivals":    func(m *Snapshot) { m.Arrivals = make([]time.Duration, maxSnapshotTimes+1) },
		"set aside for a year": func(m *Snapshot) { m.Workers[0].EjectedUntil[0] = 9000 * time.Hour },
	} {
		_, next, m := taught(t, 1)
		before := text(next.r.Snapshot())
		spoil(m)
		if err := next.r.Restore(m, next.now); err == nil || text(next.r.Snapshot()) != before {
			t.Errorf("%s: error %v, or something was taken", name, err)
		}
	}
}
