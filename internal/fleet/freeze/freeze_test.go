package freeze

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes the drawn steps the same in each run; -rapid.seed on the command line overrides it.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

const clockBound = 500 * time.Millisecond

func parseTime(text string) time.Time {
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		panic(err)
	}
	return t
}

func newPeriod(start, end, zone, rule string) *Period {
	return &Period{Name: "p", Owner: "anna", Start: start, End: end, Zone: zone, Rule: rule}
}

// Checks the edges of periods, including the margin for clocks. A start or end at a local time that the zone's clock repeats or skips
// may make a period longer, but never shorter. Rules without an end apply indefinitely, also across the new year.
func TestPeriodInForceAcrossZoneShiftsAndRecurrence(t *testing.T) {
	const helsinki = "Europe/Helsinki" // UTC+2, in summer UTC+3
	for name, c := range map[string]struct {
		p        *Period
		from, to string // first instant in force, and first instant after it
	}{
		"once":              {newPeriod("2026-12-24T18:00", "2026-12-27T06:00", helsinki, ""), "2026-12-24T16:00:00Z", "2026-12-27T04:00:00Z"},
		"start is repeated": {newPeriod("2026-10-25T03:30", "2026-10-25T05:00", helsinki, ""), "2026-10-25T00:30:00Z", "2026-10-25T03:00:00Z"},
		"end is repeated":   {newPeriod("2026-10-25T01:00", "2026-10-25T03:30", helsinki, ""), "2026-10-24T22:00:00Z", "2026-10-25T01:30:00Z"},
		"start is skipped":  {newPeriod("2027-03-28T03:30", "2027-03-28T06:00", helsinki, ""), "2027-03-28T00:30:00Z", "2027-03-28T03:00:00Z"},
		"end is skipped":    {newPeriod("2027-03-28T01:00", "2027-03-28T03:30", helsinki, ""), "2027-03-27T23:00:00Z", "2027-03-28T01:30:00Z"},
		"weekly, no end":    {newPeriod("2026-12-04T16:00", "2026-12-06T20:00", "UTC", "FREQ=WEEKLY;BYDAY=FR"), "2036-11-28T16:00:00Z", "2036-11-30T20:00:00Z"},
		"over new year":     {newPeriod("2026-12-30T00:00", "2027-01-03T00:00", "UTC", "FREQ=YEARLY"), "2031-12-30T00:00:00Z", "2032-01-03T00:00:00Z"},
		"in summer time":    {newPeriod("2026-01-05T08:00", "2026-01-05T09:00", helsinki, "FREQ=DAILY"), "2026-07-01T05:00:00Z", "2026-07-01T06:00:00Z"},
		"largest offset":    {newPeriod("2026-12-31T23:00", "2027-01-01T01:00", "Pacific/Kiritimati", ""), "2026-12-31T09:00:00Z", "2026-12-31T11:00:00Z"},
	} {
		if err := c.p.Check(parseTime("2026-01-01T00:00:00Z")); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for text, want := range map[string]bool{c.from: true, c.to: false} {
			for offset, edge := range map[time.Duration]bool{-clockBound - time.Millisecond: !want, -time.Millisecond: true, 0: true,
				clockBound - time.Millisecond: true, clockBound: want} {
				if _, in := c.p.InForce(parseTime(text).Add(offset), clockBound); in != edge {
					t.Errorf("%s: %v after %s: in force %v", name, offset, text, in)
				}
			}
		}
	}
}

// Invalid periods are rejected with the reason, including a rule that never matches, for which a search would not end.
func TestPeriodCheckRejectsInvalidPeriods(t *testing.T) {
	for want, p := range map[string]*Period{
		"name and an owner": {Start: "2026-12-01T00:00", End: "2026-12-02T00:00", Zone: "UTC"},
		"times are written": newPeriod("tomorrow", "2026-12-02T00:00", "UTC", ""),
		"no period":         newPeriod("2026-12-02T00:00", "2026-12-01T00:00", "UTC", ""),
		"unknown":           newPeriod("2026-12-01T00:00", "2026-12-02T00:00", "Europe/Nowhere", ""),
		"needs a zone":      newPeriod("2026-12-01T00:00", "2026-12-02T00:00", "", ""),
		"once a day":        newPeriod("2026-12-01T00:00", "2026-12-01T00:10", "UTC", "FREQ=SECONDLY"),
		"never comes true":  newPeriod("2026-12-01T00:00", "2026-12-02T00:00", "UTC", "FREQ=DAILY;BYMONTH=2;BYMONTHDAY=30"),
		"rule":              newPeriod("2026-12-01T00:00", "2026-12-02T00:00", "UTC", "FREQ=SOMETIMES"),
		"no kind":           {Name: "p", Owner: "o", Start: "2026-12-01T00:00", End: "2026-12-02T00:00", Zone: "UTC", Kinds: []Kind{"odd"}},
	} {
		if err := p.Check(parseTime("2026-11-01T00:00:00Z")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q: %v", want, err)
		}
	}
}

