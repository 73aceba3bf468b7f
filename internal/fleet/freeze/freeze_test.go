package freeze

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same steps each time; -rapid.seed on the command line draws others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

const bound = 500 * time.Millisecond

func at(text string) time.Time {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		panic(err)
	}
	return t
}

func period(start, end, zone, rule string) *Period {
	return &Period{Name: "p", Owner: "anna", Start: start, End: end, Zone: zone, Rule: rule}
}

// Times of day that a zone shows twice, or never, make a period longer and never shorter; rules without an end, that cross
// the new year, and that fall on leap days hold for ever.
func TestSpans(t *testing.T) {
	const east = "Europe/Helsinki" // a zone of the IANA's database: +2, in summer +3
	for name, c := range map[string]struct {
		p        *Period
		from, to string // in force from, and before
	}{
		"plain":               {period("2026-12-24T18:00", "2026-12-27T06:00", east, ""), "2026-12-24T16:00:00Z", "2026-12-27T04:00:00Z"},
		"begins twice":        {period("2026-10-25T03:30", "2026-10-25T05:00", east, ""), "2026-10-25T00:30:00Z", "2026-10-25T03:00:00Z"},
		"ends twice":          {period("2026-10-25T01:00", "2026-10-25T03:30", east, ""), "2026-10-24T22:00:00Z", "2026-10-25T01:30:00Z"},
		"begins never":        {period("2027-03-28T03:30", "2027-03-28T06:00", east, ""), "2027-03-28T00:30:00Z", "2027-03-28T03:00:00Z"},
		"ends never":          {period("2027-03-28T01:00", "2027-03-28T03:30", east, ""), "2027-03-27T23:00:00Z", "2027-03-28T01:30:00Z"},
		"each Friday, no end": {period("2026-12-04T16:00", "2026-12-06T20:00", "UTC", "FREQ=WEEKLY;BYDAY=FR"), "2036-11-28T16:00:00Z", "2036-11-30T20:00:00Z"},
		"each new year":       {period("2026-12-30T00:00", "2027-01-03T00:00", "UTC", "FREQ=YEARLY"), "2031-12-30T00:00:00Z", "2032-01-03T00:00:00Z"},
		"in summer by rule":   {period("2026-01-05T08:00", "2026-01-05T09:00", east, "FREQ=DAILY"), "2026-07-01T05:00:00Z", "2026-07-01T06:00:00Z"},
		"far east":            {period("2026-12-31T23:00", "2027-01-01T01:00", "Pacific/Kiritimati", ""), "2026-12-31T09:00:00Z", "2026-12-31T11:00:00Z"},
	} {
		if err := c.p.Check(at("2026-01-01T00:00:00Z")); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for text, want := range map[string]bool{c.from: true, c.to: false} {
			for d, edge := range map[time.Duration]bool{-bound - time.Millisecond: !want, -time.Millisecond: true, 0: true,
				bound - time.Millisecond: true, bound: want} {
				if _, in := c.p.InForce(at(text).Add(d), bound); in != edge {
					t.Errorf("%s: %v after %s in force: %v", name, d, text, in)
				}
			}
		}
	}
}

// What can't be a period is refused with its reason, also a rule that would be looked for for ever.
func TestPeriodsAreChecked(t *testing.T) {
	for want, p := range map[string]*Period{
		"name and an owner": {Start: "2026-12-01T00:00", End: "2026-12-02T00:00", Zone: "UTC"},
		"times are written": period("tomorrow", "2026-12-02T00:00", "UTC", ""),
		"no period":         period("2026-12-02T00:00", "2026-12-01T00:00", "UTC", ""),
		"unknown":           period("2026-12-01T00:00", "2026-12-02T00:00", "Europe/Nowhere", ""),
		"needs a zone":      period("2026-12-01T00:00", "2026-12-02T00:00", "", ""),
		"once a day":        period("2026-12-01T00:00", "2026-12-01T00:10", "UTC", "FREQ=SECONDLY"),
		"never comes true":  period("2026-12-01T00:00", "2026-12-02T00:00", "UTC", "FREQ=DAILY;BYMONTH=2;BYMONTHDAY=30"),
		"rule":              period("2026-12-01T00:00", "2026-12-02T00:00", "UTC", "FREQ=SOMETIMES"),
		"no kind":           {Name: "p", Owner: "o", Start: "2026-12-01T00:00", End: "2026-12-02T00:00", Zone: "UTC", Kinds: []Kind{"odd"}},
	} {
		if err := p.Check(at("2026-11-01T00:00:00Z")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q: %v", want, err)
		}
	}
}

