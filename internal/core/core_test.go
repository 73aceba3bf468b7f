package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// bench is a core with workers made up by the test, which keeps its own model of what is out.
type bench struct {
	*wiretest.World
	core    *core.Core
	out     []core.Attempt
	gone    []core.Attempt // given up by the core: what still comes of them must not count
	calls   []*wiretest.Replies
	refs    []core.Ref
	left    map[int]bool // whose client has gone
	records []core.Record
	orders  []core.Ref
	news    []string // workers that something new went to

	unwritten bool     // what is out has not left yet
	kept      []string // workers that may get nothing new, as last told
}

// fresh returns the workers that something new went to since the last call.
func (b *bench) fresh() []string {
	news := b.news
	b.news = nil
	return news
}

func (b *bench) Send(a core.Attempt) { b.out, b.news = append(b.out, a), append(b.news, a.Host) }
func (b *bench) Cancel(_ string, ref core.Ref) {
	for i, a := range b.out {
		if a.Ref == ref {
			b.out, b.gone = slices.Delete(b.out, i, i+1), append(b.gone, a)
			return
		}
	}
	b.T.Errorf("attempt %x was given up though it is not out", ref)
}

// Unsend takes back what the test says is unwritten.
func (b *bench) Unsend(_ string, ref core.Ref) bool {
	i := slices.IndexFunc(b.out, func(a core.Attempt) bool { return a.Ref == ref })
	if i < 0 || !b.unwritten {
		return false
	}
	b.out = slices.Delete(b.out, i, i+1)
	return true
}

func (b *bench) Withdraw(mayGet func(string) bool) {
	for _, name := range []string{"w0", "w1", "w2"} {
		if !mayGet(name) {
			b.kept = append(b.kept, name)
		}
	}
}

func (b *bench) Load(ref core.Ref, host, _ string, _ int) {
	b.orders, b.news = append(b.orders, ref), append(b.news, host)
}
func (b *bench) Probe(ref core.Ref, _ string) { b.core.Probed(ref, decide.Good, nil) }
func (b *bench) Forget(string, core.Ref)      {}
func (b *bench) Unload(string, string)        {}
func (b *bench) Release(string)               {}
func (b *bench) List(bool, []core.Member)     {}

func newBench(t testing.TB) *bench {
	b := &bench{World: wiretest.New(t), left: map[int]bool{}}
	var err error
	if b.core, err = core.New(b.Loop, wiretest.Site().Decide, 3, b, func(r core.Record) { b.records = append(b.records, r) },
		b.Log()); err != nil {
		t.Fatal(err)
	}
	b.core.List(true, []core.Member{{Host: decide.Host{Name: "w0"}}, {Host: decide.Host{Name: "w1", Zone: 1}},
		{Host: decide.Host{Name: "w2"}}})
	return b
}

func (b *bench) call(class int, wait time.Duration) *wiretest.Replies {
	r := &wiretest.Replies{}
	b.calls = append(b.calls, r)
	b.refs = append(b.refs, b.core.Take(core.Call{ID: fmt.Sprintf("%016x", len(b.calls)), Class: class, Wait: wait,
		Function: fmt.Sprintf("%016x", len(b.calls)%3), Lanes: 2, Reply: r}))
	return r
}

func (b *bench) end(i int, how decide.Outcome) {
	a := b.out[i]
	b.out = slices.Delete(b.out, i, i+1)
	b.core.Ended(a.Ref, core.End{How: how, Note: decide.FoundWarm, Body: []byte("body")})
}

// A second request under the id of an open one is turned away: to a worker the two would be one.
func TestIdOfAnOpenRequest(t *testing.T) {
	b := newBench(t)
	first := b.call(0, 4*time.Second)
	id := b.out[0].Call.ID
	for _, want := range []string{"[failed]", "[]"} { // while it is open, and after
		again := &wiretest.Replies{}
		b.core.Take(core.Call{ID: id, Wait: time.Second, Function: "other", Lanes: 1, Reply: again})
		if got := fmt.Sprint(again.Answers); got != want {
			t.Errorf("answered %s, want %s", got, want)
		}
		b.end(0, decide.Good)
	}
	if len(first.Answers) != 1 {
		t.Errorf("the first was answered %q", first.Answers)
	}
}

func TestServedOnce(t *testing.T) {
	b := newBench(t)
	r := b.call(0, 4*time.Second)
	ref := b.out[0].Ref
	b.end(0, decide.Good)
	b.core.Ended(ref, core.End{How: decide.Good, Note: decide.FoundWarm, Body: []byte("again")})
	b.core.Ended(ref, core.End{How: decide.Bad})
	if !slices.Equal(r.Answers, []string{"served"}) || r.Bodies[0] != "body" {
		t.Errorf("answers %q, bodies %q", r.Answers, r.Bodies)
	}
}