// At every instant of a period, by every clock that is off by no more than the bound, the period is in force. The margin of InForce
// ensures this.
func TestPeriodInForceForEveryClockWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"UTC", "Europe/Helsinki", "America/St_Johns", "Australia/Lord_Howe"}).Draw(t, "zone")
		rule := rapid.SampledFrom([]string{"", "FREQ=DAILY", "FREQ=WEEKLY;BYDAY=MO,SU", "FREQ=MONTHLY;BYMONTHDAY=-1"}).Draw(t, "rule")
		start := time.Date(2026, 10, rapid.IntRange(1, 31).Draw(t, "day"), rapid.IntRange(0, 23).Draw(t, "hour"), 0, 0, 0, time.UTC)
		length := time.Duration(rapid.IntRange(1, 400).Draw(t, "minutes")) * time.Minute
		p := newPeriod(start.Format(Layout), start.Add(length).Format(Layout), zone, rule)
		bound := time.Duration(rapid.IntRange(0, 5000).Draw(t, "bound")) * time.Millisecond
		spans := p.computeSpans(start.Add(-100*time.Hour), start.Add(1000*time.Hour))
		if len(spans) == 0 {
			t.Skip()
		}
		s := rapid.SampledFrom(spans).Draw(t, "span")
		if s.To-s.From < length.Milliseconds()-2*3600_000 {
			t.Fatalf("%v is shorter than the declared period less a time shift of two hours", s)
		}
		moment := rapid.Int64Range(s.From, s.To-1).Draw(t, "moment")
		clockError := rapid.Int64Range(-bound.Milliseconds(), bound.Milliseconds()).Draw(t, "off")
		if _, in := p.InForce(time.UnixMilli(moment+clockError), bound); !in {
			t.Fatalf("%v: not in force at %d by a clock that is %d ms off", s, moment, clockError)
		}
	})
}

// The zone data of another version may give a period other occurrences. Both count, and renewing the stored ones shortens none.
func TestPeriodCountsSpansOfOtherZoneData(t *testing.T) {
	p := newPeriod("2027-06-01T10:00", "2027-06-01T12:00", "UTC", "")
	// The stored occurrence is by the declaring gateway's zone data.
	p.Spans = []Span{{parseTime("2027-06-01T09:00:00Z").UnixMilli(), parseTime("2027-06-01T11:00:00Z").UnixMilli()}}
	for text, want := range map[string]bool{"2027-06-01T08:59:59Z": false, "2027-06-01T09:30:00Z": true,
		"2027-06-01T11:30:00Z": true, "2027-06-01T12:00:01Z": false} {
		if _, in := p.InForce(parseTime(text), clockBound); in != want {
			t.Errorf("in force at %s: %v", text, in)
		}
	}
	s := &State{Periods: []*Period{p}}
	s.RenewSpans("p", []Span{{parseTime("2027-06-01T10:00:00Z").UnixMilli(), parseTime("2027-06-01T12:00:00Z").UnixMilli()}},
		parseTime("2027-01-01T00:00:00Z"))
	if _, in := p.InForce(parseTime("2027-06-01T09:30:00Z"), clockBound); !in || len(p.Spans) != 2 {
		t.Errorf("the occurrence stored before is gone: %v", p.Spans)
	}
	if next, ok := p.NextStart(parseTime("2027-01-01T00:00:00Z")); !ok || !next.Equal(parseTime("2027-06-01T09:00:00Z")) {
		t.Errorf("next start: %v", next)
	}
}

