package change

import (
	"fmt"
)

// release are the steps of a release that are due. One loop serves both directions.
func (d *Driver) release(s *State, r *Release, v *View) (out []Proposal) {
	halt := func(format string, a ...any) []Proposal {
		return append(out, Proposal{"halt", HaltBody{r.ID, fmt.Sprintf(format, a...)}})
	}
	if r.Course == Halted {
		return out
	}
	if reason := d.reasons(s, r, v); reason != "" {
		out = halt("%s", reason)
		if r.TakeBack && !r.Backward && v.Frozen == "" {
			out = append(out, Proposal{"revert", HaltBody{r.ID, reason}})
		}
		return out
	}
	if !r.Backward && r.Freeze == FreezeBack && v.FreezeIn > 0 && v.FreezeIn < v.At-r.Begun+r.StepMs {
		return append(out, Proposal{"revert", HaltBody{r.ID, "a freeze begins, and there is just time to go back"}})
	}
	all := true
	for _, t := range r.Steps() {
		if s.Stands(r, t) {
			continue
		}
		all = false
		if s.PermitOf(t) != nil {
			continue
		}
		p := &Permit{Things: []Thing{t}, Release: r.ID, Why: "release " + r.Name}
		down := v.Things[t].Health == Out
		if t.Kind() == Gateway && !down {
			p.Holder = t.Name()
		}
		if !down || r.Backward { // forwards, what is out is waited for; backwards it may be the change that has put it out
			out = append(out, Proposal{"ask", p})
		}
	}
	switch {
	case !all && r.Stood > 0: // something has fallen back since: it is seen to above
	case all && r.Stood == 0:
		out = append(out, Proposal{"stand", HaltBody{ID: r.ID}})
	case all && (r.Backward || d.proven(r, v)):
		out = append(out, Proposal{"next", HaltBody{ID: r.ID}})
	}
	return out
}

// reasons is why a release has to stand still, "" for none.
func (d *Driver) reasons(s *State, r *Release, v *View) string {
	if v.Lonely > lonelyMax {
		return fmt.Sprintf("there was no majority for %.1f s", float64(v.Lonely)/1000)
	}
	if v.Frozen != "" && !(r.Backward && r.Freeze == FreezeBack) {
		return "the freeze " + v.Frozen + " has begun"
	}
	lost := 0
	for t := range r.From {
		if k := s.Things[t]; t.Kind() == Gateway && k != nil && k.Sudden >= max(r.Begun, r.Word, v.At-suddenFor) {
			lost++
		}
	}
	if lost > 1 && 2*lost > len(r.From) {
		return fmt.Sprintf("%d of %d gateways have lost power, or were started anew by others", lost, len(r.From))
	}
	for _, t := range r.Steps() {
		p, k := s.PermitOf(t), s.Things[t]
		if k == nil {
			continue
		}
		switch {
		case p != nil && p.Release == r.ID && p.Phase >= Used && v.At-p.At > r.StepMs:
			return fmt.Sprintf("%s did not come to %q in %d s", t.Name(), r.Target(t), r.StepMs/1000)
		case p == nil && r.Touched[t] && !r.Backward && k.Health == Well && !s.Stands(r, t):
			return fmt.Sprintf("%s came back at %q", t.Name(), k.at(r.What))
		case p == nil && k.Health != Well && v.At-k.At > r.StepMs:
			return fmt.Sprintf("%s is %s for %d s", t.Name(), k.Health, (v.At-k.At)/1000)
		}
	}
	if r.Backward || r.What == Workers {
		return ""
	}
	return d.compare(s, r, v)
}

// compare is what the judge says.
func (d *Driver) compare(s *State, r *Release, v *View) string {
	if d.judge == nil || d.of != r.ID {
		d.judge = NewJudge(r.Alpha, r.Worse, r.Slower, v.Classes, d.usual)
		d.of = r.ID
	}
	if d.batch != r.Batch { // what is proven counts on, whoever else is changed
		d.batch = r.Batch
		d.judge.Again()
	}
	if v.At-d.fed < feedEvery {
		return ""
	}
	d.fed = v.At
	all := map[string]Sample{}
	for g, x := range v.Samples {
		x.Changed, x.Planned = r.Touched[Of(Gateway, g)], s.PermitOf(Of(Gateway, g)) != nil
		all[g] = x
	}
	d.judge.Feed(all)
	if what := d.judge.Verdict(); what != "" {
		return "those changed do worse than the others: " + what
	}
	return ""
}

// proven reports whether the batch has proved itself: for its time, and with enough calls of each class or for long.
func (d *Driver) proven(r *Release, v *View) bool {
	stood := v.At - r.Stood
	if r.What == Workers || stood < r.ProveMs || d.judge == nil || d.batch != r.Batch {
		return r.What == Workers && stood >= r.ProveMs
	}
	if stood >= r.MostMs {
		return true
	}
	for k := range v.Classes {
		if d.judge.Seen(k) < enoughCalls {
			return false
		}
	}
	return true
}

// enoughCalls of each class are wanted of those changed before the next batch; a class that comes seldom is waited for for
// the most that a batch may take.
const enoughCalls = 100

// suddenFor is how many ms an unplanned start counts towards a loss of power.
const suddenFor = 60_000
