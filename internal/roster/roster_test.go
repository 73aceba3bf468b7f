package roster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"quillrail/decide"
)

// routerModel holds the workers as the roster reported them to the router (hosts), and the list and bans that these
// reports should reflect.
type routerModel struct {
	hosts  map[string]decide.Host
	listed map[string]decide.Host
	banned map[string]bool
}

func (m *routerModel) apply(ev decide.List) {
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

// Random lists, changes, Disable and Enable calls: a banned worker is never reported as ready, whatever the list says.
// An enabled worker is reported with its listed state, and with a start no earlier than the listed one. Disable and
// Enable fail for unknown ids, and repeating them changes nothing.
func TestBansUnderRandomSteps(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r, m, now := New(), &routerModel{map[string]decide.Host{}, map[string]decide.Host{}, map[string]bool{}}, time.Hour
		startWhenBanned, enabledAt := map[string]time.Duration{}, map[string]time.Duration{}
		randomHost := func() decide.Host {
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
					h := randomHost()
					hosts = append(hosts, h)
					if m.listed[h.Name] = h; h.State == decide.Gone {
						delete(m.listed, h.Name)
					}
				}
				m.apply(r.ApplyList(whole, hosts))
			case 2:
				ev, err := r.Disable(id)
				if (err == nil) != (listed || m.banned[id]) {
					t.Fatalf("seed %d: disable %s: %v, listed %v, banned %v", seed, id, err, listed, m.banned[id])
				}
				if err == nil && !m.banned[id] {
					m.banned[id], startWhenBanned[id] = true, m.listed[id].Since
				}
				m.apply(ev)
			case 3, 4:
				ev, err := r.Enable(now, id)
				if (err == nil) != (listed || m.banned[id]) {
					t.Fatalf("seed %d: enable %s: %v, listed %v, banned %v", seed, id, err, listed, m.banned[id])
				}
				if m.banned[id] {
					enabledAt[id] = now
				}
				delete(m.banned, id)
				m.apply(ev)
			}
			for name, h := range m.listed {
				got := m.hosts[name]
				want := h.State
				if m.banned[name] {
					want = decide.Draining
				}
				if got.State != want || got.Since < h.Since {
					t.Fatalf("seed %d: %s is listed as %+v, banned %v, and reported as %+v", seed, name, h, m.banned[name], got)
				}
				if at, ok := enabledAt[name]; ok && !m.banned[name] && h.Since <= startWhenBanned[name] && got.Since != h.Since &&
					got.Since != at {
					t.Fatalf("seed %d: %s was enabled at %v and is reported as started at %v", seed, name, at, got.Since)
				}
				if r.Banned(name) != m.banned[name] {
					t.Fatalf("seed %d: Banned(%s) is %v, want %v", seed, name, r.Banned(name), m.banned[name])
				}
			}
			if len(m.hosts) != len(m.listed) || r.Size() != len(m.listed) || len(r.Bans()) != len(m.banned) {
				t.Fatalf("seed %d: %d workers reported, size %d, want %d; %d bans, want %d", seed, len(m.hosts), r.Size(),
					len(m.listed), len(r.Bans()), len(m.banned))
			}
		}
	}
}

// A worker may have been restarted during its ban before the list reports the new start. It counts as started when it
// is enabled, since a cold worker would otherwise get a warm one's load. A new start that the list reports afterwards
// takes precedence, whether it is earlier or later than that.
func TestWorkerEnabledAfterBanIsCold(t *testing.T) {
	r := New()
	r.ApplyList(true, []decide.Host{{Name: "w", Since: time.Minute}})
	since := func(ev decide.List, err error) time.Duration {
		if err != nil || len(ev.Hosts) != 1 || ev.Hosts[0].State != decide.Ready {
			t.Fatal(ev, err)
		}
		return ev.Hosts[0].Since
	}
	r.Disable("w")
	if got := since(r.Enable(time.Hour, "w")); got != time.Hour {
		t.Errorf("enabled at 1h, reported as started at %v", got)
	}
	if got := since(r.ApplyList(false, []decide.Host{{Name: "w", Since: time.Minute}}), nil); got != time.Hour {
		t.Errorf("the list repeats the old start: reported as started at %v, want 1h", got)
	}
	if got := since(r.ApplyList(false, []decide.Host{{Name: "w", Since: 59 * time.Minute}}), nil); got != 59*time.Minute {
		t.Errorf("the list reports a new start of 59m: reported as started at %v", got)
	}
	r.Disable("w")
	r.ApplyList(false, []decide.Host{{Name: "w", Since: 2 * time.Hour}})
	if got := since(r.Enable(3*time.Hour, "w")); got != 2*time.Hour {
		t.Errorf("the list reported a start of 2h during the ban: reported as started at %v", got)
	}
}

// The number of bans is bounded: only listed workers can be banned, but bans remain when workers leave the list.
func TestBansAreBounded(t *testing.T) {
	r := New()
	for i := range maxBans + 1 {
		id := fmt.Sprint("w", i)
		r.ApplyList(true, []decide.Host{{Name: id}})
		if _, err := r.Disable(id); (err == nil) != (i < maxBans) || err != nil && !errors.Is(err, ErrFull) {
			t.Fatalf("ban %d: %v", i, err)
		}
	}
}
