package workerlink

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

// rig is a pool with two workers that the test simulates. It records what the pool reports to the core.
type rig struct {
	*wiretest.World
	pool     *Pool
	peers    map[string][]*wiretest.Peer // connections by address, in order
	outcomes map[core.Ref][]decide.Outcome
	loads    []string
	lastRef  core.Ref
	written  int // attempts completely written
	reports  []*decide.Report
}

func (r *rig) Ended(ref core.Ref, e core.AttemptResult) {
	r.outcomes[ref], r.reports = append(r.outcomes[ref], e.Outcome), append(r.reports, e.Report)
}
func (r *rig) Probed(ref core.Ref, how decide.Outcome, report *decide.Report) {
	r.Ended(ref, core.AttemptResult{Outcome: how, Report: report})
}
func (r *rig) Wrote(n int) { r.written += n }
func (r *rig) Loaded(_ core.Ref, how decide.Outcome, copies int) {
	r.loads = append(r.loads, fmt.Sprint(how, copies))
}

func newRig(t testing.TB) *rig {
	r := &rig{World: wiretest.New(t), peers: map[string][]*wiretest.Peer{}, outcomes: map[core.Ref][]decide.Outcome{}}
	r.pool = New(r.Loop, r, wiretest.Site(), 6, r.Log())
	r.pool.SetReceiver(r)
	for _, addr := range []string{"a:1", "b:1"} {
		r.Listen(addr, func(c *wiretest.Conn) sock.Handler {
			p := &wiretest.Peer{Conn: c}
			r.peers[addr] = append(r.peers[addr], p)
			return p
		})
	}
	r.pool.ApplyList(true, []core.Member{member("wa", "a:1", decide.Ready, 0), member("wb", "b:1", decide.Ready, 0)})
	return r
}

func member(name, addr string, state decide.HostState, since time.Duration) core.Member {
	return core.Member{Addr: addr, Host: decide.Host{Name: name, State: state, Since: since}}
}

// send sends a call under the given id; if that is empty, under one made from its ref.
func (r *rig) send(host, id string) core.Ref {
	r.lastRef++
	if id == "" {
		id = fmt.Sprintf("%016x", uint64(r.lastRef))
	}
	r.pool.Send(core.Attempt{Ref: r.lastRef, Host: host, Deadline: r.Now() + time.Second, Call: &core.Call{ID: id, ClassName: "read",
		Function: "00000000000000ff", Key: "k", Body: []byte("in")}})
	r.Run()
	return r.lastRef
}

// expectOutcomes checks the outcomes reported so far for an attempt or a probe.
func (r *rig) expectOutcomes(ref core.Ref, want ...decide.Outcome) {
	r.T.Helper()
	if !slices.Equal(r.outcomes[ref], want) {
		r.T.Errorf("attempt %d: outcomes %v, want %v", ref, r.outcomes[ref], want)
	}
}

// A call is written in the workers' protocol, and a second answer to it is dropped, however the bytes are split.
func TestCallIsAnsweredOnce(t *testing.T) {
	for _, chunk := range []int{0, 1, 5} {
		r := newRig(t)
		r.MaxChunk = chunk
		ref := r.send("wa", "")
		p := r.peers["a:1"][0]
		if got, want := p.Take(), "CALL 0000000000000001 queue=read,path=00000000000000ff,budget=1000,uniq=k 2\r\nin\r\n"; got != want {
			t.Errorf("sent %q, want %q", got, want)
		}
		p.Write([]byte("0000000000000001 OK detail=warm 3\r\na\r\n\r\n"))
		p.Write([]byte("0000000000000001 OK detail=warm 0\r\n\r\n")) // second answer
		r.Run()
		r.expectOutcomes(ref, decide.Good)
	}
}

// A refused connection and one that times out have carried no call (NoConn); on one that is reset, the call may have run (Reset).
func TestConnectionFailureOutcomes(t *testing.T) {
	r := newRig(t)
	r.Listen("a:1", nil)
	r.expectOutcomes(r.send("wa", ""), decide.NoConn)
	r.Unanswered["b:1"] = true
	ref := r.send("wb", "")
	r.expectOutcomes(ref)
	r.Advance(250 * time.Millisecond)
	r.expectOutcomes(ref, decide.NoConn)
	r.Unanswered["b:1"] = false
	ref = r.send("wb", "")
	r.peers["b:1"][0].Close()
	r.Run()
	r.expectOutcomes(ref, decide.Reset)
	r.expectOutcomes(r.send("nobody", ""), decide.NoConn)
}

// A call cancelled while its connection is being established is never written.
func TestCallCancelledWhileConnectingIsNotWritten(t *testing.T) {
	r := newRig(t)
	r.pool.Send(core.Attempt{Ref: 90, Host: "wa", Deadline: r.Now() + time.Second, Call: &core.Call{ID: "first", ClassName: "read"}})
	r.pool.Send(core.Attempt{Ref: 91, Host: "wa", Deadline: r.Now() + time.Second, Call: &core.Call{ID: "second", ClassName: "read"}})
	r.pool.Cancel("wa", 90)
	r.Run()
	if got := r.peers["a:1"][0].Take(); strings.Contains(got, "first") || !strings.HasPrefix(got, "CALL second ") {
		t.Errorf("sent %q", got)
	}
}

