package ranking

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func hashOf(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return Mix(h.Sum64(), 1)
}

func entries(n, zones int) (out []Entry[string]) {
	for i := range n {
		name := fmt.Sprintf("w%06d", i)
		out = append(out, Entry[string]{Worker: name, Hash: hashOf(name), Zone: i % zones})
	}
	return out
}

func index(all []Entry[string]) *Index[string] {
	x := &Index[string]{}
	x.Change(nil, all)
	return x
}

// first is the first worker of a function's order, asked of an order that knows nothing.
func first(x *Index[string], w Wants) string {
	worker, _ := x.At(&Order[string]{}, w, 0)
	return worker
}

// An index that has been changed one by one and many at a time holds what a plain list of its workers holds, whatever the order of
// the changes, and ranks as one that was told of them at once. Few workers are ranked as a plain sort of all of them does.
func TestChangesComeToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := entries(700, 5)
		x, there := &Index[string]{}, map[int]bool{}
		var order Order[string]
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			var removed, added []Entry[string]
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, len(all)-1), 1, 120, rapid.ID[int]).Draw(t, "workers") {
				if there[i] {
					removed = append(removed, all[i])
				} else {
					added = append(added, all[i])
				}
				there[i] = !there[i]
			}
			x.Change(removed, added)
			x.At(&order, Wants{Hash: 9}, 3) // an order that is carried along
		}
		var plain []Entry[string]
		zones := map[int]int{}
		for i, e := range all {
			if there[i] {
				plain = append(plain, e)
				zones[e.Zone]++
			}
		}
		y := index(plain)
		if x.Len() != len(plain) || x.In([]int{1, 3}) != zones[1]+zones[3] || x.In(nil) != 0 {
			t.Fatalf("%d workers, %d in two zones; there are %d, %d", x.Len(), x.In([]int{1, 3}), len(plain), zones[1]+zones[3])
		}
		slices.SortFunc(plain, func(a, b Entry[string]) int { return cmp.Compare(Mix(9, a.Hash), Mix(9, b.Hash)) })
		var other Order[string]
		for i := range Most + 1 {
			a, ok := x.At(&order, Wants{Hash: 9}, i)
			b, found := y.At(&other, Wants{Hash: 9}, i)
			if a != b || ok != found {
				t.Fatalf("place %d: %s after changes, %s at once", i, a, b)
			}
			if x.whole(9) && ok && a != plain[i].Worker {
				t.Fatalf("place %d: %s, a plain sort has %s", i, a, plain[i].Worker)
			}
			if ok && i > 0 && order.Among(a, i) {
				t.Fatalf("%s is ranked twice", a)
			}
		}
	})
}

// One worker gone moves its own functions and no others, and one added takes about its share of them from the others.
func TestOneWorkerMovesItsOwnShare(t *testing.T) {
	const functions = 4000
	for _, n := range []int{120, 400, 3000} {
		all := entries(n, 15)
		with, without := index(all), index(all[1:])
		moved := 0
		for f := range functions {
			w := Wants{Hash: hashOf(fmt.Sprint("f", f))}
			a, b := first(with, w), first(without, w)
			if a != b {
				moved++
			}
			if whole := with.whole(w.Hash); a != b && a != all[0].Worker && whole == without.whole(w.Hash) {
				t.Errorf("%d workers: a function moves from %s to %s though %s has gone", n, a, b, all[0].Worker)
			}
		}
		most := 5 * functions / n
		if n > Whole && n <= 2*Whole { // some functions change from the one way to the other besides
			most += 3 * functions / Whole
		}
		t.Logf("figures: workers=%d functions=%d moved=%d fair=%.1f", n, functions, moved, functions/float64(n))
		if moved > most {
			t.Errorf("%d workers: one less moves %d of %d functions, %d at most", n, moved, functions, most)
		}
	}
}

