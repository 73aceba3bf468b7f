package decide

import (
	"fmt"
	"testing"
	"time"
)

// A flush unloads most copies at once. Each believed-warm home would load its function anew, five times what is needed,
// until the store stops: once most warm calls are overdue, calls of a function wait for its first load instead.
func TestAfterAFlushOneHomeOfAFunctionLoads(t *testing.T) {
	s := site()
	s.Gateways, s.Parallel = 100, false
	f := start(t, s, 12)
	late := func(fn string) { // sent to a copy that does not answer
		f.call(0, 0, fn)
		f.pass(3 * sec)
	}
	stand := func(fn string) {
		f.call(0, 0, fn)
		f.do(Result{ID: f.last().id, Host: f.last().host, Outcome: Good, Note: FoundWarm, Took: 10 * time.Millisecond, Final: true})
		for _, w := range f.r.ready {
			p := f.r.ensurePlacement(f.r.funcs[fn], w)
			p.loaded, p.sentAt, p.confirmedAt = true, f.now+4*sec, f.now
		}
	}
	for i := range 4 {
		stand(fmt.Sprint("fn", i))
	}
	stand("hot")
	f.pass(time.Millisecond)
	for i := range 4 {
		late(fmt.Sprint("fn", i))
	}
	for _, p := range f.r.funcs["hot"].placements {
		if p.loaded {
			t.Fatalf("the copy at %s is believed in though nothing has been found since the flush", p.worker.host.Name)
		}
	}
	id := f.call(0, 0, "hot")
	f.result(f.of(id)[0], Good, BeganLoad)
	if p := f.r.funcs["hot"].placementAt(f.r.workers[f.of(id)[0].host]); !p.loaded || p.worker.warmInflight < 0 {
		t.Error("the copy that has answered since is not believed in")
	}
	for _, w := range f.r.ready {
		if w.warmInflight < 0 || w.loads < 0 {
			t.Errorf("%s: %d calls at copies, %d loads", w.host.Name, w.warmInflight, w.loads)
		}
	}
}
