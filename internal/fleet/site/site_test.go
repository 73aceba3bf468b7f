package site

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes the drawn steps the same in each run; -rapid.seed on the command line overrides it.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var halls = []string{"north", "south", "east"}

var known = KnownNames{Tenants: []string{"t1", "t2"}, Classes: []string{"c1", "c2"}, Halls: halls}

// Checks for any sequence of steps that a call runs only where every present restriction allows it, and that a session is at one
// site in an epoch. A session moves only when its site is down or no longer permitted, or when an operator has opened a site. A
// restriction that was given more sites, or was lifted, holds as before until all gateways have received the change.
func TestPlaceKeepsSessionAtItsSiteWhilePermittedAndUp(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		drawSites := func(label string) []string {
			return rapid.SliceOfNDistinct(rapid.SampledFrom(halls), 1, 3, rapid.ID).Draw(t, label)
		}
		siteOf := map[string]string{}
		for n := range 40 {
			epochBefore, rulesBefore := s.Epoch, len(s.Rules)
			opened, rule := false, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "rule")
			hall := rapid.SampledFrom(halls).Draw(t, "hall")
			sitesBefore := map[string][]string{}
			for _, r := range s.Rules {
				sitesBefore[r.Name] = r.Sites
			}
			var err error
			switch step := rapid.SampledFrom([]string{"declare", "lift", "widen", "lose", "back", "open"}).Draw(t, "step"); step {
			case "declare":
				r := &Restriction{ID: uint64(n), Name: rule, Tenants: []string{"t1"}, Sites: drawSites("sites"), Pin: true}
				if rule == "b" {
					r.Tenants, r.Classes = nil, []string{"c1"}
				}
				if err = r.Check(known); err != nil {
					t.Fatal(err)
				}
				if want := r.Sites; s.Declare(r) == nil && sitesBefore[rule] != nil && len(subtract(r.Sites, intersect(sitesBefore[rule], want))) > 0 {
					t.Fatalf("sites %v after a change from %v to %v: more than both allow", r.Sites, sitesBefore[rule], want)
				}
			case "lift":
				s.Lift(rule, 0)
			case "widen":
				err = s.ApplyLoosening(rule)
			case "lose":
				err = s.MarkDown(hall, false)
			case "back":
				err = s.MarkUp(hall)
			case "open":
				err = s.Open(hall)
				opened = err == nil
			}
			if err == nil && !opened && s.Epoch == epochBefore && len(s.Rules) == 0 {
				continue
			}
			for k := range 30 {
				c := Call{Tenant: "t1", Class: "c1", Function: "f", Session: fmt.Sprint("s", k)}
				p := s.Place(c, nil)
				if p.Restricted != (len(s.Rules) > 0) {
					t.Fatalf("call restricted: %v, with %d restrictions", p.Restricted, len(s.Rules))
				}
				if !p.Restricted {
					clear(siteOf)
					continue
				}
				permitted := []string(nil)
				for _, r := range s.Rules {
					permitted = intersect(permitted, r.Sites)
				}
				if len(permitted) == 0 {
					t.Fatal("restrictions that together leave no site were accepted")
				}
				up := subtract(permitted, s.Down)
				if len(p.Sites) > 1 || len(p.Sites) == 0 && len(up) > 0 || len(p.Sites) == 1 && !slices.Contains(up, p.Sites[0]) {
					t.Fatalf("session at %v, want one of the sites that are permitted and up: %v", p.Sites, up)
				}
				previous, current := siteOf[c.Session], strings.Join(p.Sites, "")
				if current == "" {
					if !slices.Contains(permitted, previous) { // its former site is not permitted any more, so it may start at any site
						delete(siteOf, c.Session)
					}
					continue
				}
				if previous != "" && previous != current {
					moved++
					onlyRule := rulesBefore == 1 && len(s.Rules) == 1 // with several restrictions for one call, removing one may move sessions
					if !opened && slices.Contains(up, previous) && onlyRule {
						t.Fatalf("session moved from %s, which is up and permitted, to %s", previous, current)
					}
				}
				siteOf[c.Session] = current
			}
		}
	})
	if moved == 0 {
		t.Error("no session ever moved")
	}
}

