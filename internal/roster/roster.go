// Package roster is the one owner of which workers may be used: what the bulletin and the brokers list, and the
// bans that operators lay on workers by hand. It does no I/O; what it returns is for the module, which knows a worker
// under a ban as one that drains.
package roster

import (
	"errors"
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
	if _, banned := r.bans[h.Name]; banned && h.State == decide.Ready {
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

// Names are the listed workers, in order.
func (r *Roster) Names() []string { return slices.Sorted(maps.Keys(r.listed)) }

// Bans are the workers left out by hand, in order, listed or not.
func (r *Roster) Bans() []string { return slices.Sorted(maps.Keys(r.bans)) }
