package settings

import (
	"math"
	"strings"
	"testing"

	"quillrail/decide"
)

const stats = `{"classes":[{"effect":"idempotent"}],"stats":{"how":"HOW","fields":["pending","busy_reqs","x1","x0"]}}`

func site(t testing.TB, how string) *Site {
	s, err := Parse([]byte(strings.Replace(stats, "HOW", how, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// A value that can't be one counts as not told, and the others still count.
func TestReport(t *testing.T) {
	none := decide.Report{InFlight: -1, Queue: -1, Loads: -1, Memory: -1}
	with := func(f func(*decide.Report)) *decide.Report { r := none; f(&r); return &r }
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
		got := site(t, "inline").Report(text, ";")
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
	if r := site(t, "off").Report("inflight:7", ";"); r != nil {
		t.Errorf("where there are no reports: %+v", r)
	}
}

// What is not understood is told with its place, and does not keep a gateway from starting.
func TestUnknownReportFields(t *testing.T) {
	s, err := Parse([]byte(`{"classes":[],"stats":{"how":"sometimes","fields":["x0","weather"]}}`))
	if err != nil || strings.Join(s.Unknown, "; ") != `stats.how: "sometimes"; stats.fields[1]: "weather"` {
		t.Errorf("%v, %v", s.Unknown, err)
	}
}

func FuzzReport(f *testing.F) {
	for _, text := range []string{"inflight:7;util:0.61", "queue:1;queue:2", "x0:NaN;x1:-0", ";;:;"} {
		f.Add(text, ";")
	}
	s := site(f, "inline")
	f.Fuzz(func(t *testing.T, text, between string) {
		if between == "" {
			return
		}
		if r := s.Report(text, between); r != nil {
			for _, x := range []float64{r.InFlight, r.Queue, r.Loads, r.Memory} {
				if x != -1 && !(x >= 0 && x <= maxReported) || math.IsNaN(x) {
					t.Errorf("%q: %+v", text, r)
				}
			}
		}
	})
}