// The loss of a site moves exactly its own sessions, about evenly to the other sites. They stay there when the site is up again, and
// return when an operator opens it.
func TestSiteLossMovesOnlyItsOwnSessions(t *testing.T) {
	s := &State{}
	if err := s.Declare(&Restriction{Name: "r", Tenants: []string{"t1"}, Sites: halls, Pin: true}); err != nil {
		t.Fatal(err)
	}
	sessionSites := func() (at []string) {
		for k := range 3000 {
			at = append(at, s.Place(Call{Tenant: "t1", Session: fmt.Sprint("session ", k)}, nil).Sites[0])
		}
		return at
	}
	count := func(at []string) map[string]int {
		n := map[string]int{}
		for _, h := range at {
			n[h]++
		}
		return n
	}
	first := sessionSites()
	for h, n := range count(first) {
		if n < 850 || n > 1150 {
			t.Errorf("%d of 3000 sessions at %s, want 850 to 1150", n, h)
		}
	}
	s.MarkDown("north", false)
	second := sessionSites()
	for i := range first {
		if first[i] != "north" && second[i] != first[i] || second[i] == "north" {
			t.Fatalf("session %d was at %s, and is at %s after the loss of north", i, first[i], second[i])
		}
	}
	if n := count(second)["south"] - count(first)["south"]; n < 400 || n > 600 {
		t.Errorf("%d sessions of the lost site moved to south, want 400 to 600", n)
	}
	s.MarkUp("north")
	if third := sessionSites(); !slices.Equal(second, third) {
		t.Error("sessions moved when the site was up again, before an operator opened it")
	}
	s.Open("north")
	if last := sessionSites(); !slices.Equal(first, last) {
		t.Error("sessions did not return to the site that was opened")
	}
	if s.Epoch != 4 {
		t.Errorf("epoch %d after four changes, want 4", s.Epoch)
	}
}

// A call may run nowhere if no permitted site is up, and anywhere if no restriction matches it. A gateway's own restrictions apply
// besides the agreed ones. Check and Declare reject invalid restrictions.
func TestPlaceAndCheckOfRestrictions(t *testing.T) {
	s := &State{}
	s.Declare(&Restriction{Name: "one", Tenants: []string{"t1"}, Sites: []string{"north"}, Pin: true})
	unrestricted := Call{Tenant: "t2", Class: "c1", Session: "x"}
	if p := s.Place(unrestricted, nil); p.Restricted || p.Pinned {
		t.Errorf("call without a restriction: %+v", p)
	}
	own := []*Restriction{{Name: "own", Classes: []string{"c1"}, Sites: []string{"south", "north"}}}
	if p := s.Place(unrestricted, own); !p.Restricted || p.Pinned || len(p.Sites) != 2 {
		t.Errorf("call restricted only by the gateway itself: %+v", p)
	}
	c := Call{Tenant: "t1", Class: "c1", Session: "x"}
	s.MarkDown("north", false)
	if p := s.Place(c, own); !p.Pinned || len(p.Sites) != 0 {
		t.Errorf("session call whose only site is lost: %+v", p)
	}
	c.Session = ""
	if p := s.Place(c, own); p.Pinned || !slices.Equal(p.Sites, []string{"north"}) {
		t.Errorf("call without a session: %+v", p)
	}
	s.MarkUp("north")
	if c.Session = "x"; len(s.Place(c, own).Sites) != 1 {
		t.Error("the only site is up again, but its sessions may not run there")
	}
	for want, r := range map[string]*Restriction{
		"no site": {Name: "r", Tenants: []string{"t1"}}, "no tenant": {Name: "r", Sites: halls}, "name": {Sites: halls},
		`hall "west"`: {Name: "r", Tenants: []string{"t1"}, Sites: []string{"west"}},
		`tenant "x"`:  {Name: "r", Tenants: []string{"x"}, Sites: halls},
		`class "x"`:   {Name: "r", Classes: []string{"x"}, Sites: halls}, "twice": {Name: "r", Classes: []string{"c1", "c1"}, Sites: halls},
	} {
		if err := r.Check(known); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q: %v", want, err)
		}
	}
	if err := s.Declare(&Restriction{Name: "two", Classes: []string{"c2"}, Sites: []string{"south"}}); err == nil ||
		!strings.Contains(err.Error(), "together") {
		t.Errorf("two restrictions without a common site: %v, want an error", err)
	}
	if err := s.Declare(&Restriction{Name: "one", Tenants: []string{"t1"}, Sites: []string{"south"}, Pin: true}); err == nil ||
		!strings.Contains(err.Error(), "both first") {
		t.Errorf("change from one site to another in one step: %v, want an error", err)
	}
}