// Calls are spread over connections, since one that breaks ends all calls on it. Once preferredConns connections are open, their remaining
// streams are used before another connection is dialled.
func TestCallsAreSpreadOverConnections(t *testing.T) {
	r := newRig(t)
	r.pool.site.StreamsPerConn = 2 * preferredCallsPerConn
	for i := range preferredConns * preferredCallsPerConn {
		r.send("wa", "")
		if n := len(r.peers["a:1"]); n != 1+i/preferredCallsPerConn {
			t.Fatalf("got %d connections for %d calls", n, 1+i)
		}
	}
	for range preferredConns * preferredCallsPerConn {
		r.send("wa", "")
	}
	if n := len(r.peers["a:1"]); n != preferredConns {
		t.Errorf("got %d connections while streams are free, want %d", n, preferredConns)
	}
}

// A connection on which an attempt was cancelled after the worker had sent nothing for stallTimeout gets no further calls until it
// receives bytes, although it has the most calls. It is closed once nothing is open on it.
func TestUnresponsiveConnectionIsAvoided(t *testing.T) {
	r := newRig(t)
	a, b := r.send("wa", "1"), r.send("wa", "2")
	r.Advance(time.Second)
	r.pool.Cancel("wa", a)
	c := r.send("wa", "3")
	if len(r.peers["a:1"]) != 2 || strings.Contains(r.peers["a:1"][0].Take(), "CALL 3") {
		t.Fatalf("got %d connections, want 2 with the third call on the second", len(r.peers["a:1"]))
	}
	r.pool.Cancel("wa", b)
	if r.Run(); !r.peers["a:1"][0].Ended || r.peers["a:1"][1].Ended {
		t.Error("the unresponsive connection is still open, or the other is closed")
	}
	d := r.send("wa", "4")
	r.Advance(time.Second)
	p := r.peers["a:1"][1]
	p.Write([]byte("3 OK - 0\r\n\r\n"))
	r.Run()
	r.expectOutcomes(c, decide.Good)
	r.pool.Cancel("wa", d) // the worker has sent bytes since d was sent
	e := r.send("wa", "5")
	if r.expectOutcomes(e); len(r.peers["a:1"]) != 2 {
		t.Error("a connection on which the worker answers is avoided")
	}
}

// Another worker that takes over an address must not be taken for the previous one, nor a restarted worker for its previous process.
func TestReusedAddressOrRestartResetsAttempts(t *testing.T) {
	r := newRig(t)
	old := r.send("wa", "")
	r.pool.ApplyList(false, []core.Member{member("wa", "a:1", decide.Gone, 0), member("wc", "a:1", decide.Ready, time.Hour)})
	r.Run()
	r.expectOutcomes(old, decide.Reset)
	ref := r.send("wc", "")
	r.pool.ApplyList(false, []core.Member{member("wc", "a:1", decide.Ready, 2*time.Hour)})
	r.expectOutcomes(ref, decide.Reset)
}

// An answer that cannot be parsed closes the connection, and the call open on it ends with Reset.
func TestMalformedAnswerClosesConnection(t *testing.T) {
	for _, text := range []string{"hello\r\n", "1 OK detail=odd 0\r\n\r\n", "1 WHAT - 0\r\n\r\n", "1 OK - 5\r\nabc\r\n12\r\n",
		"1 OK - 99999999\r\n", "1 OK - -1\r\n", "1 OK x 0\r\n\r\n", "1 OK pods=q 0\r\n\r\n", strings.Repeat("x", 2000),
		"1 OK\r\n", "1 OK -\r\n", "1 OK detail=warm\r\n", "1 BUSY\r\n"} {
		r := newRig(t)
		ref := r.send("wa", "1")
		p := r.peers["a:1"][0]
		p.Write([]byte(text))
		r.Run()
		r.expectOutcomes(ref, decide.Reset)
		if !p.Ended {
			t.Errorf("%.30q: the connection is still open", text)
		}
	}
}

// An idle connection is closed before the worker would close it, but not while a call is open on it.
func TestIdleConnectionClosesBeforeWorkerTimeout(t *testing.T) {
	r := newRig(t)
	ref := r.send("wa", "1")
	r.Advance(time.Minute)
	p := r.peers["a:1"][0]
	if p.Ended {
		t.Fatal("closed with a call open")
	}
	p.Write([]byte("1 OK - 0\r\n\r\n"))
	r.Run()
	r.expectOutcomes(ref, decide.Good)
	r.Advance(29 * time.Second)
	if !p.Ended || r.pool.Conns() != 0 {
		t.Errorf("connection closed: %v, want true; %d connections left, want 0", p.Ended, r.pool.Conns())
	}
}
