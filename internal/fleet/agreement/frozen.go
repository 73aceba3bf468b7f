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

// clock returns this gateway's clock together with the agreed bound on clock errors.
func (a *Agent) clock() freeze.Clock {
	bound := a.options.Rules.ClockBoundMs
	if state := a.State(); state != nil {
		bound = state.Rules.ClockBoundMs
	}
	if !safeguard.Enabled("clock bound") {
		bound = 0
	}
	return freeze.Clock{At: time.UnixMilli(a.host.Now().Milliseconds()), Bound: time.Duration(bound) * time.Millisecond}
}

// recordClockOffset compares this gateway's clock with the one in a received message. The message may have been in
// transit for some time, so this gateway's clock is known to be wrong only if it is behind by more than twice the bound,
// or ahead by more than twice the bound plus maxMessageDelay.
func (a *Agent) recordClockOffset(msg message) {
	if msg.At > 0 {
		a.clockOffset, a.clockOffsetAt = a.host.Now()-time.Duration(msg.At)*time.Millisecond, a.host.Now()
	}
}

// maxMessageDelay is the longest message delay that is expected in a healthy network.
const maxMessageDelay = time.Second

// Frozen returns the reason why this gateway must not make a change of the given kind now, "" if it may.
func (a *Agent) Frozen(k freeze.Kind) string {
	state, clock := a.State(), a.clock()
	if state == nil {
		return "it is not known yet what is agreed"
	}
	if !a.caughtUp && safeguard.Enabled("caught up") {
		return "it is not known yet whether what is agreed is still so"
	}
	age, _ := a.Age()
	if ahead := time.Duration(state.Rules.FreezeAheadMs) * time.Millisecond; age > ahead && safeguard.Enabled("stricter when stale") {
		return fmt.Sprintf("nothing has been heard of what is agreed for %v", age.Round(time.Second))
	}
	if bound := time.Duration(state.Rules.ClockBoundMs) * time.Millisecond; a.clockOffset < -2*bound ||
		a.clockOffset > 2*bound+maxMessageDelay {
		return fmt.Sprintf("this gateway's clock is %v off from the leader's, more than the bound of %v allows",
			a.clockOffset.Round(time.Millisecond), bound)
	}
	if period := state.Freeze.Forbids(k, []string{a.options.Hall}, clock); period != nil && safeguard.Enabled("freeze") {
		until, _ := period.InForce(clock.At, clock.Bound)
		return fmt.Sprintf("the freeze %s of %s is in force until %s", period.Name, period.Owner, until.UTC().Format(time.RFC3339))
	}
	return ""
}

// Drops reports whether changes of the given kind that arrive during the freezes in force are to be dropped afterwards.
func (a *Agent) Drops(k freeze.Kind) bool {
	state := a.State()
	return state != nil && slices.ContainsFunc(state.Freeze.InForce(a.clock()), func(p *freeze.Period) bool {
		return p.Drop && p.Covers(k, []string{a.options.Hall})
	})
}

// renewSpans makes the leader propose further occurrences of a recurring freeze when fewer than eight are left.
func (a *Agent) renewSpans(state *replog.State, now time.Duration) {
	for _, period := range state.Freeze.Periods {
		left := 0
		for _, s := range period.Spans {
			if s.To > now.Milliseconds() {
				left++
			}
		}
		if period.Rule != "" && left < 8 && now-a.spansRenewedAt > time.Hour {
			a.spansRenewedAt = now
			renewed := *period
			renewed.FixSpans(time.UnixMilli(now.Milliseconds()))
			a.proposeAsLeader("spans", replog.SpansBody{Name: period.Name, Spans: renewed.Spans})
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare[string])
}
