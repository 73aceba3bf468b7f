package core

import (
	"slices"
	"testing"
	"time"
)

// FuzzTable checks a Table against a map: a Ref that was freed never refers to a value again.
func FuzzTable(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 9, 0, 0, 17, 2, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const limit = 5
		table, model, freed := NewTable[int](limit), map[Ref]int{}, []Ref{0}
		for i, step := range steps {
			if step%2 == 0 {
				ref, ok := table.Put(i)
				if ok != (len(model) < limit) {
					t.Fatalf("Put returned %v with %d slots in use", ok, len(model))
				}
				if _, twice := model[ref]; ok && (twice || slices.Contains(freed, ref) || ref >= 1<<52) {
					t.Fatalf("ref %x was used before or is too large", ref)
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
						freed = append(freed, ref)
					}
				})
			}
			for ref, want := range model {
				if got, ok := table.Get(ref); !ok || got != want {
					t.Fatalf("ref %x: got %d, %v, want %d", ref, got, ok, want)
				}
			}
			for _, ref := range freed {
				if _, ok := table.Get(ref); ok || table.Free(ref) {
					t.Fatalf("freed ref %x still refers to a slot", ref)
				}
			}
			if table.Len() != len(model) {
				t.Fatalf("%d slots in use, want %d", table.Len(), len(model))
			}
		}
	})
}

// FuzzDeadlines checks the order in which deadlines run against a sorted list.
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
				d.RunDue(now)
			}
			if !slices.Equal(got, want) || d.Len() != len(model) {
				t.Fatalf("ran %v with %d pending, want %v with %d pending", got, d.Len(), want, len(model))
			}
		}
	})
}

// RunDue must return even if a deadline sets itself again at a time that is already due.
func TestRunDueReturnsWhenDeadlineSetsItself(t *testing.T) {
	var d Deadlines
	runs := 0
	var again func()
	again = func() { runs++; d.Set(0, again) }
	d.Set(0, again)
	d.RunDue(time.Second)
	if runs != 1 {
		t.Errorf("the deadline ran %d times in one call, want once", runs)
	}
}

// Loop.Now is constant within a loop iteration and never goes back, even if the system's clock does.
func TestLoopIterationHasOneClockReading(t *testing.T) {
	now := time.Hour
	l := NewLoop(func() time.Duration { now += time.Second; return now })
	var seen []time.Duration
	l.Post(func() { seen = append(seen, l.Now()); l.DeferFlush(func() { seen = append(seen, l.Now()) }) })
	l.After(0, func() { seen = append(seen, l.Now()) })
	l.RunOnce()
	now = time.Minute
	l.Post(func() { seen = append(seen, l.Now()) })
	l.RunOnce()
	for _, at := range seen {
		if at != seen[0] {
			t.Errorf("different readings %v", seen)
		}
	}
	if len(seen) != 4 {
		t.Errorf("%d readings, want 4", len(seen))
	}
}

// Keys remembers a key for exactly its retention time, rejects new keys when it is full, and stores no body beyond its size limit.
func TestKeys(t *testing.T) {
	now := time.Duration(0)
	l := NewLoop(func() time.Duration { return now })
	k := NewKeys(l, time.Minute, 2, 10)
	answered := 0
	a := k.Open("a", "x")
	a.Join(func(Answer) { answered++ })
	k.Close("a", a, Answer{Kind: "served", Body: make([]byte, 8)}, true)
	k.Close("a", a, Answer{Kind: "failed"}, true)
	b := k.Open("b", "x")
	if k.Open("c", "x") != nil {
		t.Error("a third key was accepted with a limit of two")
	}
	k.Close("b", b, Answer{Kind: "served", Body: make([]byte, 8)}, true)
	if a.Answer.Kind != "served" || answered != 1 || b.Answer.Kind != "failed" {
		t.Errorf("answers %q and %q, waiters called %d times", a.Answer.Kind, b.Answer.Kind, answered)
	}
	now = 59 * time.Second
	l.RunOnce()
	if k.Find("a") != a {
		t.Error("the key was forgotten too early")
	}
	now = time.Minute
	l.RunOnce()
	if k.Len() != 0 || k.bytes != 0 {
		t.Errorf("%d keys and %d bytes are stored after their retention time", k.Len(), k.bytes)
	}
}
