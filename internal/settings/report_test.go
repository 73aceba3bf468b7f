package settings

import (
	"math"
	"strings"
	"testing"

	"quillrail/decide"
)

const reportSettings = `{"classes":[{"effect":"idempotent"}],"stats":{"how":"HOW","fields":["pending","busy_reqs","x1","x0"]}}`

func parseSite(t testing.TB, how string) *Site {
	s, err := Parse([]byte(strings.Replace(reportSettings, "HOW", how, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// An unusable value in a load report counts as missing, and the other values still count.
func TestReport(t *testing.T) {
	empty := decide.Report{InFlight: -1, Queue: -1, Loads: -1, Memory: -1}
	with := func(f func(*decide.Report)) *decide.Report { r := empty; f(&r); return &r }
	inFlight7 := with(func(r *decide.Report) { r.InFlight = 7 })
	for text, want := range map[string]*decide.Report{
		"":                                     nil,
		"queue:2;inflight:7;x1:1;x0:.5":        {InFlight: 7, Queue: 2, Loads: 1, Memory: 0.5},
		"pending:2;busy_reqs:7":                with(func(r *decide.Report) { r.InFlight, r.Queue = 7, 2 }),
		"inflight:7;util:0.61;odd:1":           inFlight7,
		"inflight:7;queue:-1":                  inFlight7,
		"inflight:7;queue:NaN":                 inFlight7,
		"inflight:7;queue:Inf;x0:-Inf":         inFlight7,
		"inflight:7;queue:1e7":                 inFlight7,
		"inflight:7;queue:1;queue:2":           inFlight7,
		"inflight:7;queue:1;pending:1;queue:3": inFlight7,
		"inflight:7;queue:;x1;:;;":             inFlight7,
		"queue:x":                              nil,
		"odd:1":                                nil,
	} {
		got := parseSite(t, "inline").Report(text, ";")
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
	if r := parseSite(t, "off").Report("inflight:7", ";"); r != nil {
		t.Errorf("report at a site without load reports: %+v", r)
	}
}

// Settings about load reports that are not understood are listed with their place, and don't keep a gateway from starting.
func TestUnknownReportSettingsAreListed(t *testing.T) {
	s, err := Parse([]byte(`{"classes":[],"stats":{"how":"sometimes","fields":["x0","weather"]}}`))
	if err != nil || strings.Join(s.Unknown, "; ") != `stats.how: "sometimes"; stats.fields[1]: "weather"` {
		t.Errorf("%v, %v", s.Unknown, err)
	}
}

// FuzzReport checks that each value of a report is -1 or within its bounds, whatever the text and the separator.
func FuzzReport(f *testing.F) {
	for _, text := range []string{"inflight:7;util:0.61", "queue:1;queue:2", "x0:NaN;x1:-0", ";;:;"} {
		f.Add(text, ";")
	}
	s := parseSite(f, "inline")
	f.Fuzz(func(t *testing.T, text, separator string) {
		if separator == "" {
			return
		}
		if r := s.Report(text, separator); r != nil {
			for _, x := range []float64{r.InFlight, r.Queue, r.Loads, r.Memory} {
				if x != -1 && !(x >= 0 && x <= maxReported) || math.IsNaN(x) {
					t.Errorf("%q: %+v", text, r)
				}
			}
		}
	})
}
