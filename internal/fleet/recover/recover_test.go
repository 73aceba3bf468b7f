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

// A fixed seed makes the drawn steps the same in each run; -rapid.seed on the command line overrides it.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// discardOutput is a decide.Gateway that does nothing.
type discardOutput struct{}

func (discardOutput) Route(uint64, string, time.Duration)         {}
func (discardOutput) Retract(uint64, int)                         {}
func (discardOutput) Refuse(uint64, time.Duration, decide.Reason) {}
func (discardOutput) Fail(uint64, decide.Reason)                  {}
func (discardOutput) Order(string, string, int)                   {}
func (discardOutput) Unload(string, string)                       {}
func (discardOutput) Probe(string)                                {}
func (discardOutput) SendPeer(int, []byte)                        {}
func (discardOutput) Watch(bool)                                  {}
func (discardOutput) Lookup()                                     {}
func (discardOutput) Release(string)                              {}
func (discardOutput) WakeAt(time.Duration, string)                {}
func (discardOutput) Log(decide.Notice)                           {}

func newRouter(t interface{ Fatal(...any) }) *decide.Router {
	r, err := decide.New(decide.Settings{Classes: []decide.Class{{Deadline: 4 * time.Second}},
		Tenants: []decide.Tenant{{}}, MaxAttempts: 3, KeepAlive: 10 * time.Second}, 1, discardOutput{})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

const testTime = 1000 * time.Hour // the wall clock time at which the tests take place

// drawMemory draws what a module may have learnt by testTime.
func drawMemory(t *rapid.T) *decide.Snapshot {
	past := func(name string) time.Duration {
		return testTime - time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, name))
	}
	m := newRouter(t).Snapshot()
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

var dimensions = Dimensions{Classes: 1, Tenants: 1}

// Checks that a new module accepts the restored memory, whatever was saved and however the wall clock has stepped since. Within one
// boot a step only moves the times; after another boot, limited uses count as made now and no copy counts as loaded.
func TestRestoreShiftsTimesInOneBootAndResetsAfterAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMemory(t)
		age := time.Duration(rapid.Int64Range(0, int64(5*time.Minute)).Draw(t, "age"))
		step := time.Duration(rapid.Int64Range(-int64(500*time.Hour), int64(500*time.Hour)).Draw(t, "step"))
		saved := func() *Saved {
			c := *m
			c.Orders, c.Arrivals, c.RefilledAt = slices.Clone(m.Orders), slices.Clone(m.Arrivals), slices.Clone(m.RefilledAt)
			c.Tokens, c.HeldDeficit = slices.Clone(m.Tokens), slices.Clone(m.HeldDeficit)
			w := m.Workers[0]
			w.EjectedUntil, w.EjectedFor, w.ColdSends, w.Deficit = slices.Clone(w.EjectedUntil), slices.Clone(w.EjectedFor),
				slices.Clone(w.ColdSends), slices.Clone(w.Deficit)
			f := m.Functions[0]
			f.Placements = slices.Clone(f.Placements)
			c.Workers, c.Functions = []decide.WorkerSnapshot{w}, []decide.FunctionSnapshot{f}
			return &Saved{At: Stamp{Wall: testTime, Boot: "a", Up: time.Hour}, Module: &c, FormerRate: 7}
		}
		for _, boot := range []string{"a", "b", ""} {
			now := Stamp{Wall: testTime + age + step, Boot: boot, Up: time.Hour + age}
			s := saved()
			verdicts := s.Restore(now, dimensions)
			if len(verdicts) != 13 {
				t.Fatalf("%d verdicts, want 13", len(verdicts))
			}
			if err := newRouter(t).Restore(s.Module, now.Wall); err != nil {
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
				t.Fatalf("memory of unknown age is not reset: %+v", s.Module)
			}
		}
		s := saved()
		if s.Restore(Stamp{Wall: testTime}, Dimensions{Classes: 2, Tenants: 1}); s.Module != nil {
			t.Fatal("a memory made with other settings is used")
		}
	})
}

