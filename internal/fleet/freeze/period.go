// Package freeze decides when changes of a fleet are not accepted. It implements declared freeze periods, which are given in a
// named time zone and may recur, the exceptions from them, and the margins for clocks that are off. It reads no clock:
// callers pass in all times.
package freeze

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	_ "time/tzdata" // for machines without zone data

	"github.com/teambition/rrule-go"
)

// Kind is a kind of change that a period may forbid.
type Kind string

// The kinds of change.
const (
	Config       Kind = "config"       // reload of a gateway's configuration file at SIGHUP
	Limits       Kind = "limits"       // limits on how much may be unavailable at once
	Bans         Kind = "bans"         // bans of workers by operators, except in an emergency
	Releases     Kind = "releases"     // releases of versions, configurations and workers
	Restrictions Kind = "restrictions" // loosening of site restrictions
)

// Kinds lists all kinds of change.
var Kinds = []Kind{Config, Limits, Bans, Releases, Restrictions}

const (
	// Layout is the format of a period's times, which are local times in its zone. Seconds may follow.
	Layout        = "2006-01-02T15:04"
	secondsLayout = ":05"

	maxNameBytes        = 64
	maxPeriodLength     = 366 * 24 * time.Hour
	maxPeriods          = 256
	maxFixedSpans       = 64                   // occurrences stored in Period.Spans by FixSpans
	horizon             = 400 * 24 * time.Hour // how far ahead occurrences are computed
	maxOffsetDifference = 26 * time.Hour       // no two UTC offsets differ by more
)

// Period is a freeze period, in which stated kinds of change are not accepted.
type Period struct {
	ID          uint64 // index of the log entry that declared it
	Name, Owner string
	Kinds       []Kind   // empty: all
	Halls       []string // empty: all
	Zone        string   // name in the IANA time zone database
	Start, End  string   // local times of the first occurrence
	Rule        string   // recurrence rule, an RRULE of RFC 5545 without DTSTART; "" if the period does not recur
	Drop        bool     // a configuration received within the period is dropped at its end instead of applied
	Spans       []Span   // occurrences by the declaring gateway's zone data; they count besides those by this process's data
	Shortened   Span     `json:"Cut" msgpack:"Cut"` // the occurrence that was in force at From ends early, at To
}

// Span is one occurrence in Unix milliseconds, from From, inclusive, to To, exclusive.
type Span struct{ From, To int64 }

// parseLocal parses a local time, without regard to its zone.
func parseLocal(text string) (time.Time, error) {
	layout := Layout
	if len(text) > len(Layout) {
		layout += secondsLayout
	}
	return time.ParseInLocation(layout, text, time.UTC)
}

// Check returns an error if a period that is to be declared is invalid.
func (p *Period) Check(now time.Time) error {
	start, startErr := parseLocal(p.Start)
	end, endErr := parseLocal(p.End)
	switch {
	case p.Name == "" || len(p.Name) > maxNameBytes || p.Owner == "" || len(p.Owner) > maxNameBytes:
		return fmt.Errorf("a period needs a name and an owner of at most %d bytes", maxNameBytes)
	case startErr != nil || endErr != nil:
		return fmt.Errorf("times are written as %s: %q to %q", Layout, p.Start, p.End)
	case !end.After(start) || end.Sub(start) > maxPeriodLength:
		return fmt.Errorf("from %s to %s is no period of at most a year", p.Start, p.End)
	}
	for _, k := range p.Kinds {
		if !slices.Contains(Kinds, k) {
			return fmt.Errorf("%q is no kind of change: %v", k, Kinds)
		}
	}
	if _, err := p.location(); err != nil {
		return err
	}
	if p.Rule == "" {
		return nil
	}
	options, err := p.ruleOptions(start, start.Add(horizon))
	if err != nil {
		return err
	}
	if options.Freq > rrule.DAILY {
		return fmt.Errorf("a period is repeated once a day at most: %s", p.Rule)
	}
	r, err := rrule.NewRRule(*options)
	if err != nil {
		return fmt.Errorf("rule %q: %w", p.Rule, err)
	}
	if r.After(start, true).IsZero() {
		return fmt.Errorf("rule %q never comes true in the first year", p.Rule)
	}
	return nil
}

// location returns the time zone of the period.
func (p *Period) location() (*time.Location, error) {
	if p.Zone == "" || p.Zone == "Local" {
		return nil, fmt.Errorf("a period needs a zone, such as Europe/Helsinki or UTC")
	}
	loc, err := time.LoadLocation(p.Zone)
	if err != nil {
		return nil, fmt.Errorf("zone %q is unknown", p.Zone)
	}
	return loc, nil
}

