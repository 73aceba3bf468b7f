package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// storm drives a router with random legal and odd events for some seconds and checks rules 1, 2, 3 and 5 from
// outside. It returns what the router did, line by line.
func storm(t *testing.T, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := site()
	s.Parallel, s.LoadsOnMiss = rng.IntN(2) == 0, rng.IntN(3) > 0
	f := open(t, s, 6)
	type flight struct {
		sent
		mayRun, done bool
	}
	type job struct {
		class    int
		deadline time.Duration
	}
	jobs, flights, seen, scanned := map[uint64]job{}, []*flight{}, 0, 0
	told, arrivals, orders := map[string]time.Duration{}, []time.Duration{}, []time.Duration{}
	check := func() {
		for ; seen < len(f.sent); seen++ {
			n := f.sent[seen]
			if at, drains := told[n.host]; drains && n.at > at+s.DrainGrace {
				t.Errorf("seed %d: sent to %s %v after its drain", seed, n.host, n.at-at)
			}
			if how, over := f.ended[n.id]; over {
				t.Errorf("seed %d: sent %d after %s", seed, n.id, how)
			}
			for _, o := range flights {
				c := s.Classes[jobs[n.id].class]
				switch {
				case o.id != n.id || !o.mayRun:
				case !s.Parallel && !o.done:
					t.Errorf("seed %d: attempts of %d overlap", seed, n.id)
				case c.Effect == Unsafe, c.Effect == Keyed && n.at-o.at > c.Window,
					c.Effect == Keyed && c.KeyScope == SameZone && (o.host[1]-n.host[1])%2 != 0:
					t.Errorf("seed %d: class %d repeated at %s, %v after %s", seed, jobs[n.id].class, n.host, n.at-o.at, o.host)
				}
			}
			flights = append(flights, &flight{sent: n, mayRun: true})
		}
		for ; scanned < len(f.acts); scanned++ {
			if strings.Contains(f.acts[scanned], " order ") {
				within := func(x time.Duration) bool { return x > f.now-s.OrderWindow }
				orders = append(orders, f.now)
				in := func(l []time.Duration) (n int) {
					for _, x := range l {
						if within(x) {
							n++
						}
					}
					return n
				}
				if float64(in(orders)) > s.FreeOrders+s.OrderShare*float64(in(arrivals)) {
					t.Errorf("seed %d: the ration was passed", seed)
				}
			}
		}
	}
	tick := func() { // attempts still out end at their deadlines
		f.pass(sweepInterval)
		for _, fl := range flights {
			if _, over := f.ended[fl.id]; !fl.done && f.now >= jobs[fl.id].deadline {
				fl.done = true
				f.do(Result{ID: fl.id, Attempt: fl.shot, Host: fl.host, Outcome: TimedOut, Took: f.now - fl.at, Final: over})
			}
		}
	}
	for step := 0; step < 1500; step++ {
		switch k := rng.IntN(20); {
		case k < 7:
			arrivals = append(arrivals, f.now)
			class := rng.IntN(len(s.Classes))
			jobs[f.next+1] = job{class, f.now + 4*sec}
			f.call(class, rng.IntN(3), fmt.Sprint("fn", rng.IntN(12)))
		case k < 13:
			var out []*flight
			for _, fl := range flights {
				if !fl.done {
					out = append(out, fl)
				}
			}
			if len(out) == 0 {
				break
			}
			fl := out[rng.IntN(len(out))]
			o := []Outcome{Good, Good, Good, Good, Bad, Full, TimedOut, NoConn, Reset, Cancelled, NotSent, Miss}[rng.IntN(12)]
			fl.done, fl.mayRun = true, !slices.Contains([]Outcome{Full, NoConn, NotSent, Miss}, o)
			_, over := f.ended[fl.id]
			if o == Good && !over {
				f.final(fl.id, "served")
			}
			f.do(Result{ID: fl.id, Attempt: fl.shot, Host: fl.host, Outcome: o, Took: f.now - fl.at,
				Final: over || o == Good, Note: Note(rng.IntN(5)), Contention: -1})
		case k == 13:
			n := rng.IntN(6)
			h := Host{Name: fmt.Sprint("w", n), Zone: n % 2, State: HostState(rng.IntN(3))}
			if delete(told, h.Name); h.State != Ready {
				told[h.Name] = f.now
			}
			f.do(List{Hosts: []Host{h, h}})
		case k == 14:
			f.do(Loaded{Host: fmt.Sprint("w", rng.IntN(9)), Function: fmt.Sprint("fn", rng.IntN(15)), Copies: rng.IntN(3)})
		case k == 15:
			f.do([]Event{Result{ID: 1 << 40}, ClientGone{ID: 1 << 40}, Wake{Token: "?"}, List{Failed: true},
				PeerMessage{From: -1}, FirstByte{ID: 1 << 40}}[rng.IntN(6)])
		default:
			for range 1 + rng.IntN(5) {
				tick()
			}
		}
		check()
		f.audit()
	}
	for end := f.now + 6*sec; f.now < end; check() {
		tick()
	}
	for id := range jobs {
		if _, ok := f.ended[id]; !ok {
			t.Errorf("seed %d: request %d has no answer", seed, id)
		}
	}
	for _, w := range f.r.workers {
		if w.inflight != 0 || w.warmInflight != 0 || w.loads != 0 {
			t.Errorf("seed %d: %s counts %d %d %d with nothing out", seed, w.host.Name, w.inflight, w.warmInflight, w.loads)
		}
	}
	return strings.Join(f.acts, "\n")
}

func TestRandomEventsKeepTheRulesAndReplay(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		first, again := storm(t, seed), storm(t, seed)
		if first != again {
			t.Errorf("seed %d: the same events gave other actions", seed)
		}
	}
}

// The choice path must stay cheap: gateways have a few tens of milliseconds of CPU a second.
func TestChoiceAllocatesNothing(t *testing.T) {
	f := start(t, site(), 16)
	f.warm(0, "fn")
	q := &request{fn: f.r.funcs["fn"], deadline: f.now + sec}
	if n := testing.AllocsPerRun(100, func() { f.r.choose(q) }); n > 0 {
		t.Errorf("a warm choice allocates %v times", n)
	}
	q = &request{fn: &function{name: "new", hash: 5, lanes: 1}, deadline: f.now + sec}
	f.r.choose(q)
	if n := testing.AllocsPerRun(100, func() { f.r.choose(q) }); n > 0 {
		t.Errorf("a cold choice allocates %v times", n)
	}
}