// For every clock within the bound, at every true moment of a period: it is in force. This is what the margin is for.
func TestNoClockWithinTheBoundIsOutside(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"UTC", "Europe/Helsinki", "America/St_Johns", "Australia/Lord_Howe"}).Draw(t, "zone")
		rule := rapid.SampledFrom([]string{"", "FREQ=DAILY", "FREQ=WEEKLY;BYDAY=MO,SU", "FREQ=MONTHLY;BYMONTHDAY=-1"}).Draw(t, "rule")
		start := time.Date(2026, 10, rapid.IntRange(1, 31).Draw(t, "day"), rapid.IntRange(0, 23).Draw(t, "hour"), 0, 0, 0, time.UTC)
		long := time.Duration(rapid.IntRange(1, 400).Draw(t, "minutes")) * time.Minute
		p := period(start.Format(Layout), start.Add(long).Format(Layout), zone, rule)
		b := time.Duration(rapid.IntRange(0, 5000).Draw(t, "bound")) * time.Millisecond
		spans := p.spans(start.Add(-100*time.Hour), start.Add(1000*time.Hour))
		if len(spans) == 0 {
			t.Skip()
		}
		s := rapid.SampledFrom(spans).Draw(t, "span")
		if s.To-s.From < long.Milliseconds()-2*3600_000 {
			t.Fatalf("%v is shorter than it may be", s)
		}
		moment := rapid.Int64Range(s.From, s.To-1).Draw(t, "moment")
		off := rapid.Int64Range(-b.Milliseconds(), b.Milliseconds()).Draw(t, "off")
		if _, in := p.InForce(time.UnixMilli(moment+off), b); !in {
			t.Fatalf("%v: at %d, by a clock that is %d ms off, not in force", s, moment, off)
		}
	})
}

// Another version's zone data may have a period begin at other times: both count, and renewing never shortens.
func TestOtherZoneData(t *testing.T) {
	p := period("2027-06-01T10:00", "2027-06-01T12:00", "UTC", "")
	p.Spans = []Span{{at("2027-06-01T09:00:00Z").UnixMilli(), at("2027-06-01T11:00:00Z").UnixMilli()}} // its declarer's
	for text, want := range map[string]bool{"2027-06-01T08:59:59Z": false, "2027-06-01T09:30:00Z": true, "2027-06-01T11:30:00Z": true, "2027-06-01T12:00:01Z": false} {
		if _, in := p.InForce(at(text), bound); in != want {
			t.Errorf("at %s: %v", text, in)
		}
	}
	s := &State{Periods: []*Period{p}}
	s.Renew("p", []Span{{at("2027-06-01T10:00:00Z").UnixMilli(), at("2027-06-01T12:00:00Z").UnixMilli()}}, at("2027-01-01T00:00:00Z"))
	if _, in := p.InForce(at("2027-06-01T09:30:00Z"), bound); !in || len(p.Spans) != 2 {
		t.Errorf("what was put down before is gone: %v", p.Spans)
	}
	if next, ok := p.Next(at("2027-01-01T00:00:00Z")); !ok || !next.Equal(at("2027-06-01T09:00:00Z")) {
		t.Errorf("next: %v", next)
	}
}

