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

// first returns the first worker of a function's order, starting from an empty Order.
func first(x *Index[string], query Query) string {
	worker, _ := x.At(&Order[string]{}, query, 0)
	return worker
}

// After any sequence of small and large changes an index holds the same workers as a plain list, and ranks them as an index
// that was built with all of them at once. If all workers are ranked, the order equals a plain sort by hash.
func TestIndexChangedInStepsEqualsIndexBuiltAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := entries(700, 5)
		x, listed := &Index[string]{}, map[int]bool{}
		var order Order[string]
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			var removed, added []Entry[string]
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, len(all)-1), 1, 120, rapid.ID[int]).Draw(t, "workers") {
				if listed[i] {
					removed = append(removed, all[i])
				} else {
					added = append(added, all[i])
				}
				listed[i] = !listed[i]
			}
			x.Change(removed, added)
			x.At(&order, Query{Hash: 9}, 3) // the same order is used across all changes
		}
		var plain []Entry[string]
		zones := map[int]int{}
		for i, e := range all {
			if listed[i] {
				plain = append(plain, e)
				zones[e.Zone]++
			}
		}
		fresh := index(plain)
		if x.Len() != len(plain) || x.CountIn([]int{1, 3}) != zones[1]+zones[3] || x.CountIn(nil) != 0 {
			t.Fatalf("index has %d workers, %d of them in zones 1 and 3; want %d, %d",
				x.Len(), x.CountIn([]int{1, 3}), len(plain), zones[1]+zones[3])
		}
		slices.SortFunc(plain, func(a, b Entry[string]) int { return cmp.Compare(Mix(9, a.Hash), Mix(9, b.Hash)) })
		var other Order[string]
		for i := range MaxRanked + 1 {
			a, ok := x.At(&order, Query{Hash: 9}, i)
			b, found := fresh.At(&other, Query{Hash: 9}, i)
			if a != b || ok != found {
				t.Fatalf("place %d: %s in the changed index, %s in one built at once", i, a, b)
			}
			if x.ranksWhole(9) && ok && a != plain[i].Worker {
				t.Fatalf("place %d: %s, want %s as in a plain sort", i, a, plain[i].Worker)
			}
			if ok && i > 0 && order.InFirst(a, i) {
				t.Fatalf("%s is ranked twice", a)
			}
		}
	})
}

// Removing a worker moves its own functions and no others, except those that change the ranking method. By symmetry an added
// worker takes only about its share.
func TestRemovingWorkerMovesOnlyItsOwnFunctions(t *testing.T) {
	const functions = 4000
	for _, n := range []int{120, 400, 3000} {
		all := entries(n, 15)
		with, without := index(all), index(all[1:])
		moved := 0
		for f := range functions {
			query := Query{Hash: hashOf(fmt.Sprint("f", f))}
			a, b := first(with, query), first(without, query)
			if a != b {
				moved++
			}
			if whole := with.ranksWhole(query.Hash); a != b && a != all[0].Worker && whole == without.ranksWhole(query.Hash) {
				t.Errorf("%d workers: a function moves from %s to %s, but only %s was removed", n, a, b, all[0].Worker)
			}
		}
		most := 5 * functions / n
		if n > MaxWhole && n <= 2*MaxWhole { // besides, some functions change the ranking method
			most += 3 * functions / MaxWhole
		}
		t.Logf("figures: workers=%d functions=%d moved=%d fair=%.1f", n, functions, moved, functions/float64(n))
		if moved > most {
			t.Errorf("%d workers: removing one moves %d of %d functions, want at most %d", n, moved, functions, most)
		}
	}
}

// Between the two ranking methods a single added worker changes the order of only a small share of all functions.
func TestRankingMethodChangesForFewFunctionsPerWorker(t *testing.T) {
	all := entries(2*MaxWhole+2, 3)
	x, most := index(all[:MaxWhole-2]), 0
	whole := func() (n int) {
		for f := range 2000 {
			if x.ranksWhole(hashOf(fmt.Sprint(f))) {
				n++
			}
		}
		return n
	}
	for last, n := whole(), MaxWhole-2; n < len(all); n++ {
		x.Change(nil, all[n:n+1])
		now := whole()
		most, last = max(most, last-now), now
	}
	if whole() != 0 || most > 30 {
		t.Errorf("%d functions are ranked over all workers in the end, want 0; one worker changed the method of %d of 2000, want at most 30",
			whole(), most)
	}
}