// A period must be declared ahead, forbids changes of its kinds in its halls, and ends early only by an exception. An exception needs
// two operators, permits one change and expires.
func TestExceptionNeedsTwoOperatorsAndAllowsOneChange(t *testing.T) {
	s := &State{}
	c := Clock{parseTime("2026-12-01T00:00:00Z"), clockBound}
	p := &Period{Name: "feast", Owner: "anna", Start: "2026-12-24T00:00", End: "2026-12-26T00:00", Zone: "UTC",
		Kinds: []Kind{Config, Releases}, Halls: []string{"north"}}
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
	want("begins on 2031-01-01T00:00: a period is declared at most 400 days ahead", s.Declare(&Period{Name: "late", Owner: "o",
		Start: "2031-01-01T00:00", End: "2031-01-02T00:00", Zone: "UTC"}, c, 0))
	want("none of its occurrences begins within 400 days", s.Declare(&Period{Name: "rare", Owner: "o", Start: "2026-06-01T00:00",
		End: "2026-06-02T00:00", Zone: "UTC", Rule: "FREQ=YEARLY;INTERVAL=2"}, c, 0))
	want("past", s.Declare(&Period{Name: "old", Owner: "o", Start: "2026-01-01T00:00", End: "2026-01-02T00:00", Zone: "UTC"}, c, 0))
	want("begins in", s.Declare(&Period{Name: "soon", Owner: "o", Start: "2026-12-01T00:01", End: "2026-12-02T00:00", Zone: "UTC"},
		c, time.Minute))
	want("in force now", s.Declare(&Period{Name: "now", Owner: "o", Start: "2026-11-01T00:01", End: "2027-10-02T00:00", Zone: "UTC"}, c, 0))
	want("", s.Authorize(Config, nil, 0, c))
	c.At = parseTime("2026-12-24T10:00:00Z")
	want("an exception is needed", s.Authorize(Config, []string{"south", "north"}, 0, c))
	want("", s.Authorize(Config, []string{"south"}, 0, c))
	want("", s.Authorize(Bans, nil, 0, c))
	want("forbids its own end", s.EndPeriod("feast", 0, 0, c))
	expiry := c.At.Add(time.Hour).UnixMilli()
	want("reason", s.RequestException(&Exception{ID: 7, Period: "feast", What: "config", By: [2]string{"anna"}, Until: expiry}, c))
	want("no period", s.RequestException(&Exception{ID: 7, Period: "x", What: "config", Why: "w", By: [2]string{"anna"}, Until: expiry}, c))
	want("one of", s.RequestException(&Exception{ID: 7, Period: "feast", What: "x", Why: "w", By: [2]string{"anna"}, Until: expiry}, c))
	want("end", s.RequestException(&Exception{ID: 7, Period: "feast", What: "config", Why: "w", By: [2]string{"anna"}}, c))
	want("", s.RequestException(&Exception{ID: 7, Period: "feast", What: "config", Why: "w", By: [2]string{"anna", "anna"}, Until: expiry}, c))
	want("second operator", s.Authorize(Config, nil, 7, c))
	want("another operator", s.ApproveException(7, "anna"))
	want("no exception", s.ApproveException(8, "boris"))
	want("", s.ApproveException(7, "boris"))
	want("already", s.ApproveException(7, "carl"))
	want("is for config", s.Authorize(Releases, nil, 7, c))
	want("is for config", s.EndPeriod("feast", 0, 7, c))
	want("", s.Authorize(Config, nil, 7, c))
	want("been used", s.Authorize(Config, nil, 7, c))
	want("", s.RequestException(&Exception{ID: 9, Period: "feast", What: Lift, Why: "w", By: [2]string{"anna"}, Until: expiry}, c))
	want("", s.ApproveException(9, "boris"))
	afterExpiry := c
	afterExpiry.At = afterExpiry.At.Add(time.Hour - clockBound)
	want("is over", s.EndPeriod("feast", 0, 9, afterExpiry))
	other := &Period{Name: "other", Owner: "o", Start: "2026-12-24T00:00", End: "2026-12-25T00:00", Zone: "UTC"}
	s.Periods = append(s.Periods, other)
	want("", s.RequestException(&Exception{ID: 11, Period: "feast", What: "config", Why: "w", By: [2]string{"anna"}, Until: expiry}, c))
	want("", s.ApproveException(11, "boris"))
	want("as well", s.Authorize(Config, nil, 11, c))
	want("", s.EndPeriod("feast", 0, 9, c))
	if len(s.InForce(c)) != 2 {
		t.Error("a period must stay in force for the clock bound after its end, also one that was ended early")
	}
	c.At = c.At.Add(clockBound)
	if in := s.InForce(c); len(in) != 1 || in[0] != other {
		t.Errorf("in force: %v, want only the other period", in)
	}
	c.At = parseTime("2026-12-25T00:00:00Z").Add(clockBound)
	want("", s.EndPeriod("other", 0, 0, c))
	if len(s.Periods) != 1 {
		t.Error("a period that is not in force was not removed")
	}
}
