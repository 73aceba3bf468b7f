package decide

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

// fake is a Gateway that notes what it is told, and a clock.
type fake struct {
	t     *testing.T
	r     *Router
	now   time.Duration
	acts  []string
	sent  []sent
	ended map[uint64]string
	next  uint64
	due   map[uint64]time.Duration
	why   Reason        // why a request was last given up
	pause time.Duration // that its client was asked for

	edits bool // the test changes what is known of workers: sums are reckoned anew before each event
}

type sent struct {
	id   uint64
	host string
	shot int
	at   time.Duration
}

func (f *fake) note(format string, a ...any) { f.acts = append(f.acts, fmt.Sprintf(format, a...)) }
func (f *fake) Route(id uint64, host string, expireAt time.Duration) {
	shot := 0
	for _, s := range f.sent {
		if s.id == id {
			shot++
		}
	}
	f.sent = append(f.sent, sent{id, host, shot, f.now})
	f.note("%v route %d %s %v", f.now, id, host, expireAt)
}
func (f *fake) Retract(id uint64, shot int) { f.note("%v retract %d %d", f.now, id, shot) }
func (f *fake) final(id uint64, how string) {
	if was, dup := f.ended[id]; dup {
		f.t.Errorf("request %d was answered twice: %s, %s", id, was, how)
	}
	if due, ok := f.due[id]; ok && f.now > due {
		f.t.Errorf("request %d: %s %v late", id, how, f.now-due)
	}
	f.ended[id] = how
	f.note("%v %s %d", f.now, how, id)
}
func (f *fake) Refuse(id uint64, pause time.Duration, why Reason) {
	f.why, f.pause = why, pause
	f.final(id, "refuse")
}
func (f *fake) Fail(id uint64, why Reason)        { f.why = why; f.final(id, "lose") }
func (f *fake) Order(host, fn string, n int)      { f.note("%v order %s %s %d", f.now, host, fn, n) }
func (f *fake) Unload(host, fn string)            { f.note("shelve %s %s", host, fn) }
func (f *fake) Probe(host string)                 { f.note("probe %s", host) }
func (f *fake) SendPeer(peer int, content []byte) { f.note("tell %d", peer) }
func (f *fake) Watch(on bool)                     { f.note("watch %v", on) }
func (f *fake) Lookup()                           { f.note("lookup") }
func (f *fake) Release(host string)               { f.note("release %s", host) }
func (f *fake) WakeAt(after time.Duration, tok string) {
}
func (f *fake) Log(Notice) {}

// site is a plain deployment: a safe, a keyed and an unsafe class, two tenants without allowances.
func site() Settings {
	return Settings{
		Classes: []Class{
			{Aim: sec, Deadline: 4 * sec, Worth: 1, Effect: Safe},
			{Aim: sec, Deadline: 4 * sec, Worth: 2, Effect: Keyed, KeyScope: AllWorkers, Window: 2 * sec},
			{Aim: sec, Deadline: 4 * sec, Worth: 5, Effect: Unsafe, Window: 5 * sec},
			{Aim: 4 * sec, Deadline: 4 * sec, Worth: 2, Effect: Keyed, KeyScope: SameZone, Window: 2 * sec},
		},
		Tenants: []Tenant{{Share: 0.5}, {Share: 0.5}}, Gateways: 2, MaxAttempts: 4, Parallel: true,
		Cancelling: true, AnswerSlack: 10 * time.Millisecond, DrainGrace: sec, ColdFrom: 0.25,
		ColdFor: 10 * sec, CollapseMultiple: 2, CollapseAfter: sec, KeepAlive: 10 * sec, Orders: true,
		LoadsOnMiss: true, MarksCold: true, FreeOrders: 2, OrderShare: 0.5, OrderWindow: 5 * sec,
		OrderTimeout: 10 * sec,
	}
}

// start is open with workers of which the test may change what is known.
func start(t *testing.T, s Settings, n int) *fake {
	t.Helper()
	f := open(t, s, n)
	f.edits = true
	for _, w := range f.r.ready {
		f.r.ownUsage(w)
	}
	return f
}

// open opens a router with n ready workers w0, w1, ...; odd ones are in zone 1.
func open(t *testing.T, s Settings, n int) *fake {
	t.Helper()
	f := &fake{t: t, ended: map[uint64]string{}, due: map[uint64]time.Duration{}, now: 100 * sec}
	r, err := New(s, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	f.r = r
	l := List{Whole: true}
	for i := range n {
		l.Hosts = append(l.Hosts, Host{Name: fmt.Sprint("w", i), Zone: i % 2, Cell: i / 2})
	}
	f.do(l)
	return f
}

func (f *fake) do(e Event) {
	if f.edits {
		f.r.recount()
	}
	f.r.Handle(f.now, e)
}

// pass lets time pass with the timer at its pace.
func (f *fake) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += sweepInterval
		f.do(Wake{Token: "sweep"})
	}
}

func (f *fake) call(class, tenant int, fn string) uint64 {
	f.next++
	f.due[f.next] = f.now + 4*sec + site().AnswerSlack
	f.do(Arrival{ID: f.next, Class: class, Tenant: tenant, Function: fn, TTL: 4 * sec, Lanes: 2})
	return f.next
}

// of lists the sends of a request.
func (f *fake) of(id uint64) (list []sent) {
	for _, s := range f.sent {
		if s.id == id {
			list = append(list, s)
		}
	}
	return list
}

func (f *fake) last() sent {
	f.t.Helper()
	if len(f.sent) == 0 {
		f.t.Fatal("nothing was sent")
	}
	return f.sent[len(f.sent)-1]
}

func (f *fake) result(s sent, o Outcome, n Note) {
	if o == Good {
		f.final(s.id, "served")
	}
	f.do(Result{ID: s.id, Attempt: s.shot, Host: s.host, Outcome: o, Took: f.now - s.at, Final: o == Good, Note: n, Contention: -1})
}

// warm has fn stand at a worker and returns its name.
func (f *fake) warm(class int, fn string) string {
	f.t.Helper()
	id := f.call(class, 0, fn)
	f.pass(50 * time.Millisecond)
	s := f.of(id)[0]
	f.result(s, Good, BeganLoad)
	return s.host
}
