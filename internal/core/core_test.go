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

// fixture is a core whose link to the workers is a stub. It records what the core does and models what should be in flight.
type fixture struct {
	*wiretest.World
	core       *core.Core
	inFlight   []core.Attempt
	cancelled  []core.Attempt // cancelled by the core: their late results must be ignored
	replies    []*wiretest.Replies
	refs       []core.Ref
	clientGone map[int]bool // by call: its client has stopped waiting
	records    []core.Record
	orders     []core.Ref
	sentTo     []string // workers to which an attempt or a load order was sent

	unwritten     bool     // attempts in flight count as not written yet
	withdrawnFrom []string // workers from which the core withdrew what was unwritten
}

// takeSentTo returns the workers to which something was sent since the previous takeSentTo.
func (fx *fixture) takeSentTo() []string {
	hosts := fx.sentTo
	fx.sentTo = nil
	return hosts
}

func (fx *fixture) Send(a core.Attempt) {
	fx.inFlight, fx.sentTo = append(fx.inFlight, a), append(fx.sentTo, a.Host)
}
func (fx *fixture) Cancel(_ string, ref core.Ref) {
	for i, a := range fx.inFlight {
		if a.Ref == ref {
			fx.inFlight, fx.cancelled = slices.Delete(fx.inFlight, i, i+1), append(fx.cancelled, a)
			return
		}
	}
	fx.T.Errorf("attempt %x was cancelled but is not in flight", ref)
}

// WithdrawAttempt succeeds for attempts in flight while the test has unwritten set.
func (fx *fixture) WithdrawAttempt(_ string, ref core.Ref) bool {
	i := slices.IndexFunc(fx.inFlight, func(a core.Attempt) bool { return a.Ref == ref })
	if i < 0 || !fx.unwritten {
		return false
	}
	fx.inFlight = slices.Delete(fx.inFlight, i, i+1)
	return true
}

func (fx *fixture) WithdrawUnwritten(mayGet func(string) bool) {
	for _, name := range []string{"w0", "w1", "w2"} {
		if !mayGet(name) {
			fx.withdrawnFrom = append(fx.withdrawnFrom, name)
		}
	}
}

func (fx *fixture) Load(ref core.Ref, host, _ string, _ int) {
	fx.orders, fx.sentTo = append(fx.orders, ref), append(fx.sentTo, host)
}
func (fx *fixture) Probe(ref core.Ref, _ string)  { fx.core.Probed(ref, decide.Good, nil) }
func (fx *fixture) Forget(string, core.Ref)       {}
func (fx *fixture) Unload(string, string)         {}
func (fx *fixture) Release(string)                {}
func (fx *fixture) ApplyList(bool, []core.Member) {}

func newFixture(t testing.TB) *fixture {
	fx := &fixture{World: wiretest.New(t), clientGone: map[int]bool{}}
	var err error
	if fx.core, err = core.New(fx.Loop, wiretest.Site().Decide, 3, fx, func(r core.Record) { fx.records = append(fx.records, r) },
		fx.Log()); err != nil {
		t.Fatal(err)
	}
	fx.core.ApplyList(true, []core.Member{{Host: decide.Host{Name: "w0"}}, {Host: decide.Host{Name: "w1", Zone: 1}},
		{Host: decide.Host{Name: "w2"}}})
	return fx
}

func (fx *fixture) call(class int, wait time.Duration) *wiretest.Replies {
	r := &wiretest.Replies{}
	fx.replies = append(fx.replies, r)
	fx.refs = append(fx.refs, fx.core.Submit(core.Call{ID: fmt.Sprintf("%016x", len(fx.replies)), Class: class, Wait: wait,
		Function: fmt.Sprintf("%016x", len(fx.replies)%3), Lanes: 2, Reply: r}))
	return r
}

func (fx *fixture) end(i int, how decide.Outcome) {
	a := fx.inFlight[i]
	fx.inFlight = slices.Delete(fx.inFlight, i, i+1)
	fx.core.Ended(a.Ref, core.AttemptResult{Outcome: how, Note: decide.FoundWarm, Body: []byte("body")})
}

// A second request with the ID of one in flight must fail: a worker could not tell the two apart.
func TestDuplicateRequestIDFailsWhileInFlight(t *testing.T) {
	fx := newFixture(t)
	first := fx.call(0, 4*time.Second)
	id := fx.inFlight[0].Call.ID
	for _, want := range []string{"[failed]", "[]"} { // while the first request is in flight, and afterwards
		again := &wiretest.Replies{}
		fx.core.Submit(core.Call{ID: id, Wait: time.Second, Function: "other", Lanes: 1, Reply: again})
		if got := fmt.Sprint(again.Answers); got != want {
			t.Errorf("answers %s, want %s", got, want)
		}
		fx.end(0, decide.Good)
	}
	if len(first.Answers) != 1 {
		t.Errorf("the first request got the answers %q, want one", first.Answers)
	}
}

// Results after the first one of an attempt must not give the client a second answer.
func TestServedOnce(t *testing.T) {
	fx := newFixture(t)
	r := fx.call(0, 4*time.Second)
	ref := fx.inFlight[0].Ref
	fx.end(0, decide.Good)
	fx.core.Ended(ref, core.AttemptResult{Outcome: decide.Good, Note: decide.FoundWarm, Body: []byte("again")})
	fx.core.Ended(ref, core.AttemptResult{Outcome: decide.Bad})
	if !slices.Equal(r.Answers, []string{"served"}) || r.Bodies[0] != "body" {
		t.Errorf("answers %q, bodies %q", r.Answers, r.Bodies)
	}
}

