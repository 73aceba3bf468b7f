package core

import (
	"slices"
	"testing"
	"time"
)

// FuzzTable checks slots against a map: a Ref that was freed never names anything again.
func FuzzTable(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 9, 0, 0, 17, 2, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const limit = 5
		table, model, dead := NewTable[int](limit), map[Ref]int{}, []Ref{0}
		for i, step := range steps {
			if step%2 == 0 {
				ref, ok := table.Put(i)
				if ok != (len(model) < limit) {
					t.Fatalf("put %v with %d in use", ok, len(model))
				}
				if _, twice := model[ref]; ok && (twice || slices.Contains(dead, ref) || ref >= 1<<52) {
					t.Fatalf("ref %x was given before, or is too large", ref)
				}
				if ok {
					model[ref] = i
				}
			} else {
				n := 0
				table.Each(func(ref Ref, _ int) {
					if n++; n == int(step/2)%limit+1 {
						table.Free(ref)
						delete(model, ref)
						dead = append(dead, ref)
					}
				})
			}
			for ref, want := range model {
				if got, ok := table.Get(ref); !ok || got != want {
					t.Fatalf("%x holds %d %v, want %d", ref, got, ok, want)
				}
			}
			for _, ref := range dead {
				if _, ok := table.Get(ref); ok || table.Free(ref) {
					t.Fatalf("%x still names a slot", ref)
				}
			}
			if table.Len() != len(model) {
				t.Fatalf("%d in use, want %d", table.Len(), len(model))
			}
		}
	})
}

// FuzzDeadlines checks the order against a sorted list.
func FuzzDeadlines(f *testing.F) {
	f.Add([]byte{8, 4, 12, 1, 3, 0, 20, 2, 3, 3})
	f.Fuzz(func(t *testing.T, steps []byte) {
		type item struct {
			at time.Duration
			n  int
			e  *Deadline
		}
		var d Deadlines
		var model []item
		var got, want []int
		now := time.Duration(0)
		for i, step := range steps {
			switch v := int(step / 4); step % 4 {
			case 0, 2:
				it := item{at: now + time.Duration(v), n: i}
				it.e = d.Set(it.at, func() { got = append(got, i) })
				model = append(model, it)
			case 1:
				if len(model) > 0 {
					k := v % len(model)
					d.Cancel(model[k].e)
					d.Cancel(model[k].e)
					model = slices.Delete(model, k, k+1)
				}
			case 3:
				now += time.Duration(v)
				slices.SortStableFunc(model, func(a, b item) int { return int(a.at - b.at) })
				for len(model) > 0 && model[0].at <= now {
					want = append(want, model[0].n)
					model = model[1:]
				}
				d.Sweep(now)
			}
			if !slices.Equal(got, want) || d.Len() != len(model) {
				t.Fatalf("ran %v with %d left, want %v with %d left", got, d.Len(), want, len(model))
			}
		}
	})
}

// A deadline that sets itself again, already due, must not keep the sweep from ending.
func TestSweepEndsThoughADeadlineSetsItself(t *testing.T) {
	var d Deadlines
	runs := 0
	var again func()
	again = func() { runs++; d.Set(0, again) }
	d.Set(0, again)
	d.Sweep(time.Second)
	if runs != 1 {
		t.Errorf("ran %d times in one sweep", runs)
	}
}

// The clock stands still within a turn and never goes back, whatever the system's does.
func TestTurnHasOneClockReading(t *testing.T) {
	now := time.Hour
	l := NewLoop(func() time.Duration { now += time.Second; return now })
	var seen []time.Duration
	l.Post(func() { seen = append(seen, l.Now()); l.Dirty(func() { seen = append(seen, l.Now()) }) })
	l.After(0, func() { seen = append(seen, l.Now()) })
	l.Turn()
	now = time.Minute
	l.Post(func() { seen = append(seen, l.Now()) })
	l.Turn()
	for _, at := range seen {
		if at != seen[0] {
			t.Errorf("readings %v", seen)
		}
	}
	if len(seen) != 4 {
		t.Errorf("%d readings", len(seen))
	}
}

// Keys are kept for their time and not forgotten before; full means full.
func TestKeys(t *testing.T) {
	now := time.Duration(0)
	l := NewLoop(func() time.Duration { return now })
	k := NewKeys(l, time.Minute, 2, 10)
	told := 0
	a := k.Open("a", "x")
	a.Join(func(Answer) { told++ })
	k.Close("a", a, Answer{What: "served", Body: make([]byte, 8)}, true)
	k.Close("a", a, Answer{What: "failed"}, true)
	b := k.Open("b", "x")
	if k.Open("c", "x") != nil {
		t.Error("a third key found room among two")
	}
	k.Close("b", b, Answer{What: "served", Body: make([]byte, 8)}, true)
	if a.Answer.What != "served" || told != 1 || b.Answer.What != "failed" {
		t.Errorf("answers %q %q, told %d", a.Answer.What, b.Answer.What, told)
	}
	now = 59 * time.Second
	l.Turn()
	if k.Find("a") != a {
		t.Error("forgotten too early")
	}
	now = time.Minute
	l.Turn()
	if k.Len() != 0 || k.bytes != 0 {
		t.Errorf("%d keys and %d bytes kept past their time", k.Len(), k.bytes)
	}
}
