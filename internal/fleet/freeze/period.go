// Package freeze decides when changes of a fleet are not taken: declared periods, in a named time zone and possibly by a
// rule of repetition, the exceptions from them, and the margins by which clocks may be off. It is pure: times come in, and
// what is said of them goes out.
package freeze

import (
	"cmp"
	"fmt"
	"slices"
	"time"
	_ "time/tzdata" // where a machine has no zone data

	"github.com/teambition/rrule-go"
)

// Kind is a kind of change that a period may forbid.
type Kind string

// The kinds of change.
const (
	Config       Kind = "config"       // the file of a gateway, at SIGHUP
	Limits       Kind = "limits"       // of what may be out
	Bans         Kind = "bans"         // workers taken out by hand, but for emergencies
	Releases     Kind = "releases"     // versions, configurations, workers
	Restrictions Kind = "restrictions" // those that loosen
)

// Kinds are all of them.
var Kinds = []Kind{Config, Limits, Bans, Releases, Restrictions}

const (
	// Layout is how a period's times are written: times of day in its zone. Seconds may follow.
	Layout  = "2006-01-02T15:04"
	seconds = ":05"

	maxName    = 64
	maxSpan    = 366 * 24 * time.Hour
	maxPeriods = 256
	maxSpans   = 64                   // that are fixed ahead
	ahead      = 400 * 24 * time.Hour // and for how long
	slack      = 26 * time.Hour       // no zone is off by more
)

// Period is a time in which stated kinds of change are not taken.
type Period struct {
	ID          uint64 // of the entry that declared it
	Name, Owner string
	Kinds       []Kind   // none: all
	Halls       []string // none: all
	Zone        string   // as the IANA's database names it
	Start, End  string   // local times, of the first occurrence
	Rule        string   // RFC 5545's RRULE, without DTSTART; "" for once
	Drop        bool     // a configuration that came within is dropped afterwards, and not taken
	Spans       []Span   // as its declarer's zone data have them; others' may differ, and both count
	Cut         Span     // the occurrence that was in force at From ends at To
}

// Span is one occurrence, in Unix ms: from From on and before To.
type Span struct{ From, To int64 }

// floating reads a local time without its zone.
func floating(text string) (time.Time, error) {
	layout := Layout
	if len(text) > len(Layout) {
		layout += seconds
	}
	return time.ParseInLocation(layout, text, time.UTC)
}

// Check reports what is wrong with a period, at the time of its declaration.
func (p *Period) Check(now time.Time) error {
	start, errS := floating(p.Start)
	end, errE := floating(p.End)
	switch {
	case p.Name == "" || len(p.Name) > maxName || p.Owner == "" || len(p.Owner) > maxName:
		return fmt.Errorf("a period needs a name and an owner of at most %d bytes", maxName)
	case errS != nil || errE != nil:
		return fmt.Errorf("times are written as %s: %q to %q", Layout, p.Start, p.End)
	case !end.After(start) || end.Sub(start) > maxSpan:
		return fmt.Errorf("from %s to %s is no period of at most a year", p.Start, p.End)
	}
	for _, k := range p.Kinds {
		if !slices.Contains(Kinds, k) {
			return fmt.Errorf("%q is no kind of change: %v", k, Kinds)
		}
	}
	if _, err := p.zone(); err != nil {
		return err
	}
	if p.Rule == "" {
		return nil
	}
	o, err := p.option(start, start.Add(ahead))
	if err != nil {
		return err
	}
	if o.Freq > rrule.DAILY {
		return fmt.Errorf("a period is repeated once a day at most: %s", p.Rule)
	}
	r, err := rrule.NewRRule(*o)
	if err != nil {
		return fmt.Errorf("rule %q: %w", p.Rule, err)
	}
	if r.After(start, true).IsZero() {
		return fmt.Errorf("rule %q never comes true in the first year", p.Rule)
	}
	return nil
}

func (p *Period) zone() (*time.Location, error) {
	if p.Zone == "" || p.Zone == "Local" {
		return nil, fmt.Errorf("a period needs a zone, such as Europe/Helsinki or UTC")
	}
	loc, err := time.LoadLocation(p.Zone)
	if err != nil {
		return nil, fmt.Errorf("zone %q is unknown", p.Zone)
	}
	return loc, nil
}

