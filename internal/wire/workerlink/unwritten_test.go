package workerlink

import (
	"strings"
	"testing"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// call is an attempt of a call with a caller of its own.
func call(ref core.Ref, host, id string) (core.Attempt, *wiretest.Replies) {
	caller := &wiretest.Replies{}
	return core.Attempt{Ref: ref, Host: host, Deadline: 1 << 62, Call: &core.Call{ID: id, ClassName: "read", Reply: caller}}, caller
}

// While a connection comes up its worker begins to drain: what waits for the connection stays here. The connection comes up
// only in Run, so that the drain is always first.
func TestNothingIsWrittenToAWorkerThatDrainsMeanwhile(t *testing.T) {
	r := newRig(t)
	a, _ := call(90, "wa", "first")
	r.pool.Send(a)
	r.pool.Load(91, "wa", "00000000000000ff", 1)
	r.pool.WithdrawUnwritten(func(worker string) bool { return worker != "wa" })
	r.Run()
	if got := r.peers["a:1"][0].Take(); got != "" {
		t.Errorf("sent %q", got)
	}
	r.want(90, decide.Nop)
	if len(r.loads) != 1 {
		t.Errorf("the order has ended %d times", len(r.loads))
	}
}

// A call whose client has left while the connection came up is not written, though the core has not been told yet.
func TestNothingIsWrittenForAClientThatHasLeft(t *testing.T) {
	r := newRig(t)
	a, caller := call(90, "wa", "first")
	b, _ := call(91, "wa", "second")
	r.pool.Send(a)
	r.pool.Send(b)
	caller.HasLeft = true
	r.Run()
	if got := r.peers["a:1"][0].Take(); strings.Contains(got, "first") || !strings.HasPrefix(got, "CALL second ") {
		t.Errorf("sent %q", got)
	}
	r.want(90, decide.Nop)
	if r.wrote != 1 {
		t.Errorf("%d attempts counted as written", r.wrote)
	}
}

// A worker that takes no bytes is given nothing more: what waits can be taken back, other calls go elsewhere, and in the end
// the connection is closed, so that what it holds never arrives.
func TestWorkerThatTakesNoBytes(t *testing.T) {
	r := newRig(t)
	r.pool.set.StreamsPerConn = 9
	first := r.send("wa", "")
	near := r.peers["a:1"][0].Far()
	near.Slow = 1000
	r.send("wa", "")
	third := r.send("wa", "")
	if len(r.peers["a:1"]) != 2 {
		t.Fatalf("%d connections, a call was given to one that takes nothing", len(r.peers["a:1"]))
	}
	r.peers["a:1"][0].Take()
	r.pool.Cancel("wa", first)
	if r.Run(); r.peers["a:1"][0].Take() != "" {
		t.Error("more is written to a connection that takes nothing")
	}
	near.Flush()
	if r.Run(); !strings.HasPrefix(r.peers["a:1"][0].Take(), "CANCEL ") {
		t.Error("nothing is written once there is room")
	}
	r.want(third)

	r = newRig(t)
	r.send("wa", "")
	r.peers["a:1"][0].Far().Slow = 1000
	held := r.send("wa", "")
	r.Pass(blockLimit)
	r.want(held, decide.Reset)
	if !r.peers["a:1"][0].Over {
		t.Error("the connection is still open")
	}
}

// An attempt whose request has ended is taken back as long as it is unwritten, and not afterwards.
func TestUnsend(t *testing.T) {
	r := newRig(t)
	a, _ := call(90, "wa", "first")
	r.pool.Send(a)
	if !r.pool.WithdrawAttempt("wa", 90) || r.pool.WithdrawAttempt("wa", 90) || r.pool.WithdrawAttempt("nobody", 90) {
		t.Error("an unwritten attempt is taken back once")
	}
	written := r.send("wa", "")
	if r.pool.WithdrawAttempt("wa", written) {
		t.Error("a written attempt was taken back")
	}
	if got := r.peers["a:1"][0].Take(); strings.Contains(got, "first") {
		t.Errorf("sent %q", got)
	}
}

// A call that is unwritten when its connection ends has not run, also beside an order whose ref is the same number.
func TestUnwrittenCallBesideAnOrderOfTheSameRef(t *testing.T) {
	r := newRig(t)
	written := r.send("wa", "")
	a, _ := call(90, "wa", "second")
	r.pool.Send(a)
	r.pool.Load(90, "wa", "00000000000000ff", 1)
	r.pool.ApplyList(false, []core.Member{member("wa", "a:1", decide.Ready, 1)}) // started anew: its connections are closed
	r.want(90, decide.NoConn)
	r.want(written, decide.Reset)
}

// A process that was stopped between a decision and its write does not write it: the worker may have been told to drain, or
// to end, long ago. The connection comes up only in Run, after the time has passed.
func TestNothingIsWrittenThatWasDecidedLongAgo(t *testing.T) {
	r := newRig(t)
	a, _ := call(90, "wa", "first")
	r.pool.Send(a)
	r.pool.Load(91, "wa", "00000000000000ff", 1)
	r.Skip(r.pool.set.ConnectTimeout + blockLimit + writeLag + 1)
	r.pool.hosts["wa"].conns[0].up(&wiretest.Conn{}, nil)
	if r.wrote != 0 || len(r.loads) != 1 {
		t.Errorf("%d attempts written, the order has ended %d times", r.wrote, len(r.loads))
	}
	r.want(90, decide.Nop)
}
