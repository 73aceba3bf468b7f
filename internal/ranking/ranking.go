// Package ranking orders workers for functions so that all gateways agree on the first of them without asking, and so that one
// worker more or less moves about its own share of the functions. It knows nothing of what is decided by the order, and does no
// I/O. An Index is not safe for concurrent use.
//
// Few workers are ranked whole, by rendezvous hashing (Thaler and Ravishankar, 1998): the work grows with their number. Many
// are ranked one by one as they are asked for, by multi-probe consistent hashing (Appleton and O'Reilly, 2015): a function has a
// series of points on a ring for each place in its order, and the worker that follows one of them most closely has the place.
// From the one to the other functions change one by one as the number of workers grows from Whole to twice that.
package ranking

import (
	"cmp"
	"slices"
)

// Bounds of the two ways.
const (
	Whole  = 256 // workers up to which all functions are ranked whole; from twice as many on none is
	Probes = 12  // points for each place: the busiest tenth of workers has up to 1.2 times the mean then, see TestFirstPlacesAreSpread
	Most   = 64  // workers that a function of many is ranked: the first Near of them are of the gateway's own zone where there
	Near   = 32  // are enough homes in each, and the others the way out of a zone that is full or lost
	tries  = 4   // places that are tried for each of them, since one worker may have several
)

// Mix is a hash of two hashes.
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

// Order is what is known of a function's order. The zero value knows nothing.
type Order[W comparable] struct {
	version uint64
	zones   []int // where alone its workers may be
	near    bool  // the workers of one zone come before the others
	span    int   // places over which gateways spread
	ranked  []W
	place   int // the next to be tried
}

// Len is the number of workers.
func (x *Index[W]) Len() int { return len(x.all.hashes) }

// In is the number of workers in any of the zones.
func (x *Index[W]) In(zones []int) (n int) {
	for _, z := range zones {
		if r := x.zones[z]; r != nil {
			n += len(r.hashes)
		}
	}
	return n
}

// Change removes workers and adds others. Removed entries are as they were added.
func (x *Index[W]) Change(removed, added []Entry[W]) {
	if len(removed)+len(added) == 0 {
		return
	}
	x.version++
	x.all.change(removed, added)
	if x.zones == nil {
		x.zones = map[int]*ring[W]{}
	}
	for zone, of := range byZone(removed) {
		x.zones[zone].change(of, nil)
	}
	for zone, of := range byZone(added) {
		if x.zones[zone] == nil {
			x.zones[zone] = &ring[W]{}
		}
		x.zones[zone].change(nil, of)
	}
}

func byZone[W comparable](entries []Entry[W]) map[int][]Entry[W] {
	out := map[int][]Entry[W]{}
	for _, e := range entries {
		out[e.Zone] = append(out[e.Zone], e)
	}
	return out
}

// Wants is what a gateway asks of a function's order.
type Wants struct {
	Hash  uint64 // of the function
	Zones []int  // where alone its workers may be; none for anywhere
	Homes int    // workers that all gateways together use
	Zone  int    // the gateway's own
	Self  int    // its number among the gateways
}

// At returns the i-th worker in a function's order; false if there is none, or the order is not carried on so far. What is
// ranked by whole is the same for all wants but the hash: the caller leaves out what it must not use.
func (x *Index[W]) At(o *Order[W], w Wants, i int) (worker W, ok bool) {
	whole := x.whole(w.Hash)
	if o.version != x.version || !whole && o.differs(w) {
		o.begin(x, w, whole)
	}
	for !whole && len(o.ranked) <= i && o.extend(x, w) {
	}
	if i >= len(o.ranked) {
		return worker, false
	}
	return o.ranked[i], true
}

// Share is how many homes of a function one gateway uses at most.
func (x *Index[W]) Share(hash uint64) int {
	if x.whole(hash) {
		return max(Near, x.Len())
	}
	return Near
}

// Among reports whether a worker is one of the first n that were asked for.
func (o *Order[W]) Among(worker W, n int) bool {
	return slices.Contains(o.ranked[:min(n, len(o.ranked))], worker)
}

// whole reports whether a function is ranked over all workers. Where there are between Whole and twice as many it depends on
// the function, so that no single worker more or less changes the order of all.
func (x *Index[W]) whole(hash uint64) bool {
	return len(x.all.hashes) <= Whole+int(Mix(hash, Whole)%Whole)
}

// differs reports whether the order was begun for other wants. The number of homes is an estimate that changes with each call,
// so it has to double or halve.
func (o *Order[W]) differs(w Wants) bool {
	return !slices.Equal(o.zones, w.Zones) || w.Homes >= 2*max(Most, o.span) || o.span > 0 && w.Homes < o.span/2
}

// begin starts an order anew.
func (o *Order[W]) begin(x *Index[W], w Wants, whole bool) {
	o.version, o.zones, o.place, o.span, o.near = x.version, w.Zones, 0, 0, false
	o.ranked = o.ranked[:0]
	if whole {
		o.ranked = append(o.ranked, x.all.workers...)
		hashes := x.all.hashes
		rank := make([]int, len(hashes))
		for i := range rank {
			rank[i] = i
		}
		slices.SortFunc(rank, func(a, b int) int { return cmp.Compare(Mix(w.Hash, hashes[a]), Mix(w.Hash, hashes[b])) })
		for i, n := range rank {
			o.ranked[i] = x.all.workers[n]
		}
		return
	}
	if w.Homes >= Most { // more than a gateway uses: each uses its part of them, those of its own zone first
		o.span = w.Homes
		o.near = len(w.Zones) == 0 && x.zones[w.Zone] != nil
		homes := w.Homes
		if o.near {
			homes /= len(x.zones)
		}
		o.place = int(Mix(uint64(w.Self), w.Hash) % uint64(max(1, homes-Most+1)))
	}
}

// extend ranks one worker more, and reports whether it could.
func (o *Order[W]) extend(x *Index[W], w Wants) bool {
	if len(o.ranked) >= Most {
		return false
	}
	for range tries * Most {
		r, seed := &x.all, w.Hash
		switch {
		case len(o.zones) > 0:
			r = x.zones[o.zones[o.place%len(o.zones)]]
		case o.near && len(o.ranked) < Near:
			r, seed = x.zones[w.Zone], Mix(w.Hash, uint64(w.Zone)+1)
		}
		o.place++
		if r == nil || len(r.hashes) == 0 {
			continue
		}
		if worker := r.workers[r.nearest(seed, o.place-1)]; !slices.Contains(o.ranked, worker) {
			o.ranked = append(o.ranked, worker)
			return true
		}
	}
	return false
}
