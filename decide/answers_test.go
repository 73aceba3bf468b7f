package decide

import (
	"slices"
	"testing"
	"time"
)

func TestHeldRequestWithoutWorkersIsRefusedByDeadline(t *testing.T) {
	f := newFake(t, testSettings(), 0)
	id := f.call(3, 0, "fn")
	if len(f.sent) != 0 || f.ended[id] != "" {
		t.Fatalf("want the request held, got %d sends and answer %q", len(f.sent), f.ended[id])
	}
	f.advance(4 * sec)
	if f.ended[id] != "refuse" {
		t.Errorf("ended as %q, want refuse", f.ended[id])
	}
}

func TestHeldRequestIsSentWhenWorkerIsListed(t *testing.T) {
	f := newFake(t, testSettings(), 0)
	id := f.call(0, 0, "fn")
	f.handle(List{Hosts: []Host{{Name: "w9"}}})
	if len(f.sendsOf(id)) != 1 {
		t.Error("the held request was not sent to the new worker")
	}
}

func TestTimeoutAtDeadlineEndsRequest(t *testing.T) {
	for class, want := range []string{"refuse", "refuse", "fail", "fail"} {
		f := newFake(t, testSettings(), 1)
		id := f.call(class, 0, "fn")
		f.now += 4 * sec
		f.reportResult(f.sendsOf(id)[0], TimedOut, NoNote)
		if f.ended[id] != want {
			t.Errorf("class %d: ended as %q, want %q", class, f.ended[id], want)
		}
	}
}

func TestNoRetryAfterClientIsGone(t *testing.T) {
	f := newFake(t, testSettings(), 3)
	id := f.call(0, 0, "fn")
	f.handle(ClientGone{ID: id})
	f.reportResult(f.sendsOf(id)[0], NoConn, NoNote)
	f.advance(5 * sec)
	if len(f.sendsOf(id)) != 1 || f.ended[id] != "" {
		t.Errorf("sends %v and answer %q, want the first send alone and no answer", f.sendsOf(id), f.ended[id])
	}
}

func TestUnsafeRequestIsRetriedOnlyWhenNothingRan(t *testing.T) {
	for _, outcome := range []Outcome{Full, NoConn, NotSent, Miss, Bad, TimedOut, Reset, Cancelled} {
		f := newFake(t, testSettings(), 4)
		id := f.call(2, 0, "fn")
		f.reportResult(f.sendsOf(id)[0], outcome, NoNote)
		nothingRan := slices.Contains([]Outcome{Full, NoConn, NotSent, Miss}, outcome)
		if retried := len(f.sendsOf(id)) == 2; retried != nothingRan {
			t.Errorf("outcome %d: retried %v, want %v", outcome, retried, nothingRan)
		}
		if !nothingRan && f.ended[id] != "fail" {
			t.Errorf("outcome %d: ended as %q, want fail", outcome, f.ended[id])
		}
	}
}

func TestUnsafeRequestGetsNoSecondAttemptInFlight(t *testing.T) {
	f := newFake(t, testSettings(), 4)
	f.warmUp(2, "fn")
	id := f.call(2, 0, "fn")
	f.advance(4 * sec)
	if n := len(f.sendsOf(id)); n != 1 {
		t.Errorf("%d attempts while the first was in flight, want 1", n)
	}
}

func TestKeyedRetryStaysInWindowAndZone(t *testing.T) {
	f := newFake(t, testSettings(), 8)
	id := f.call(3, 0, "fn")
	first := f.sendsOf(id)[0]
	f.reportResult(first, Bad, NoNote)
	if sends := f.sendsOf(id); len(sends) != 2 ||
		f.router.workers[sends[1].host].host.Zone != f.router.workers[first.host].host.Zone {
		t.Fatalf("sends %+v, want a retry in the same zone", sends)
	}
	f.now += 2500 * time.Millisecond // past the key's window, which began with the first attempt
	f.reportResult(f.sendsOf(id)[1], Bad, NoNote)
	if len(f.sendsOf(id)) != 2 || f.ended[id] != "fail" {
		t.Errorf("%d sends, ended as %q; want no retry past the window and fail", len(f.sendsOf(id)), f.ended[id])
	}
}

func TestAttemptsDoNotOverlapWithoutParallel(t *testing.T) {
	settings := testSettings()
	settings.Parallel = false
	f := newFake(t, settings, 4)
	f.warmUp(0, "fn")
	p := f.router.ensurePlacement(f.router.funcs["fn"], f.router.ready[0])
	p.loaded, p.sentAt = true, f.now
	p = f.router.ensurePlacement(f.router.funcs["fn"], f.router.ready[1])
	p.loaded, p.sentAt = true, f.now
	id := f.call(0, 0, "fn")
	f.advance(600 * time.Millisecond)
	if len(f.sendsOf(id)) != 1 {
		t.Fatalf("%d attempts in flight for an overdue call, want 1", len(f.sendsOf(id)))
	}
	f.reportResult(f.sendsOf(id)[0], Bad, NoNote)
	if len(f.sendsOf(id)) != 2 {
		t.Error("not retried once no attempt was in flight")
	}
}
