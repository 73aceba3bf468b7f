package roster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quillrail/decide"
)

// told is what a module has been told, and a model of what it should have been.
type told struct {
	hosts  map[string]decide.Host
	listed map[string]decide.Host
	banned map[string]bool
}

func (m *told) take(ev decide.List) {
	if ev.Whole {
		clear(m.hosts)
	}
	for _, h := range ev.Hosts {
		if h.State == decide.Gone {
			delete(m.hosts, h.Name)
		} else {
			m.hosts[h.Name] = h
		}
	}
}

// Under random lists, changes, bans and calls back: the module is never told that a worker under a ban may be used,
// whatever the list says; one that is called back is ready again as listed and never thought to be warmer than it may
// be; calls for ids that nobody has are refused; repeated calls change nothing.
func TestBansUnderRandomSteps(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r, m, now := New(), &told{map[string]decide.Host{}, map[string]decide.Host{}, map[string]bool{}}, time.Hour
		banAt, enabled := map[string]time.Duration{}, map[string]time.Duration{}
		host := func() decide.Host {
			h := decide.Host{Name: fmt.Sprint("w", rng.IntN(6)), State: decide.HostState(rng.IntN(3))}
			if old, ok := m.listed[h.Name]; ok && rng.IntN(3) > 0 {
				h.Since = old.Since
			} else if rng.IntN(2) == 0 {
				h.Since = now
			}
			return h
		}
		for range 150 {
			now += time.Duration(rng.IntN(900)) * time.Millisecond
			id := fmt.Sprint("w", rng.IntN(7)) // w6 is never listed
			_, listed := m.listed[id]
			switch rng.IntN(5) {
			case 0, 1:
				whole, hosts := rng.IntN(4) == 0, []decide.Host{}
				if whole {
					clear(m.listed)
				}
				for range rng.IntN(5) {
					h := host()
					hosts = append(hosts, h)
					if m.listed[h.Name] = h; h.State == decide.Gone {
						delete(m.listed, h.Name)
					}
				}
				m.take(r.List(whole, hosts))
			case 2:
				ev, err := r.Disable(id)
				if (err == nil) != (listed || m.banned[id]) {
					t.Fatalf("seed %d: disable %s: %v, listed %v, banned %v", seed, id, err, listed, m.banned[id])
				}
				if err == nil && !m.banned[id] {
					m.banned[id], banAt[id] = true, m.listed[id].Since
				}
				m.take(ev)
			case 3, 4:
				ev, err := r.Enable(now, id)
				if (err == nil) != (listed || m.banned[id]) {
					t.Fatalf("seed %d: enable %s: %v, listed %v, banned %v", seed, id, err, listed, m.banned[id])
				}
				if m.banned[id] {
					enabled[id] = now
				}
				delete(m.banned, id)
				m.take(ev)
			}
			for name, h := range m.listed {
				got := m.hosts[name]
				want := h.State
				if m.banned[name] {
					want = decide.Draining
				}
				if got.State != want || got.Since < h.Since {
					t.Fatalf("seed %d: %s is listed as %+v, banned %v, and told as %+v", seed, name, h, m.banned[name], got)
				}
				if at, back := enabled[name]; back && !m.banned[name] && h.Since <= banAt[name] && got.Since != h.Since && got.Since != at {
					t.Fatalf("seed %d: %s came back at %v and is told as started at %v", seed, name, at, got.Since)
				}
				if r.Banned(name) != m.banned[name] {
					t.Fatalf("seed %d: %s banned %v", seed, name, r.Banned(name))
				}
			}
			if len(m.hosts) != len(m.listed) || r.Size() != len(m.listed) || len(r.Bans()) != len(m.banned) {
				t.Fatalf("seed %d: %d told, size %d, %d listed; %d bans of %d", seed, len(m.hosts), r.Size(), len(m.listed),
					len(r.Bans()), len(m.banned))
			}
		}
	}
}

// A worker that comes back without a word of its start may have been restarted under the ban: it counts as started
// now, or a cold worker would get a warm one's load. What the list tells later, earlier or later than that, holds.
func TestBackFromABanIsCold(t *testing.T) {
	r := New()
	r.List(true, []decide.Host{{Name: "w", Since: time.Minute}})
	since := func(ev decide.List, err error) time.Duration {
		if err != nil || len(ev.Hosts) != 1 || ev.Hosts[0].State != decide.Ready {
			t.Fatal(ev, err)
		}
		return ev.Hosts[0].Since
	}
	r.Disable("w")
	if got := since(r.Enable(time.Hour, "w")); got != time.Hour {
		t.Errorf("comes back as started at %v", got)
	}
	if got := since(r.List(false, []decide.Host{{Name: "w", Since: time.Minute}}), nil); got != time.Hour {
		t.Errorf("old news makes it warm: %v", got)
	}
	if got := since(r.List(false, []decide.Host{{Name: "w", Since: 59 * time.Minute}}), nil); got != 59*time.Minute {
		t.Errorf("its real start is not taken: %v", got)
	}
	r.Disable("w")
	r.List(false, []decide.Host{{Name: "w", Since: 2 * time.Hour}})
	if got := since(r.Enable(3*time.Hour, "w")); got != 2*time.Hour {
		t.Errorf("the start told under the ban is not taken: %v", got)
	}
}

// Bans are bounded: only listed workers can be banned, but their entries may leave the list.
func TestBansAreBounded(t *testing.T) {
	r := New()
	for i := range maxBans + 1 {
		id := fmt.Sprint("w", i)
		r.List(true, []decide.Host{{Name: id}})
		if _, err := r.Disable(id); (err == nil) != (i < maxBans) || err != nil && !errors.Is(err, ErrFull) {
			t.Fatalf("ban %d: %v", i, err)
		}
	}
}
