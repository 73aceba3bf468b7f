package agreement

import (
	"fmt"
	"slices"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/safeguard"
	"quillrail/internal/fleet/site"
)

const (
	refusePause = 500 * time.Millisecond // a call that may run nowhere is asked to come again after
	unknownFor  = 200 * time.Millisecond // and where it is not known yet
	backFor     = 3 * time.Second        // a hall serves again once it was seen to for so long
)

// Place says where a call may run: zones are the numbers of its sites, nil for all; why is the reason if it may run nowhere
// now. epoch is that of its session's site, 0 where it has none.
func (a *Agent) Place(call *core.Call) (zones []int, epoch uint64, why string, pause time.Duration) {
	st := a.State()
	if st == nil && len(a.o.Own) == 0 {
		if a.o.First == nil || !safeguard.Enabled("asks first") {
			return nil, 0, "", 0
		}
		return nil, 0, "it is not known yet what is agreed", unknownFor
	}
	c := site.Call{Class: call.ClassName, Function: call.Function, Session: a.session(call)}
	if call.Tenant >= 0 && call.Tenant < len(a.o.Tenants) {
		c.Tenant = a.o.Tenants[call.Tenant]
	}
	if st == nil {
		st = &replog.State{Site: &site.State{}}
	}
	agreed := st.Site
	if !safeguard.Enabled("session epoch") { // each moves sessions by what it sees itself
		own := *agreed
		own.Down = slices.DeleteFunc(slices.Clone(a.o.Halls), func(h string) bool {
			for name, m := range a.observed.members {
				if ready(m) && a.hallName(m.Zone) == h && !a.gw.Avoids(name) {
					return true
				}
			}
			return false
		})
		agreed = &own
	}
	p := agreed.Place(c, a.o.Own)
	if !p.Restricted || !safeguard.Enabled("restrictions") {
		return nil, 0, "", 0
	}
	if !a.caught && a.o.First != nil && safeguard.Enabled("asks first") {
		return nil, 0, "it is not known yet whether what is agreed is still so", unknownFor
	}
	zones = []int{}
	for i, h := range a.o.Halls {
		if slices.Contains(p.Sites, h) {
			zones = append(zones, i)
		}
	}
	if len(zones) == 0 {
		return nil, 0, "no permitted site is up", refusePause
	}
	if !a.serves(zones) {
		return nil, 0, fmt.Sprintf("no worker serves at %v", p.Sites), refusePause
	}
	if p.Pinned {
		epoch = p.Epoch
	}
	return zones, epoch, "", 0
}

// session is what a call names its session by.
func (a *Agent) session(call *core.Call) string {
	switch a.o.Session {
	case "tenant":
		return fmt.Sprint(call.Tenant)
	case "function":
		return call.Function
	}
	return call.Key
}

// ZoneOf is the number of the hall that a worker is listed in, -1 for none.
func (a *Agent) ZoneOf(worker string) int {
	if m, ok := a.observed.members[worker]; ok {
		return m.Zone
	}
	return -1
}

// serves reports whether a worker that is not left out is listed in one of the zones.
func (a *Agent) serves(zones []int) bool {
	for name, m := range a.observed.members {
		if ready(m) && slices.Contains(zones, m.Zone) && !a.held.banned[name] {
			return true
		}
	}
	return false
}

// sites sees to halls that are lost or back, and to restrictions that wait until all have heard of them.
func (a *Agent) sites(st *replog.State, now time.Duration) {
	l := &a.lead
	busy, dark, heard := map[string]bool{}, map[string]int{}, 0
	for _, r := range l.reports {
		if now-r.at <= fresh {
			heard++
			for _, h := range r.Halls {
				busy[h] = true
			}
			for _, h := range r.Dark {
				dark[h]++
			}
		}
	}
	well, renewed := map[string]int{}, map[string]bool{}
	for t, k := range st.Change.Things {
		if t.Kind() == change.Worker && k.Health != change.Out {
			well[k.Hall]++
			renewed[k.Hall] = renewed[k.Hall] || k.Life > 0 && time.Duration(k.Life)*time.Millisecond > l.lost[k.Hall]
		}
	}
	for _, h := range a.o.Halls {
		down := slices.Contains(st.Site.Down, h)
		since := func(m map[string]time.Duration, yes bool) time.Duration {
			if !yes {
				delete(m, h)
				return 0
			}
			if m[h] == 0 {
				m[h] = now
			}
			return now - m[h]
		}
		// A hall whose workers are all out is lost, or one in which two gateways call and nobody is answered; one in which
		// nobody calls is not. It is back once somebody is answered, or a worker there has begun anew.
		gone := since(l.empty, heard > 0 && !busy[h] && (well[h] == 0 || dark[h] >= min(2, heard)))
		back := since(l.busy, busy[h] || renewed[h])
		switch {
		case !down && gone > a.o.Lost:
			l.lost[h] = now
			a.put("lose", replog.NameBody{Name: h})
		case down && back > backFor:
			a.put("back", replog.NameBody{Name: h})
		}
	}
	for _, r := range st.Site.PendingLoosening() {
		if a.allHave(st, r.ID, now) {
			a.put("widen", replog.NameBody{Name: r.Name})
		}
	}
}

// allHave reports whether every gateway has applied an entry, or is known to be out: by a permit, or because it has left.
func (a *Agent) allHave(st *replog.State, index uint64, now time.Duration) bool {
	if !safeguard.Enabled("all have heard") {
		return true
	}
	for t := range st.Change.Things {
		if t.Kind() != change.Gateway {
			continue
		}
		if r := a.lead.reports[t.Name()]; r != nil && now-r.at <= fresh && r.Index >= index {
			continue
		}
		if p := st.Change.PermitOf(t); p != nil && p.Phase >= change.Used {
			continue
		}
		return false
	}
	return true
}

// Bears is what the workers at halls bear, and what calls that a restriction is for ask, as measured now.
func (a *Agent) Bears(r *site.Restriction, st *replog.State) (workers int, load float64) {
	for t, k := range st.Change.Things {
		if t.Kind() == change.Worker && k.Health == change.Well && slices.Contains(r.Sites, k.Hall) {
			workers++
		}
	}
	for _, x := range a.lead.reports {
		for i, n := range x.Uses {
			c := site.Call{Tenant: at(a.o.Tenants, i/max(1, len(a.o.Classes))), Class: at(a.o.Classes, i%max(1, len(a.o.Classes)))}
			q := *r
			q.Functions = nil // how calls fall to functions is not reported: all of them are counted
			if q.Matches(c) {
				load += n
			}
		}
	}
	return workers, load
}

func at(names []string, i int) string {
	if i >= 0 && i < len(names) {
		return names[i]
	}
	return ""
}
