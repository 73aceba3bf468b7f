package recover

import (
	"flag"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"quillrail/decide"
)

// The same steps each time; -rapid.seed on the command line draws others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

type silent struct{}

func (silent) Route(uint64, string, time.Duration)         {}
func (silent) Retract(uint64, int)                         {}
func (silent) Refuse(uint64, time.Duration, decide.Reason) {}
func (silent) Fail(uint64, decide.Reason)                  {}
func (silent) Order(string, string, int)                   {}
func (silent) Unload(string, string)                       {}
func (silent) Probe(string)                                {}
func (silent) SendPeer(int, []byte)                        {}
func (silent) Watch(bool)                                  {}
func (silent) Lookup()                                     {}
func (silent) Release(string)                              {}
func (silent) WakeAt(time.Duration, string)                {}
func (silent) Log(decide.Notice)                           {}

func router(t interface{ Fatal(...any) }) *decide.Router {
	r, err := decide.New(decide.Settings{Classes: []decide.Class{{Aim: time.Second, Deadline: 4 * time.Second}},
		Tenants: []decide.Tenant{{}}, MaxAttempts: 3, KeepAlive: 10 * time.Second}, 1, silent{})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const wall = 1000 * time.Hour // of the day of these tests

// memory draws what a module may have learnt by wall.
func memory(t *rapid.T) *decide.Snapshot {
	past := func(name string) time.Duration {
		return wall - time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name))
	}
	m := router(t).Snapshot()
	m.ServedRate, m.ServedAt, m.Lateness, m.RecentCalls, m.CalledAt = 7, past("good"), 0.5, 9, past("called")
	for range rapid.IntRange(0, 3).Draw(t, "orders") {
		m.Orders, m.Arrivals = append(m.Orders, past("order")), append(m.Arrivals, past("arrival"))
	}
	m.Workers = []decide.WorkerSnapshot{{Name: "w", Since: past("since"), Deficit: []float64{-5}, Window: 8, LossAt: past("lost"),
		FailedAt: past("failed"), FullUntil: past("full") + 2*time.Minute, EjectedUntil: []time.Duration{past("aside") + time.Minute},
		EjectedFor: []time.Duration{time.Second}, ColdSends: []time.Duration{past("cold")}}}
	m.Functions = []decide.FunctionSnapshot{{Name: "f", Lanes: 2, UsedAt: past("used"), RecentCalls: 3, Placements: []decide.PlacementSnapshot{
		{Worker: "w", SentAt: past("sent"), ConfirmedAt: past("proven"), Loaded: true, OrderEnd: -past("ordered")}}}}
	return m
}

var limits = Limits{Classes: 1, Tenants: 1}

// Whatever was saved and whatever the clock has done since, a new module accepts it, and by the rule: in one boot a step of
// the wall clock changes nothing but the times' origin; after another boot guards count as used now, and no copy stands.
func TestWhatIsTrusted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := memory(t)
		age := time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "age"))
		step := time.Duration(rapid.Int64Range(-int64(500*time.Hour), int64(500*time.Hour)).Draw(t, "step"))
		saved := func() *Saved {
			c := *m
			c.Orders, c.Arrivals, c.RefilledAt = slices.Clone(m.Orders), slices.Clone(m.Arrivals), slices.Clone(m.RefilledAt)
			c.Tokens, c.HeldDeficit = slices.Clone(m.Tokens), slices.Clone(m.HeldDeficit)
			w := m.Workers[0]
			w.EjectedUntil, w.EjectedFor, w.ColdSends, w.Deficit = slices.Clone(w.EjectedUntil), slices.Clone(w.EjectedFor), slices.Clone(w.ColdSends), slices.Clone(w.Deficit)
			f := m.Functions[0]
			f.Placements = slices.Clone(f.Placements)
			c.Workers, c.Functions = []decide.WorkerSnapshot{w}, []decide.FunctionSnapshot{f}
			return &Saved{At: Stamp{Wall: wall, Boot: "a", Up: time.Hour}, Module: &c, Former: 7}
		}
		for _, boot := range []string{"a", "b", ""} {
			now := Stamp{Wall: wall + age + step, Boot: boot, Up: time.Hour + age}
			s := saved()
			verdicts := s.Trusted(now, limits)
			if len(verdicts) != 13 {
				t.Fatalf("%d verdicts", len(verdicts))
			}
			if err := router(t).Restore(s.Module, now.Wall); err != nil {
				t.Fatalf("boot %q, age %v, step %v: %v", boot, age, step, err)
			}
			p := s.Module.Functions[0].Placements[0]
			if boot == "a" {
				if want := m.Functions[0].Placements[0].SentAt + step; p.SentAt != want || !p.Loaded {
					t.Fatalf("age %v, step %v: last send %v, want %v", age, step, p.SentAt, want)
				}
				continue
			}
			if p.Loaded || p.SentAt != now.Wall || slices.ContainsFunc(s.Module.Orders, func(x time.Duration) bool { return x != now.Wall }) ||
				s.Module.Workers[0].ColdSends[0] != now.Wall || s.Module.Workers[0].EjectedUntil[0] != 0 {
				t.Fatalf("of unknown age, and believed: %+v", s.Module)
			}
		}
		s := saved()
		if s.Trusted(Stamp{Wall: wall}, Limits{Classes: 2, Tenants: 1}); s.Module != nil {
			t.Fatal("a memory of other settings is used")
		}
	})
}