// The first workers of all functions are spread evenly: no worker gets much more than its share.
func TestFirstRankedWorkersAreSpreadEvenly(t *testing.T) {
	const workers, each = 1000, 200
	x, load := index(entries(workers, 15)), map[string]int{}
	for f := range workers * each {
		load[first(x, Query{Hash: Mix(uint64(f), 77)})]++
	}
	var counts []int
	for _, n := range load {
		counts = append(counts, n)
	}
	slices.Sort(counts)
	percentile90, most := float64(counts[len(counts)*9/10])/each, float64(counts[len(counts)-1])/each
	t.Logf("figures: probes=%d busiest_tenth=%.2f busiest=%.2f unused=%d", Probes, percentile90, most, workers-len(counts))
	if percentile90 > 1.4 || most > 1.8 {
		t.Errorf("the 90th percentile of workers gets %.2f times the mean, want at most 1.4; the busiest %.2f, want at most 1.8",
			percentile90, most)
	}
}

// The order of a restricted function stays in its zones. That of a hot function (with many homes) starts in the gateway's own
// zone and continues in others.
func TestOrderStaysInAllowedZonesAndStartsInOwnZone(t *testing.T) {
	all := entries(3000, 15)
	x, zone := index(all), map[string]int{}
	for _, e := range all {
		zone[e.Worker] = e.Zone
	}
	at := func(query Query) (zones []int, workers []string) {
		var o Order[string]
		for i := 0; ; i++ {
			worker, ok := x.At(&o, query, i)
			if !ok {
				return zones, workers
			}
			zones, workers = append(zones, zone[worker]), append(workers, worker)
		}
	}
	restricted, _ := at(Query{Hash: 5, Zones: []int{2, 11}})
	if len(restricted) != MaxRanked || slices.ContainsFunc(restricted, func(z int) bool { return z != 2 && z != 11 }) {
		t.Errorf("zones of a function restricted to 2 and 11: %v", restricted)
	}
	hot, hotWorkers := at(Query{Hash: 5, Homes: 2000, Zone: 4, Self: 4})
	_, otherWorkers := at(Query{Hash: 5, Homes: 2000, Zone: 4, Self: 19})
	for i, z := range hot {
		if i < LocalRanked && z != 4 {
			t.Fatalf("zones of a hot function: %v, want zone 4 first", hot)
		}
	}
	if out := slices.Compact(slices.Sorted(slices.Values(hot[LocalRanked:]))); len(out) < 8 {
		t.Errorf("after its own zone a hot function is ranked only in zones %v, want at least 8", out)
	}
	if slices.Equal(hotWorkers, otherWorkers) {
		t.Error("two gateways of a zone use the same homes of a hot function")
	}
	if none, _ := at(Query{Hash: 5, Zones: []int{99}}); len(none) != 0 {
		t.Errorf("%d workers ranked in a zone without workers", len(none))
	}
}

// The order of a hot function is not recalculated each time the estimate of its homes changes a little.
func TestOrderIsKeptWhileEstimateOfHomesVaries(t *testing.T) {
	x := index(entries(3000, 15))
	var o Order[string]
	x.At(&o, Query{Hash: 3, Homes: 6000}, 0)
	before := slices.Clone(o.ranked)
	for homes := 3100; homes < 11900; homes += 107 {
		x.At(&o, Query{Hash: 3, Homes: homes}, 0)
	}
	if !slices.Equal(before, o.ranked) {
		t.Error("the order was recalculated")
	}
	if x.At(&o, Query{Hash: 3, Homes: 18_000}, 0); slices.Equal(before, o.ranked) {
		t.Error("the order was not recalculated for three times the homes")
	}
}
