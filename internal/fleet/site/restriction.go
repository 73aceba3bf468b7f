package site

import (
	"fmt"
	"slices"
)

const (
	maxRules = 256
	maxNames = 256 // that a restriction lists of one kind
)

// Restriction names calls and the sites where they may run.
type Restriction struct {
	ID                          uint64 // of the last entry that changed it
	Name, By                    string
	Tenants, Classes, Functions []string // none: any
	Sites                       []string // where its calls may run now
	Wider                       []string // where they may run once all that serve have heard of it; none for no change
	Lifted                      bool     // it ends once all that serve have heard of it
	Pin                         bool     // its sessions stay at one site,
	Pins                        []string // of these: sites that were added or are back take none before they are opened
}

// Call is what matters of a call.
type Call struct{ Tenant, Class, Function, Session string }

func one(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }

// Matches reports whether a restriction is for a call.
func (r *Restriction) Matches(c Call) bool {
	return one(r.Tenants, c.Tenant) && one(r.Classes, c.Class) && one(r.Functions, c.Function)
}

// Known are the names that a restriction may use.
type Known struct{ Tenants, Classes, Halls []string }

// Check reports what is wrong with a restriction.
func (r *Restriction) Check(k Known) error {
	if r.Name == "" || len(r.Name) > 64 {
		return fmt.Errorf("a restriction needs a name of at most 64 bytes")
	}
	if len(r.Sites) == 0 {
		return fmt.Errorf("restriction %s names no site", r.Name)
	}
	if len(r.Tenants)+len(r.Classes)+len(r.Functions) == 0 {
		return fmt.Errorf("restriction %s names no tenant, class or function", r.Name)
	}
	if len(r.Functions) > maxNames {
		return fmt.Errorf("restriction %s names %d functions, %d at most", r.Name, len(r.Functions), maxNames)
	}
	for _, l := range []struct {
		what         string
		names, known []string
	}{{"tenant", r.Tenants, k.Tenants}, {"class", r.Classes, k.Classes}, {"hall", r.Sites, k.Halls}} {
		for i, n := range l.names {
			if !slices.Contains(l.known, n) || slices.Contains(l.names[:i], n) {
				return fmt.Errorf("restriction %s: %s %q is unknown or named twice", r.Name, l.what, n)
			}
		}
	}
	return nil
}

// together refuses a restriction that with others leaves a call no site at all.
func (s *State) together(r *Restriction) error {
	left := func(all []*Restriction, c Call) (sites []string) {
		for _, o := range all {
			if o.Matches(c) {
				sites = meet(sites, o.Sites)
			}
		}
		return sites
	}
	all := append(slices.DeleteFunc(slices.Clone(s.Rules), func(o *Restriction) bool { return o.Name == r.Name }), r)
	for _, o := range s.Rules {
		for _, c := range o.calls(r) {
			if len(left(all, c)) == 0 {
				return fmt.Errorf("%s and %s together leave no site for tenant %q, class %q, function %q", r.Name, o.Name, c.Tenant, c.Class, c.Function)
			}
		}
	}
	return nil
}

// calls are examples of what both restrictions are for.
func (r *Restriction) calls(o *Restriction) (out []Call) {
	both := func(a, b []string) []string {
		switch {
		case len(a) == 0 && len(b) == 0:
			return []string{"any"}
		case len(a) == 0:
			return b
		case len(b) == 0:
			return a
		}
		return meet(a, b)
	}
	for _, t := range both(r.Tenants, o.Tenants) {
		for _, c := range both(r.Classes, o.Classes) {
			for _, f := range both(r.Functions, o.Functions) {
				out = append(out, Call{Tenant: t, Class: c, Function: f})
			}
		}
	}
	return out
}