func marks(t *rapid.T, name string) Checkpoints {
	return rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.Custom(func(t *rapid.T) Checkpoint {
		return Checkpoint{rapid.Uint64Range(1, 4).Draw(t, "seq"), rapid.Bool().Draw(t, "banned"),
			time.Duration(rapid.Int64Range(0, 2).Draw(t, "since"))}
	})).Draw(t, name)
}

// Marks come to the same in whatever order they are joined and however often; of two words of one number the ban counts.
func TestMarksConverge(t *testing.T) {
	join := func(all ...Checkpoints) Checkpoints {
		m := Checkpoints{}
		for _, x := range all {
			m.Join(x)
		}
		return m
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := marks(t, "a"), marks(t, "b"), marks(t, "c")
		one := join(a, b, c)
		if other := join(c, a, join(b, a), c); !maps.Equal(one, other) {
			t.Fatalf("%v and %v", one, other)
		}
		for id, k := range one {
			for _, m := range []Checkpoints{a, b, c} {
				if o, ok := m[id]; ok && (o.Seq > k.Seq || o.Seq == k.Seq && o.Banned && !k.Banned) {
					t.Fatalf("%v is forgotten for %v", o, k)
				}
			}
		}
		was := one["a"]
		if k := one.Say("a", !was.Banned, 0); !k.Newer(was) {
			t.Fatalf("%v does not follow %v", k, was)
		}
	})
	full := Checkpoints{}
	for i := range maxMarks {
		full[string(rune(0x4e00+i))] = Checkpoint{Seq: 1}
	}
	if _, refused := full.Join(Checkpoints{"one more": {Seq: 1, Banned: true}}); refused != 1 || len(full) != maxMarks {
		t.Errorf("%d refused, %d marks", refused, len(full))
	}
}

// Words come to the same in any order: the newest list, whoever drains for anybody, the latest start, the latest find.
func TestWordsAreJoinedTowardsSafety(t *testing.T) {
	a := &Answer{Event: 5, Draining: []string{"x"}, Started: map[string]int64{"y": 3000}, Stands: map[string][]Copy{"f": {{"x", 500}}}, Rate: 10}
	b := &Answer{Event: 8, Started: map[string]int64{"y": 1000}, Stands: map[string][]Copy{"f": {{"x", 100}, {"z", 0}}}, Rate: 20, Full: true,
		Marks: Checkpoints{"w": {Seq: 1, Banned: true}}}
	one, other := NewAgreed(), NewAgreed()
	for _, w := range []*Answer{a, b} {
		if err := w.Check(); err != nil {
			t.Fatal(err)
		}
		one.Add(w, wall)
	}
	other.Add(b, wall)
	other.Add(a, wall)
	if !reflect.DeepEqual(one, other) {
		t.Errorf("%+v and %+v", one, other)
	}
	if one.Event != 8 || one.Words != 2 || one.Full != 1 || one.Started["y"] != wall-time.Second || len(one.Stands["f"]) != 2 {
		t.Errorf("agreed: %+v", one)
	}
	if held := one.Held(4); held["x"] != 5 || len(one.Held(5)) != 0 {
		t.Errorf("held: %v, and once the list is there %v", held, one.Held(5))
	}
	for _, w := range []Answer{{Rate: -1}, {Started: map[string]int64{"": 1}}, {Started: map[string]int64{"a": -1}},
		{Stands: map[string][]Copy{"f": {{"", 1}}}}, {Stands: map[string][]Copy{"f": {{"w", maxAge + 1}}}}, {Marks: Checkpoints{"": {}}}} {
		if w.Check() == nil {
			t.Errorf("heeded: %+v", w)
		}
	}
}
