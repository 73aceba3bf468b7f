package decide

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

// fakeGateway is a Gateway with its router and a clock. It records the calls that the router makes.
type fakeGateway struct {
	t          *testing.T
	router     *Router
	now        time.Duration
	actions    []string                 // calls of Gateway methods and answers, a line each
	sent       []sendRecord             // calls of Route
	ended      map[uint64]string        // final answer of a request: "served", "refuse" or "fail"
	lastID     uint64                   // id of the last request
	answerBy   map[uint64]time.Duration // time by which a request needs its final answer
	lastReason Reason                   // of the last refused or failed request
	lastPause  time.Duration            // for which the client of the last refused request should wait

	recountBeforeEvent bool // recompute the router's sums before each event, since the test edits the state of workers
}

// sendRecord is one Route call; attemptIndex counts the sends of its request from 0.
type sendRecord struct {
	id           uint64
	host         string
	attemptIndex int
	at           time.Duration
}

func (f *fakeGateway) record(format string, a ...any) {
	f.actions = append(f.actions, fmt.Sprintf(format, a...))
}
func (f *fakeGateway) Route(id uint64, host string, expireAt time.Duration) {
	attempt := 0
	for _, s := range f.sent {
		if s.id == id {
			attempt++
		}
	}
	f.sent = append(f.sent, sendRecord{id, host, attempt, f.now})
	f.record("%v route %d %s %v", f.now, id, host, expireAt)
}
func (f *fakeGateway) Retract(id uint64, attempt int) {
	f.record("%v retract %d %d", f.now, id, attempt)
}

// recordAnswer records the final answer of a request. It fails the test for a second or late answer.
func (f *fakeGateway) recordAnswer(id uint64, how string) {
	if before, twice := f.ended[id]; twice {
		f.t.Errorf("request %d was answered twice: %s, %s", id, before, how)
	}
	if limit, ok := f.answerBy[id]; ok && f.now > limit {
		f.t.Errorf("request %d: answered (%s) %v late", id, how, f.now-limit)
	}
	f.ended[id] = how
	f.record("%v %s %d", f.now, how, id)
}
func (f *fakeGateway) Refuse(id uint64, pause time.Duration, why Reason) {
	f.lastReason, f.lastPause = why, pause
	f.recordAnswer(id, "refuse")
}
func (f *fakeGateway) Fail(id uint64, why Reason) { f.lastReason = why; f.recordAnswer(id, "fail") }
func (f *fakeGateway) Order(host, fn string, n int) {
	f.record("%v order %s %s %d", f.now, host, fn, n)
}
func (f *fakeGateway) Unload(host, fn string)            { f.record("unload %s %s", host, fn) }
func (f *fakeGateway) Probe(host string)                 { f.record("probe %s", host) }
func (f *fakeGateway) SendPeer(peer int, content []byte) { f.record("send to peer %d", peer) }
func (f *fakeGateway) Watch(on bool)                     { f.record("watch %v", on) }
func (f *fakeGateway) Lookup()                           { f.record("lookup") }
func (f *fakeGateway) Release(host string)               { f.record("release %s", host) }
func (f *fakeGateway) WakeAt(after time.Duration, tok string) {
}
func (f *fakeGateway) Log(Notice) {}

// testSettings returns the settings of a plain deployment: a safe, an unsafe and two keyed classes, and two tenants
// without allowances.
func testSettings() Settings {
	return Settings{
		Classes: []Class{ // 0: safe, 1: keyed for all workers, 2: unsafe, 3: keyed for a zone
			{Deadline: 4 * sec, Effect: Safe},
			{Deadline: 4 * sec, Effect: Keyed, KeyScope: AllWorkers, Window: 2 * sec},
			{Deadline: 4 * sec, Effect: Unsafe, Window: 5 * sec},
			{Deadline: 4 * sec, Effect: Keyed, KeyScope: SameZone, Window: 2 * sec},
		},
		Tenants: []Tenant{{Share: 0.5}, {Share: 0.5}}, Gateways: 2, MaxAttempts: 4, Parallel: true,
		Cancelling: true, AnswerSlack: 10 * time.Millisecond, DrainGrace: sec, ColdFrom: 0.25,
		ColdFor: 10 * sec, CollapseMultiple: 2, CollapseAfter: sec, KeepAlive: 10 * sec, Orders: true,
		LoadsOnMiss: true, MarksCold: true, FreeOrders: 2, OrderShare: 0.5, OrderWindow: 5 * sec,
		OrderTimeout: 10 * sec,
	}
}

// newFake is newFakeWithoutRecount with workers whose recorded state the test may change.
func newFake(t *testing.T, settings Settings, n int) *fakeGateway {
	t.Helper()
	f := newFakeWithoutRecount(t, settings, n)
	f.recountBeforeEvent = true
	for _, w := range f.router.ready {
		f.router.ownUsage(w)
	}
	return f
}

// newFakeWithoutRecount returns a router with n ready workers w0, w1, ...; odd ones are in zone 1, the others in zone 0.
func newFakeWithoutRecount(t *testing.T, settings Settings, n int) *fakeGateway {
	t.Helper()
	f := &fakeGateway{t: t, ended: map[uint64]string{}, answerBy: map[uint64]time.Duration{}, now: 100 * sec}
	r, err := New(settings, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	f.router = r
	list := List{Whole: true}
	for i := range n {
		list.Hosts = append(list.Hosts, Host{Name: fmt.Sprint("w", i), Zone: i % 2, Cell: i / 2})
	}
	f.handle(list)
	return f
}

// handle passes an event to the router at the current time.
func (f *fakeGateway) handle(e Event) {
	if f.recountBeforeEvent {
		f.router.recount()
	}
	f.router.Handle(f.now, e)
}

// advance moves the clock by d and fires the sweep timer at its interval.
func (f *fakeGateway) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += sweepInterval
		f.handle(Wake{Token: "sweep"})
	}
}

// call reports a new request, with a deadline in 4 s, and returns its id.
func (f *fakeGateway) call(class, tenant int, fn string) uint64 {
	f.lastID++
	f.answerBy[f.lastID] = f.now + 4*sec + testSettings().AnswerSlack
	f.handle(Arrival{ID: f.lastID, Class: class, Tenant: tenant, Function: fn, TTL: 4 * sec, Lanes: 2})
	return f.lastID
}

// sendsOf returns the sends of a request.
func (f *fakeGateway) sendsOf(id uint64) (list []sendRecord) {
	for _, s := range f.sent {
		if s.id == id {
			list = append(list, s)
		}
	}
	return list
}

// lastSend returns the most recent send and fails the test if there is none.
func (f *fakeGateway) lastSend() sendRecord {
	f.t.Helper()
	if len(f.sent) == 0 {
		f.t.Fatal("nothing was sent")
	}
	return f.sent[len(f.sent)-1]
}

// reportResult reports the outcome of a send to the router. A Good one is its request's final answer.
func (f *fakeGateway) reportResult(s sendRecord, outcome Outcome, note Note) {
	if outcome == Good {
		f.recordAnswer(s.id, "served")
	}
	f.handle(Result{ID: s.id, Attempt: s.attemptIndex, Host: s.host, Outcome: outcome, Took: f.now - s.at, Final: outcome == Good,
		Note: note, Contention: -1})
}

// warmUp loads a copy of fn by a call and returns the name of its worker.
func (f *fakeGateway) warmUp(class int, fn string) string {
	f.t.Helper()
	id := f.call(class, 0, fn)
	f.advance(50 * time.Millisecond)
	s := f.sendsOf(id)[0]
	f.reportResult(s, Good, BeganLoad)
	return s.host
}
