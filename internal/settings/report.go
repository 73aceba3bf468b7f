package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"quillrail/decide"
)

const maxReported = 1e6 // a report that holds more is a mistake

// reported are the values that a site may name for its load reports, by the simulator's names and by those that
// answers carry, and where the module has them; nil for those that it has no use for.
var reported = map[string]func(*decide.Report) *float64{
	"busy_reqs": inFlight, "inflight": inFlight, "pending": queue, "queue": queue,
	"x0": func(r *decide.Report) *float64 { return &r.Memory }, "x1": func(r *decide.Report) *float64 { return &r.Loads },
	"cpu_share": nil, "util": nil, "svc_ms": nil, "served_ps": nil, "failed_ps": nil,
}

func inFlight(r *decide.Report) *float64 { return &r.InFlight }
func queue(r *decide.Report) *float64    { return &r.Queue }

// readStats takes what the settings say of load reports.
func (s *Site) readStats(how string, fields []string) {
	switch how {
	case "inline", "on_probe":
		s.Reports = fields
	case "", "off":
	default:
		s.Unknown = append(s.Unknown, fmt.Sprintf("stats.how: %q", how))
	}
	for i, name := range fields {
		if _, ok := reported[name]; !ok {
			s.Unknown = append(s.Unknown, fmt.Sprintf("stats.fields[%d]: %q", i, name))
		}
	}
}

// Report reads a load report such as inflight:7;queue:0 with its values set apart by between; nil if none of them
// counts. A value counts if the module knows its name and it is a finite number from 0 to a million that came once;
// any other is as good as not told.
func (s *Site) Report(text, between string) *decide.Report {
	if text == "" || len(s.Reports) == 0 {
		return nil
	}
	none := decide.Report{InFlight: -1, Queue: -1, Loads: -1, Memory: -1}
	r := none
	var seen []*float64
	for n := 0; text != "" && n < 2*len(reported); n++ { // more is no report
		var pair string
		pair, text, _ = strings.Cut(text, between)
		name, num, _ := strings.Cut(pair, ":")
		where := reported[name]
		if where == nil {
			continue
		}
		at := where(&r)
		again := slices.Contains(seen, at)
		seen = append(seen, at)
		x, err := strconv.ParseFloat(num, 64)
		if *at = -1; err == nil && !again && x >= 0 && x <= maxReported {
			*at = x
		}
	}
	if r == none {
		return nil
	}
	return &r
}
