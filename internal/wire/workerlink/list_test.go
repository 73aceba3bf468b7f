package workerlink

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
)

// The index of workers by address holds what a scan of all workers finds, after complete lists and changes in any order: new workers at
// addresses of others, workers that move, leave and return, and connections to workers that are no longer listed.
func TestAddressIndexMatchesFullScan(t *testing.T) {
	for seed := range uint64(30) {
		r, rng := newRig(t), rand.New(rand.NewPCG(seed, 5))
		for step := range 60 {
			var members []core.Member
			for range 1 + rng.IntN(4) {
				members = append(members, member(fmt.Sprint("w", rng.IntN(8)), []string{"a:1", "b:1", "c:1"}[rng.IntN(3)],
					decide.HostState(rng.IntN(3)), time.Duration(rng.IntN(2)*step)))
			}
			if rng.IntN(3) == 0 {
				r.send(fmt.Sprint("w", rng.IntN(8)), "")
			}
			r.pool.ApplyList(rng.IntN(5) == 0, members)
			r.Run()
			chained := map[*host]bool{}
			for addr, first := range r.pool.byAddr {
				for h := first; h != nil; h = h.nextAtAddr {
					if h.addr != addr || r.pool.hosts[h.name] != h || chained[h] {
						t.Fatalf("seed %d, step %d: %s is indexed at %s (address %s), or twice, or is not a known worker",
							seed, step, h.name, addr, h.addr)
					}
					chained[h] = true
				}
			}
			for name, h := range r.pool.hosts {
				if !chained[h] || h.gone && len(h.conns) == 0 {
					t.Fatalf("seed %d, step %d: %s is not indexed at %s, or still known although it is gone", seed, step, name, h.addr)
				}
			}
			for _, m := range members[len(members)-1:] {
				for name, h := range r.pool.hosts {
					if m.State != decide.Gone && name != m.Name && h.addr == m.Addr && len(h.conns) > 0 {
						t.Fatalf("seed %d, step %d: %s still has connections to the address that %s has now", seed, step, name, m.Name)
					}
				}
			}
		}
	}
}
