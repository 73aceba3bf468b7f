// Package roster decides which workers may be used, from the lists of the bulletin and the MQTT brokers and from the
// bans that operators put on workers. It does no I/O: its methods return list events for the router (package decide),
// to which a banned worker is reported as draining.
package roster

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"quillrail/decide"
)

// maxBans bounds the number of bans. Operators can ban listed workers only, but a ban remains when its worker leaves
// the list.
const maxBans = 4096

// The errors of Disable and Enable.
var (
	ErrUnknown = errors.New("no such worker")
	ErrFull    = errors.New("too many workers are left out by hand")
)

// Roster holds the listed workers and the bans.
type Roster struct {
	listed map[string]decide.Host
	bans   map[string]time.Duration // by worker; the value is its listed start time when it was banned

	drainingElsewhere map[string]bool         // workers that another gateway reports as draining, by a newer list
	assumedStarts     map[string]assumedStart // of workers enabled after a ban for which no later start was listed
}

// assumedStart is the start time that a worker counts as having when its ban ends. Operators restart workers during a
// ban, and the list reports the new start late.
type assumedStart struct {
	listedStart time.Duration // the assumption holds while the list reports this start
	start       time.Duration // the assumed start
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{listed: map[string]decide.Host{}, bans: map[string]time.Duration{}, assumedStarts: map[string]assumedStart{}}
}

// ApplyList stores a list of workers (whole) or changes of it, and returns the event for the router.
func (r *Roster) ApplyList(whole bool, hosts []decide.Host) decide.List {
	if whole {
		clear(r.listed)
	}
	ev := decide.List{Whole: whole}
	for _, h := range hosts {
		if h.State == decide.Gone {
			delete(r.listed, h.Name)
		} else {
			r.listed[h.Name] = h
		}
		ev.Hosts = append(ev.Hosts, r.effective(h))
	}
	maps.DeleteFunc(r.assumedStarts, func(name string, a assumedStart) bool {
		h, ok := r.listed[name]
		return !ok || h.Since != a.listedStart
	})
	return ev
}

// effective returns a worker's entry as the router should see it: with bans and the assumed start applied.
func (r *Roster) effective(h decide.Host) decide.Host {
	if a, ok := r.assumedStarts[h.Name]; ok && a.listedStart == h.Since {
		h.Since = max(h.Since, a.start)
	}
	if _, banned := r.bans[h.Name]; (banned || r.drainingElsewhere[h.Name]) && h.State == decide.Ready {
		h.State = decide.Draining
	}
	return h
}

// Disable bans a worker until Enable is called, whatever the list reports. Disabling a banned worker changes nothing.
func (r *Roster) Disable(id string) (decide.List, error) {
	if _, banned := r.bans[id]; banned {
		return decide.List{}, nil
	}
	h, ok := r.listed[id]
	switch {
	case !ok:
		return decide.List{}, ErrUnknown
	case len(r.bans) >= maxBans:
		return decide.List{}, ErrFull
	}
	r.bans[id] = h.Since
	return r.update(id), nil
}

// Enable lifts the ban on a worker. If the list has not reported a later start since the ban, the worker counts as
// started now.
func (r *Roster) Enable(now time.Duration, id string) (decide.List, error) {
	at, banned := r.bans[id]
	h, listed := r.listed[id]
	switch {
	case !banned && !listed:
		return decide.List{}, ErrUnknown
	case !banned:
		return decide.List{}, nil
	}
	delete(r.bans, id)
	if listed && h.Since <= at {
		r.assumedStarts[id] = assumedStart{h.Since, now}
	}
	return r.update(id), nil
}

// SetDrainingElsewhere replaces the workers that another gateway reports as draining, and returns the changed entries.
func (r *Roster) SetDrainingElsewhere(ids map[string]bool) decide.List {
	before := r.drainingElsewhere
	r.drainingElsewhere = ids
	var ev decide.List
	for _, id := range r.Names() {
		if before[id] != ids[id] {
			ev.Hosts = append(ev.Hosts, r.effective(r.listed[id]))
		}
	}
	return ev
}

// update returns an event with the worker's effective entry, or an empty event if the worker is not listed.
func (r *Roster) update(id string) decide.List {
	h, ok := r.listed[id]
	if !ok {
		return decide.List{}
	}
	return decide.List{Hosts: []decide.Host{r.effective(h)}}
}

