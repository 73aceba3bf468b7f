package change

import (
	"fmt"
	"maps"
	"slices"

	"quillrail/internal/fleet/safeguard"
)

// Fits reports why things may not go out now, nil if they may.
func (s *State) Fits(things []Thing, m Measure) error {
	if !safeguard.Enabled("budget") {
		return nil
	}
	for _, kind := range []string{Gateway, Worker} {
		total, outs := map[string]int{}, map[string][]Thing{}
		asked := map[string]int{}
		for t, k := range s.Things {
			if t.Kind() != kind {
				continue
			}
			total[""]++
			total[k.Hall]++
			switch {
			case slices.Contains(things, t):
				asked[""]++
				asked[k.Hall]++
			case s.out(t):
				outs[""] = append(outs[""], t)
				outs[k.Hall] = append(outs[k.Hall], t)
			}
		}
		if asked[""] == 0 {
			continue
		}
		fleet, hall, calls := s.Limits.of(kind)
		if most := fleet.Of(total[""]); len(outs[""])+asked[""] > most {
			return fmt.Errorf("%d of at most %d %ss are out: %s", len(outs[""]), most, kind, names(outs[""]))
		}
		if stay := float64(total[""]-len(outs[""])-asked[""]) * calls; calls > 0 && stay < s.Limits.Margin*m.Load {
			return fmt.Errorf("the %ss that stay bear %.0f calls/s, and %.0f are wanted: %.2f times the load of now", kind, stay,
				s.Limits.Margin*m.Load, s.Limits.Margin)
		}
		for _, h := range slices.Sorted(maps.Keys(asked)) {
			if most := hall.Of(total[h]); h != "" && len(outs[h])+asked[h] > most {
				return hallOnly{fmt.Errorf("%d of at most %d %ss in %s are out: %s", len(outs[h]), most, kind, h, names(outs[h]))}
			}
		}
	}
	only := 0
	for _, p := range s.Permits {
		if p.Phase > Asked && p.Only {
			only++
		}
	}
	if most := s.Limits.Only.Of(len(s.Things)); only >= most && holdsOnly(things, m) {
		return hallOnly{fmt.Errorf("%d workers that held the only copies of a function are out, %d at most", only, most)}
	}
	return nil
}

func holdsOnly(things []Thing, m Measure) bool {
	return slices.ContainsFunc(things, func(t Thing) bool { return m.Only[t] > 0 })
}

// hallOnly is the reason of a limit that holds in one hall, or for copies: others may pass meanwhile.
type hallOnly struct{ error }

// Measure is what the limits need besides: it is measured by who proposes the grant.
type Measure struct {
	Load float64       // calls a second of the fleet
	Only map[Thing]int // functions of which a worker holds the only copies
}