// option is the rule, with its end no later than until: a rule that never comes true must not be looked for for ever.
func (p *Period) option(start, until time.Time) (*rrule.ROption, error) {
	o, err := rrule.StrToROptionInLocation(p.Rule, time.UTC)
	if err != nil {
		return nil, fmt.Errorf("rule %q: %w", p.Rule, err)
	}
	if !o.Dtstart.IsZero() {
		return nil, fmt.Errorf("rule %q: the period's start is its DTSTART", p.Rule)
	}
	o.Dtstart = start
	if o.Until.IsZero() || o.Until.After(until) {
		o.Until = until
	}
	return o, nil
}

// spans are the occurrences that touch the time from from to to, as this process's zone data have them.
func (p *Period) spans(from, to time.Time) []Span {
	start, errS := floating(p.Start)
	end, errE := floating(p.End)
	loc, errZ := p.zone()
	if cmp.Or(errS, errE, errZ) != nil { // it was checked when it was declared, by another version's zone data
		return nil
	}
	begins := []time.Time{start}
	if p.Rule != "" {
		o, err := p.option(start, to.Add(slack).UTC())
		if err != nil {
			return nil
		}
		r, err := rrule.NewRRule(*o)
		if err != nil {
			return nil
		}
		begins = r.Between(from.UTC().Add(-end.Sub(start)-slack), to.UTC().Add(slack), true)
	}
	var out []Span
	for _, b := range begins {
		first, _ := instants(b, loc)
		_, last := instants(b.Add(end.Sub(start)), loc)
		if last.After(from) && first.Before(to) && first.Before(last) {
			out = append(out, Span{first.UnixMilli(), last.UnixMilli()})
		}
	}
	return out
}

// instants are the first and the last moment that a clock in a zone shows a local time. Where it is skipped they are the
// moments that it would be by the offsets before and after.
func instants(local time.Time, loc *time.Location) (first, last time.Time) {
	var shown, would []time.Time
	for _, d := range []time.Duration{-slack, 0, slack} {
		_, offset := local.Add(d).In(loc).Zone()
		t := local.Add(-time.Duration(offset) * time.Second)
		would = append(would, t)
		if _, o := t.In(loc).Zone(); o == offset {
			shown = append(shown, t)
		}
	}
	if len(shown) == 0 {
		shown = would
	}
	return slices.MinFunc(shown, time.Time.Compare), slices.MaxFunc(shown, time.Time.Compare)
}

// Fix puts down the occurrences to come, by this process's zone data.
func (p *Period) Fix(now time.Time) {
	p.Spans = p.spans(now, now.Add(ahead))
	if len(p.Spans) > maxSpans {
		p.Spans = p.Spans[:maxSpans]
	}
}

// Covers reports whether the period forbids a kind of change that touches halls; none for all of them.
func (p *Period) Covers(k Kind, halls []string) bool {
	if len(p.Kinds) > 0 && !slices.Contains(p.Kinds, k) {
		return false
	}
	return len(p.Halls) == 0 || len(halls) == 0 || slices.ContainsFunc(halls, func(h string) bool { return slices.Contains(p.Halls, h) })
}

// InForce reports whether the period is in force at a time that a clock shows which may be off by bound, and until when.
func (p *Period) InForce(at time.Time, bound time.Duration) (until time.Time, in bool) {
	b := bound.Milliseconds()
	ms := at.UnixMilli()
	for _, s := range append(p.spans(at.Add(-bound), at.Add(bound+time.Millisecond)), p.Spans...) {
		if s.From <= p.Cut.From && p.Cut.From < s.To {
			s.To = min(s.To, p.Cut.To)
		}
		if ms >= s.From-b && ms < s.To+b {
			in = true
			if t := time.UnixMilli(s.To + b); t.After(until) {
				until = t
			}
		}
	}
	return until, in
}

// Next is the begin of the next occurrence after a time, false if none is known of.
func (p *Period) Next(at time.Time) (time.Time, bool) {
	var next int64
	for _, s := range append(p.spans(at, at.Add(ahead)), p.Spans...) {
		if s.From > at.UnixMilli() && (next == 0 || s.From < next) {
			next = s.From
		}
	}
	return time.UnixMilli(next), next > 0
}