// Size returns the number of listed workers.
func (r *Roster) Size() int { return len(r.listed) }

// Banned reports whether an operator has banned a worker.
func (r *Roster) Banned(id string) bool {
	_, banned := r.bans[id]
	return banned
}

// Ban returns the ban on a worker, if there is one.
func (r *Roster) Ban(id string) (Ban, bool) {
	since, banned := r.bans[id]
	return Ban{id, since}, banned
}

// ListedStart returns a worker's start time as listed, 0 if the worker is not listed.
func (r *Roster) ListedStart(id string) time.Duration { return r.listed[id].Since }

// Listed reports whether a worker is in the list.
func (r *Roster) Listed(id string) bool { _, ok := r.listed[id]; return ok }

// Usable reports whether a worker may get new work: it is listed as ready, is not banned, and is not reported as
// draining by another gateway.
func (r *Roster) Usable(id string) bool {
	h, listed := r.listed[id]
	return listed && r.effective(h).State == decide.Ready
}

// Names returns the names of the listed workers, sorted.
func (r *Roster) Names() []string { return slices.Sorted(maps.Keys(r.listed)) }

// Bans returns the names of the banned workers, sorted, listed or not.
func (r *Roster) Bans() []string { return slices.Sorted(maps.Keys(r.bans)) }

// Ban is a banned worker and its listed start time when it was banned.
type Ban struct {
	ID    string        `json:"id"`
	Since time.Duration `json:"since_ns"`
}

// Check returns an error if the ban has no worker id, one that is too long, or a negative start time.
func (b Ban) Check() error {
	if b.ID == "" || len(b.ID) > maxIDBytes || b.Since < 0 {
		return fmt.Errorf("ban: want an id of 1 to %d bytes and a start from 0, got %q and %d",
			maxIDBytes, b.ID[:min(len(b.ID), maxIDBytes)], b.Since)
	}
	return nil
}

// maxIDBytes bounds the length of a worker's id, as in operators' commands.
const maxIDBytes = 256

// Saved is the state of a roster that is handed over to the gateway's next process.
type Saved struct {
	Bans []Ban        `json:"bans"`
	Cold []ColdWorker `json:"cold"`
}

// ColdWorker is a worker enabled after a ban. It counts as started at Since while the list reports the start Listed.
type ColdWorker struct {
	ID     string        `json:"id"`
	Listed time.Duration `json:"listed_ns"`
	Since  time.Duration `json:"since_ns"`
}

// Check returns an error if the saved state is invalid.
func (s *Saved) Check() error {
	if len(s.Bans) > maxBans || len(s.Cold) > maxBans {
		return fmt.Errorf("want at most %d bans and as many cold workers, got %d and %d", maxBans, len(s.Bans), len(s.Cold))
	}
	for _, b := range s.Bans {
		if err := b.Check(); err != nil {
			return err
		}
	}
	for _, c := range s.Cold {
		if err := (Ban{c.ID, min(c.Listed, c.Since)}).Check(); err != nil {
			return err
		}
	}
	return nil
}

// Save returns the state that the gateway's next process needs.
func (r *Roster) Save() Saved {
	var s Saved
	for _, id := range r.Bans() {
		s.Bans = append(s.Bans, Ban{id, r.bans[id]})
	}
	for _, id := range slices.Sorted(maps.Keys(r.assumedStarts)) {
		s.Cold = append(s.Cold, ColdWorker{id, r.assumedStarts[id].listedStart, r.assumedStarts[id].start})
	}
	if len(s.Cold) > maxBans {
		s.Cold = s.Cold[:maxBans]
	}
	return s
}

// Restore applies the state that a previous process handed over. It has to be called before the first list arrives.
func (r *Roster) Restore(s Saved) {
	for _, b := range s.Bans {
		r.bans[b.ID] = b.Since
	}
	for _, c := range s.Cold {
		r.assumedStarts[c.ID] = assumedStart{c.Listed, c.Since}
	}
}

// AdoptBan applies a ban that was made at another process, whether or not the worker is listed here yet.
func (r *Roster) AdoptBan(b Ban) decide.List {
	if _, banned := r.bans[b.ID]; banned || len(r.bans) >= maxBans {
		return decide.List{}
	}
	r.bans[b.ID] = b.Since
	return r.update(b.ID)
}
