package ranking

import (
	"cmp"
	"slices"
)

// ring holds workers, sorted by their hashes.
type ring[W comparable] struct {
	hashes  []uint64
	workers []W
}

// nearest returns the index of the worker that follows one of a place's points most closely.
func (r *ring[W]) nearest(seed uint64, place int) (at int) {
	best := ^uint64(0)
	for p := range Probes {
		point := Mix(seed, uint64(place*Probes+p+1))
		i, _ := slices.BinarySearch(r.hashes, point)
		if i == len(r.hashes) {
			i = 0
		}
		if d := r.hashes[i] - point; d <= best { // the difference wraps around like the ring
			best, at = d, i
		}
	}
	return at
}

const maxSingleChanges = 16 // up to this many changes are applied one by one; more are merged in one pass

// change removes and adds workers.
func (r *ring[W]) change(removed, added []Entry[W]) {
	if len(removed)+len(added) > maxSingleChanges {
		r.merge(removed, added)
		return
	}
	for _, e := range removed {
		if i := r.find(e); i >= 0 {
			r.hashes, r.workers = slices.Delete(r.hashes, i, i+1), slices.Delete(r.workers, i, i+1)
		}
	}
	for _, e := range added {
		i, _ := slices.BinarySearch(r.hashes, e.Hash)
		r.hashes, r.workers = slices.Insert(r.hashes, i, e.Hash), slices.Insert(r.workers, i, e.Worker)
	}
}

// find returns the index of a worker, -1 if it is not there. Several workers may have the same hash.
func (r *ring[W]) find(e Entry[W]) int {
	i, _ := slices.BinarySearch(r.hashes, e.Hash)
	for ; i < len(r.hashes) && r.hashes[i] == e.Hash; i++ {
		if r.workers[i] == e.Worker {
			return i
		}
	}
	return -1
}

// merge does the same as change in one pass, for many entries.
func (r *ring[W]) merge(removed, added []Entry[W]) {
	gone := make(map[W]bool, len(removed))
	for _, e := range removed {
		gone[e.Worker] = true
	}
	added = slices.Clone(added)
	slices.SortStableFunc(added, func(a, b Entry[W]) int { return cmp.Compare(a.Hash, b.Hash) })
	hashes, workers := make([]uint64, 0, len(r.hashes)+len(added)), make([]W, 0, len(r.hashes)+len(added))
	for i, h := range r.hashes {
		for len(added) > 0 && added[0].Hash < h {
			hashes, workers, added = append(hashes, added[0].Hash), append(workers, added[0].Worker), added[1:]
		}
		if !gone[r.workers[i]] {
			hashes, workers = append(hashes, h), append(workers, r.workers[i])
		}
	}
	for _, e := range added {
		hashes, workers = append(hashes, e.Hash), append(workers, e.Worker)
	}
	r.hashes, r.workers = hashes, workers
}