// Between the two ways of ranking no single worker changes the order of more than a small part of all functions.
func TestWaysOfRankingChangeFunctionByFunction(t *testing.T) {
	all := entries(2*Whole+2, 3)
	x, most := index(all[:Whole-2]), 0
	whole := func() (n int) {
		for f := range 2000 {
			if x.whole(hashOf(fmt.Sprint(f))) {
				n++
			}
		}
		return n
	}
	for last, n := whole(), Whole-2; n < len(all); n++ {
		x.Change(nil, all[n:n+1])
		now := whole()
		most, last = max(most, last-now), now
	}
	if whole() != 0 || most > 30 {
		t.Errorf("%d functions are ranked whole in the end; one worker has changed %d of 2000", whole(), most)
	}
}

// First places are spread over many workers: no worker has much more than its share.
func TestFirstPlacesAreSpread(t *testing.T) {
	const workers, each = 1000, 200
	x, load := index(entries(workers, 15)), map[string]int{}
	for f := range workers * each {
		load[first(x, Wants{Hash: Mix(uint64(f), 77)})]++
	}
	var counts []int
	for _, n := range load {
		counts = append(counts, n)
	}
	slices.Sort(counts)
	tenth, most := float64(counts[len(counts)*9/10])/each, float64(counts[len(counts)-1])/each
	t.Logf("figures: probes=%d busiest_tenth=%.2f busiest=%.2f unused=%d", Probes, tenth, most, workers-len(counts))
	if tenth > 1.4 || most > 1.8 {
		t.Errorf("the busiest tenth of workers have %.2f times the mean, the busiest %.2f", tenth, most)
	}
}

// Restricted functions stay in their zones, and a hot one begins in the gateway's own zone and leads out of it.
func TestZonesOfAnOrder(t *testing.T) {
	all := entries(3000, 15)
	x, zone := index(all), map[string]int{}
	for _, e := range all {
		zone[e.Worker] = e.Zone
	}
	at := func(w Wants) (zones []int, workers []string) {
		var o Order[string]
		for i := 0; ; i++ {
			worker, ok := x.At(&o, w, i)
			if !ok {
				return zones, workers
			}
			zones, workers = append(zones, zone[worker]), append(workers, worker)
		}
	}
	restricted, _ := at(Wants{Hash: 5, Zones: []int{2, 11}})
	if len(restricted) != Most || slices.ContainsFunc(restricted, func(z int) bool { return z != 2 && z != 11 }) {
		t.Errorf("zones of a restricted function: %v", restricted)
	}
	hot, a := at(Wants{Hash: 5, Homes: 2000, Zone: 4, Self: 4})
	_, b := at(Wants{Hash: 5, Homes: 2000, Zone: 4, Self: 19})
	for i, z := range hot {
		if i < Near && z != 4 {
			t.Fatalf("zones of a hot function: %v", hot)
		}
	}
	if out := slices.Compact(slices.Sorted(slices.Values(hot[Near:]))); len(out) < 8 {
		t.Errorf("the way out of the zone leads to zones %v only", out)
	}
	if slices.Equal(a, b) {
		t.Error("two gateways of a zone use the same homes of a hot function")
	}
	if none, _ := at(Wants{Hash: 5, Zones: []int{99}}); len(none) != 0 {
		t.Errorf("%d workers in a zone that has none", len(none))
	}
}

// An order of a hot function is not begun anew with each estimate of its homes.
func TestOrderStaysWhileEstimatesVary(t *testing.T) {
	x := index(entries(3000, 15))
	var o Order[string]
	x.At(&o, Wants{Hash: 3, Homes: 6000}, 0)
	was := slices.Clone(o.ranked)
	for homes := 3100; homes < 11900; homes += 107 {
		x.At(&o, Wants{Hash: 3, Homes: homes}, 0)
	}
	if !slices.Equal(was, o.ranked) {
		t.Error("the order was begun anew")
	}
	if x.At(&o, Wants{Hash: 3, Homes: 18_000}, 0); slices.Equal(was, o.ranked) {
		t.Error("three times the homes are still ranked from the same place on")
	}
}
