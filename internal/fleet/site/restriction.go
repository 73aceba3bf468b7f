package site

import (
	"fmt"
	"slices"
)

const (
	maxRules     = 256
	maxFunctions = 256 // functions in one restriction
)

// Restriction limits the calls that it matches to certain sites.
type Restriction struct {
	ID                          uint64 // index of the last log entry that changed it
	Name, By                    string
	Tenants, Classes, Functions []string // the calls it matches; an empty list matches any
	Sites                       []string // sites where its calls may run now
	// PendingSites are the sites where its calls may run once all serving gateways have received the change; nil for no change.
	PendingSites []string `json:"Wider" msgpack:"Wider"`
	Lifted       bool     // the restriction ends once all serving gateways have received that
	Pin          bool     // each session stays at one site
	// PinSites are those of Sites that take sessions. Sites that were added, or are up again, take none until an operator opens
	// them.
	PinSites []string `json:"Pins" msgpack:"Pins"`
}

// Call holds the properties of a call that decide where it may run.
type Call struct{ Tenant, Class, Function, Session string }

// matchesAny reports whether names contains name or is empty.
func matchesAny(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

// Matches reports whether a restriction applies to a call.
func (r *Restriction) Matches(c Call) bool {
	return matchesAny(r.Tenants, c.Tenant) && matchesAny(r.Classes, c.Class) && matchesAny(r.Functions, c.Function)
}

// KnownNames are the names of tenants, classes and halls that a restriction may use.
type KnownNames struct{ Tenants, Classes, Halls []string }

// Check returns an error if a restriction is invalid.
func (r *Restriction) Check(known KnownNames) error {
	if r.Name == "" || len(r.Name) > 64 {
		return fmt.Errorf("a restriction needs a name of at most 64 bytes")
	}
	if len(r.Sites) == 0 {
		return fmt.Errorf("restriction %s names no site", r.Name)
	}
	if len(r.Tenants)+len(r.Classes)+len(r.Functions) == 0 {
		return fmt.Errorf("restriction %s names no tenant, class or function", r.Name)
	}
	if len(r.Functions) > maxFunctions {
		return fmt.Errorf("restriction %s names %d functions, %d at most", r.Name, len(r.Functions), maxFunctions)
	}
	for _, list := range []struct {
		what         string
		names, known []string
	}{{"tenant", r.Tenants, known.Tenants}, {"class", r.Classes, known.Classes}, {"hall", r.Sites, known.Halls}} {
		for i, name := range list.names {
			if !slices.Contains(list.known, name) || slices.Contains(list.names[:i], name) {
				return fmt.Errorf("restriction %s: %s %q is unknown or named twice", r.Name, list.what, name)
			}
		}
	}
	return nil
}

// checkCompatible returns an error if a restriction and the others together leave no site for a call.
func (s *State) checkCompatible(r *Restriction) error {
	allowed := func(all []*Restriction, c Call) (sites []string) {
		for _, other := range all {
			if other.Matches(c) {
				sites = intersect(sites, other.Sites)
			}
		}
		return sites
	}
	all := append(slices.DeleteFunc(slices.Clone(s.Rules), func(other *Restriction) bool { return other.Name == r.Name }), r)
	for _, other := range s.Rules {
		for _, c := range other.commonCalls(r) {
			if len(allowed(all, c)) == 0 {
				return fmt.Errorf("%s and %s together leave no site for tenant %q, class %q, function %q", r.Name, other.Name,
					c.Tenant, c.Class, c.Function)
			}
		}
	}
	return nil
}

// commonCalls returns examples of calls that both restrictions match.
func (r *Restriction) commonCalls(other *Restriction) (out []Call) {
	both := func(a, b []string) []string {
		switch {
		case len(a) == 0 && len(b) == 0:
			return []string{"any"}
		case len(a) == 0:
			return b
		case len(b) == 0:
			return a
		}
		return intersect(a, b)
	}
	for _, t := range both(r.Tenants, other.Tenants) {
		for _, c := range both(r.Classes, other.Classes) {
			for _, f := range both(r.Functions, other.Functions) {
				out = append(out, Call{Tenant: t, Class: c, Function: f})
			}
		}
	}
	return out
}
