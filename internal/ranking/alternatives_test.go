package ranking

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

// firstCount is how many workers each method below finds for a function that is requested for the first time. The methods are
// other published ones to find the first workers of a function among very many, for comparison with Index.
const firstCount = 8

// scan ranks all hashes by rendezvous hashing and returns only the first.
func scan(hashes []uint64, seed uint64) (out []uint64) {
	for _, h := range hashes {
		rank := Mix(seed, h)
		if len(out) == firstCount && rank >= out[firstCount-1] {
			continue
		}
		i, _ := slices.BinarySearch(out, rank)
		out = slices.Insert(out, i, rank)[:min(len(out)+1, firstCount)]
	}
	return out
}

// skeleton divides the workers into buckets by the first bits of their hashes. It selects a bucket by a hash of the function, then
// the workers of the bucket by rendezvous hashing.
type skeleton struct {
	bits    int
	buckets [][]uint64
}

func newSkeleton(hashes []uint64, each int) *skeleton {
	s := &skeleton{}
	for len(hashes)>>s.bits > each {
		s.bits++
	}
	s.buckets = make([][]uint64, 1<<s.bits)
	for _, h := range hashes {
		s.buckets[h>>(64-s.bits)] = append(s.buckets[h>>(64-s.bits)], h)
	}
	return s
}

func (s *skeleton) first(seed uint64) []uint64 {
	bucket := s.buckets[Mix(seed, 1)>>(64-s.bits)]
	return scan(bucket, seed)
}

// points returns a ring on which each worker has the given number of points.
func points(hashes []uint64, each int) *ring[int] {
	var all []Entry[int]
	for i, h := range hashes {
		for p := range each {
			all = append(all, Entry[int]{Worker: i, Hash: Mix(h, uint64(p)+1)})
		}
	}
	r := &ring[int]{}
	slices.SortFunc(all, func(a, b Entry[int]) int { return cmp.Compare(a.Hash, b.Hash) })
	for _, e := range all {
		r.hashes, r.workers = append(r.hashes, e.Hash), append(r.workers, e.Worker)
	}
	return r
}

func (r *ring[W]) after(point uint64) W {
	i, _ := slices.BinarySearch(r.hashes, point)
	return r.workers[i%len(r.workers)]
}

func hashes(n int) (out []uint64) {
	for i := range n {
		out = append(out, hashOf(fmt.Sprintf("w%06d", i)))
	}
	return out
}

// BenchmarkAlternatives measures the cost of the first eight workers of a new function. "busiest" is the load of the busiest
// worker divided by the mean load, with 100 functions per worker. "B/worker" is the size of the index in bytes per worker.
func BenchmarkAlternatives(b *testing.B) {
	for _, n := range []int{10_000, 81_000} {
		all := hashes(n)
		busiest := func(b *testing.B, firstOf func(seed uint64) int) {
			load, most := make([]int, n), 0
			for f := range 100 * n {
				w := firstOf(Mix(uint64(f), 3))
				load[w]++
				most = max(most, load[w])
			}
			b.ReportMetric(float64(most)/100, "busiest")
		}
		run := func(name string, bytes float64, first func(seed uint64), firstOf func(seed uint64) int) {
			b.Run(fmt.Sprintf("%s/workers=%d", name, n), func(b *testing.B) {
				for i := uint64(0); b.Loop(); i++ {
					first(i)
				}
				b.ReportMetric(bytes, "B/worker")
				if firstOf != nil {
					busiest(b, firstOf)
				}
			})
		}
		run("complete rank, prefix kept", 8, func(seed uint64) { scan(all, seed) }, nil)
		s := newSkeleton(all, 64)
		place := map[uint64]int{}
		for i, h := range all {
			place[h] = i
		}
		best := func(seed uint64) int {
			bucket := s.buckets[Mix(seed, 1)>>(64-s.bits)]
			return place[slices.MinFunc(bucket, func(x, y uint64) int { return cmp.Compare(Mix(seed, x), Mix(seed, y)) })]
		}
		run("skeleton, buckets of 64", 8, func(seed uint64) { s.first(seed) }, best)
		for _, each := range []int{1, 32} {
			r := points(all, each)
			run(fmt.Sprintf("ring, %d points a worker", each), 16*float64(each), func(seed uint64) {
				for i := range uint64(firstCount) {
					r.after(Mix(seed, i))
				}
			}, func(seed uint64) int { return r.after(seed) })
		}
		x := &Index[int]{}
		var entries []Entry[int]
		for i, h := range all {
			entries = append(entries, Entry[int]{Worker: i, Hash: h})
		}
		x.Change(nil, entries)
		run("multi-probe, as Index", 32, func(seed uint64) {
			var o Order[int]
			x.At(&o, Query{Hash: seed}, firstCount-1)
		}, func(seed uint64) int { return x.all.workers[x.all.nearest(seed, 0)] })
	}
}
