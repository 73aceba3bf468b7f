package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"quillrail/decide"
)

const maxReported = 1e6 // a larger value in a load report is taken for an error and counts as missing

// reportFields maps the names of the values in load reports to their fields in the module's Report. Both the names that the
// simulator uses and those in workers' answers are known. It is nil for values that the module doesn't use.
var reportFields = map[string]func(*decide.Report) *float64{
	"busy_reqs": inFlight, "inflight": inFlight, "pending": queue, "queue": queue,
	"x0": func(r *decide.Report) *float64 { return &r.Memory }, "x1": func(r *decide.Report) *float64 { return &r.Loads },
	"cpu_share": nil, "util": nil, "svc_ms": nil, "served_ps": nil, "failed_ps": nil,
}

func inFlight(r *decide.Report) *float64 { return &r.InFlight }
func queue(r *decide.Report) *float64    { return &r.Queue }

// readStats applies the settings about load reports.
func (s *Site) readStats(how string, fields []string) {
	switch how {
	case "inline", "on_probe":
		s.ReportFields = fields
	case "", "off":
	default:
		s.Unknown = append(s.Unknown, fmt.Sprintf("stats.how: %q", how))
	}
	for i, name := range fields {
		if _, ok := reportFields[name]; !ok {
			s.Unknown = append(s.Unknown, fmt.Sprintf("stats.fields[%d]: %q", i, name))
		}
	}
}

// Report parses a load report such as inflight:7;queue:0, whose values are separated by separator. It returns nil if no value is
// usable. A value is usable if the module uses its name, and it is a finite number from 0 to a million that occurs only once; any
// other counts as missing.
func (s *Site) Report(text, separator string) *decide.Report {
	if text == "" || len(s.ReportFields) == 0 {
		return nil
	}
	empty := decide.Report{InFlight: -1, Queue: -1, Loads: -1, Memory: -1}
	report := empty
	var seen []*float64
	for n := 0; text != "" && n < 2*len(reportFields); n++ { // a longer text is no load report
		var pair string
		pair, text, _ = strings.Cut(text, separator)
		name, number, _ := strings.Cut(pair, ":")
		fieldOf := reportFields[name]
		if fieldOf == nil {
			continue
		}
		field := fieldOf(&report)
		repeated := slices.Contains(seen, field)
		seen = append(seen, field)
		value, err := strconv.ParseFloat(number, 64)
		if *field = -1; err == nil && !repeated && value >= 0 && value <= maxReported {
			*field = value
		}
	}
	if report == empty {
		return nil
	}
	return &report
}
