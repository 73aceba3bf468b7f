// Package ranking orders workers for functions so that all gateways agree on the first of them without communicating, and
// so that adding or removing a worker moves only about that worker's share of the functions. It makes no decisions and does
// no I/O. An Index is not safe for concurrent use.
//
// A small number of workers is ranked as a whole, by rendezvous hashing (Thaler and Ravishankar, 1998), whose cost grows
// with the number of workers. A large number is ranked one by one on demand, by multi-probe consistent hashing (Appleton and
// O'Reilly, 2015): a function has several points on a hash ring for each place in its order, and the worker that follows one
// of them most closely gets the place. As the number of workers grows from MaxWhole to twice that, functions change from the
// first method to the second one after another.
package ranking

import (
	"cmp"
	"slices"
)

// Limits of the two methods.
const (
	MaxWhole = 256 // up to this number of workers all functions are ranked over all; from twice as many on none is
	Probes   = 12  // points for each place; nine of ten workers then get at most 1.2 times the mean

	// MaxRanked is how many workers are ranked for a function that is not ranked over all of them. If it has enough homes
	// in each zone, the first LocalRanked are in the gateway's own zone, and the others serve when that is full or lost.
	MaxRanked   = 64
	LocalRanked = 32

	triesPerRank = 4 // places tried for each ranked worker, as several places may have the same worker
)

// Mix returns a hash of two hashes.
func Mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Entry is a worker in an Index.
type Entry[W comparable] struct {
	Worker W
	Hash   uint64 // of its name, by which it is ranked
	Zone   int
}

// Index holds the workers that may be ranked.
type Index[W comparable] struct {
	all     ring[W]
	zones   map[int]*ring[W]
	version uint64
}

// Order caches the part of a function's order that was calculated so far. The zero value is empty.
type Order[W comparable] struct {
	version    uint64
	zones      []int // the only zones of its workers; empty for any
	localFirst bool  // workers of the gateway's own zone come before the others
	homes      int   // number of homes over which the gateways are spread; 0 if they are not
	ranked     []W
	nextPlace  int // next place to try
}

// Len returns the number of workers.
func (x *Index[W]) Len() int { return len(x.all.hashes) }

// CountIn returns the number of workers in any of the zones.
func (x *Index[W]) CountIn(zones []int) (n int) {
	for _, z := range zones {
		if r := x.zones[z]; r != nil {
			n += len(r.hashes)
		}
	}
	return n
}

// Change removes workers and adds others. An entry has to be removed as it was added.
func (x *Index[W]) Change(removed, added []Entry[W]) {
	if len(removed)+len(added) == 0 {
		return
	}
	x.version++
	x.all.change(removed, added)
	if x.zones == nil {
		x.zones = map[int]*ring[W]{}
	}
	for zone, entries := range byZone(removed) {
		x.zones[zone].change(entries, nil)
	}
	for zone, entries := range byZone(added) {
		if x.zones[zone] == nil {
			x.zones[zone] = &ring[W]{}
		}
		x.zones[zone].change(nil, entries)
	}
}

func byZone[W comparable](entries []Entry[W]) map[int][]Entry[W] {
	zones := map[int][]Entry[W]{}
	for _, e := range entries {
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	return zones
}

// Query describes the order that a gateway requests for a function.
type Query struct {
	Hash  uint64 // of the function
	Zones []int  // the only zones in which its workers may be; empty for any
	Homes int    // number of workers that all gateways together use
	Zone  int    // zone of the gateway
	Self  int    // number of the gateway among all
}

// At returns the i-th worker in a function's order, and false if there is none or the order does not go so far. An order
// over all workers depends only on Query.Hash: the caller has to skip workers that it must not use.
func (x *Index[W]) At(o *Order[W], query Query, i int) (worker W, ok bool) {
	whole := x.ranksWhole(query.Hash)
	if o.version != x.version || !whole && o.differs(query) {
		o.reset(x, query, whole)
	}
	for !whole && len(o.ranked) <= i && o.extend(x, query) {
	}
	if i >= len(o.ranked) {
		return worker, false
	}
	return o.ranked[i], true
}

// MaxHomes returns how many homes of a function one gateway uses at most.
func (x *Index[W]) MaxHomes(hash uint64) int {
	if x.ranksWhole(hash) {
		return max(LocalRanked, x.Len())
	}
	return LocalRanked
}

// InFirst reports whether a worker is among the first n of the order, as far as it was calculated.
func (o *Order[W]) InFirst(worker W, n int) bool {
	return slices.Contains(o.ranked[:min(n, len(o.ranked))], worker)
}

// ranksWhole reports whether a function is ranked over all workers. Between MaxWhole workers and twice as many this depends
// on the function, so that a single worker more or less does not change the order of all functions.
func (x *Index[W]) ranksWhole(hash uint64) bool {
	return len(x.all.hashes) <= MaxWhole+int(Mix(hash, MaxWhole)%MaxWhole)
}

// differs reports whether the order was calculated for a different query. The number of homes is an estimate that changes
// with each call, so only doubling or halving counts.
func (o *Order[W]) differs(query Query) bool {
	return !slices.Equal(o.zones, query.Zones) || query.Homes >= 2*max(MaxRanked, o.homes) || o.homes > 0 && query.Homes < o.homes/2
}

// reset starts the order anew for a query.
func (o *Order[W]) reset(x *Index[W], query Query, whole bool) {
	o.version, o.zones, o.nextPlace, o.homes, o.localFirst = x.version, query.Zones, 0, 0, false
	o.ranked = o.ranked[:0]
	if whole {
		o.ranked = append(o.ranked, x.all.workers...)
		hashes := x.all.hashes
		rank := make([]int, len(hashes))
		for i := range rank {
			rank[i] = i
		}
		slices.SortFunc(rank, func(a, b int) int { return cmp.Compare(Mix(query.Hash, hashes[a]), Mix(query.Hash, hashes[b])) })
		for i, index := range rank {
			o.ranked[i] = x.all.workers[index]
		}
		return
	}
	if query.Homes >= MaxRanked { // too many for one gateway: each uses a part of them, first in its own zone
		o.homes = query.Homes
		o.localFirst = len(query.Zones) == 0 && x.zones[query.Zone] != nil
		homes := query.Homes
		if o.localFirst {
			homes /= len(x.zones)
		}
		o.nextPlace = int(Mix(uint64(query.Self), query.Hash) % uint64(max(1, homes-MaxRanked+1)))
	}
}

// extend ranks one more worker, and reports whether it could.
func (o *Order[W]) extend(x *Index[W], query Query) bool {
	if len(o.ranked) >= MaxRanked {
		return false
	}
	for range triesPerRank * MaxRanked {
		r, seed := &x.all, query.Hash
		switch {
		case len(o.zones) > 0:
			r = x.zones[o.zones[o.nextPlace%len(o.zones)]]
		case o.localFirst && len(o.ranked) < LocalRanked:
			r, seed = x.zones[query.Zone], Mix(query.Hash, uint64(query.Zone)+1)
		}
		o.nextPlace++
		if r == nil || len(r.hashes) == 0 {
			continue
		}
		if worker := r.workers[r.nearest(seed, o.nextPlace-1)]; !slices.Contains(o.ranked, worker) {
			o.ranked = append(o.ranked, worker)
			return true
		}
	}
	return false
}
