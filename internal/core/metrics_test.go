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

// Under random calls, results, list changes and bans, the metrics equal what the clients and workers saw, and a banned worker gets
// nothing: no attempt, retry, second copy, held request or load.
func TestMetricsAndBansUnderRandomSteps(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		fx := newFixture(t)
		banned, listed := map[string]bool{}, map[string]bool{"w0": true, "w1": true, "w2": true}
		sent := 0
		check := func(step string) {
			t.Helper()
			for _, host := range fx.takeSentTo() {
				if sent++; banned[host] {
					t.Fatalf("seed %d, %s: sent to %s, which is banned", seed, step, host)
				}
			}
			metrics := fx.core.Metrics()
			var got [3]uint64
			for _, c := range metrics.Classes {
				got[0], got[1], got[2] = got[0]+c.OK, got[1]+c.Shed, got[2]+c.Errors
			}
			var want [3]uint64
			for _, r := range fx.replies {
				for _, a := range r.Answers {
					want[slices.Index([]string{"served", "refused", "failed"}, a)]++
				}
			}
			listedAndBanned := 0
			for n := range banned {
				if listed[n] {
					listedAndBanned++
				}
			}
			if got != want || metrics.Active != fx.core.InFlight() || metrics.PoolSize != len(listed) || metrics.PoolEjected < listedAndBanned ||
				metrics.PoolEjected > len(listed) {
				t.Fatalf("seed %d, %s: metrics %+v; answers %v, %d in flight, %d listed, %d listed and banned", seed, step, metrics, want,
					fx.core.InFlight(), len(listed), listedAndBanned)
			}
		}
		for range 200 {
			switch id := fmt.Sprint("w", rng.IntN(4)); rng.IntN(9) {
			case 0, 1, 2:
				fx.call(rng.IntN(2), time.Duration(1+rng.IntN(40))*100*time.Millisecond)
				check("call")
			case 3, 4:
				if len(fx.inFlight) > 0 {
					fx.end(rng.IntN(len(fx.inFlight)), []decide.Outcome{decide.Good, decide.Good, decide.Full, decide.Bad}[rng.IntN(4)])
				}
				check("result")
			case 5:
				fx.Advance(time.Duration(rng.IntN(300)) * time.Millisecond)
				check("time")
			case 6:
				state := decide.HostState(rng.IntN(3))
				if listed[id] = true; state == decide.Gone {
					delete(listed, id)
				}
				fx.core.ApplyList(false, []core.Member{{Host: decide.Host{Name: id, State: state}}})
				check("list")
			case 7:
				if err := fx.core.Disable(id); (err == nil) != (listed[id] || banned[id]) {
					t.Fatalf("seed %d: disable %s: %v", seed, id, err)
				} else if err == nil {
					banned[id] = true
				} else if !errors.Is(err, roster.ErrUnknown) {
					t.Fatal(err)
				}
				check("ban")
			case 8:
				if fx.core.Enable(id) == nil {
					delete(banned, id)
				}
				check("ban lifted")
			}
		}
		fx.Advance(6 * time.Second)
		if check("the end"); fx.core.Metrics().Active != 0 || sent == 0 {
			t.Fatalf("seed %d: %d requests in flight at the end, %d sent", seed, fx.core.Metrics().Active, sent)
		}
	}
}

// The metrics also count requests that the core answers itself, such as one with the ID of a request in flight, and the attempts
// that the link reports as written.
func TestMetricsCountAnswersOfTheCoreItself(t *testing.T) {
	fx := newFixture(t)
	fx.call(0, time.Second)
	fx.core.Submit(core.Call{ID: fx.inFlight[0].Call.ID, Class: 1, Wait: time.Second, Function: "f", Reply: fx.replies[0]})
	if metrics := fx.core.Metrics(); metrics.Classes[1].Errors != 1 || metrics.Active != 1 {
		t.Errorf("metrics %+v", metrics)
	}
	fx.core.Wrote(3)
	if metrics := fx.core.Metrics(); metrics.Attempts != 3 {
		t.Errorf("%d attempts, want 3", metrics.Attempts)
	}
}

// Urgent functions run before all that were posted earlier, also within a loop iteration, and in the order of their posting.
func TestPostUrgent(t *testing.T) {
	l := core.NewLoop(func() time.Duration { return 0 })
	var got []int
	add := func(n int) func() { return func() { got = append(got, n) } }
	l.Post(func() { got = append(got, 3); l.PostUrgent(add(4)); l.PostUrgent(add(5)) })
	l.Post(add(6))
	l.PostUrgent(add(1))
	l.PostUrgent(add(2))
	if l.RunOnce(); !slices.Equal(got, []int{1, 2, 3, 4, 5, 6}) {
		t.Errorf("the functions ran in the order %v", got)
	}
}
