package decide

import (
	"fmt"
	"testing"
	"time"
)

// i2def6e: fast errors of one class at a few workers; successes of the other class hid them.
func TestErrorsCountByClass(t *testing.T) {
	f := start(t, site(), 4)
	w, fn := f.r.ready[0], &function{name: "x", lanes: 1, served: true}
	for range 3 {
		p := f.r.ensurePlacement(fn, w)
		q := &request{class: 0, fn: fn}
		f.r.learn(q, &attempt{worker: w, placement: p, warm: true}, Result{Outcome: Bad})
		f.r.learn(&request{class: 1, fn: q.fn}, &attempt{worker: w, placement: p, warm: true}, Result{Outcome: Good, Note: FoundWarm})
	}
	f.r.judgeHealth()
	if !w.health[0].ejected || w.health[1].ejected {
		t.Errorf("out by class: %v %v, want true false", w.health[0].ejected, w.health[1].ejected)
	}
}

// i2def6e, floripa overload: a dead worker answers fastest and drew 62% of the sends.
// Calls for functions that no worker knows end in errors everywhere; each had set a worker aside for everyone's calls.
func TestErrorForAFunctionNeverServedIsNoSickness(t *testing.T) {
	f := start(t, site(), 4)
	for i := range 8 {
		id := f.call(0, 0, fmt.Sprint("unknown", i))
		for f.ended[id] == "" {
			f.result(f.last(), Bad, NoNote)
		}
	}
	for _, w := range f.r.ready {
		if w.health[0].ejectedUntil > f.now {
			t.Errorf("%s is set aside", w.host.Name)
		}
	}
}

// Each connection that was reset had set its worker aside for all, though the others there went on answering. What one
// connection carried ends at once; a second loss before the next answer speaks of the worker.
func TestOneLostConnectionIsNoSickness(t *testing.T) {
	f := start(t, site(), 4)
	home := f.warm(0, "fn")
	aside := func() bool { return f.r.workers[home].health[0].ejectedUntil > f.now }
	lose := func(n int) {
		var ids []uint64
		for range n {
			ids = append(ids, f.call(0, 0, "fn"))
		}
		f.now += 20 * time.Millisecond
		for _, id := range ids {
			f.result(f.of(id)[0], Reset, NoNote)
		}
	}
	lose(2)
	if aside() || !f.r.funcs["fn"].placementAt(f.r.workers[home]).loaded {
		t.Error("set aside, or its copy forgotten, for one connection")
	}
	f.result(sent{f.call(0, 0, "fn"), home, 0, f.now}, Good, FoundWarm)
	lose(1)
	if aside() {
		t.Error("set aside though it answered between two losses")
	}
	lose(1)
	if !aside() {
		t.Error("not set aside for two losses in a row")
	}
}

func TestDeadWorkerIsNoLastResort(t *testing.T) {
	f := start(t, site(), 3)
	for i := 0; len(f.sent) < 40 && i < 40; i++ {
		id := f.call(0, 0, fmt.Sprint("fn", i))
		for n := 0; n < len(f.of(id)); n++ {
			if s := f.of(id)[n]; s.host == "w1" {
				f.result(s, NoConn, NoNote)
			}
		}
		f.pass(sweepInterval)
	}
	dead := 0
	for _, s := range f.sent {
		if s.host == "w1" {
			dead++
		}
	}
	if dead > 2 {
		t.Errorf("%d of %d sends went to the dead worker within 0.4 s", dead, len(f.sent))
	}
}

func TestSilentWorkerIsLeft(t *testing.T) {
	f := start(t, site(), 4)
	home := f.warm(0, "fn")
	f.call(0, 0, "fn")
	f.pass(2 * sec)
	if !f.r.workers[home].health[0].ejected {
		t.Error("a worker silent for 2 s with a call at a loaded copy is still used")
	}
	f.result(f.of(2)[0], Good, FoundWarm)
	f.pass(sweepInterval)
	if f.r.workers[home].health[0].ejected {
		t.Error("still out after it was heard")
	}
}

func TestLoadAwaitedIsNotSickness(t *testing.T) {
	f := start(t, site(), 2)
	f.call(0, 0, "fn")
	f.pass(2 * sec)
	for _, w := range f.r.ready {
		if w.health[0].ejected {
			t.Errorf("%s is out while a load is awaited", w.host.Name)
		}
	}
}

func TestHealthNeverEmptiesTheFleet(t *testing.T) {
	f := start(t, site(), 4)
	for _, w := range f.r.ready {
		w.health[0].ejectedUntil = f.now + sec
	}
	f.r.judgeHealth()
	if id := f.call(0, 0, "fn"); len(f.of(id)) != 1 {
		t.Error("every worker was set aside")
	}
}

// What the gateway's own machine lacks for a moment is not held against the worker, nor against the copies there.
func TestLocalFaultIsNotTheWorkers(t *testing.T) {
	f := start(t, site(), 2)
	home := f.warm(0, "a")
	for range 3 {
		id := f.call(0, 0, "a")
		s := f.of(id)[0]
		if s.host != home {
			t.Fatalf("sent to %s, the copy is at %s", s.host, home)
		}
		f.do(ClientGone{ID: id})
		f.do(Result{ID: id, Host: s.host, Outcome: NoConn, Note: LocalFault, Final: true, Contention: -1})
		f.pass(20 * time.Millisecond)
	}
	if f.r.Avoids(home) {
		t.Error("the worker is set aside")
	}
}
