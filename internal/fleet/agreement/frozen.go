package agreement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"quillrail/internal/fleet/freeze"
	"quillrail/internal/fleet/replog"
	"quillrail/internal/fleet/safeguard"
)

// clock is this gateway's clock with the bound that is agreed.
func (a *Agent) clock() freeze.Clock {
	bound := a.o.Rules.ClockBoundMs
	if st := a.State(); st != nil {
		bound = st.Rules.ClockBoundMs
	}
	if !safeguard.Enabled("clock bound") {
		bound = 0
	}
	return freeze.Clock{At: time.UnixMilli(a.host.Now().Milliseconds()), Bound: time.Duration(bound) * time.Millisecond}
}

// clockSeen compares this clock with one that is told: what it says was said a moment ago, so that only a clock that is
// behind it by more than both bounds, or ahead by more than that and the time a message may take, is known to be off.
func (a *Agent) clockSeen(x message) {
	if x.At > 0 {
		a.off, a.offAt = a.host.Now()-time.Duration(x.At)*time.Millisecond, a.host.Now()
	}
}

// messageFor is the longest that a message is thought to take in fair weather.
const messageFor = time.Second

// Frozen reports why this gateway must not change its configuration now, "" if it may. halls are those that it touches.
func (a *Agent) Frozen(k freeze.Kind) string {
	st, c := a.State(), a.clock()
	if st == nil {
		return "it is not known yet what is agreed"
	}
	if !a.caught && safeguard.Enabled("caught up") {
		return "it is not known yet whether what is agreed is still so"
	}
	age, _ := a.Age()
	if ahead := time.Duration(st.Rules.FreezeAheadMs) * time.Millisecond; age > ahead && safeguard.Enabled("stricter when stale") {
		return fmt.Sprintf("nothing has been heard of what is agreed for %v", age.Round(time.Second))
	}
	if bound := time.Duration(st.Rules.ClockBoundMs) * time.Millisecond; a.off < -2*bound || a.off > 2*bound+messageFor {
		return fmt.Sprintf("this gateway's clock is %v off from the leader's, more than the bound of %v allows", a.off.Round(time.Millisecond), bound)
	}
	if p := st.Freeze.Forbids(k, []string{a.o.Hall}, c); p != nil && safeguard.Enabled("freeze") {
		until, _ := p.InForce(c.At, c.Bound)
		return fmt.Sprintf("the freeze %s of %s is in force until %s", p.Name, p.Owner, until.UTC().Format(time.RFC3339))
	}
	return ""
}

// Drops reports whether what came within the freezes that are in force is to be dropped afterwards.
func (a *Agent) Drops(k freeze.Kind) bool {
	st := a.State()
	return st != nil && slices.ContainsFunc(st.Freeze.InForce(a.clock()), func(p *freeze.Period) bool { return p.Drop && p.Covers(k, []string{a.o.Hall}) })
}

// spans has the leader put down the occurrences of periods anew when few are left.
func (a *Agent) spans(st *replog.State, now time.Duration) {
	for _, p := range st.Freeze.Periods {
		left := 0
		for _, s := range p.Spans {
			if s.To > now.Milliseconds() {
				left++
			}
		}
		if p.Rule != "" && left < 8 && now-a.spanned > time.Hour {
			a.spanned = now
			q := *p
			q.FixSpans(time.UnixMilli(now.Milliseconds()))
			a.put("spans", replog.SpansBody{Name: p.Name, Spans: q.Spans})
		}
	}
}

func sorted[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}
