package workerlink

import (
	"strings"
	"testing"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// newAttempt returns an attempt of a new call, and what records the replies to the call.
func newAttempt(ref core.Ref, host, id string) (core.Attempt, *wiretest.Replies) {
	caller := &wiretest.Replies{}
	return core.Attempt{Ref: ref, Host: host, Deadline: 1 << 62, Call: &core.Call{ID: id, ClassName: "read", Reply: caller}}, caller
}

// A worker begins to drain while a connection to it is being established: the calls and orders that wait for the connection are not
// written. The connection is established only in Run, so the drain always comes first.
func TestUnwrittenMessagesWithdrawnFromDrainingWorker(t *testing.T) {
	r := newRig(t)
	a, _ := newAttempt(90, "wa", "first")
	r.pool.Send(a)
	r.pool.Load(91, "wa", "00000000000000ff", 1)
	r.pool.WithdrawUnwritten(func(worker string) bool { return worker != "wa" })
	r.Run()
	if got := r.peers["a:1"][0].Take(); got != "" {
		t.Errorf("sent %q", got)
	}
	r.expectOutcomes(90, decide.NotSent)
	if len(r.loads) != 1 {
		t.Errorf("the order has ended %d times, want 1", len(r.loads))
	}
}

// A call whose client leaves while the connection is being established is not written, although the core has not been notified yet.
func TestCallOfDisconnectedClientIsNotWritten(t *testing.T) {
	r := newRig(t)
	a, caller := newAttempt(90, "wa", "first")
	b, _ := newAttempt(91, "wa", "second")
	r.pool.Send(a)
	r.pool.Send(b)
	caller.HasLeft = true
	r.Run()
	if got := r.peers["a:1"][0].Take(); strings.Contains(got, "first") || !strings.HasPrefix(got, "CALL second ") {
		t.Errorf("sent %q", got)
	}
	r.expectOutcomes(90, decide.NotSent)
	if r.written != 1 {
		t.Errorf("%d attempts counted as written, want 1", r.written)
	}
}

// Nothing more is written to a connection whose worker accepts no bytes: messages stay in the outbox where they can be withdrawn, and
// other calls use another connection. After blockedTimeout the connection is closed, so that the bytes it holds never arrive.
func TestBlockedConnectionIsAvoidedThenClosed(t *testing.T) {
	r := newRig(t)
	r.pool.site.StreamsPerConn = 9
	first := r.send("wa", "")
	conn := r.peers["a:1"][0].Far()
	conn.UnsentBytes = 1000
	r.send("wa", "")
	third := r.send("wa", "")
	if len(r.peers["a:1"]) != 2 {
		t.Fatalf("got %d connections, want 2: no call may be assigned to a blocked one", len(r.peers["a:1"]))
	}
	r.peers["a:1"][0].Take()
	r.pool.Cancel("wa", first)
	if r.Run(); r.peers["a:1"][0].Take() != "" {
		t.Error("more was written to a blocked connection")
	}
	conn.Flush()
	if r.Run(); !strings.HasPrefix(r.peers["a:1"][0].Take(), "CANCEL ") {
		t.Error("the CANCEL was not written once the connection was unblocked")
	}
	r.expectOutcomes(third)

	r = newRig(t)
	r.send("wa", "")
	r.peers["a:1"][0].Far().UnsentBytes = 1000
	held := r.send("wa", "")
	r.Advance(blockedTimeout)
	r.expectOutcomes(held, decide.Reset)
	if !r.peers["a:1"][0].Ended {
		t.Error("the connection is still open")
	}
}

// WithdrawAttempt withdraws an attempt that has not been written, once, and none that has been written.
func TestWithdrawAttemptOnlyBeforeWrite(t *testing.T) {
	r := newRig(t)
	a, _ := newAttempt(90, "wa", "first")
	r.pool.Send(a)
	if !r.pool.WithdrawAttempt("wa", 90) || r.pool.WithdrawAttempt("wa", 90) || r.pool.WithdrawAttempt("nobody", 90) {
		t.Error("an unwritten attempt was not withdrawn exactly once")
	}
	written := r.send("wa", "")
	if r.pool.WithdrawAttempt("wa", written) {
		t.Error("a written attempt was withdrawn")
	}
	if got := r.peers["a:1"][0].Take(); strings.Contains(got, "first") {
		t.Errorf("sent %q", got)
	}
}

// A call that is unwritten when its connection ends has not run, even if a load order on the connection has the same ref.
func TestUnwrittenCallWithSameRefAsOrderHasNotRun(t *testing.T) {
	r := newRig(t)
	written := r.send("wa", "")
	a, _ := newAttempt(90, "wa", "second")
	r.pool.Send(a)
	r.pool.Load(90, "wa", "00000000000000ff", 1)
	r.pool.ApplyList(false, []core.Member{member("wa", "a:1", decide.Ready, 1)}) // a restart, which closes the worker's connections
	r.expectOutcomes(90, decide.NoConn)
	r.expectOutcomes(written, decide.Reset)
}

// A process that was suspended between a decision and its write must not write it, since the worker may have been draining or gone for
// long. The test establishes the connection only after the time has passed.
func TestStaleMessagesAreNotWrittenAfterPause(t *testing.T) {
	r := newRig(t)
	a, _ := newAttempt(90, "wa", "first")
	r.pool.Send(a)
	r.pool.Load(91, "wa", "00000000000000ff", 1)
	r.Stall(r.pool.site.ConnectTimeout + blockedTimeout + maxLoopDelay + 1)
	r.pool.hosts["wa"].conns[0].connected(&wiretest.Conn{}, nil)
	if r.written != 0 || len(r.loads) != 1 {
		t.Errorf("%d attempts written, want 0; the order has ended %d times, want 1", r.written, len(r.loads))
	}
	r.expectOutcomes(90, decide.NotSent)
}
