package change

import (
	"fmt"
	"maps"
	"slices"

	"quillrail/internal/fleet/safeguard"
)

// CheckLimits returns why subjects may not be taken out of service now, nil if they may.
func (s *State) CheckLimits(subjects []Subject, m Measurements) error {
	if !safeguard.Enabled("budget") {
		return nil
	}
	for _, kind := range []string{Gateway, Worker} {
		// The maps are by hall; "" is the whole fleet.
		total, unavailable := map[string]int{}, map[string][]Subject{}
		requested := map[string]int{}
		for subject, status := range s.Subjects {
			if subject.Kind() != kind {
				continue
			}
			total[""]++
			total[status.Hall]++
			switch {
			case slices.Contains(subjects, subject):
				requested[""]++
				requested[status.Hall]++
			case s.countsUnavailable(subject):
				unavailable[""] = append(unavailable[""], subject)
				unavailable[status.Hall] = append(unavailable[status.Hall], subject)
			}
		}
		if requested[""] == 0 {
			continue
		}
		fleet, hall, calls := s.Limits.forKind(kind)
		if most := fleet.Allowed(total[""]); len(unavailable[""])+requested[""] > most {
			return fmt.Errorf("%d of at most %d %ss are out: %s", len(unavailable[""]), most, kind, joinNames(unavailable[""]))
		}
		if capacity := float64(total[""]-len(unavailable[""])-requested[""]) * calls; calls > 0 && capacity < s.Limits.Margin*m.Load {
			return fmt.Errorf("the %ss that stay bear %.0f calls/s, and %.0f are wanted: %.2f times the load of now", kind, capacity,
				s.Limits.Margin*m.Load, s.Limits.Margin)
		}
		for _, h := range slices.Sorted(maps.Keys(requested)) {
			if most := hall.Allowed(total[h]); h != "" && len(unavailable[h])+requested[h] > most {
				return localLimitError{fmt.Errorf("%d of at most %d %ss in %s are out: %s", len(unavailable[h]), most, kind, h,
					joinNames(unavailable[h]))}
			}
		}
	}
	only := 0
	for _, p := range s.Permits {
		if p.Phase > Requested && p.HeldOnlyCopies {
			only++
		}
	}
	if most := s.Limits.OnlyCopies.Allowed(len(s.Subjects)); only >= most && holdOnlyCopies(subjects, m) {
		return localLimitError{fmt.Errorf("%d workers that held the only copies of a function are out, %d at most", only, most)}
	}
	return nil
}

func holdOnlyCopies(subjects []Subject, m Measurements) bool {
	return slices.ContainsFunc(subjects, func(subject Subject) bool { return m.OnlyCopies[subject] > 0 })
}

// localLimitError is the error of a limit on one hall or on only copies. Later requests may be granted while a permit waits for
// such a limit.
type localLimitError struct{ error }

// Measurements are inputs of the limits that are not part of the state. The gateway that proposes a grant measures them.
type Measurements struct {
	Load       float64         // calls per second of the fleet
	OnlyCopies map[Subject]int `msgpack:"Only"` // for each worker, of how many functions it holds the only copies
}
