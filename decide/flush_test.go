package decide

import (
	"fmt"
	"testing"
	"time"
)

// A flush unloads most copies at once. Every home thought to have a copy would load its function again, five times as
// many loads as needed, until the function store fails. Once most warm calls are overdue, the calls of a function
// therefore wait for its first load instead.
func TestOneHomeLoadsAfterCopiesAreFlushed(t *testing.T) {
	settings := testSettings()
	settings.Gateways, settings.Parallel = 100, false
	f := newFake(t, settings, 12)
	callUnanswered := func(fn string) {
		f.call(0, 0, fn)
		f.advance(3 * sec)
	}
	loadEverywhere := func(fn string) { // has a copy of fn recorded at every worker
		f.call(0, 0, fn)
		f.handle(Result{ID: f.lastSend().id, Host: f.lastSend().host, Outcome: Good, Note: FoundWarm, Took: 10 * time.Millisecond, Final: true})
		for _, w := range f.router.ready {
			p := f.router.ensurePlacement(f.router.funcs[fn], w)
			p.loaded, p.sentAt, p.confirmedAt = true, f.now+4*sec, f.now
		}
	}
	for i := range 4 {
		loadEverywhere(fmt.Sprint("fn", i))
	}
	loadEverywhere("hot")
	f.advance(time.Millisecond)
	for i := range 4 {
		callUnanswered(fmt.Sprint("fn", i))
	}
	for _, p := range f.router.funcs["hot"].placements {
		if p.loaded {
			t.Fatalf("the copy at %s still counts as loaded though no call has found a copy since the flush", p.worker.host.Name)
		}
	}
	id := f.call(0, 0, "hot")
	f.reportResult(f.sendsOf(id)[0], Good, BeganLoad)
	if p := f.router.funcs["hot"].placementAt(f.router.workers[f.sendsOf(id)[0].host]); !p.loaded || p.worker.warmInflight < 0 {
		t.Error("the copy that has answered since the flush does not count as loaded")
	}
	for _, w := range f.router.ready {
		if w.warmInflight < 0 || w.loads < 0 {
			t.Errorf("%s: %d calls at copies and %d loads, want none below 0", w.host.Name, w.warmInflight, w.loads)
		}
	}
}
