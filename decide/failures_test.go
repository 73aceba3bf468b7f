package decide

import (
	"fmt"
	"testing"
	"time"
)

// Errors count for each class: a few workers quickly failed all calls of one class, and successes of the other class hid
// the errors.
func TestErrorsCountByClass(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	w, fn := f.router.ready[0], &function{name: "x", lanes: 1, served: true}
	for range 3 {
		p := f.router.ensurePlacement(fn, w)
		req := &request{class: 0, fn: fn}
		f.router.learn(req, &attempt{worker: w, placement: p, warm: true}, Result{Outcome: Bad})
		f.router.learn(&request{class: 1, fn: req.fn}, &attempt{worker: w, placement: p, warm: true}, Result{Outcome: Good, Note: FoundWarm})
	}
	f.router.judgeHealth()
	if !w.health[0].ejected || w.health[1].ejected {
		t.Errorf("ejected by class: %v %v, want true false", w.health[0].ejected, w.health[1].ejected)
	}
}

// Calls of functions that no worker knows end in errors everywhere. Each such error had ejected a worker for all calls.
func TestErrorOfNeverServedFunctionDoesNotEjectWorker(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	for i := range 8 {
		id := f.call(0, 0, fmt.Sprint("unknown", i))
		for f.ended[id] == "" {
			f.reportResult(f.lastSend(), Bad, NoNote)
		}
	}
	for _, w := range f.router.ready {
		if w.health[0].ejectedUntil > f.now {
			t.Errorf("%s is ejected", w.host.Name)
		}
	}
}

// Each reset of a connection had ejected its worker for all calls, although calls on other connections there were still
// answered. All calls of one connection end together and count as one loss; only a second loss before the next answer
// ejects the worker.
func TestOneLostConnectionDoesNotEjectWorker(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	home := f.warmUp(0, "fn")
	ejected := func() bool { return f.router.workers[home].health[0].ejectedUntil > f.now }
	resetConnection := func(n int) { // with n calls in flight
		var ids []uint64
		for range n {
			ids = append(ids, f.call(0, 0, "fn"))
		}
		f.now += 20 * time.Millisecond
		for _, id := range ids {
			f.reportResult(f.sendsOf(id)[0], Reset, NoNote)
		}
	}
	resetConnection(2)
	if ejected() || !f.router.funcs["fn"].placementAt(f.router.workers[home]).loaded {
		t.Error("one lost connection ejected the worker, or had its copy forgotten")
	}
	f.reportResult(sendRecord{f.call(0, 0, "fn"), home, 0, f.now}, Good, FoundWarm)
	resetConnection(1)
	if ejected() {
		t.Error("the worker was ejected though it answered between two losses")
	}
	resetConnection(1)
	if !ejected() {
		t.Error("the worker was not ejected after two losses in a row")
	}
}

// A dead worker refuses connections at once, faster than the others answer: in an overload it drew 62% of the sends.
func TestDeadWorkerGetsFewSends(t *testing.T) {
	f := newFake(t, testSettings(), 3)
	for i := 0; len(f.sent) < 40 && i < 40; i++ {
		id := f.call(0, 0, fmt.Sprint("fn", i))
		for n := 0; n < len(f.sendsOf(id)); n++ {
			if s := f.sendsOf(id)[n]; s.host == "w1" {
				f.reportResult(s, NoConn, NoNote)
			}
		}
		f.advance(sweepInterval)
	}
	toDead := 0
	for _, s := range f.sent {
		if s.host == "w1" {
			toDead++
		}
	}
	if toDead > 2 {
		t.Errorf("%d of %d sends went to the dead worker within 0.4 s, want at most 2", toDead, len(f.sent))
	}
}

func TestSilentWorkerIsEjectedUntilItAnswers(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	home := f.warmUp(0, "fn")
	f.call(0, 0, "fn")
	f.advance(2 * sec)
	if !f.router.workers[home].health[0].ejected {
		t.Error("a worker that did not answer a call at a loaded copy for 2 s is not ejected")
	}
	f.reportResult(f.sendsOf(2)[0], Good, FoundWarm)
	f.advance(sweepInterval)
	if f.router.workers[home].health[0].ejected {
		t.Error("the worker is still ejected after it answered")
	}
}

func TestPendingLoadDoesNotEjectWorker(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	f.call(0, 0, "fn")
	f.advance(2 * sec)
	for _, w := range f.router.ready {
		if w.health[0].ejected {
			t.Errorf("%s is ejected while a load is pending", w.host.Name)
		}
	}
}

func TestEjectionNeverEmptiesTheFleet(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	for _, w := range f.router.ready {
		w.health[0].ejectedUntil = f.now + sec
	}
	f.router.judgeHealth()
	if id := f.call(0, 0, "fn"); len(f.sendsOf(id)) != 1 {
		t.Errorf("%d sends with every worker ejected, want 1", len(f.sendsOf(id)))
	}
}

// A fault of the gateway's own machine, such as a temporary lack of resources, counts neither against the worker nor
// against its copies.
func TestLocalFaultDoesNotEjectWorker(t *testing.T) {
	f := newFake(t, testSettings(), 2)
	home := f.warmUp(0, "a")
	for range 3 {
		id := f.call(0, 0, "a")
		s := f.sendsOf(id)[0]
		if s.host != home {
			t.Fatalf("sent to %s, want %s which has the copy", s.host, home)
		}
		f.handle(ClientGone{ID: id})
		f.handle(Result{ID: id, Host: s.host, Outcome: NoConn, Note: LocalFault, Final: true, Contention: -1})
		f.advance(20 * time.Millisecond)
	}
	if f.router.Avoids(home) {
		t.Error("the worker is avoided after faults of the gateway's own machine")
	}
}