// A client that leaves has its attempts called off, and no answer is owed.
func TestClientGone(t *testing.T) {
	b := newBench(t)
	r := b.call(0, 4*time.Second)
	b.core.Gone(b.refs[0])
	if len(b.out) != 0 || len(b.gone) != 1 || len(r.Answers) != 0 || b.core.Open() != 0 {
		t.Errorf("out %d, given up %d, answers %q, open %d", len(b.out), len(b.gone), r.Answers, b.core.Open())
	}
}

// What the module gives up on is answered in the same turn, and at the deadline at the latest.
func TestAnswerIsNotHeldBack(t *testing.T) {
	b := newBench(t)
	r := b.call(0, 2*time.Second)
	for len(b.out) > 0 {
		b.end(0, decide.Bad)
	}
	if len(r.Answers) != 1 {
		t.Errorf("answers %q right after the last attempt failed", r.Answers)
	}
	r = b.call(1, 2*time.Second)
	b.Pass(2 * time.Second)
	if len(r.Answers) != 1 {
		t.Errorf("answers %q at the deadline", r.Answers)
	}
}

// A process that has to end answers what is open.
func TestFailAll(t *testing.T) {
	b := newBench(t)
	r := b.call(1, 3*time.Second)
	b.core.FailAll()
	if !slices.Equal(r.Answers, []string{"failed"}) || b.core.Open() != 0 || len(b.out) != 0 {
		t.Errorf("answers %q, open %d, out %d", r.Answers, b.core.Open(), len(b.out))
	}
}

// An order that is never answered ends by its deadline, and a late answer finds nothing.
func TestOrderTimesOut(t *testing.T) {
	s := wiretest.Site().Decide
	s.LoadsOnMiss = false // calls wait for the copies that the module orders
	b := newBench(t)
	var err error
	if b.core, err = core.New(b.Loop, s, 3, b, nil, b.Log()); err != nil {
		t.Fatal(err)
	}
	b.core.List(true, []core.Member{{Host: decide.Host{Name: "w0"}}})
	r := b.call(0, 4*time.Second)
	if len(b.orders) != 1 || len(b.out) != 0 {
		t.Fatalf("orders %d, out %d", len(b.orders), len(b.out))
	}
	b.core.Loaded(b.orders[0], decide.Good, 1)
	b.core.Loaded(b.orders[0], decide.Good, 1)
	if len(b.out) != 1 {
		t.Errorf("%d attempts after the copy stood", len(b.out))
	}
	b.Pass(15 * time.Second)
	if len(r.Answers) != 1 {
		t.Errorf("answers %q", r.Answers)
	}
}

// FuzzCore plays random steps against a model of each request: open until its one answer, or until its client
// has gone; what comes of an attempt that was given up never counts.
func FuzzCore(f *testing.F) {
	f.Add([]byte{0, 3, 1, 9, 0, 20, 5, 2, 7, 7, 40})
	f.Add([]byte{1, 1, 1, 4, 20, 36, 6, 52, 2, 0, 8, 8, 8, 8, 8})
	f.Add([]byte{0, 1, 0, 1, 5, 21, 37, 53, 69, 8, 5, 2, 18})
	f.Fuzz(func(t *testing.T, steps []byte) {
		b := newBench(t)
		for _, step := range steps[:min(len(steps), 200)] {
			what, n := step%10, int(step/10)
			switch {
			case what <= 1:
				b.call(int(what), time.Duration(n+1)*100*time.Millisecond)
			case what == 2 && len(b.refs) > 0:
				n %= len(b.refs)
				b.left[n] = len(b.calls[n].Answers) == 0
				b.core.Gone(b.refs[n])
			case what <= 6 && len(b.out) > 0:
				b.end(n%len(b.out), []decide.Outcome{decide.Good, decide.Full, decide.Reset, decide.Bad}[what-3])
			case what == 7 && len(b.gone) > 0:
				b.core.Ended(b.gone[n%len(b.gone)].Ref, core.End{How: decide.Good, Body: []byte("late")})
			case what == 8:
				b.Pass(time.Duration(n) * 50 * time.Millisecond)
			case what == 9:
				b.core.List(false, []core.Member{{Host: decide.Host{Name: fmt.Sprint("w", n%3), Zone: n % 3 % 2,
					State: decide.HostState(n / 3 % 3)}}})
			}
		}
		b.Pass(5 * time.Second)
		for i, r := range b.calls {
			if n := len(r.Answers); n > 1 || n == 0 && !b.left[i] || n == 1 && b.left[i] {
				t.Errorf("request %d: answers %q, client gone %v", i, r.Answers, b.left[i])
			}
			if slices.Contains(r.Bodies, "late") {
				t.Errorf("request %d was served by an attempt that was given up", i)
			}
		}
		if len(b.records) != len(b.calls) || b.core.Open() != 0 || len(b.out) != 0 {
			t.Errorf("%d records of %d calls, %d open, %d attempts out", len(b.records), len(b.calls), b.core.Open(), len(b.out))
		}
	})
}
