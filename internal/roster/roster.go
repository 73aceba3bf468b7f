// Package roster is the one owner of which workers may be used: what the bulletin and the brokers list, and the
// bans that operators lay on workers by hand. It does no I/O; what it returns is for the module, which knows a worker
// under a ban as one that drains.
package roster

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"quillrail/decide"
)

// maxBans bounds the bans. Only workers that are listed can be banned, but a ban outlives the listing.
const maxBans = 4096

// The reasons why a call is not carried out.
var (
	ErrUnknown = errors.New("no such worker")
	ErrFull    = errors.New("too many workers are left out by hand")
)

// Roster holds the listed workers and the bans.
type Roster struct {
	listed map[string]decide.Host
	bans   map[string]time.Duration // by the worker's start as it was listed when the ban was laid, and
	held   map[string]bool          // draining by a newer list than ours, as another gateway says
	cold   map[string]assumed       // what is thought of those that came back without a word of their start
}

// assumed is the start that a worker is given which came back from a ban: operators restart workers meanwhile, and
// the list tells it late.
type assumed struct {
	listed time.Duration // holds for as long as the list says this,
	since  time.Duration // and means this
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{listed: map[string]decide.Host{}, bans: map[string]time.Duration{}, cold: map[string]assumed{}}
}

// List takes a list of workers, or changes of it, and returns what the module is to be told.
func (r *Roster) List(whole bool, hosts []decide.Host) decide.List {
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
	maps.DeleteFunc(r.cold, func(name string, a assumed) bool {
		h, ok := r.listed[name]
		return !ok || h.Since != a.listed
	})
	return ev
}

// effective is a worker as the module is to see it.
func (r *Roster) effective(h decide.Host) decide.Host {
	if a, ok := r.cold[h.Name]; ok && a.listed == h.Since {
		h.Since = max(h.Since, a.since)
	}
	if _, banned := r.bans[h.Name]; (banned || r.held[h.Name]) && h.State == decide.Ready {
		h.State = decide.Draining
	}
	return h
}

// Disable leaves a worker out until Enable, whatever the list says.
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
	return r.change(id), nil
}

// Enable uses a worker again. One that the list does not show to have been started meanwhile counts as started now.
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
		r.cold[id] = assumed{h.Since, now}
	}
	return r.change(id), nil
}

// Hold leaves workers alone that another gateway knows to drain, in place of those that were held before.
func (r *Roster) Hold(ids map[string]bool) decide.List {
	before := r.held
	r.held = ids
	var ev decide.List
	for _, id := range r.Names() {
		if before[id] != ids[id] {
			ev.Hosts = append(ev.Hosts, r.effective(r.listed[id]))
		}
	}
	return ev
}

// change is the news of one worker; none while it is not listed.
func (r *Roster) change(id string) decide.List {
	h, ok := r.listed[id]
	if !ok {
		return decide.List{}
	}
	return decide.List{Hosts: []decide.Host{r.effective(h)}}
}

// Size is the number of workers in the list.
func (r *Roster) Size() int { return len(r.listed) }

// Banned reports whether a worker is left out by hand.
func (r *Roster) Banned(id string) bool {
	_, banned := r.bans[id]
	return banned
}

// Ban is the ban on a worker, if there is one.
func (r *Roster) Ban(id string) (Ban, bool) {
	since, banned := r.bans[id]
	return Ban{id, since}, banned
}

// Since is a worker's start as it is listed.
func (r *Roster) Since(id string) time.Duration { return r.listed[id].Since }

// Listed reports whether a worker is in the list.
func (r *Roster) Listed(id string) bool { _, ok := r.listed[id]; return ok }

// Usable reports whether a worker may get something new: it is listed as ready and left out by nobody.
func (r *Roster) Usable(id string) bool {
	h, listed := r.listed[id]
	return listed && r.effective(h).State == decide.Ready
}

// Names are the listed workers, in order.
func (r *Roster) Names() []string { return slices.Sorted(maps.Keys(r.listed)) }

// Bans are the workers left out by hand, in order, listed or not.
func (r *Roster) Bans() []string { return slices.Sorted(maps.Keys(r.bans)) }

// Ban is a worker left out by hand, and its start as it was listed then.
type Ban struct {
	ID    string        `json:"id"`
	Since time.Duration `json:"since_ns"`
}

// Check reports whether the ban can be one.
func (b Ban) Check() error {
	if b.ID == "" || len(b.ID) > maxID || b.Since < 0 {
		return fmt.Errorf("ban of %q, started at %d", b.ID[:min(len(b.ID), maxID)], b.Since)
	}
	return nil
}

// maxID bounds a worker's id, as operators can say it.
const maxID = 256

// Saved is what a roster hands on to the gateway's next process.
type Saved struct {
	Bans []Ban  `json:"bans"`
	Cold []Cold `json:"cold"`
}

// Cold is a worker that came back from a ban and counts as started at Since for as long as the list says Listed.
type Cold struct {
	ID     string        `json:"id"`
	Listed time.Duration `json:"listed_ns"`
	Since  time.Duration `json:"since_ns"`
}

// Check reports whether what was saved can be used.
func (s *Saved) Check() error {
	if len(s.Bans) > maxBans || len(s.Cold) > maxBans {
		return fmt.Errorf("%d bans, %d cold workers", len(s.Bans), len(s.Cold))
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

// Save returns what the gateway's next process has to know.
func (r *Roster) Save() Saved {
	var s Saved
	for _, id := range r.Bans() {
		s.Bans = append(s.Bans, Ban{id, r.bans[id]})
	}
	for _, id := range slices.Sorted(maps.Keys(r.cold)) {
		s.Cold = append(s.Cold, Cold{id, r.cold[id].listed, r.cold[id].since})
	}
	if len(s.Cold) > maxBans {
		s.Cold = s.Cold[:maxBans]
	}
	return s
}

// Restore takes what a former process has handed on, before the first list.
func (r *Roster) Restore(s Saved) {
	for _, b := range s.Bans {
		r.bans[b.ID] = b.Since
	}
	for _, c := range s.Cold {
		r.cold[c.ID] = assumed{c.Listed, c.Since}
	}
}

// Adopt lays a ban that was laid at the gateway's other process, whether or not the worker is listed here yet.
func (r *Roster) Adopt(b Ban) decide.List {
	if _, banned := r.bans[b.ID]; banned || len(r.bans) >= maxBans {
		return decide.List{}
	}
	r.bans[b.ID] = b.Since
	return r.change(b.ID)
}