func drawBanRecords(t *rapid.T, name string) BanRecords {
	return rapid.MapOf(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.Custom(func(t *rapid.T) BanRecord {
		return BanRecord{rapid.Uint64Range(1, 4).Draw(t, "seq"), rapid.Bool().Draw(t, "banned"),
			time.Duration(rapid.Int64Range(0, 2).Draw(t, "since"))}
	})).Draw(t, name)
}

// Ban records merge to the same result in any order and repeatedly; of two records with the same number the ban wins.
func TestBanRecordsConvergeInAnyMergeOrder(t *testing.T) {
	mergeAll := func(all ...BanRecords) BanRecords {
		m := BanRecords{}
		for _, x := range all {
			m.Merge(x)
		}
		return m
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawBanRecords(t, "a"), drawBanRecords(t, "b"), drawBanRecords(t, "c")
		merged := mergeAll(a, b, c)
		if reordered := mergeAll(c, a, mergeAll(b, a), c); !maps.Equal(merged, reordered) {
			t.Fatalf("the result depends on the order of merges: %v and %v", merged, reordered)
		}
		for id, r := range merged {
			for _, m := range []BanRecords{a, b, c} {
				if old, ok := m[id]; ok && (old.Seq > r.Seq || old.Seq == r.Seq && old.Banned && !r.Banned) {
					t.Fatalf("%v was replaced by %v", old, r)
				}
			}
		}
		was := merged["a"]
		if r := merged.Set("a", !was.Banned, 0); !r.Supersedes(was) {
			t.Fatalf("%v does not supersede %v", r, was)
		}
	})
	full := BanRecords{}
	for i := range maxBanRecords {
		full[string(rune(0x4e00+i))] = BanRecord{Seq: 1}
	}
	if _, refused := full.Merge(BanRecords{"one more": {Seq: 1, Banned: true}}); refused != 1 || len(full) != maxBanRecords {
		t.Errorf("%d records refused, %d stored", refused, len(full))
	}
}

// Answers merge to the same result in any order: the newest list, all draining workers, the latest start of a worker, and the latest
// time at which a copy was found.
func TestPeerStateMergesAnswersConservativelyInAnyOrder(t *testing.T) {
	a := &Answer{Event: 5, Draining: []string{"x"}, Started: map[string]int64{"y": 3000}, LoadedCopies: map[string][]Copy{"f": {{"x", 500}}},
		Rate: 10}
	b := &Answer{Event: 8, Started: map[string]int64{"y": 1000}, LoadedCopies: map[string][]Copy{"f": {{"x", 100}, {"z", 0}}},
		Rate: 20, Full: true, BanRecords: BanRecords{"w": {Seq: 1, Banned: true}}}
	merged, reordered := NewPeerState(), NewPeerState()
	for _, answer := range []*Answer{a, b} {
		if err := answer.Check(); err != nil {
			t.Fatal(err)
		}
		merged.Add(answer, testTime)
	}
	reordered.Add(b, testTime)
	reordered.Add(a, testTime)
	if !reflect.DeepEqual(merged, reordered) {
		t.Errorf("the result depends on the order of answers: %+v and %+v", merged, reordered)
	}
	if merged.Event != 8 || merged.Answers != 2 || merged.InFullService != 1 || merged.Started["y"] != testTime-time.Second ||
		len(merged.LoadedCopies["f"]) != 2 {
		t.Errorf("merged state: %+v", merged)
	}
	if drains := merged.NewerDrains(4); drains["x"] != 5 || len(merged.NewerDrains(5)) != 0 {
		t.Errorf("drains newer than event 4: %v, newer than event 5: %v", drains, merged.NewerDrains(5))
	}
	for _, answer := range []Answer{{Rate: -1}, {Started: map[string]int64{"": 1}}, {Started: map[string]int64{"a": -1}},
		{LoadedCopies: map[string][]Copy{"f": {{"", 1}}}}, {LoadedCopies: map[string][]Copy{"f": {{"w", maxAgeMs + 1}}}},
		{BanRecords: BanRecords{"": {}}}} {
		if answer.Check() == nil {
			t.Errorf("Check accepts an invalid answer: %+v", answer)
		}
	}
}
