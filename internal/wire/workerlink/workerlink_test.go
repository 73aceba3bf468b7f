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

// rig is a pool with two workers played by the test, and what the core would hear.
type rig struct {
	*wiretest.World
	pool    *Pool
	peers   map[string][]*wiretest.Peer // connections by address, in order
	ends    map[core.Ref][]decide.Outcome
	loads   []string
	next    core.Ref
	wrote   int // attempts written whole
	reports []*decide.Report
}

func (r *rig) Ended(ref core.Ref, e core.AttemptResult) {
	r.ends[ref], r.reports = append(r.ends[ref], e.Outcome), append(r.reports, e.Report)
}
func (r *rig) Probed(ref core.Ref, how decide.Outcome, report *decide.Report) {
	r.Ended(ref, core.AttemptResult{Outcome: how, Report: report})
}
func (r *rig) Wrote(n int) { r.wrote += n }
func (r *rig) Loaded(_ core.Ref, how decide.Outcome, copies int) {
	r.loads = append(r.loads, fmt.Sprint(how, copies))
}

func newRig(t testing.TB) *rig {
	r := &rig{World: wiretest.New(t), peers: map[string][]*wiretest.Peer{}, ends: map[core.Ref][]decide.Outcome{}}
	r.pool = New(r.Loop, r, wiretest.Site(), 6, r.Log())
	r.pool.Serve(r)
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

// send sends a call under an id of its own, or of its ref.
func (r *rig) send(host, id string) core.Ref {
	r.next++
	if id == "" {
		id = fmt.Sprintf("%016x", uint64(r.next))
	}
	r.pool.Send(core.Attempt{Ref: r.next, Host: host, Deadline: r.Now() + time.Second, Call: &core.Call{ID: id, ClassName: "read",
		Function: "00000000000000ff", Key: "k", Body: []byte("in")}})
	r.Run()
	return r.next
}

func (r *rig) want(ref core.Ref, list ...decide.Outcome) {
	r.T.Helper()
	if !slices.Equal(r.ends[ref], list) {
		r.T.Errorf("attempt %d: ends %v, want %v", ref, r.ends[ref], list)
	}
}

func TestCallAndAnswer(t *testing.T) {
	for _, chunk := range []int{0, 1, 5} {
		r := newRig(t)
		r.Chunk = chunk
		ref := r.send("wa", "")
		p := r.peers["a:1"][0]
		if got, want := p.Take(), "CALL 0000000000000001 queue=read,path=00000000000000ff,budget=1000,uniq=k 2\r\nin\r\n"; got != want {
			t.Errorf("sent %q, want %q", got, want)
		}
		p.Write([]byte("0000000000000001 OK detail=warm 3\r\na\r\n\r\n"))
		p.Write([]byte("0000000000000001 OK detail=warm 0\r\n\r\n")) // a second answer is dropped
		r.Run()
		r.want(ref, decide.Good)
	}
}

// Refused, silent and reset differ in what they prove.
func TestHowConnectionsFail(t *testing.T) {
	r := newRig(t)
	r.Listen("a:1", nil)
	r.want(r.send("wa", ""), decide.NoConn)
	r.Silent["b:1"] = true
	ref := r.send("wb", "")
	r.want(ref)
	r.Pass(250 * time.Millisecond)
	r.want(ref, decide.NoConn)
	r.Silent["b:1"] = false
	ref = r.send("wb", "")
	r.peers["b:1"][0].Close()
	r.Run()
	r.want(ref, decide.Reset)
	r.want(r.send("nobody", ""), decide.NoConn)
}

// A call given up while its connection still comes up is never written.
func TestCallTakenBack(t *testing.T) {
	r := newRig(t)
	r.pool.Send(core.Attempt{Ref: 90, Host: "wa", Deadline: r.Now() + time.Second, Call: &core.Call{ID: "first", ClassName: "read"}})
	r.pool.Send(core.Attempt{Ref: 91, Host: "wa", Deadline: r.Now() + time.Second, Call: &core.Call{ID: "second", ClassName: "read"}})
	r.pool.Cancel("wa", 90)
	r.Run()
	if got := r.peers["a:1"][0].Take(); strings.Contains(got, "first") || !strings.HasPrefix(got, "CALL second ") {
		t.Errorf("sent %q", got)
	}
}

// A connection that breaks takes along what is open on it, so calls are spread; all streams serve before a call fails.
func TestCallsAreSpreadOverConnections(t *testing.T) {
	r := newRig(t)
	r.pool.set.StreamsPerConn = 2 * spreadWith
	for i := range spreadOver * spreadWith {
		r.send("wa", "")
		if n := len(r.peers["a:1"]); n != 1+i/spreadWith {
			t.Fatalf("%d connections for %d calls", n, 1+i)
		}
	}
	for range spreadOver * spreadWith {
		r.send("wa", "")
	}
	if n := len(r.peers["a:1"]); n != spreadOver {
		t.Errorf("%d connections while streams are left", n)
	}
}

// A connection on which an attempt ended without a word gets no other until it speaks, though it is the fullest, and
// is closed when nothing is open on it.
func TestSilentConnectionIsAvoided(t *testing.T) {
	r := newRig(t)
	a, b := r.send("wa", "1"), r.send("wa", "2")
	r.Pass(time.Second)
	r.pool.Cancel("wa", a)
	c := r.send("wa", "3")
	if len(r.peers["a:1"]) != 2 || strings.Contains(r.peers["a:1"][0].Take(), "CALL 3") {
		t.Fatalf("%d connections", len(r.peers["a:1"]))
	}
	r.pool.Cancel("wa", b)
	if r.Run(); !r.peers["a:1"][0].Over || r.peers["a:1"][1].Over {
		t.Error("the silent connection is kept, or the other is not")
	}
	d := r.send("wa", "4")
	r.Pass(time.Second)
	p := r.peers["a:1"][1]
	p.Write([]byte("3 OK - 0\r\n\r\n"))
	r.Run()
	r.want(c, decide.Good)
	r.pool.Cancel("wa", d) // it has spoken since
	e := r.send("wa", "5")
	if r.want(e); len(r.peers["a:1"]) != 2 {
		t.Error("a connection that answers is avoided")
	}
}

// A worker's successor at the same address must not be taken for it, nor a restarted one for what it was.
func TestAddressUsedAgain(t *testing.T) {
	r := newRig(t)
	old := r.send("wa", "")
	r.pool.ApplyList(false, []core.Member{member("wa", "a:1", decide.Gone, 0), member("wc", "a:1", decide.Ready, time.Hour)})
	r.Run()
	r.want(old, decide.Reset)
	ref := r.send("wc", "")
	r.pool.ApplyList(false, []core.Member{member("wc", "a:1", decide.Ready, 2*time.Hour)})
	r.want(ref, decide.Reset)
}

func TestGarbageClosesTheConnection(t *testing.T) {
	for _, text := range []string{"hello\r\n", "1 OK detail=odd 0\r\n\r\n", "1 WHAT - 0\r\n\r\n", "1 OK - 5\r\nabc\r\n12\r\n",
		"1 OK - 99999999\r\n", "1 OK - -1\r\n", "1 OK x 0\r\n\r\n", "1 OK pods=q 0\r\n\r\n", strings.Repeat("x", 2000),
		"1 OK\r\n", "1 OK -\r\n", "1 OK detail=warm\r\n", "1 BUSY\r\n"} {
		r := newRig(t)
		ref := r.send("wa", "1")
		p := r.peers["a:1"][0]
		p.Write([]byte(text))
		r.Run()
		r.want(ref, decide.Reset)
		if !p.Over {
			t.Errorf("%.30q: still connected", text)
		}
	}
}

// Idle connections are closed before the worker would close them, and only then.
func TestIdleConnections(t *testing.T) {
	r := newRig(t)
	ref := r.send("wa", "1")
	r.Pass(time.Minute)
	p := r.peers["a:1"][0]
	if p.Over {
		t.Fatal("closed with a call open")
	}
	p.Write([]byte("1 OK - 0\r\n\r\n"))
	r.Run()
	r.want(ref, decide.Good)
	r.Pass(29 * time.Second)
	if !p.Over || r.pool.Conns() != 0 {
		t.Errorf("closed %v, %d left", p.Over, r.pool.Conns())
	}
}
