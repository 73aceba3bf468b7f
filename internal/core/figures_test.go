package core_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/roster"
)

// Under random calls, ends, lists and bans the figures equal what the clients and the workers saw, and nothing is
// sent or ordered to a worker under a ban: no attempt, retry, second copy, held request or load.
func TestFiguresAndBansUnderRandomSteps(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := newBench(t)
		banned, listed := map[string]bool{}, map[string]bool{"w0": true, "w1": true, "w2": true}
		sent := 0
		check := func(what string) {
			t.Helper()
			for _, a := range b.fresh() {
				if sent++; banned[a] {
					t.Fatalf("seed %d, %s: sent to %s, which is left out by hand", seed, what, a)
				}
			}
			f := b.core.Figures()
			var got [3]uint64
			for _, c := range f.Classes {
				got[0], got[1], got[2] = got[0]+c.OK, got[1]+c.Shed, got[2]+c.Errors
			}
			var want [3]uint64
			for _, r := range b.calls {
				for _, a := range r.Answers {
					want[slices.Index([]string{"served", "refused", "failed"}, a)]++
				}
			}
			out := 0
			for n := range banned {
				if listed[n] {
					out++
				}
			}
			if got != want || f.Active != b.core.Open() || f.PoolSize != len(listed) || f.PoolEjected < out ||
				f.PoolEjected > len(listed) {
				t.Fatalf("seed %d, %s: figures %+v; answers %v, %d open, %d listed, %d banned", seed, what, f, want,
					b.core.Open(), len(listed), out)
			}
		}
		for range 200 {
			switch id := fmt.Sprint("w", rng.IntN(4)); rng.IntN(9) {
			case 0, 1, 2:
				b.call(rng.IntN(2), time.Duration(1+rng.IntN(40))*100*time.Millisecond)
				check("call")
			case 3, 4:
				if len(b.out) > 0 {
					b.end(rng.IntN(len(b.out)), []decide.Outcome{decide.Good, decide.Good, decide.Full, decide.Bad}[rng.IntN(4)])
				}
				check("end")
			case 5:
				b.Pass(time.Duration(rng.IntN(300)) * time.Millisecond)
				check("time")
			case 6:
				state := decide.HostState(rng.IntN(3))
				if listed[id] = true; state == decide.Gone {
					delete(listed, id)
				}
				b.core.List(false, []core.Member{{Host: decide.Host{Name: id, State: state}}})
				check("list")
			case 7:
				if err := b.core.Disable(id); (err == nil) != (listed[id] || banned[id]) {
					t.Fatalf("seed %d: disable %s: %v", seed, id, err)
				} else if err == nil {
					banned[id] = true
				} else if !errors.Is(err, roster.ErrUnknown) {
					t.Fatal(err)
				}
				check("ban")
			case 8:
				if b.core.Enable(id) == nil {
					delete(banned, id)
				}
				check("call back")
			}
		}
		b.Pass(6 * time.Second)
		if check("the end"); b.core.Figures().Active != 0 || sent == 0 {
			t.Fatalf("seed %d: %d active at the end, %d sent", seed, b.core.Figures().Active, sent)
		}
	}
}

// A request under the id of an open one, or one that finds the tables full, is answered by the core itself and counts
// as well.
func TestAnswersOfTheCoreItselfCount(t *testing.T) {
	b := newBench(t)
	b.call(0, time.Second)
	b.core.Take(core.Call{ID: b.out[0].Call.ID, Class: 1, Wait: time.Second, Function: "f", Reply: b.calls[0]})
	if f := b.core.Figures(); f.Classes[1].Errors != 1 || f.Active != 1 {
		t.Errorf("figures %+v", f)
	}
	b.core.Wrote(3)
	if f := b.core.Figures(); f.Tries != 3 {
		t.Errorf("tries %d", f.Tries)
	}
}

// What must not wait goes ahead of what was posted before it, also within a turn, and keeps its own order.
func TestPostFirst(t *testing.T) {
	l := core.NewLoop(func() time.Duration { return 0 })
	var got []int
	add := func(n int) func() { return func() { got = append(got, n) } }
	l.Post(func() { got = append(got, 3); l.PostFirst(add(4)); l.PostFirst(add(5)) })
	l.Post(add(6))
	l.PostFirst(add(1))
	l.PostFirst(add(2))
	if l.Turn(); !slices.Equal(got, []int{1, 2, 3, 4, 5, 6}) {
		t.Errorf("order %v", got)
	}
}
