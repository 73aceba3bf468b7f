package decide

import (
	"slices"
	"testing"
	"time"
)

func TestHeldWithoutWorkersIsAnsweredInTime(t *testing.T) {
	f := start(t, site(), 0)
	id := f.call(3, 0, "fn") // its aim is as late as its deadline
	if len(f.sent) != 0 || f.ended[id] != "" {
		t.Fatal("should be held")
	}
	f.pass(4 * sec)
	if f.ended[id] != "refuse" {
		t.Errorf("ended as %q", f.ended[id])
	}
}

func TestHeldIsSentWhenAWorkerComes(t *testing.T) {
	f := start(t, site(), 0)
	id := f.call(0, 0, "fn")
	f.do(List{Hosts: []Host{{Name: "w9"}}})
	if len(f.of(id)) != 1 {
		t.Error("not sent")
	}
}

func TestLateAtTheDeadlineEndsTheRequest(t *testing.T) {
	for class, want := range []string{"refuse", "refuse", "lose", "lose"} {
		f := start(t, site(), 1)
		id := f.call(class, 0, "fn")
		f.now += 4 * sec
		f.result(f.of(id)[0], TimedOut, NoNote)
		if f.ended[id] != want {
			t.Errorf("class %d: ended as %q, want %q", class, f.ended[id], want)
		}
	}
}

func TestNothingIsSentForAnEndedRequest(t *testing.T) {
	f := start(t, site(), 3)
	id := f.call(0, 0, "fn")
	f.do(ClientGone{ID: id})
	f.result(f.of(id)[0], NoConn, NoNote)
	f.pass(5 * sec)
	if len(f.of(id)) != 1 || f.ended[id] != "" {
		t.Errorf("sends %v, answer %q", f.of(id), f.ended[id])
	}
}

func TestUnsafeGoesAgainOnlyWhenNothingRan(t *testing.T) {
	for _, o := range []Outcome{Full, NoConn, NotSent, Miss, Bad, TimedOut, Reset, Cancelled} {
		f := start(t, site(), 4)
		id := f.call(2, 0, "fn")
		f.result(f.of(id)[0], o, NoNote)
		proof := slices.Contains([]Outcome{Full, NoConn, NotSent, Miss}, o)
		if again := len(f.of(id)) == 2; again != proof {
			t.Errorf("outcome %d: sent again %v", o, again)
		}
		if !proof && f.ended[id] != "lose" {
			t.Errorf("outcome %d: ended as %q", o, f.ended[id])
		}
	}
}

func TestUnsafeIsNeverDoubled(t *testing.T) {
	f := start(t, site(), 4)
	f.warm(2, "fn")
	id := f.call(2, 0, "fn")
	f.pass(4 * sec)
	if n := len(f.of(id)); n != 1 {
		t.Errorf("%d attempts while the first was out", n)
	}
}

func TestKeyedKeepsItsWindowAndGroup(t *testing.T) {
	f := start(t, site(), 8)
	id := f.call(3, 0, "fn")
	first := f.of(id)[0]
	f.result(first, Bad, NoNote)
	if l := f.of(id); len(l) != 2 || f.r.workers[l[1].host].host.Zone != f.r.workers[first.host].host.Zone {
		t.Fatalf("sends %+v: one more, in the same zone, was due", l)
	}
	f.now += 2500 * time.Millisecond // past the window of the first
	f.result(f.of(id)[1], Bad, NoNote)
	if len(f.of(id)) != 2 || f.ended[id] != "lose" {
		t.Errorf("sends %d, ended as %q", len(f.of(id)), f.ended[id])
	}
}

func TestAttemptsDoNotOverlapWhereNotAllowed(t *testing.T) {
	s := site()
	s.Parallel = false
	f := start(t, s, 4)
	f.warm(0, "fn")
	p := f.r.ensurePlacement(f.r.funcs["fn"], f.r.ready[0])
	p.loaded, p.sentAt = true, f.now
	p = f.r.ensurePlacement(f.r.funcs["fn"], f.r.ready[1])
	p.loaded, p.sentAt = true, f.now
	id := f.call(0, 0, "fn")
	f.pass(600 * time.Millisecond)
	if len(f.of(id)) != 1 {
		t.Fatalf("overdue: %d attempts out, want one", len(f.of(id)))
	}
	f.result(f.of(id)[0], Bad, NoNote)
	if len(f.of(id)) != 2 {
		t.Error("not sent again once nothing is out")
	}
}