// noStartError says why a valid period has no start that NextStart knows at a time.
func (p *Period) noStartError(now time.Time) error {
	const days = horizon / (24 * time.Hour)
	start, err := parseLocal(p.Start)
	switch {
	case err == nil && start.After(now):
		return fmt.Errorf("it begins on %s: a period is declared at most %d days ahead", p.Start, days)
	case p.Rule != "":
		return fmt.Errorf("none of its occurrences begins within %d days", days)
	}
	return fmt.Errorf("it lies in the past")
}

// ruleOptions returns the parsed recurrence rule. It ends no later than until, since the search for an occurrence of a rule that
// never matches would not end.
func (p *Period) ruleOptions(start, until time.Time) (*rrule.ROption, error) {
	options, err := rrule.StrToROptionInLocation(p.Rule, time.UTC)
	if err != nil {
		return nil, fmt.Errorf("rule %q: %w", p.Rule, err)
	}
	if !options.Dtstart.IsZero() {
		return nil, fmt.Errorf("rule %q: the period's start is its DTSTART", p.Rule)
	}
	options.Dtstart = start
	if options.Until.IsZero() || options.Until.After(until) {
		options.Until = until
	}
	return options, nil
}

// computeSpans returns the occurrences that overlap the time between from and to, by this process's zone data.
func (p *Period) computeSpans(from, to time.Time) []Span {
	start, startErr := parseLocal(p.Start)
	end, endErr := parseLocal(p.End)
	loc, locationErr := p.location()
	if cmp.Or(startErr, endErr, locationErr) != nil { // valid when it was declared, but not by the zone data of this version
		return nil
	}
	begins := []time.Time{start}
	if p.Rule != "" {
		options, err := p.ruleOptions(start, to.Add(maxOffsetDifference).UTC())
		if err != nil {
			return nil
		}
		r, err := rrule.NewRRule(*options)
		if err != nil {
			return nil
		}
		begins = r.Between(from.UTC().Add(-end.Sub(start)-maxOffsetDifference), to.UTC().Add(maxOffsetDifference), true)
	}
	var out []Span
	for _, b := range begins {
		first, _ := localInstants(b, loc)
		_, last := localInstants(b.Add(end.Sub(start)), loc)
		if last.After(from) && first.Before(to) && first.Before(last) {
			out = append(out, Span{first.UnixMilli(), last.UnixMilli()})
		}
	}
	return out
}

// localInstants returns the first and the last instant at which a clock in a zone shows a local time. If the clock skips that
// time, they are the instants that result from the UTC offsets before and after the skip.
func localInstants(local time.Time, loc *time.Location) (first, last time.Time) {
	var matching, candidates []time.Time
	for _, shift := range []time.Duration{-maxOffsetDifference, 0, maxOffsetDifference} {
		_, offset := local.Add(shift).In(loc).Zone()
		t := local.Add(-time.Duration(offset) * time.Second)
		candidates = append(candidates, t)
		if _, actual := t.In(loc).Zone(); actual == offset {
			matching = append(matching, t)
		}
	}
	if len(matching) == 0 {
		matching = candidates
	}
	return slices.MinFunc(matching, time.Time.Compare), slices.MaxFunc(matching, time.Time.Compare)
}

// FixSpans stores the coming occurrences, by this process's zone data.
func (p *Period) FixSpans(now time.Time) {
	p.Spans = p.computeSpans(now, now.Add(horizon))
	if len(p.Spans) > maxFixedSpans {
		p.Spans = p.Spans[:maxFixedSpans]
	}
}

// Covers reports whether the period forbids changes of a kind in any of halls. No halls means all of them.
func (p *Period) Covers(kind Kind, halls []string) bool {
	if len(p.Kinds) > 0 && !slices.Contains(p.Kinds, kind) {
		return false
	}
	return len(p.Halls) == 0 || len(halls) == 0 || slices.ContainsFunc(halls, func(hall string) bool { return slices.Contains(p.Halls, hall) })
}

// InForce reports whether the period may be in force when a clock shows the time at, given that the clock may be off by bound.
// until is the time on the same clock from which that is no longer possible.
func (p *Period) InForce(at time.Time, bound time.Duration) (until time.Time, in bool) {
	margin := bound.Milliseconds()
	shown := at.UnixMilli()
	for _, s := range append(p.computeSpans(at.Add(-bound), at.Add(bound+time.Millisecond)), p.Spans...) {
		if s.From <= p.Shortened.From && p.Shortened.From < s.To {
			s.To = min(s.To, p.Shortened.To)
		}
		if shown >= s.From-margin && shown < s.To+margin {
			in = true
			if t := time.UnixMilli(s.To + margin); t.After(until) {
				until = t
			}
		}
	}
	return until, in
}

// NextStart returns the start of the next occurrence after a time, and false if none is known.
func (p *Period) NextStart(at time.Time) (time.Time, bool) {
	var next int64
	for _, s := range append(p.computeSpans(at, at.Add(horizon)), p.Spans...) {
		if s.From > at.UnixMilli() && (next == 0 || s.From < next) {
			next = s.From
		}
	}
	return time.UnixMilli(next), next > 0
}