// Declared ahead, forbids its kinds and halls, ends early by exception only: two operators, one change, an end of its own.
func TestExceptions(t *testing.T) {
	s := &State{}
	c := Clock{at("2026-12-01T00:00:00Z"), bound}
	p := &Period{Name: "feast", Owner: "anna", Start: "2026-12-24T00:00", End: "2026-12-26T00:00", Zone: "UTC", Kinds: []Kind{Config, Releases}, Halls: []string{"north"}}
	if err := s.Declare(p, c, time.Minute); err != nil {
		t.Fatal(err)
	}
	want := func(text string, err error) {
		t.Helper()
		if text == "" && err != nil || text != "" && (err == nil || !strings.Contains(err.Error(), text)) {
			t.Errorf("want %q: %v", text, err)
		}
	}
	want("already", s.Declare(p, c, time.Minute))
	want("past", s.Declare(&Period{Name: "old", Owner: "o", Start: "2026-01-01T00:00", End: "2026-01-02T00:00", Zone: "UTC"}, c, 0))
	want("begins in", s.Declare(&Period{Name: "soon", Owner: "o", Start: "2026-12-01T00:01", End: "2026-12-02T00:00", Zone: "UTC"}, c, time.Minute))
	want("in force now", s.Declare(&Period{Name: "now", Owner: "o", Start: "2026-11-01T00:01", End: "2027-10-02T00:00", Zone: "UTC"}, c, 0))
	want("", s.Take(Config, nil, 0, c))
	c.At = at("2026-12-24T10:00:00Z")
	want("an exception is needed", s.Take(Config, []string{"south", "north"}, 0, c))
	want("", s.Take(Config, []string{"south"}, 0, c))
	want("", s.Take(Bans, nil, 0, c))
	want("forbids its own end", s.End("feast", 0, 0, c))
	late := c.At.Add(time.Hour).UnixMilli()
	want("reason", s.Except(&Exception{ID: 7, Period: "feast", What: "config", By: [2]string{"anna"}, Until: late}, c))
	want("no period", s.Except(&Exception{ID: 7, Period: "x", What: "config", Why: "w", By: [2]string{"anna"}, Until: late}, c))
	want("one of", s.Except(&Exception{ID: 7, Period: "feast", What: "x", Why: "w", By: [2]string{"anna"}, Until: late}, c))
	want("end", s.Except(&Exception{ID: 7, Period: "feast", What: "config", Why: "w", By: [2]string{"anna"}}, c))
	want("", s.Except(&Exception{ID: 7, Period: "feast", What: "config", Why: "w", By: [2]string{"anna", "anna"}, Until: late}, c))
	want("second operator", s.Take(Config, nil, 7, c))
	want("another operator", s.Second(7, "anna"))
	want("no exception", s.Second(8, "boris"))
	want("", s.Second(7, "boris"))
	want("already", s.Second(7, "carl"))
	want("is for config", s.Take(Releases, nil, 7, c))
	want("is for config", s.End("feast", 0, 7, c))
	want("", s.Take(Config, nil, 7, c))
	want("been used", s.Take(Config, nil, 7, c))
	want("", s.Except(&Exception{ID: 9, Period: "feast", What: Lift, Why: "w", By: [2]string{"anna"}, Until: late}, c))
	want("", s.Second(9, "boris"))
	over := c
	over.At = over.At.Add(time.Hour - bound)
	want("is over", s.End("feast", 0, 9, over))
	other := &Period{Name: "other", Owner: "o", Start: "2026-12-24T00:00", End: "2026-12-25T00:00", Zone: "UTC"}
	s.Periods = append(s.Periods, other)
	want("", s.Except(&Exception{ID: 11, Period: "feast", What: "config", Why: "w", By: [2]string{"anna"}, Until: late}, c))
	want("", s.Second(11, "boris"))
	want("as well", s.Take(Config, nil, 11, c))
	want("", s.End("feast", 0, 9, c))
	if len(s.InForce(c)) != 2 {
		t.Error("a period ends late by the bound, also one that was cut short")
	}
	c.At = c.At.Add(bound)
	if in := s.InForce(c); len(in) != 1 || in[0] != other {
		t.Errorf("in force: %v", in)
	}
	c.At = at("2026-12-25T00:00:00Z").Add(bound)
	want("", s.End("other", 0, 0, c))
	if len(s.Periods) != 1 {
		t.Error("a period that is not in force can't be taken back")
	}
}