// When a client disconnects, its attempts are cancelled and it gets no answer.
func TestClientGone(t *testing.T) {
	fx := newFixture(t)
	r := fx.call(0, 4*time.Second)
	fx.core.ClientGone(fx.refs[0])
	if len(fx.inFlight) != 0 || len(fx.cancelled) != 1 || len(r.Answers) != 0 || fx.core.InFlight() != 0 {
		t.Errorf("%d attempts in flight, %d cancelled, answers %q, %d requests in flight", len(fx.inFlight), len(fx.cancelled), r.Answers,
			fx.core.InFlight())
	}
}

// A request that the module gives up is answered in the same loop iteration, and any request by its deadline.
func TestAnswerIsNotDelayed(t *testing.T) {
	fx := newFixture(t)
	r := fx.call(0, 2*time.Second)
	for len(fx.inFlight) > 0 {
		fx.end(0, decide.Bad)
	}
	if len(r.Answers) != 1 {
		t.Errorf("answers %q right after the last attempt failed, want one", r.Answers)
	}
	r = fx.call(1, 2*time.Second)
	fx.Advance(2 * time.Second)
	if len(r.Answers) != 1 {
		t.Errorf("answers %q at the deadline, want one", r.Answers)
	}
}

// FailAll, called before the process ends, fails every request that was sent.
func TestFailAll(t *testing.T) {
	fx := newFixture(t)
	r := fx.call(1, 3*time.Second)
	fx.core.FailAll()
	if !slices.Equal(r.Answers, []string{"failed"}) || fx.core.InFlight() != 0 || len(fx.inFlight) != 0 {
		t.Errorf("answers %q, %d requests and %d attempts in flight", r.Answers, fx.core.InFlight(), len(fx.inFlight))
	}
}

// A load order has one result: a second one, and the end of its time limit, change nothing.
func TestLoadOrderEndsOnce(t *testing.T) {
	settings := wiretest.Site().Decide
	settings.LoadsOnMiss = false // calls wait for the copies that the module orders
	fx := newFixture(t)
	var err error
	if fx.core, err = core.New(fx.Loop, settings, 3, fx, nil, fx.Log()); err != nil {
		t.Fatal(err)
	}
	fx.core.ApplyList(true, []core.Member{{Host: decide.Host{Name: "w0"}}})
	r := fx.call(0, 4*time.Second)
	if len(fx.orders) != 1 || len(fx.inFlight) != 0 {
		t.Fatalf("%d orders, %d attempts in flight, want 1 and 0", len(fx.orders), len(fx.inFlight))
	}
	fx.core.Loaded(fx.orders[0], decide.Good, 1)
	fx.core.Loaded(fx.orders[0], decide.Good, 1)
	if len(fx.inFlight) != 1 {
		t.Errorf("%d attempts after the copy was loaded, want 1", len(fx.inFlight))
	}
	fx.Advance(15 * time.Second)
	if len(r.Answers) != 1 {
		t.Errorf("answers %q, want one", r.Answers)
	}
}

// FuzzCore runs random steps against a model of each request: it is in flight until its one answer or until its client
// disconnects. Results of cancelled attempts must be ignored.
func FuzzCore(f *testing.F) {
	f.Add([]byte{0, 3, 1, 9, 0, 20, 5, 2, 7, 7, 40})
	f.Add([]byte{1, 1, 1, 4, 20, 36, 6, 52, 2, 0, 8, 8, 8, 8, 8})
	f.Add([]byte{0, 1, 0, 1, 5, 21, 37, 53, 69, 8, 5, 2, 18})
	f.Fuzz(func(t *testing.T, steps []byte) {
		fx := newFixture(t)
		for _, step := range steps[:min(len(steps), 200)] {
			action, n := step%10, int(step/10)
			switch {
			case action <= 1:
				fx.call(int(action), time.Duration(n+1)*100*time.Millisecond)
			case action == 2 && len(fx.refs) > 0:
				n %= len(fx.refs)
				fx.clientGone[n] = len(fx.replies[n].Answers) == 0
				fx.core.ClientGone(fx.refs[n])
			case action <= 6 && len(fx.inFlight) > 0:
				fx.end(n%len(fx.inFlight), []decide.Outcome{decide.Good, decide.Full, decide.Reset, decide.Bad}[action-3])
			case action == 7 && len(fx.cancelled) > 0:
				fx.core.Ended(fx.cancelled[n%len(fx.cancelled)].Ref, core.AttemptResult{Outcome: decide.Good, Body: []byte("late")})
			case action == 8:
				fx.Advance(time.Duration(n) * 50 * time.Millisecond)
			case action == 9:
				fx.core.ApplyList(false, []core.Member{{Host: decide.Host{Name: fmt.Sprint("w", n%3), Zone: n % 3 % 2,
					State: decide.HostState(n / 3 % 3)}}})
			}
		}
		fx.Advance(5 * time.Second)
		for i, r := range fx.replies {
			if n := len(r.Answers); n > 1 || n == 0 && !fx.clientGone[i] || n == 1 && fx.clientGone[i] {
				t.Errorf("request %d: answers %q, client gone %v", i, r.Answers, fx.clientGone[i])
			}
			if slices.Contains(r.Bodies, "late") {
				t.Errorf("request %d was served by a cancelled attempt", i)
			}
		}
		if len(fx.records) != len(fx.replies) || fx.core.InFlight() != 0 || len(fx.inFlight) != 0 {
			t.Errorf("%d records of %d calls, %d requests and %d attempts in flight", len(fx.records), len(fx.replies), fx.core.InFlight(),
				len(fx.inFlight))
		}
	})
}
