package recover

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillrail/decide"
)

// Phases follow each other, each ends once, and what comes late changes nothing.
func TestCourse(t *testing.T) {
	c := NewPhases(wall)
	for now, p := wall, Reading; p < Full; p++ {
		if c.Due(now) || !c.Due(now+p.Limit()) {
			t.Errorf("%v is due at the wrong time", p)
		}
		now += p.Limit()
		if !c.Pass(now, p, "something") || c.Pass(now, p, "") || c.Phase() != p+1 {
			t.Errorf("%v: now %v", p, c.Phase())
		}
	}
	if c.Pass(wall, Full, "") || c.Due(wall+time.Hour) || len(c.Poorer()) != 4 {
		t.Errorf("at the end: %v, without %v", c.Phase(), c.Poorer())
	}
}

// No more first loads are under way than there are places, however calls come and end; who is worth most is never refused
// where somebody worth less is taken; once it is done it stays done.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, gateways := wall, rapid.IntRange(1, 5).Draw(t, "gateways")
		a := NewAdmission(Share{Worth: []float64{1, 5}, Former: float64(rapid.IntRange(0, 50).Draw(t, "former")), Loads: 6, Gateways: gateways},
			rapid.Float64Range(0, 1).Draw(t, "bear"), now)
		under := map[string]time.Duration{}
		done := false
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			fn := string(rune('a' + rapid.IntRange(0, 12).Draw(t, "fn")))
			class := rapid.IntRange(0, 1).Draw(t, "class")
			if done && !a.Done(now) {
				t.Fatal("it begins again")
			}
			done = a.Done(now)
			stood, spare := a.stands[fn], a.tokens
			ok := a.Admit(now, class, fn)
			if !ok && stood && class == 1 && spare >= 1 {
				t.Fatal("the class worth most is refused with room left")
			}
			if ok && !stood && !done {
				if _, twice := under[fn]; !twice {
					under[fn] = now
				}
			}
			for f, at := range under {
				if a.stands[f] || now-at >= loadLimit {
					delete(under, f)
				}
			}
			if !done && len(under) > a.Slots() {
				t.Fatalf("%d first loads in %d places", len(under), a.Slots())
			}
			if ok && rapid.Bool().Draw(t, "ends") {
				a.Ended(fn, rapid.IntRange(0, 3).Draw(t, "served") > 0)
				if a.stands[fn] {
					delete(under, fn)
				}
			}
		}
	})
}

func TestSavedIsChecked(t *testing.T) {
	good := Saved{List: []decide.Host{{Name: "w"}}, Addrs: []string{"a:1"}, Former: 1, Alive: 3}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for i, change := range []func(*Saved){func(s *Saved) { s.Addrs = nil }, func(s *Saved) { s.Former = -1 }, func(s *Saved) { s.Alive = -1 },
		func(s *Saved) { s.List = []decide.Host{{}} }, func(s *Saved) { s.List = []decide.Host{{Name: "w", State: 9}} },
		func(s *Saved) { s.Marks = Checkpoints{"": {}} }} {
		s := good
		if change(&s); s.Check() == nil {
			t.Errorf("change %d is not noticed", i)
		}
	}
}
